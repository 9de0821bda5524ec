package loop

import (
	"sync"
	"time"

	"coltsfootward"
	"coltsfootward/core/clock"

	"golang.org/x/sys/unix"
)

// Clock reads the machine's clocks. Create it with NewClock. It is safe for
// concurrent use.
type Clock struct {
	mu     sync.Mutex
	start  time.Time
	clocks clock.Clock
}

// NewClock returns a clock whose durations count from now.
func NewClock() *Clock {
	c := &Clock{start: time.Now()}
	suspendedAtStart, startOK := suspendedTime()
	c.clocks.Suspended = func() (time.Duration, bool) {
		suspendedNow, nowOK := suspendedTime()
		return suspendedNow - suspendedAtStart, startOK && nowOK
	}
	return c
}

// suspendedTime returns how long the machine has been suspended since it booted: the
// difference of the clock that includes suspensions and the one that does not. It
// returns false if the system does not provide one of the clocks.
func suspendedTime() (time.Duration, bool) {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0, false
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), true
}

// Now returns the present instant.
func (c *Clock) Now() coltsfootward.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.clocks.Read(now.Sub(c.start), now.Round(0))
}
