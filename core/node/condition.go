package node

import (
	"math"
	"time"

	"coltsfootward"
	"coltsfootward/core/rate"
	"coltsfootward/core/record"
)

const (
	// limitBurst is by how much a request may be early against an even spacing of the
	// requests that a server's limit allows. Without it, requests that arrive at random
	// would use only a part of the limit.
	limitBurst = 250 * time.Millisecond
	// maxLimitInterval bounds the time between two requests to a server that names a
	// limit close to zero: only an answer shows that the limit has ended.
	maxLimitInterval = 10 * time.Second
	// maxLimitWait is how long a request may wait at a server with a limit. One that
	// would wait longer is sooner served elsewhere, or its caller is asked to retry.
	maxLimitWait = 60 * time.Millisecond
	// limitReportStep is the relative change of a named limit from which the change is
	// reported, and sent to other nodes soon.
	limitReportStep = 0.1
	// startCheckInterval is the time between two health checks of a server that has not
	// responded since the node started.
	startCheckInterval = 2 * time.Second
	// leavingHold is how long a server that said that it leaves is held to it against
	// announcements that don't identify the server's start.
	leavingHold = 30 * time.Second
)

// conditionTracker tracks what the local backend server states about itself in its
// responses, and limits the requests to the server accordingly. All its times are by
// Instant.Monotonic.
type conditionTracker struct {
	node    *Node
	current coltsfootward.BackendCondition
	// responded is set once the server has responded since the node started. Until then it
	// may have stated a condition that only an earlier process of the node has learned.
	responded bool
	// nextCheck is when the next health check after the node's start may be requested.
	nextCheck time.Duration
	// backend and start identify the server and its current start, if it reports them.
	backend, start string
	// limitedAt is when the server named a limit last, leavingAt when it said last that
	// it leaves.
	limitedAt, leavingAt time.Duration
	pacer                rate.Pacer
	// starts is the rate of requests to the server, whether it names a limit or not.
	starts rate.Meter
	// reported is the limit that was reported last.
	reported float64
	// passed and refused count the requests that the server was sent while it named a
	// limit, and those that were refused because of the limit.
	passed, refused int
}

// announced processes the start that an announcement of the server belongs to. What
// the server stated at an earlier start is void.
func (p *conditionTracker) announced(backend, start string) {
	other := backend != "" && p.backend != "" && backend != p.backend
	restarted := start != "" && p.start != "" && start != p.start
	if other || restarted {
		p.reset()
	}
	if backend != "" {
		p.backend = backend
	}
	if start != "" {
		p.start = start
	}
	if start == "" && p.current.Leaving && p.node.now.Monotonic-p.leavingAt > leavingHold {
		p.current.Leaving = false
	}
}

// reset forgets what the server stated, because another server or another start of it
// has taken its place.
func (p *conditionTracker) reset() {
	p.current.Leaving = false
	p.endLimit()
	p.node.upstream.stated.reset()
}

// leaving reports whether the server has said that it leaves.
func (p *conditionTracker) leaving() bool { return p.current.Leaving }

// answered processes the condition stated with the response to a call.
//
// Responses on different connections may be processed in another order than they were
// sent. A response without a limit therefore ends the limit only if its request was
// dispatched after the limit was named last.
func (p *conditionTracker) answered(e BackendAnswered) {
	if e.Unreadable != "" {
		p.node.report(record.BackendUnreadable, field("error", e.Unreadable))
	}
	p.stated(e.Condition)
	call, ok := p.node.upstream.calls[e.Call]
	if ok && e.Unreadable == "" && !e.Condition.Limited && call.dispatchedAt > p.limitedAt {
		p.endLimit()
	}
	p.recordResponse()
}

// checked processes the condition stated with the response to a health check.
func (p *conditionTracker) checked(c coltsfootward.BackendCondition) {
	p.stated(c)
	p.recordResponse()
}

// recordResponse records that the server has responded, and dispatches the requests that
// waited for its first response.
func (p *conditionTracker) recordResponse() {
	if p.responded {
		return
	}
	p.responded = true
	p.node.upstream.dispatchQueued()
}

// checkAfterStart requests a health check if the server has not responded since the node
// started. The path of health checks is part of the configuration.
func (p *conditionTracker) checkAfterStart() {
	local, now := p.node.membership.local, p.node.now.Monotonic
	if p.responded || now < p.nextCheck || local.Service == "" || local.Draining || p.node.configuration.current.Revision() == 0 {
		return
	}
	p.nextCheck = now + startCheckInterval
	p.node.upstream.checkBackend()
}

