package retry

import "time"

// RequestKind classifies a request for the retry budget.
type RequestKind string

// The kinds of request. A leaf request needs no further services.
const (
	// KindCaller is a caller's leaf request.
	KindCaller RequestKind = "caller"
	// KindCall is a backend server's call that is a leaf request.
	KindCall RequestKind = "call"
	// KindCallerNonLeaf is a caller's request that needs further services.
	KindCallerNonLeaf RequestKind = "caller_above"
	// KindCallNonLeaf is a backend server's call that needs further services.
	KindCallNonLeaf RequestKind = "call_above"
)

// The thresholds are the fractions of Budget.Share up to which a request of the kind
// may be retried, counting all retries to the service. A retry of a non-leaf request
// also repeats the work of the services down the call chain, and counts as a retry at
// each of them, so non-leaf requests have lower thresholds: in a chain of four
// services that all fail, a tenth of the requests to the first service are retried,
// and the load of these retries leaves the last service some retries of its own. The
// last tenth of the share is reserved for requests whose first attempt is still in
// flight.
const (
	callerThreshold        = 0.90
	callThreshold          = 0.80
	callNonLeafThreshold   = 0.60
	callerNonLeafThreshold = 0.45
	// burstFraction is the fraction of Budget.Burst that may be used in addition to
	// the share. Budget.Burst is already the node's own part of the fleet's burst.
	burstFraction = 0.4
	// windowStep is the resolution of the sliding window and windowSteps its length
	// in steps. The window covers at least ten seconds, even when its newest step has
	// only begun.
	windowStep  = 500 * time.Millisecond
	windowSteps = 21
)

// Budget limits one node's retries to one service to a share of the node's requests
// to it within any ten seconds, so that the limit holds for all nodes together
// without coordination. Retries that are not needed in one second may be used in
// another: if servers lose a quarter of their responses for four seconds, all
// affected requests are retried, while a constant rate of retries would suffice for
// only a third of them. The zero value allows no retries. It is not safe for
// concurrent use.
//
// Calls made by a retried request are retries at the called services and cannot be
// refused there, so they are counted first. Callers' own requests take precedence
// over calls, since one request may need several calls: a call is retried only if
// the budget also covers the retries that callers' requests have needed within the
// window.
type Budget struct {
	// Share is the largest ratio of retries to requests.
	Share float64
	// Burst is this node's part of the fleet's burst of retries, in retries.
	Burst float64

	// steps is a ring buffer of the counts per step, total their sum.
	steps [windowSteps]budgetCounts
	total budgetCounts
	// step numbers the newest step, counted from time zero.
	step int64
}

// budgetCounts are the counts of one step, or of the whole window.
type budgetCounts struct {
	// requests counts first attempts, inherited those of them that are calls made
	// by a retried request.
	requests, inherited int
	// callerWanted counts the requested retries of callers' leaf requests,
	// callerAllowed the allowed ones, and otherAllowed the allowed retries of all
	// other requests.
	callerWanted, callerAllowed, otherAllowed int
}

func (c *budgetCounts) add(other budgetCounts, times int) {
	c.requests += times * other.requests
	c.inherited += times * other.inherited
	c.callerWanted += times * other.callerWanted
	c.callerAllowed += times * other.callerAllowed
	c.otherAllowed += times * other.otherAllowed
}

// advance moves the window to now and returns the counts of the newest step.
func (b *Budget) advance(now time.Duration) *budgetCounts {
	number := int64(now / windowStep)
	for b.step = max(b.step, number-windowSteps); b.step < number; {
		b.step++
		old := &b.steps[b.step%windowSteps]
		b.total.add(*old, -1)
		*old = budgetCounts{}
	}
	return &b.steps[b.step%windowSteps]
}

// RecordRequest counts a request's first attempt. inherited is set if the request is
// a call made by a retried request.
func (b *Budget) RecordRequest(now time.Duration, inherited bool) {
	counted := budgetCounts{requests: 1}
	if inherited {
		counted.inherited = 1
	}
	b.count(now, counted)
}

func (b *Budget) count(now time.Duration, counted budgetCounts) {
	b.advance(now).add(counted, 1)
	b.total.add(counted, 1)
}

// Take reports whether one more retry is allowed, and counts it if so.
func (b *Budget) Take(now time.Duration, kind RequestKind) bool {
	if kind == KindCaller {
		b.count(now, budgetCounts{callerWanted: 1})
	} else {
		b.advance(now)
	}
	spent := b.total.inherited + b.total.otherAllowed
	if kind == KindCaller {
		spent += b.total.callerAllowed
	} else {
		spent += b.total.callerWanted
	}
	limit := b.Share*threshold(kind)*float64(b.total.requests) + burstFraction*b.Burst
	if float64(spent+1) > limit {
		return false
	}
	if kind == KindCaller {
		b.count(now, budgetCounts{callerAllowed: 1})
	} else {
		b.count(now, budgetCounts{otherAllowed: 1})
	}
	return true
}

func threshold(kind RequestKind) float64 {
	switch kind {
	case KindCaller:
		return callerThreshold
	case KindCall:
		return callThreshold
	case KindCallerNonLeaf:
		return callerNonLeafThreshold
	default:
		return callNonLeafThreshold
	}
}
