package coltsfootward

import "time"

// Instant is one reading of a node's clocks. All durations count from the
// node's start and never run backwards.
//
// Two readings exist because a pause shows differently on each clock: a
// suspended machine stops the monotonic clock, and a corrected wall clock
// jumps. Whoever asks "may I still?" uses Expiry, which is never behind real
// time; whoever asks "has the other's term passed?" or refills a bucket uses
// Monotonic, which is never ahead of it.
type Instant struct {
	// Monotonic is the time that has passed for certain.
	Monotonic time.Duration
	// Expiry is the time that may have passed: it advances by the larger of
	// the monotonic and the wall clock's step.
	Expiry time.Duration
	// Wall is the wall clock, for stamps that people or other programs read.
	Wall time.Time
}

// At returns an instant at which all clocks agree that elapsed has passed
// since the Unix epoch. It serves tests and virtual clocks.
func At(elapsed time.Duration) Instant {
	return Instant{Monotonic: elapsed, Expiry: elapsed, Wall: time.Unix(0, 0).UTC().Add(elapsed)}
}

// Add returns the instant moved forward by d on every clock.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Monotonic: i.Monotonic + d, Expiry: i.Expiry + d, Wall: i.Wall.Add(d)}
}
