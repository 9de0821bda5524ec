package nodetest_test

import (
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/nodetest"
)

// The platform fails over and does not answer for three quarters of a minute.
// Callers notice nothing: the slots' holders go on within their terms. With a
// term of 20 s every request was refused as above the rate from then on.
func TestOutageWithinTheTermRefusesNobody(t *testing.T) {
	r, north, _ := newPair(11)
	r.Run(30 * time.Second)
	r.Table.Outage = true
	var outcomes []*nodetest.Outcome
	for range 45 {
		outcomes = append(outcomes, north.Send(nodetest.Request{Key: key, Service: "quotes"}))
		r.Run(time.Second)
	}
	r.Table.Outage = false
	r.Run(10 * time.Second)
	for _, o := range outcomes {
		if !o.Answered {
			t.Errorf("sent at %v: got %v, want an answer", o.Sent, o.Refusal)
		}
	}
}

// The platform is away for an hour. Once the terms have passed no organisation
// gets more than its rate, and callers are told so at once; when the platform
// is back, they are served again within a minute.
func TestLongOutageIsRecoveredFrom(t *testing.T) {
	r, north, _ := newPair(12)
	r.Run(30 * time.Second)
	r.Table.Outage = true
	r.Run(time.Hour)
	during := north.Send(nodetest.Request{Key: key, Service: "quotes"})
	r.Run(time.Second)
	if during.Refusal == nil || during.Refusal.Execution != coltsfootward.ExecutionNotRun || during.Ended-during.Sent > 500*time.Millisecond {
		t.Errorf("during the outage: got %+v, want an immediate refusal as not run", during)
	}
	r.Table.Outage = false
	r.Run(time.Minute)
	after := north.Send(nodetest.Request{Key: key, Service: "quotes"})
	r.Run(time.Second)
	if !after.Answered {
		t.Errorf("a minute after the outage: got %v, want an answer", after.Refusal)
	}
}
