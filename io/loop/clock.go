package loop

import (
	"sync"
	"time"

	"coltsfootward"
	"coltsfootward/core/clock"
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
	return &Clock{start: time.Now()}
}

// Now returns the present instant.
func (c *Clock) Now() coltsfootward.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.clocks.Read(now.Sub(c.start), now.Round(0))
}
