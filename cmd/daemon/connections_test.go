package daemon

import (
	"expvar"
	"testing"
	"time"
)

// Guards against a log that is filled by one record per peer connection: connections
// are opened continually, also under little load.
func TestConnectionsAreLoggedAtIntervals(t *testing.T) {
	c := connections{opened: new(expvar.Int), lostCount: new(expvar.Int)}
	now := time.Unix(1_700_000_000, 0)
	reported, lines := 0, 0
	for range 1000 {
		c.connected()
		if opened, ok := c.takeReport(now); ok {
			reported += opened
			lines++
		}
		now = now.Add(25 * time.Millisecond)
	}
	if lines > 3 || reported < 800 || c.opened.Value() != 1000 {
		t.Errorf("got %d lines about %d connections in 25 s, and %d counted, want a line each 10 s and all counted", lines, reported, c.opened.Value())
	}
}
