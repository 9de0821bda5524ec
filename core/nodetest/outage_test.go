package nodetest_test

import (
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/nodetest"
)

// Guards against requests being refused while the platform fails over and does not
// respond for 45 s. The slots' holders must continue within their lease terms. With
// a lease term of 20 s, every request was refused as over the rate once the terms
// had expired.
func TestOutageWithinLeaseTermRefusesNobody(t *testing.T) {
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

// Guards against requests that hang during a long outage of the platform, and
// against slow recovery from it. The platform is unavailable for an hour. Once
// all lease terms have expired, no node may grant tokens, because the rates could be
// exceeded; requests must be refused at once as not run. Within a minute of the
// platform's return, requests must be answered again.
func TestRecoveryFromLongOutage(t *testing.T) {
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
