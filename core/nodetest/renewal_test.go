package nodetest_test

import (
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"
)

// Guards against queued requests being refused because their tokens expire. An
// organisation with a rate of 1,000 requests a second and a burst of 200 sends forty
// slow requests at once. The tokens have a lifetime of 50 ms, and the first two
// requests occupy the slots for twice as long. Without renewal of the tokens only
// these two would be answered, although the callers' timeouts are seconds.
func TestQueueOutlastsTokenLifetime(t *testing.T) {
	r := nodetest.New(3)
	domains := []coltsfootward.FailureDomain{"north", "south"}
	rate := coltsfootward.Rate{PerSecond: 1000, Burst: 200}
	r.Submit(
		coltsfootward.Change{Organisation: &coltsfootward.Organisation{Name: "traders", Rate: rate}},
		coltsfootward.Change{Key: &coltsfootward.Key{ID: "k", Digest: key, Organisation: "traders"}},
		coltsfootward.Change{Service: &coltsfootward.Service{Name: "quotes"}},
	)
	north := r.Add(node.Options{Self: nodetest.Instance("north-1", "north"), Domains: domains})
	south := r.Add(node.Options{Self: nodetest.Instance("south-1", "south"), Domains: domains})
	south.Backend.ServiceTime = func(message.Call) time.Duration { return 100 * time.Millisecond }
	south.Announce("quotes", 2)
	r.Run(15 * time.Second)
	var outcomes []*nodetest.Outcome
	for range 40 {
		outcomes = append(outcomes, north.Send(nodetest.Request{Key: key, Service: "quotes", Timeout: 5 * time.Second}))
	}
	r.Run(5 * time.Second)
	answered := 0
	for _, o := range outcomes {
		if !o.Done {
			t.Errorf("%+v: has not ended", o)
		}
		if o.Answered {
			answered++
		}
	}
	// Two requests run at once, and the queue holds five times as many as the slots.
	if answered < 12 {
		t.Errorf("got %d of 40 answered, want at least 12: two in the slots and ten in the queue", answered)
	}
}

// Guards against a slot leak: a caller cancels its request while the request holds a
// slot and waits for a new token. If the slot were not released, the backend server
// would lose its capacity slot by slot.
func TestCallerCancelsDuringRenewal(t *testing.T) {
	r, north, south := newPair(4)
	south.Backend.ServiceTime = func(message.Call) time.Duration { return time.Second }
	south.Announce("quotes", 1)
	first := north.Send(nodetest.Request{Key: key, Service: "quotes"})
	r.Run(10 * time.Millisecond)
	second := north.Send(nodetest.Request{Key: key, Service: "quotes"})
	r.Run(time.Second - 9*time.Millisecond)
	second.Cancel()
	r.Run(time.Second)
	third := north.Send(nodetest.Request{Key: key, Service: "quotes"})
	r.Run(3 * time.Second)
	if !first.Answered || !third.Answered {
		t.Errorf("got first %+v and third %+v, want both answered", first, third)
	}
	if got := south.Node().Load().Running; got != 0 {
		t.Errorf("got %d running, want none", got)
	}
}
