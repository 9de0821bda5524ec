package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootward/core/admission"
)

// chain is a request of a calling service, which makes its child calls one after the
// other.
type chain struct {
	remaining int
	deadline  time.Duration
	rank      uint32
}

// simulateChains offers a deep service a multiple of its capacity, in chains of four
// calls of 30 ms with a timeout of 700 ms for the whole chain. The calls of a chain have
// its rank and deadline if attributed is set, otherwise ranks of their own. It returns the
// number of completed chains relative to the number that the service has capacity for.
func simulateChains(slots int, load float64, length time.Duration, seed uint64, attributed bool) float64 {
	const calls, work, timeout = 4, 30 * time.Millisecond, 700 * time.Millisecond
	source := rand.New(rand.NewPCG(seed, 29))
	c := admission.NewController(slots)
	c.FixLimit()
	c.LetDeepWait()
	chains := make(map[admission.RequestID]*chain)
	var running completions
	id := admission.RequestID(0)
	offer := func(now time.Duration, ch *chain) {
		id++
		chains[id] = ch
		r := admission.Request{
			ID: id, Class: "call", Deep: true, ShedRank: source.Uint32(), Arrived: now, Deadline: now + timeout, Repeatable: true,
		}
		if attributed {
			r.Attributed, r.ShedRank, r.Deadline = true, ch.rank, ch.deadline
		}
		c.Offer(now, r)
	}
	gap := float64(calls*work) / (load * float64(slots))
	completed := 0
	arrival, tick := time.Duration(0), time.Duration(0)
	for now := time.Duration(0); now < length; {
		if len(running) > 0 && running[0].at <= arrival {
			next := heap.Pop(&running).(completion)
			now = next.at
			c.Done(now, next.id, false)
			ch := chains[next.id]
			delete(chains, next.id)
			if ch.remaining--; ch.remaining == 0 && now <= ch.deadline {
				completed++
			}
			if ch.remaining > 0 && now < ch.deadline {
				offer(now, ch)
			}
		} else {
			now = arrival
			arrival += time.Duration(source.ExpFloat64() * gap)
			offer(now, &chain{remaining: calls, deadline: now + timeout, rank: source.Uint32()})
		}
		if now >= tick {
			tick = now + 10*time.Millisecond
			c.Tick(now)
		}
		for _, r := range c.Refused() {
			delete(chains, r.Request.ID) // the chain fails
		}
		for r, ok := c.Next(now); ok; r, ok = c.Next(now) {
			heap.Push(&running, completion{at: now + jittered(source, work), id: r.ID})
		}
	}
	capacity := length.Seconds() * float64(slots) / (calls * work).Seconds() * min(load, 1)
	return float64(completed) / capacity
}

// Requests make four calls of a deep service, one after the other, and the calls do
// not name their parent request. With a random rank per call, one of the four calls
// of a request was refused in about half of all cases. Ordered by age alone, at twice
// the load all calls waited until the requests' deadlines had passed. Most of what
// the service has capacity for must be completed, in a short overload as well as in a
// long one. With attributed calls, which share a rank, even more must be.
func TestStartedChainsComplete(t *testing.T) {
	for _, test := range []struct {
		load, least float64
		attributed  bool
	}{{0.9, 0.95, false}, {1.2, 0.85, false}, {2, 0.85, false}, {4, 0.85, false}, {0.9, 0.95, true}, {1.2, 0.92, true}, {2, 0.92, true}, {4, 0.92, true}} {
		for seed := range uint64(3) {
			got := simulateChains(48, test.load, 8*time.Second, seed, test.attributed)
			t.Logf("load %.1f, attributed %t: %.2f", test.load, test.attributed, got)
			if got < test.least {
				t.Errorf("load %.1f, seed %d, attributed %t: %.2f of the capacity is completed, want at least %.2f", test.load, seed, test.attributed, got, test.least)
			}
		}
	}
}

// Guards against an attributed request that is refused for the wait of requests that rank
// behind it.
func TestAttributedRequestIsNotRefusedForThoseBehindIt(t *testing.T) {
	c := admission.NewController(1)
	now := time.Duration(0)
	for id := admission.RequestID(1); id < 60; id++ {
		c.Offer(now, admission.Request{ID: id, Deep: true, Attributed: true, ShedRank: uint32(100 - id), Arrived: now, Deadline: now + 250*time.Millisecond})
		if id < 50 {
			c.Next(now)
			now += 100 * time.Millisecond
			c.Done(now, id, false)
		}
		if refused := c.Refused(); len(refused) > 0 && refused[0].Request.ID == id {
			t.Fatalf("got request %d refused as %s, want it queued as the first one", id, refused[0].Reason)
		}
	}
}
