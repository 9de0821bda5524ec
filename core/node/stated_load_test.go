package node

import (
	"testing"
	"time"

	"coltsfootward"
)

// Guards against the duration of a request that was dispatched before the server restarted and
// is divided by a mean over the statements of the next start: that mean may be close to zero.
func TestDurationAcrossARestartIsNotUsed(t *testing.T) {
	p := statedLoad{node: &Node{}}
	at := func(now time.Duration) { p.node.now.Monotonic = now }
	usual := coltsfootward.BackendLoad{}.WithSlowdown(1)
	at(time.Second)
	p.observed(usual, "")
	mark := p.mark()
	at(1010 * time.Millisecond)
	p.reset()
	at(1990 * time.Millisecond)
	p.observed(usual, "")
	at(2 * time.Second)
	if slowdown, usable := p.during(time.Second, mark); usable {
		t.Errorf("got a mean slowdown of %.3f, want that the duration is not used", slowdown)
	}
}
