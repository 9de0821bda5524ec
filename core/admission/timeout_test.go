package admission_test

import (
	"testing"
	"time"

	"coltsfootward/core/admission"
)

// Guards against a class of unrepeatable requests that a server never serves again after one
// of them has timed out.
func TestUnrepeatableClassIsServedAfterTimeout(t *testing.T) {
	const timeout, work = 1500 * time.Millisecond, 30 * time.Millisecond
	c := admission.NewController(8)
	c.FixLimit()
	now, id := time.Duration(0), admission.RequestID(0)
	start := func(transit time.Duration) bool {
		id++
		c.Offer(now, admission.Request{ID: id, Class: "order", Organisation: "a", Arrived: now, Deadline: now + timeout - transit})
		c.Refused()
		_, ok := c.Next(now)
		return ok
	}
	start(0)
	now += timeout
	c.Done(now, id, true)
	served := 0
	for range 100 {
		now += 100 * time.Millisecond
		if start(5 * time.Millisecond) {
			served++
			c.Done(now+work, id, false)
		}
		c.Tick(now + work)
	}
	if served < 90 {
		t.Errorf("%d of 100 requests served by an idle server within 10 s after a timeout, want at least 90", served)
	}
}
