package clock_test

import (
	"testing"
	"time"

	"coltsfootward/core/clock"
)

// The wall clock is set ahead by 3 s on a machine that is not suspended.
// Counted as a suspension, the step would end each pending request as if 3 s
// had passed.
func TestClockStepWithoutSuspensionIsIgnored(t *testing.T) {
	suspended := time.Duration(0)
	c := clock.Clock{Suspended: func() (time.Duration, bool) { return suspended, true }}
	wall := time.Unix(1_800_000_000, 0)
	c.Read(0, wall)
	if got := c.Read(time.Second, wall.Add(4*time.Second)).Expiry; got != time.Second {
		t.Errorf("after a step of the wall clock: got %v, want 1s", got)
	}
	// The clock is set back, and then the machine is suspended for 5 s.
	c.Read(2*time.Second, wall.Add(2*time.Second))
	suspended = 5 * time.Second
	if got := c.Read(3*time.Second, wall.Add(8*time.Second)).Expiry; got != 8*time.Second {
		t.Errorf("after a suspension: got %v, want 8s", got)
	}
}

// If the system does not report suspensions, the jump counts as elapsed time,
// which is the safe reading.
func TestJumpCountsIfSuspensionIsUnknown(t *testing.T) {
	c := clock.Clock{Suspended: func() (time.Duration, bool) { return 0, false }}
	wall := time.Unix(1_800_000_000, 0)
	c.Read(0, wall)
	if got := c.Read(time.Second, wall.Add(4*time.Second)).Expiry; got != 4*time.Second {
		t.Errorf("got %v, want 4s", got)
	}
}
