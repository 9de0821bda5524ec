// Package retry bounds how much a node adds to an overload by attempting
// requests again.
package retry

import "time"

const (
	// Ratio is how many retries each success allows. A tenth is enough to hide
	// a server that fails now and then, and adds at most a tenth to the load of
	// a service that fails altogether.
	Ratio = 0.1
	// Capacity is how many retries may be saved up: enough for the requests in
	// flight to one server when it breaks, too few to matter in an overload.
	Capacity = 20.0
	// floorPerSecond is what is allowed without any success, so that a rare
	// failure in calm, or the first request of all, is attempted again.
	floorPerSecond = 1.0
)

// Allowance says how many retries a service may get from one node. The zero
// value is full. It is not safe for concurrent use.
//
// It is made for a service that fails or refuses most of what it gets: without
// a bound each request would come back several times, and the load grows by
// that factor just when capacity is short.
type Allowance struct {
	started bool
	tokens  float64
	filled  time.Duration
}

// Succeeded counts a request that was answered.
func (a *Allowance) Succeeded(now time.Duration) {
	a.fill(now)
	a.tokens = min(Capacity, a.tokens+Ratio)
}

// Take reports whether one more retry is allowed, and counts it if so.
func (a *Allowance) Take(now time.Duration) bool {
	a.fill(now)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

func (a *Allowance) fill(now time.Duration) {
	if !a.started {
		a.started = true
		a.tokens = Capacity
	}
	a.tokens = min(Capacity, a.tokens+floorPerSecond*max(now-a.filled, 0).Seconds())
	a.filled = now
}
