package daemon

import (
	"expvar"
	"sync"
	"time"
)

// connectionsInterval is the minimum time between two log records about new connections.
const connectionsInterval = 10 * time.Second

// connections counts the connections with peers. It is safe for concurrent use.
type connections struct {
	opened, lostCount *expvar.Int

	mu sync.Mutex
	// lastReport is when new connections were last reported; unreported counts those
	// made since then.
	lastReport time.Time
	unreported int
}

func (c *connections) connected() {
	c.opened.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreported++
}

func (c *connections) lost() { c.lostCount.Add(1) }

// takeReport returns how many connections were made since the last report and starts a
// new count. It reports false if connectionsInterval has not passed since then.
func (c *connections) takeReport(now time.Time) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastReport) < connectionsInterval {
		return 0, false
	}
	opened := c.unreported
	c.lastReport, c.unreported = now, 0
	return opened, true
}
