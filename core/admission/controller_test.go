package admission_test

import (
	"testing"
	"time"

	"coltsfootward/core/admission"

	_ "coltsfootward/core/internal/testseed"

	"pgregory.net/rapid"
)

// Checks that, for any arrivals, ends and cancellations, every request is served or
// refused exactly once, no more requests run than the limit allows, no request waits
// past its deadline, and refused requests have never started.
func TestControllerServesOrRefusesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		c := admission.NewController(slots)
		now := time.Hour
		next := admission.RequestID(1)
		waiting := make(map[admission.RequestID]time.Duration)
		running := make(map[admission.RequestID]bool)
		settle := func() {
			for {
				r, ok := c.Next(now)
				if !ok {
					break
				}
				if _, ok := waiting[r.ID]; !ok {
					t.Fatalf("request %d started, want a waiting one", r.ID)
				}
				delete(waiting, r.ID)
				running[r.ID] = true
			}
			for _, refused := range c.Refused() {
				if _, ok := waiting[refused.Request.ID]; !ok {
					t.Fatalf("request %d is refused (%s), want a waiting one", refused.Request.ID, refused.Reason)
				}
				delete(waiting, refused.Request.ID)
			}
			if len(running) > slots || c.Running() != len(running) || c.Queued() != len(waiting) {
				t.Fatalf("got %d running and %d queued, want %d and %d, at most %d running",
					c.Running(), c.Queued(), len(running), len(waiting), slots)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				r := drawRequest(t, next)
				next++
				r.Arrived = now
				r.Deadline = now + time.Duration(rapid.IntRange(1, 2000).Draw(t, "timeout"))*time.Millisecond
				waiting[r.ID] = r.Deadline
				c.Offer(now, r)
				settle()
			},
			"end": func(t *rapid.T) {
				for id := range running {
					delete(running, id)
					c.Done(now, id, rapid.Bool().Draw(t, "cut"))
					break
				}
				settle()
			},
			"leave": func(t *rapid.T) {
				id := admission.RequestID(rapid.Uint64Range(1, uint64(next)).Draw(t, "id"))
				_, want := waiting[id]
				if got := c.Withdraw(id); got != want {
					t.Fatalf("got %t from Withdraw, want %t", got, want)
				}
				delete(waiting, id)
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 300).Draw(t, "wait")) * time.Millisecond
				c.Tick(now)
				settle()
				for id, deadline := range waiting {
					if deadline < now {
						t.Fatalf("request %d waits past its deadline", id)
					}
				}
			},
		})
	})
}

// The only slot is busy and the queue is full of low-priority requests when a
// critical request arrives. The critical request must be queued, and the least
// important request refused.
func TestFullQueueEvictsLeastImportant(t *testing.T) {
	c := admission.NewController(1)
	now := time.Hour
	offer := func(id admission.RequestID, priority int) {
		c.Offer(now, admission.Request{ID: id, Priority: priority, ShedRank: uint32(priority)<<28 | uint32(id),
			Organisation: "traders", Arrived: now, Deadline: now + time.Minute})
	}
	for id := range 6 {
		offer(admission.RequestID(id+1), 3)
		c.Next(now)
	}
	offer(9, 0)
	refused := c.Refused()
	if len(refused) != 1 || refused[0].Request.ID != 6 || refused[0].Reason != admission.ReasonQueueFull {
		t.Fatalf("got %+v refused, want request 6 because the queue is full", refused)
	}
	c.Done(now, 1, false)
	if r, ok := c.Next(now); !ok || r.ID != 9 {
		t.Errorf("got request %d next, want 9", r.ID)
	}
}

// A server takes one second while callers wait for half a second, so its estimate
// refuses everything. Once the server is fast again, a probe request must correct the
// estimate, which would otherwise refuse requests for good.
func TestProbeRequestCorrectsEstimate(t *testing.T) {
	c := admission.NewController(1)
	now := time.Hour
	offer := func(id admission.RequestID, timeout time.Duration) bool {
		c.Offer(now, admission.Request{ID: id, Class: "GET /", Organisation: "traders",
			Arrived: now, Deadline: now + timeout, Repeatable: true})
		_, ok := c.Next(now)
		return ok
	}
	offer(1, time.Minute)
	now += time.Second
	c.Done(now, 1, false)
	began := 0
	for id := range 200 {
		now += 50 * time.Millisecond
		if offer(admission.RequestID(id+2), 500*time.Millisecond) {
			began++
			now += 10 * time.Millisecond
			c.Done(now, admission.RequestID(id+2), false)
		}
	}
	if began < 100 {
		t.Errorf("got %d of 200 requests started, want most of them once the estimate is corrected", began)
	}
}

