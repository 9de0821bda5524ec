package clock_test

import (
	"testing"
	"time"

	"coltsfootward/core/clock"
)

// The time of day is set ahead by 3 s on a machine that runs all the while. Taken
// for a suspension, the step would end each request in hand as late by 3 s.
func TestCorrectedClockEndsNothing(t *testing.T) {
	suspended := time.Duration(0)
	c := clock.Clock{Suspended: func() (time.Duration, bool) { return suspended, true }}
	wall := time.Unix(1_800_000_000, 0)
	c.Read(0, wall)
	if got := c.Read(time.Second, wall.Add(4*time.Second)).Expiry; got != time.Second {
		t.Errorf("after a step of the wall clock: got %v, want 1s", got)
	}
	// Set back again, and then truly suspended for 5 s.
	c.Read(2*time.Second, wall.Add(2*time.Second))
	suspended = 5 * time.Second
	if got := c.Read(3*time.Second, wall.Add(8*time.Second)).Expiry; got != 8*time.Second {
		t.Errorf("after a suspension: got %v, want 8s", got)
	}
}

// A system that does not tell leaves the safe reading: the jump counts as time.
func TestJumpCountsWhereNobodyTells(t *testing.T) {
	c := clock.Clock{Suspended: func() (time.Duration, bool) { return 0, false }}
	wall := time.Unix(1_800_000_000, 0)
	c.Read(0, wall)
	if got := c.Read(time.Second, wall.Add(4*time.Second)).Expiry; got != 4*time.Second {
		t.Errorf("got %v, want 4s", got)
	}
}
