package daemon

import (
	"expvar"
	"sync"
	"time"
)

// connectionsInterval is the least time between two lines about new connections.
const connectionsInterval = 10 * time.Second

// connections counts connections with peers. It is safe for concurrent use.
type connections struct {
	made, broken *expvar.Int

	mu sync.Mutex
	// told is when they were last told of, since how many were made since then.
	told  time.Time
	since int
}

func (c *connections) connected() {
	c.made.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since++
}

func (c *connections) lost() { c.broken.Add(1) }

// due returns how many connections were made since they were last told of, and
// whether it is time to tell.
func (c *connections) due(now time.Time) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.told) < connectionsInterval {
		return 0, false
	}
	made := c.since
	c.told, c.since = now, 0
	return made, true
}
