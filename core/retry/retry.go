// Package retry bounds the load that a node adds to an overloaded service by
// retrying requests.
package retry

import "time"

const (
	// Ratio is the number of retries allowed per successful request. A tenth is
	// enough to hide a server that fails occasionally, and adds at most a tenth to
	// the load of a service that fails completely.
	Ratio = 0.1
	// Capacity is the largest number of accumulated retries: enough for the
	// requests in flight to one server when it fails, too few to matter in an
	// overload.
	Capacity = 20.0
	// minimumPerSecond is the number of retries allowed per second without any
	// success, so that a rare failure at low load, or of the very first request,
	// is retried.
	minimumPerSecond = 1.0
)

// Allowance is a token bucket that limits one node's retries to one service. The
// zero value is full. It is not safe for concurrent use.
//
// It protects a service that fails or refuses most requests: without a limit each
// request would be retried several times, and the load would grow by that factor
// just when capacity is short.
type Allowance struct {
	started    bool
	tokens     float64
	lastRefill time.Duration
}

// RecordSuccess records a successful request.
func (a *Allowance) RecordSuccess(now time.Duration) {
	a.refill(now)
	a.tokens = min(Capacity, a.tokens+Ratio)
}

// Take reports whether one more retry is allowed, and uses it up if so.
func (a *Allowance) Take(now time.Duration) bool {
	a.refill(now)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

func (a *Allowance) refill(now time.Duration) {
	if !a.started {
		a.started = true
		a.tokens = Capacity
	}
	a.tokens = min(Capacity, a.tokens+minimumPerSecond*max(now-a.lastRefill, 0).Seconds())
	a.lastRefill = now
}
