// Package clock turns a node's two clocks into instants that are safe to
// decide by.
package clock

import (
	"time"

	"coltsfootward"
)

// jumpThreshold is how far the wall clock may run ahead of the monotonic one
// before the difference counts as time that passed unseen. Smaller differences
// are the clocks' own noise and correction.
const jumpThreshold = 50 * time.Millisecond

// Clock accumulates readings. The zero value is ready. It is not safe for
// concurrent use.
//
// A suspended machine stops its monotonic clock: the node wakes and finds that
// no time has passed, though its lease has long gone to another. The wall
// clock shows it as a jump, and Instant.Expiry counts the jump as passed.
type Clock struct {
	// Suspended, if not nil, returns for how long in all the machine has been
	// suspended, if the system tells. It is asked when the wall clock has jumped
	// ahead: a corrected clock jumps too, and taken for a suspension it would end
	// every request in hand as if its caller's time had run out.
	Suspended func() (time.Duration, bool)

	started bool
	// base is the smallest difference of wall and monotonic clock since the last jump.
	base time.Duration
	// unseen is the time that only the wall clock showed.
	unseen time.Duration
}

// Read returns the instant for one reading of both clocks. monotonic must not
// go down; wall may jump either way.
func (c *Clock) Read(monotonic time.Duration, wall time.Time) coltsfootward.Instant {
	difference := time.Duration(wall.UnixNano()) - monotonic
	switch {
	case !c.started:
		c.started = true
		c.base = difference
	case difference < c.base:
		c.base = difference
	case difference > c.base+jumpThreshold:
		c.jumped(difference - c.base)
		c.base = difference
	}
	return coltsfootward.Instant{Monotonic: monotonic, Expiry: monotonic + c.unseen, Wall: wall}
}

// jumped takes in that the wall clock ran ahead by d.
func (c *Clock) jumped(d time.Duration) {
	if c.Suspended != nil {
		if suspended, ok := c.Suspended(); ok {
			c.unseen = max(c.unseen, suspended)
			return
		}
	}
	c.unseen += d
}
