package admission_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"coltsfootward"
	"coltsfootward/core/admission"

	"pgregory.net/rapid"
)

// naiveQueue is a reference implementation: a list that is searched and sorted.
type naiveQueue []admission.Request

func (q naiveQueue) mostImportantLane() int {
	lowest := 0
	for i, r := range q {
		if laneOf(r) < laneOf(q[lowest]) {
			lowest = i
		}
	}
	return laneOf(q[lowest])
}

func (q naiveQueue) leastImportantLane() int {
	highest := 0
	for _, r := range q {
		highest = max(highest, laneOf(r))
	}
	return highest
}

func laneOf(r admission.Request) int {
	if r.Deep {
		return 2 * r.Priority
	}
	return 2*r.Priority + 1
}

// ranked returns the requests of one organisation and lane, most important first.
func (q naiveQueue) ranked(organisation coltsfootward.OrganisationName, lane int) []admission.RequestID {
	var matching naiveQueue
	for _, r := range q {
		if r.Organisation == organisation && laneOf(r) == lane {
			matching = append(matching, r)
		}
	}
	slices.SortFunc(matching, func(a, b admission.Request) int {
		return cmp.Or(cmp.Compare(a.ShedRank, b.ShedRank), cmp.Compare(a.ID, b.ID))
	})
	var ids []admission.RequestID
	for _, r := range matching {
		ids = append(ids, r.ID)
	}
	return ids
}

func (q *naiveQueue) remove(id admission.RequestID) bool {
	before := len(*q)
	*q = slices.DeleteFunc(*q, func(r admission.Request) bool { return r.ID == id })
	return len(*q) < before
}

func drawRequest(t *rapid.T, id admission.RequestID) admission.Request {
	return admission.Request{
		ID:           id,
		Priority:     rapid.IntRange(0, 3).Draw(t, "priority"),
		Deep:         rapid.Bool().Draw(t, "deep"),
		ShedRank:     rapid.Uint32Range(0, 5).Draw(t, "rank"),
		Organisation: coltsfootward.OrganisationName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation")),
		Weight:       float64(rapid.IntRange(0, 3).Draw(t, "weight")),
	}
}

// Compares the queue with a naive implementation for any sequence of operations. Both
// must hold the same requests. At most a quarter of the popped requests may be of a less
// important lane than a waiting one, an evicted request must not be of a more important
// lane, and the requests of an organisation must leave in the order of their rank.
func TestQueueMatchesNaiveQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue admission.Queue
		var naive naiveQueue
		next := admission.RequestID(1)
		popped, preferred := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				r := drawRequest(t, next)
				next++
				queue.Push(r)
				naive = append(naive, r)
			},
			"pop": func(t *rapid.T) {
				r, ok := queue.Pop()
				if ok != (len(naive) > 0) {
					t.Fatalf("got %t from Pop, want %t", ok, len(naive) > 0)
				}
				if !ok {
					return
				}
				popped++
				if laneOf(r) != naive.mostImportantLane() {
					preferred++
				}
				if 4*preferred > popped {
					t.Fatalf("%d of %d requests popped before more important ones, want at most a quarter", preferred, popped)
				}
				if want := naive.ranked(r.Organisation, laneOf(r))[0]; r.ID != want {
					t.Fatalf("popped %d, want %d of its organisation", r.ID, want)
				}
				naive.remove(r.ID)
			},
			"evict": func(t *rapid.T) {
				r, ok := queue.Evict()
				if !ok {
					return
				}
				if got, want := laneOf(r), naive.leastImportantLane(); got != want {
					t.Fatalf("evicted from lane %d, want %d", got, want)
				}
				if ids := naive.ranked(r.Organisation, laneOf(r)); r.ID != ids[len(ids)-1] {
					t.Fatalf("evicted %d, want %d of its organisation", r.ID, ids[len(ids)-1])
				}
				naive.remove(r.ID)
			},
			"remove": func(t *rapid.T) {
				id := admission.RequestID(rapid.Uint64Range(1, uint64(next)).Draw(t, "id"))
				if got, want := queue.Remove(id), naive.remove(id); got != want {
					t.Fatalf("got %t from Remove, want %t", got, want)
				}
			},
			"": func(t *rapid.T) {
				if queue.Len() != len(naive) {
					t.Fatalf("got length %d, want %d", queue.Len(), len(naive))
				}
			},
		})
	})
}

// Guards against waiting requests that are starved by more important ones, and against
// unimportant requests that displace important ones by their number.
func TestQueueServesEveryPriority(t *testing.T) {
	for _, waiting := range []int{20, 200} {
		var queue admission.Queue
		id := admission.RequestID(0)
		push := func(priority int) {
			id++
			queue.Push(admission.Request{ID: id, Priority: priority, Deep: true, Organisation: "a"})
		}
		for range waiting {
			push(2)
		}
		for range 20 {
			push(1)
		}
		served := make(map[int]int)
		for range 1000 {
			r, _ := queue.Pop()
			served[r.Priority]++
			push(r.Priority)
		}
		if served[2] < 1000*waiting/(waiting+20)/5 || served[2] > 250 {
			t.Errorf("%d unimportant requests beside 20 important ones: %d of 1000 served are unimportant, want a quarter of their part of the queue", waiting, served[2])
		}
	}
}

// One organisation floods the queue while others send a few requests. However many
// requests the first one has waiting, the others must be served according to their
// weights: while all of them have requests waiting, the numbers served of any two,
// divided by their weights, differ by at most one request each.
func TestQueueSharesServiceByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 4), 2, 5).Draw(t, "weights")
		var queue admission.Queue
		id := admission.RequestID(0)
		push := func(o int) {
			id++
			queue.Push(admission.Request{ID: id, Organisation: organisationName(o), Weight: float64(weights[o]), Class: fmt.Sprint(o)})
		}
		for o := range weights {
			for range rapid.IntRange(1, 30).Draw(t, "backlog") {
				push(o)
			}
		}
		served := make([]int, len(weights))
		for range 200 {
			r, _ := queue.Pop()
			o := int(r.Class[0] - '0')
			served[o]++
			push(o)
		}
		for i := range weights {
			for j := range weights {
				gap := float64(served[i])/float64(weights[i]) - float64(served[j])/float64(weights[j])
				if limit := 1/float64(weights[i]) + 1/float64(weights[j]); gap > limit+1e-6 {
					t.Fatalf("got %v served for weights %v, want the service per weight to differ by at most one request", served, weights)
				}
			}
		}
	})
}

func organisationName(o int) coltsfootward.OrganisationName {
	return coltsfootward.OrganisationName(fmt.Sprint("organisation-", o))
}
