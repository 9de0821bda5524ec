package admission

import (
	"math"
	"time"
)

const (
	// coldWindow is the length of the sliding window in which starts at a cold server
	// are counted.
	coldWindow = time.Second
	// maxColdWait is how long a request may wait for a cold server, which bounds the
	// queue. A request that would wait longer is served sooner elsewhere, or its
	// caller is asked to retry later.
	maxColdWait = 70 * time.Millisecond
)

// ColdStart limits the starts of requests at a cold backend server: no more in any
// window of one second than the server can handle, and evenly spaced.
//
// Without the limit, a server that has just started would receive its share of the
// full demand, crash under it, and restart cold under the same demand. Starts are
// counted while the server is warm as well, because it may become cold at any moment,
// and the starts of the last second then count towards the limit.
//
// The zero value limits nothing. ColdStart is not safe for concurrent use.
type ColdStart struct {
	rate float64
	// next is the earliest time of the next start.
	next time.Duration
	// starts is a ring buffer of the latest starts; oldest is the index of the oldest
	// one.
	starts []time.Duration
	oldest int
}

// SetRate sets how many requests per second the server can handle while it is cold;
// zero means no limit. began is the time from which the caller has counted starts.
// Earlier starts are unknown, so the full rate is assumed to have started at began.
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

// Limited reports whether there is a limit for cold servers.
func (s *ColdStart) Limited() bool { return s.rate > 0 }

// Wait returns the time until a request may start at a cold server.
func (s *ColdStart) Wait(now time.Duration) time.Duration {
	if !s.Limited() {
		return 0
	}
	return max(s.next-now, s.starts[s.oldest]+coldWindow-now, 0)
}

// Started records a start.
func (s *ColdStart) Started(now time.Duration) {
	if !s.Limited() {
		return
	}
	s.starts[s.oldest] = now
	s.oldest = (s.oldest + 1) % len(s.starts)
	s.next = now + time.Duration(float64(coldWindow)/s.rate)
}

// QueueLimit returns how many requests may wait for a cold server.
func (s *ColdStart) QueueLimit(now time.Duration) int {
	if s.Wait(now) > maxColdWait {
		return 0
	}
	return max(int(math.Round(s.rate*maxColdWait.Seconds())), 1)
}