// mayStart reports whether a request may be dispatched now. A node that has just started
// sends the server one request at a time until its first response: without that, a server
// with a limit would get as many requests as it has slots.
func (p *conditionTracker) mayStart() bool {
	return !p.limitReached() && (p.responded || p.node.upstream.inFlight == 0)
}

// stated applies what the server states. A health check need not state all that other
// responses do, so nothing ends here.
func (p *conditionTracker) stated(c coltsfootward.BackendCondition) {
	if c.Limited {
		p.limitNamed(c.Limit)
	}
	if c.Leaving {
		p.leavingAt = p.node.now.Monotonic
		if !p.current.Leaving {
			p.current.Leaving = true
			p.node.membership.backendLeaving()
		}
	}
}

func (p *conditionTracker) limitNamed(limit float64) {
	first := !p.current.Limited
	p.limitedAt = p.node.now.Monotonic
	p.current.Limited, p.current.Limit = true, limit
	p.pacer.SetInterval(p.node.now.Monotonic, LimitInterval(p.current))
	if first {
		p.chargeLastSecond()
	}
	if first || math.Abs(limit-p.reported) > limitReportStep*p.reported {
		p.reported = limit
		p.node.report(record.BackendLimited, field("service", string(p.node.options.Service)), field("limit", decimal(limit)))
		p.node.limits.limitChanged()
	}
}

// chargeLastSecond counts the requests of the last second towards a limit that the server
// names for the first time. A server that names one is in need: what it has got already
// would else come on top of what it can still take. No more is counted than the limit
// allows in a second.
func (p *conditionTracker) chargeLastSecond() {
	limit := p.current.Limit
	excess := p.starts.PerSecond(p.node.now.Monotonic) - limit
	p.pacer.Charge(min(max(excess, 0), limit))
}

// LimitInterval returns the mean time between two requests at the limit that a server
// names; zero if it names none.
func LimitInterval(c coltsfootward.BackendCondition) time.Duration {
	switch {
	case !c.Limited:
		return 0
	case c.Limit*maxLimitInterval.Seconds() <= 1:
		return maxLimitInterval
	default:
		return max(time.Duration(float64(time.Second)/c.Limit), 1)
	}
}

func (p *conditionTracker) endLimit() {
	if !p.current.Limited {
		return
	}
	p.current.Limited, p.current.Limit = false, 0
	p.pacer.SetInterval(p.node.now.Monotonic, 0)
	p.node.report(record.BackendUnlimited, field("service", string(p.node.options.Service)))
	p.node.limits.distribute()
}

// limited reports whether the server names a limit.
func (p *conditionTracker) limited() bool { return p.current.Limited }

// limitReached reports whether the server gets no request now because of its limit.
func (p *conditionTracker) limitReached() bool {
	return p.pacer.Wait(p.node.now.Monotonic, limitBurst) > 0
}

// recordStart records that a request or a health check is sent to the server.
func (p *conditionTracker) recordStart() {
	p.pacer.Record(p.node.now.Monotonic)
	p.starts.Record(p.node.now.Monotonic)
	if p.limited() {
		p.passed++
	}
}

// queueLimit returns how many requests may wait for the server.
func (p *conditionTracker) queueLimit() int {
	wait := p.pacer.Wait(p.node.now.Monotonic, limitBurst)
	if wait > maxLimitWait {
		return 0
	}
	return 1 + int((maxLimitWait-wait)/p.pacer.Interval())
}

// withRetryAfter sets the Retry-After of a refusal due to the limit, and counts the
// refusal.
func (p *conditionTracker) withRetryAfter(r coltsfootward.Refusal) coltsfootward.Refusal {
	p.refused++
	wait := p.pacer.Wait(p.node.now.Monotonic, 0) + p.pacer.Interval()
	return r.WithRetryAfter(p.node.jitter(max(wait, minGateRetryAfter)))
}

// LimitStatus describes the limit that a node's backend server names.
type LimitStatus struct {
	// PerSecond is the limit in requests per second; Named is set if there is one.
	Named     bool
	PerSecond float64
	// Passed counts the requests that the server was sent while it named a limit,
	// Refused those that were refused because of the limit.
	Passed, Refused int
}

// Limit returns the limit that the local backend server names.
func (n *Node) Limit() LimitStatus {
	p := &n.upstream.condition
	return LimitStatus{Named: p.current.Limited, PerSecond: p.current.Limit, Passed: p.passed, Refused: p.refused}
}
