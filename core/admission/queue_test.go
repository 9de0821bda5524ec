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

// list is the naive queue: it keeps everything in one list and sorts.
type list []admission.Request

func (l list) best() int {
	lowest := 0
	for i, r := range l {
		if class(r) < class(l[lowest]) {
			lowest = i
		}
	}
	return class(l[lowest])
}

func (l list) worst() int {
	highest := 0
	for _, r := range l {
		highest = max(highest, class(r))
	}
	return highest
}

func class(r admission.Request) int {
	if r.Deep {
		return 2 * r.Priority
	}
	return 2*r.Priority + 1
}

// of returns the requests of one organisation and class, most important first.
func (l list) of(organisation coltsfootward.OrganisationName, kind int) []admission.RequestID {
	var found list
	for _, r := range l {
		if r.Organisation == organisation && class(r) == kind {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b admission.Request) int {
		return cmp.Or(cmp.Compare(a.ShedRank, b.ShedRank), cmp.Compare(a.ID, b.ID))
	})
	var ids []admission.RequestID
	for _, r := range found {
		ids = append(ids, r.ID)
	}
	return ids
}

func (l *list) remove(id admission.RequestID) bool {
	before := len(*l)
	*l = slices.DeleteFunc(*l, func(r admission.Request) bool { return r.ID == id })
	return len(*l) < before
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

// Whatever is pushed, popped, evicted and removed in whatever order: the queue
// holds what a sorted list holds, what leaves to be served is never of a lower
// class than something that waits, what is evicted never of a higher one, and
// within an organisation they leave by rank.
func TestQueueAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue admission.Queue
		var naive list
		next := admission.RequestID(1)
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
				if got, want := class(r), naive.best(); got != want {
					t.Fatalf("popped class %d, want %d", got, want)
				}
				if want := naive.of(r.Organisation, class(r))[0]; r.ID != want {
					t.Fatalf("popped %d, want %d of its organisation", r.ID, want)
				}
				naive.remove(r.ID)
			},
			"evict": func(t *rapid.T) {
				r, ok := queue.Evict()
				if !ok {
					return
				}
				if got, want := class(r), naive.worst(); got != want {
					t.Fatalf("evicted class %d, want %d", got, want)
				}
				if ids := naive.of(r.Organisation, class(r)); r.ID != ids[len(ids)-1] {
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

// An organisation floods, others send now and then. Each of the others must be
// served within its turn however many the first one has waiting: as long as
// all have something waiting, what two of them were served differs by no more
// than one request for their weights.
func TestQueueTurnsAreFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 4), 2, 5).Draw(t, "weights")
		var queue admission.Queue
		id := admission.RequestID(0)
		push := func(o int) {
			id++
			queue.Push(admission.Request{ID: id, Organisation: name(o), Weight: float64(weights[o]), Class: fmt.Sprint(o)})
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
					t.Fatalf("got %v served for weights %v, want turns to differ by at most one", served, weights)
				}
			}
		}
	})
}

func name(o int) coltsfootward.OrganisationName {
	return coltsfootward.OrganisationName(fmt.Sprint("organisation-", o))
}
