package pressure_test

import (
	"math"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/pressure"
)

// shortage lets requests of two classes make a call to the route deep each, and those of a
// third class none, for 20 s. In the second half the calls of the class usual take ten times
// as long and every other one fails, while those of the class urgent are served first. started
// records the start of a call.
func shortage(c *pressure.Callees, started func(now time.Duration, class coltsfootward.RouteName)) time.Duration {
	const step = 20 * time.Millisecond
	now := time.Duration(0)
	for i := range 1000 {
		now += step
		for _, class := range []coltsfootward.RouteName{"urgent", "usual", "other"} {
			took, failed := 30*time.Millisecond, false
			if i >= 500 && class == "usual" {
				took, failed = 300*time.Millisecond, i%2 == 0
			}
			if class != "other" {
				started(now, class)
				c.CallEnded("deep", took, failed)
			}
			c.RequestEnded(now+took, now, class, failed)
		}
	}
	return now + time.Second
}

// Guards against a class that seems to make no calls because its calls are served first, so
// that its requests are neither delayed nor failed by a shortage.
func TestAttributedCallsRevealUrgentClass(t *testing.T) {
	c := pressure.Callees{FailuresConfirm: true}
	now := shortage(&c, func(now time.Duration, class coltsfootward.RouteName) { c.CallAttributed(now, "deep", class) })
	for _, class := range []coltsfootward.RouteName{"urgent", "usual"} {
		if got := c.Of(now, class); len(got) != 1 || math.Abs(got[0].CallsPerRequest-1) > 0.1 {
			t.Errorf("%s: got %v, want one call to deep", class, got)
		}
	}
	if got := c.Of(now, "other"); len(got) != 0 {
		t.Errorf("other: got %v, want none", got)
	}
}

// Guards against few attributed calls that outweigh the estimate from all calls.
func TestFewAttributedCallsAreNotTrusted(t *testing.T) {
	var c pressure.Callees
	calls := 0
	now := shortage(&c, func(now time.Duration, _ coltsfootward.RouteName) {
		if calls++; calls%10 == 0 {
			c.CallAttributed(now, "deep", "other")
			return
		}
		c.CallStarted(now, "deep")
	})
	if got := c.Of(now, "other"); len(got) != 0 {
		t.Errorf("other: got %v, want none", got)
	}
}
