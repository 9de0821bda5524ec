package admission

import (
	"math"
	"time"
)

const (
	// coldWindow is the span in which a cold server's starts are counted.
	coldWindow = time.Second
	// coldWait is how long a request may wait for a cold server, which bounds its
	// queue: who waits longer is served sooner elsewhere, or told to come back.
	coldWait = 70 * time.Millisecond
)

// ColdStart bounds the starts at a cold backend server: no more in any one second
// than it bears, and these spread evenly.
//
// The load that it answers: a server that has just started would get its share of
// the full demand, crash under it, and come back cold to the same demand again. It
// counts starts also while the server is warm, since it may turn cold at any moment
// and what it got just before counts then.
//
// The zero value bounds nothing. It is not safe for concurrent use.
type ColdStart struct {
	rate float64
	// next is when the next start may be.
	next time.Duration
	// starts is a ring of the latest starts, the oldest at position oldest.
	starts []time.Duration
	oldest int
}

// SetRate sets how many requests a second the server bears while it is cold; zero
// means that it bears all. began is when the caller began to count: what started
// before is not known, so it counts for as much as there may have been.
func (s *ColdStart) SetRate(rate float64, began time.Duration) {
	if rate == s.rate {
		return
	}
	s.rate = rate
	s.oldest = 0
	s.starts = make([]time.Duration, max(int(rate), 1))
	for i := range s.starts {
		s.starts[i] = began
	}
}

// Bounds reports whether cold servers bear less than all.
func (s *ColdStart) Bounds() bool { return s.rate > 0 }

// Wait returns how long it takes until a request may start at a server that is cold.
func (s *ColdStart) Wait(now time.Duration) time.Duration {
	if !s.Bounds() {
		return 0
	}
	return max(s.next-now, s.starts[s.oldest]+coldWindow-now, 0)
}

// Started counts a start.
func (s *ColdStart) Started(now time.Duration) {
	if !s.Bounds() {
		return
	}
	s.starts[s.oldest] = now
	s.oldest = (s.oldest + 1) % len(s.starts)
	s.next = now + time.Duration(float64(coldWindow)/s.rate)
}

// Room is how many requests may wait for a cold server.
func (s *ColdStart) Room(now time.Duration) int {
	if s.Wait(now) > coldWait {
		return 0
	}
	return max(int(math.Round(s.rate*coldWait.Seconds())), 1)
}
