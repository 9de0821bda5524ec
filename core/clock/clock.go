// Package clock combines a node's monotonic clock and wall clock into instants
// that are safe for checking leases and deadlines.
package clock

import (
	"time"

	"coltsfootward"
)

// jumpThreshold is how far the wall clock may run ahead of the monotonic one
// before the difference counts as time that the monotonic clock missed. Smaller
// differences are noise and gradual correction of the clocks.
const jumpThreshold = 50 * time.Millisecond

// Clock converts clock readings to instants. The zero value is ready to use. It
// is not safe for concurrent use.
//
// The monotonic clock of a suspended machine stops: after the resumption no
// time seems to have passed, although another node may have taken over this
// node's lease. The wall clock shows the suspension as a jump, and
// Instant.Expiry counts the jump as elapsed time.
type Clock struct {
	// Suspended, if not nil, returns the total time for which the machine has
	// been suspended, or false if the system does not report it. It is called
	// when the wall clock has jumped ahead. Setting the wall clock makes it jump,
	// too; counting that as a suspension would end every pending request as if
	// its deadline had passed.
	Suspended func() (time.Duration, bool)

	started bool
	// baseOffset is the smallest difference between wall and monotonic clock
	// since the last jump.
	baseOffset time.Duration
	// skipped is the elapsed time that only the wall clock showed.
	skipped time.Duration
}

// Read returns the instant for one reading of both clocks. monotonic must not
// decrease; wall may jump either way.
func (c *Clock) Read(monotonic time.Duration, wall time.Time) coltsfootward.Instant {
	offset := time.Duration(wall.UnixNano()) - monotonic
	switch {
	case !c.started:
		c.started = true
		c.baseOffset = offset
	case offset < c.baseOffset:
		c.baseOffset = offset
	case offset > c.baseOffset+jumpThreshold:
		c.recordJump(offset - c.baseOffset)
		c.baseOffset = offset
	}
	return coltsfootward.Instant{Monotonic: monotonic, Expiry: monotonic + c.skipped, Wall: wall}
}

// recordJump accounts for a jump of the wall clock ahead by d. If the system
// reports suspensions, only the suspended time counts as elapsed, else the
// whole jump.
func (c *Clock) recordJump(d time.Duration) {
	if c.Suspended != nil {
		if suspended, ok := c.Suspended(); ok {
			c.skipped = max(c.skipped, suspended)
			return
		}
	}
	c.skipped += d
}
