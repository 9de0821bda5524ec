package loop

import (
	"sync"
	"time"

	"coltsfootward"
	"coltsfootward/core/clock"

	"golang.org/x/sys/unix"
)

// Clock reads this machine's clocks. Create it with NewClock. It is safe for
// concurrent use.
type Clock struct {
	mu     sync.Mutex
	start  time.Time
	clocks clock.Clock
}

// NewClock returns a clock whose durations count from now.
func NewClock() *Clock {
	c := &Clock{start: time.Now()}
	atStart, ok := sleptFor()
	c.clocks.Suspended = func() (time.Duration, bool) {
		now, told := sleptFor()
		return now - atStart, ok && told
	}
	return c
}

// sleptFor returns for how long the machine has been suspended since it started:
// the clock that counts suspensions less the one that does not.
func sleptFor() (time.Duration, bool) {
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
