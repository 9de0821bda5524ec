package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootward/core/admission"
)

// kneeServer is a simulated backend server that slows down by a factor while more
// than a fraction of its slots is in use.
type kneeServer struct {
	slots    int
	kneeAt   float64
	slowdown float64
}

// completion is a request whose service ends at a given time.
type completion struct {
	at time.Duration
	id admission.RequestID
}

type completions []completion

func (h completions) Len() int           { return len(h) }
func (h completions) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completions) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completions) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completions) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulate offers the server a multiple of its full-speed throughput, in short and
// long requests, and returns how many requests per second are served in the second
// half of the run.
func (s kneeServer) simulate(load float64, length time.Duration, seed uint64) float64 {
	source := rand.New(rand.NewPCG(seed, 23))
	c := admission.NewController(s.slots)
	c.FixLimit()
	c.LetDeepWait()
	works := map[string]time.Duration{"short": 30 * time.Millisecond, "long": 120 * time.Millisecond}
	gap := float64(50*time.Millisecond) / (load * float64(s.slots))
	var running completions
	classes := make(map[admission.RequestID]string)
	served, id := 0, admission.RequestID(0)
	arrival, tick := time.Duration(0), time.Duration(0)
	for now := time.Duration(0); now < length; {
		if len(running) > 0 && running[0].at <= arrival {
			next := heap.Pop(&running).(completion)
			now = next.at
			c.Done(now, next.id, false)
			if now > length/2 {
				served++
			}
		} else {
			now = arrival
			arrival += time.Duration(source.ExpFloat64() * gap)
			id++
			class := "short"
			if source.IntN(9) < 2 {
				class = "long"
			}
			classes[id] = class
			c.Offer(now, admission.Request{ID: id, Class: class, Deep: true, Arrived: now, Deadline: now + 700*time.Millisecond, Repeatable: true})
		}
		if now >= tick {
			tick = now + 10*time.Millisecond
			c.Tick(now)
		}
		c.Refused()
		for r, ok := c.Next(now); ok; r, ok = c.Next(now) {
			took := jittered(source, works[classes[r.ID]])
			if float64(c.Running()) > s.kneeAt*float64(s.slots) {
				took = time.Duration(float64(took) * s.slowdown)
			}
			heap.Push(&running, completion{at: now + took, id: r.ID})
		}
	}
	return float64(served) / (length / 2).Seconds()
}

// A service is offered 1.5 times its capacity for a minute. Its server is a third
// slower while more than 95% of its slots are in use, so with all slots in use it
// serves a fifth less than it could, and callers are refused for work that it has
// capacity for. On a server without a knee, all slots must be used.
func TestServerWithKneeServesMore(t *testing.T) {
	const perSlot = 1 / 0.05
	for _, test := range []struct {
		name   string
		server kneeServer
		least  float64
	}{
		{"knee, 49 slots", kneeServer{49, 0.95, 1.3}, 0.92 * 49},
		{"knee, 12 slots", kneeServer{12, 0.95, 1.3}, 0.90 * 11},
		{"no knee, 49 slots", kneeServer{49, 2, 1}, 0.97 * 49},
		{"no knee, 12 slots", kneeServer{12, 2, 1}, 0.95 * 12},
		{"no knee, 4 slots", kneeServer{4, 2, 1}, 0.95 * 4},
	} {
		for seed := range uint64(4) {
			if got := test.server.simulate(1.5, 60*time.Second, seed) / perSlot; got < test.least {
				t.Errorf("%s, seed %d: %.1f slots' worth served, want at least %.1f", test.name, seed, got, test.least)
			}
		}
	}
}
