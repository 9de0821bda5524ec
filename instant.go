package coltsfootward

import "time"

// Instant is one reading of a node's clocks. All durations count from the
// node's start and never decrease.
//
// There are two durations because neither clock is reliable alone: the monotonic
// clock stops while the machine is suspended, and the wall clock jumps when it is
// corrected. Use Expiry, which is never behind real time, to check whether a lease,
// token or deadline of this node is still valid. Use Monotonic, which is never ahead
// of real time, to check whether another node's lease has expired, and to refill a
// bucket.
type Instant struct {
	// Monotonic is the lower bound of the elapsed time.
	Monotonic time.Duration
	// Expiry is the upper bound of the elapsed time: it advances by the larger of
	// the monotonic clock's and the wall clock's step.
	Expiry time.Duration
	// Wall is the wall clock's time, for timestamps that people or other programs
	// read.
	Wall time.Time
}

// At returns an instant on which all clocks agree: elapsed has passed since the
// Unix epoch. It is meant for tests and virtual clocks.
func At(elapsed time.Duration) Instant {
	return Instant{Monotonic: elapsed, Expiry: elapsed, Wall: time.Unix(0, 0).UTC().Add(elapsed)}
}

// Add returns the instant moved forward by d on every clock.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Monotonic: i.Monotonic + d, Expiry: i.Expiry + d, Wall: i.Wall.Add(d)}
}
