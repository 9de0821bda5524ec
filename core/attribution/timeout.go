package attribution

import (
	"time"

	"coltsfootward"
)

const (
	// timeoutBin is the resolution and timeoutBins the length of the histogram of the
	// timeouts that calls bring.
	timeoutBin  = 10 * time.Millisecond
	timeoutBins = 400
	// timeoutQuantile is the quantile of the unmatched calls' timeouts that is learned, if
	// it is at least minTimeoutFraction of their median. Calls with a shorter timeout stay
	// without a parent. Far below the median are calls that no request in service has made,
	// such as those of requests that the node has given up.
	timeoutQuantile    = 0.05
	minTimeoutFraction = 0.8
	// timeoutSamples is the number of unmatched calls between two evaluations, and
	// minUnmatched the least fraction of all calls that must be unmatched for a shorter
	// timeout to be learned. It is above the fraction that stays unmatched for other
	// reasons, so that those calls don't shorten the timeout further and further.
	timeoutSamples = 64
	minUnmatched   = 0.15
	// timeoutLifetime is the time after which a timeout is learned anew, so that a longer
	// one is found.
	timeoutLifetime = 2 * time.Minute
	// trialInterval is the interval, in requests of a class that is not known to make
	// calls, at which one is capped to find out.
	trialInterval = 8
	// A deadline is not capped to a learned timeout unless that leaves spareFactor times
	// the usual duration of a request, and at least 1/spareDivisor of its time.
	spareFactor  = 4
	spareDivisor = 2
)

// callTimeout learns the shortest timeout that the calls of a route bring of their own,
// which differs from call to call and counts from when the call is made.
//
// The expiry of such a call says nothing about its parent if the parent has more time
// left. With the parent's deadline capped to the shortest of these timeouts after its
// start, all its calls expire at that deadline. This takes time from a request that lasts
// several times as long as usual; the calls of such a request mostly miss their deadlines
// as well.
type callTimeout struct {
	// learned is zero until a timeout is known.
	learned   time.Duration
	learnedAt time.Duration
	// median is the median of the timeouts when the first one was learned.
	median    time.Duration
	histogram [timeoutBins]int
	// matchedCalls and unmatchedCalls count the calls since the last evaluation.
	matchedCalls, unmatchedCalls int
}

// matched counts a call whose parent is known. It reports whether the timeout was dropped.
func (t *callTimeout) matched(now time.Duration) bool {
	t.matchedCalls++
	return t.expire(now)
}

// expire drops a timeout that is due to be learned anew and reports whether it did so.
func (t *callTimeout) expire(now time.Duration) bool {
	if t.learned == 0 || now-t.learnedAt < timeoutLifetime {
		return false
	}
	*t = callTimeout{}
	return true
}

// unmatched counts a call without a parent, and reports whether a timeout was learned or
// dropped.
func (t *callTimeout) unmatched(now, timeout time.Duration) bool {
	if t.expire(now) {
		return true
	}
	t.unmatchedCalls++
	t.histogram[min(max(int(timeout/timeoutBin), 0), timeoutBins-1)]++
	if t.unmatchedCalls < timeoutSamples {
		return false
	}
	if t.median == 0 {
		t.median = t.quantile(0.5)
	}
	quantile := max(t.quantile(timeoutQuantile), time.Duration(minTimeoutFraction*float64(t.median)))
	enough := float64(t.unmatchedCalls) >= minUnmatched*float64(t.unmatchedCalls+t.matchedCalls)
	t.histogram, t.matchedCalls, t.unmatchedCalls = [timeoutBins]int{}, 0, 0
	if t.learned == 0 && !enough {
		t.median = 0
	}
	if !enough || quantile < minLimit || t.learned > 0 && quantile >= t.learned {
		return false
	}
	t.learned, t.learnedAt = quantile, now
	return true
}

// quantile returns the lower edge of the bin with the timeout that the given fraction of
// the unmatched calls fall short of.
func (t *callTimeout) quantile(fraction float64) time.Duration {
	left := fraction * float64(t.unmatchedCalls)
	for i, n := range t.histogram {
		left -= float64(n)
		if left < 0 {
			return time.Duration(i) * timeoutBin
		}
	}
	return 0
}

// timeoutOf returns the learned timeout of the calls of a route.
func (l *limits) timeoutOf(route coltsfootward.RouteName) (time.Duration, bool) {
	r, ok := l.routes[route]
	if !ok || r.timeout.learned == 0 {
		return 0, false
	}
	return r.timeout.learned, true
}

// trialCap returns the shortest learned timeout for some requests of a class that is not
// known to make calls. Calls of routes with such a timeout have no parent, so nothing else
// shows which class makes them.
func (l *limits) trialCap(c *classCalls, request Request) (time.Duration, bool) {
	shortest := time.Duration(0)
	for route := range l.routes {
		if timeout, ok := l.timeoutOf(route); ok && (shortest == 0 || timeout < shortest) {
			shortest = timeout
		}
	}
	if shortest == 0 {
		return 0, false
	}
	c.sinceTrial++
	if c.sinceTrial < trialInterval || !request.sparesAfter(shortest) {
		c.requests-- // its calls have no parent and are not counted
		return 0, false
	}
	c.sinceTrial = 0
	return shortest, true
}

// sparesAfter reports whether a deadline that long after the request's start takes no time
// that the request is likely to need.
func (r Request) sparesAfter(after time.Duration) bool {
	return after >= spareFactor*r.Usual && spareDivisor*after >= r.Deadline-r.Start
}
