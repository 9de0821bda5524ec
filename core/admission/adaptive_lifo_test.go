package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootward/core/admission"
)

// chain is a request of the services above, which makes its calls one after the
// other.
type chain struct {
	left     int
	deadline time.Duration
}

// playChains offers a deep service of so many slots load times what it has, in
// chains of four calls of 30 ms that have 700 ms in all, and returns how many of the
// chains that it has room for are completed.
func playChains(slots int, load float64, length time.Duration, seed uint64) float64 {
	const calls, work, patience = 4, 30 * time.Millisecond, 700 * time.Millisecond
	source := rand.New(rand.NewPCG(seed, 29))
	c := admission.NewController(slots)
	c.FixLimit()
	c.LetDeepWait()
	chains := make(map[admission.RequestID]*chain)
	var running endings
	id := admission.RequestID(0)
	offer := func(now time.Duration, ch *chain) {
		id++
		chains[id] = ch
		c.Offer(now, admission.Request{
			ID: id, Class: "call", Deep: true, ShedRank: source.Uint32(), Arrived: now, Deadline: now + patience, Repeatable: true,
		})
	}
	gap := float64(calls*work) / (load * float64(slots))
	completed := 0
	arrival, tick := time.Duration(0), time.Duration(0)
	for now := time.Duration(0); now < length; {
		if len(running) > 0 && running[0].at <= arrival {
			next := heap.Pop(&running).(ending)
			now = next.at
			c.Done(now, next.id, false)
			ch := chains[next.id]
			delete(chains, next.id)
			if ch.left--; ch.left == 0 && now <= ch.deadline {
				completed++
			}
			if ch.left > 0 && now < ch.deadline {
				offer(now, ch)
			}
		} else {
			now = arrival
			arrival += time.Duration(source.ExpFloat64() * gap)
			offer(now, &chain{left: calls, deadline: now + patience})
		}
		if now >= tick {
			tick = now + 10*time.Millisecond
			c.Tick(now)
		}
		for _, r := range c.Refused() {
			delete(chains, r.Request.ID) // its chain fails
		}
		for r, ok := c.Next(now); ok; r, ok = c.Next(now) {
			heap.Push(&running, ending{at: now + scattered(source, work), id: r.ID})
		}
	}
	room := length.Seconds() * float64(slots) / (calls * work).Seconds() * min(load, 1)
	return float64(completed) / room
}

// Requests make four calls of a deep service, one after the other, and none of the
// calls names its request. Ordered by a rank of its own, of a request's four calls
// one was refused as often as not; ordered by age alone, under twice the load all
// waited until the requests' time was over. Most of what the service has room for is
// to be completed, for a moment's overload and for a long one.
func TestChainsThatHaveBegunEnd(t *testing.T) {
	for _, test := range []struct {
		load, least float64
	}{{0.9, 0.95}, {1.2, 0.85}, {2, 0.85}, {4, 0.85}} {
		for seed := range uint64(3) {
			if got := playChains(48, test.load, 8*time.Second, seed); got < test.least {
				t.Errorf("load %.1f, seed %d: %.2f of what there is room for is completed, want at least %.2f", test.load, seed, got, test.least)
			}
		}
	}
}
