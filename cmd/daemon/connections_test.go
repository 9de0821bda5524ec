package daemon

import (
	"expvar"
	"testing"
	"time"
)

// Guards against logs that tell of little but the connections of a quiet day.
func TestConnectionsAreToldOfNowAndThen(t *testing.T) {
	c := connections{made: new(expvar.Int), broken: new(expvar.Int)}
	now := time.Unix(1_700_000_000, 0)
	told, lines := 0, 0
	for range 1000 {
		c.connected()
		if made, ok := c.due(now); ok {
			told += made
			lines++
		}
		now = now.Add(25 * time.Millisecond)
	}
	if lines > 3 || told < 800 || c.made.Value() != 1000 {
		t.Errorf("got %d lines about %d connections in 25 s, and %d counted, want a line each 10 s and all counted", lines, told, c.made.Value())
	}
}