// Half of an organisation's requests are refused. Its shed level must fall to the
// rank up to which requests were served, the level of another organisation must not
// change, and one second after the last refusal everything must be admitted again.
func TestShedLevelFallsAndRecovers(t *testing.T) {
	s := admission.NewShedder()
	now := time.Hour
	for i := range 400 {
		now += 5 * time.Millisecond
		rank := uint32(2)<<28 | uint32(i*7919)%(1<<28)
		flood := admission.Request{Organisation: "flood", ShedRank: rank}
		s.Arrived(now, flood)
		s.Arrived(now, admission.Request{Organisation: "calm", ShedRank: rank})
		if i%2 == 0 {
			s.Served(flood)
		} else {
			s.Shed(flood)
		}
		s.Tick(now)
	}
	if level := s.Level("flood", ""); level == 0 || level > 3<<28 {
		t.Errorf("got level %#x for the flooding organisation, want one within normal priority or below", level)
	}
	if level := s.Level("calm", ""); level != 0 {
		t.Errorf("got level %#x for the calm organisation, want 0", level)
	}
	for range 200 {
		now += 5 * time.Millisecond
		s.Tick(now)
	}
	if level := s.Level("flood", ""); level != 0 {
		t.Errorf("got level %#x a second later, want 0", level)
	}
}

// The archive service is fast, and the quotes service that some of its pages call is
// overloaded. Pages that need a quote fail after the archive has worked for them. The
// level of their class must fall, so that entry nodes refuse them before any work is
// done. Pages of another class must not be affected.
func TestClassShedLevelFollowsChildRefusals(t *testing.T) {
	s := admission.NewShedder()
	now := time.Hour
	for i := range 200 {
		now += 5 * time.Millisecond
		rank := uint32(2)<<28 | uint32(i*7919)%(1<<28)
		for _, class := range []string{"GET /quoted", "GET /plain"} {
			r := admission.Request{Organisation: "traders", Class: class, ShedRank: rank}
			s.Arrived(now, r)
			s.Served(r)
			if class == "GET /quoted" && i%2 == 0 {
				s.ChildShed(r)
			}
		}
		s.Tick(now)
	}
	if level := s.Level("traders", "GET /quoted"); level == 0 || level > 3<<28 {
		t.Errorf("got level %#x for pages with quotes, want one within normal priority or below", level)
	}
	if level := s.Level("traders", "GET /plain"); level != 0 {
		t.Errorf("got level %#x for plain pages, want 0", level)
	}
}

// Four requests of 100 ms each wait for the only slot, and a fifth must start within
// 200 ms. If it waited, it would be refused when it is too late to go elsewhere, so
// it must be refused at once. A more important request with the same limit goes first
// and is served.
func TestRequestThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	c := admission.NewController(10)
	now := time.Hour
	offer := func(id admission.RequestID, priority int, startWithin time.Duration) {
		c.Offer(now, admission.Request{ID: id, Priority: priority, Class: "GET /", Organisation: "traders",
			Arrived: now, Deadline: now + time.Minute, StartBy: now + startWithin})
		c.Next(now)
	}
	offer(1, 2, time.Second)
	now += 100 * time.Millisecond
	c.Done(now, 1, false)
	c.SetSlots(1)
	for id := range 5 {
		offer(admission.RequestID(id+2), 2, time.Minute)
	}
	if refused := c.Refused(); len(refused) != 0 {
		t.Fatalf("got %+v refused, want none", refused)
	}
	offer(20, 2, 200*time.Millisecond)
	if refused := c.Refused(); len(refused) != 1 || refused[0].Reason != admission.ReasonStartBy {
		t.Errorf("got %+v, want one refusal because the request would start too late", refused)
	}
	offer(21, 0, 200*time.Millisecond)
	if refused := c.Refused(); len(refused) != 0 {
		t.Errorf("got %+v, want the critical request to wait", refused)
	}
}
