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
	p.observed(usual, "", 0)
	mark := p.mark()
	at(1010 * time.Millisecond)
	p.reset()
	at(1990 * time.Millisecond)
	p.observed(usual, "", 0)
	at(2 * time.Second)
	if slowdown, usable := p.during(time.Second, mark); usable {
		t.Errorf("got a mean slowdown of %.3f, want that the duration is not used", slowdown)
	}
}

// Guards against the figures of a response that was relayed for long, which replace newer ones or
// count as new.
func TestFiguresCountFromWhenTheyWereRead(t *testing.T) {
	p := statedLoad{node: &Node{}}
	p.node.now.Monotonic = 3 * time.Second
	p.observed(coltsfootward.BackendLoad{}.WithSlowdown(2.5), "", time.Second)
	if p.slowdownAt != 2*time.Second {
		t.Errorf("got a statement from %v, want 2s", p.slowdownAt)
	}
	p.observed(coltsfootward.BackendLoad{}.WithSlowdown(1), "", 1500*time.Millisecond)
	if got, _ := p.current.Slowdown(); got != 2.5 {
		t.Errorf("got a slowdown of %v from an older response, want 2.5", got)
	}
	p.reset()
	p.observed(coltsfootward.BackendLoad{}.WithSlowdown(2.5), "", time.Millisecond)
	if got, stated := p.current.Slowdown(); stated {
		t.Errorf("got a slowdown of %v from a response read before the restart, want none", got)
	}
}
