package admission

import (
	"time"

	"coltsfootward"
)

const (
	// queueFactor bounds the queue, and so its memory, in multiples of the limit.
	queueFactor = 5
	// rootWaitFraction is the fraction of its timeout that a root request may wait.
	// Near full load, the queue of a server with few slots fluctuates over hundreds
	// of milliseconds without any overload, and refusals during such a fluctuation
	// are unnecessary. The other half of the timeout is left for the service itself.
	rootWaitFraction = 0.5
	// deepBurstWait is how long a deep request may wait in a burst, and
	// deepStandingWait is how long it may wait while there is a standing queue. Each
	// waiting deep request holds slots at all services up the call chain, so a long
	// queue here exhausts these slots.
	deepBurstWait    = 300 * time.Millisecond
	deepStandingWait = 50 * time.Millisecond
	// standingAfter is the time without an empty queue after which the queue counts
	// as a standing queue instead of a burst.
	standingAfter = 300 * time.Millisecond
	// probeInterval is the time between two requests that are admitted as probes
	// although their estimate exceeds the deadline. Without probes, an estimate that
	// has become wrong would never be corrected.
	probeInterval = 500 * time.Millisecond
	// overloadHold is the time after the last refusal at which an overload ends.
	overloadHold = time.Second
	// minRetryAfter and maxRetryAfter bound the delay after which refused callers are
	// asked to retry. With a shorter minimum, callers would use up their attempts
	// within the same burst. With a longer maximum, callers that are not willing to
	// wait so long would be lost, although a refusal costs little.
	minRetryAfter = time.Second
	maxRetryAfter = 1500 * time.Millisecond
)

// Reason is the reason for which a request was refused.
type Reason string

// The reasons.
const (
	// ReasonQueueFull means that the queue is full of more important requests.
	ReasonQueueFull Reason = "queue_full"
	// ReasonWaited means that the request has waited as long as the queue permits.
	ReasonWaited Reason = "waited"
	// ReasonDeadline means that the request cannot end before its caller's deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonStartBy means that the request cannot start before its StartBy time.
	ReasonStartBy Reason = "start_by"
	// ReasonCold means that the server is cold and can handle only few requests.
	ReasonCold Reason = "cold"
	// ReasonLimited means that the server has named a limit, which other requests use
	// up.
	ReasonLimited Reason = "limited"
)

// Refused is a request that will not be served. It has not started.
type Refused struct {
	Request Request
	Reason  Reason
}

// Controller decides what a backend server serves. Create it with
// NewController. It is not safe for concurrent use.
type Controller struct {
	limiter *Limiter
	shedder *Shedder
	// deepWaits lets deep requests wait as long as root requests, ranked by lifo.
	deepWaits bool
	lifo      adaptiveLIFO
	queue     Queue
	running   map[RequestID]runningRequest
	refused   []Refused
	// restriction is the reason, if there is one, for which only restrictedQueueLimit
	// requests may wait.
	restriction          Reason
	restrictedQueueLimit int
	// lastEmpty is the time when the queue was last empty.
	lastEmpty time.Duration
	// overloadedSince is the time when refusals began, lastShed the time of the
	// latest refusal, and everShed is set after the first one.
	overloadedSince, lastShed time.Duration
	everShed                  bool
	lastProbe                 time.Duration
}

// runningRequest is a request in service.
type runningRequest struct {
	request     Request
	began       time.Duration
	concurrency int
}

// NewController returns a controller for a server with the given number of slots.
func NewController(slots int) *Controller {
	return &Controller{
		limiter: NewLimiter(slots),
		shedder: NewShedder(),
		running: make(map[RequestID]runningRequest),
	}
}

// FixLimit keeps the limit at the announced slots, or a twentieth below them if the
// server's throughput is higher there. It is for servers whose requests wait for
// child calls: their latency rises with that of the called services, and lower
// concurrency does not reduce that.
func (c *Controller) FixLimit() { c.limiter.fixed = true }

// LetDeepWait lets deep requests wait as long as root requests, in the order that
// adaptiveLIFO gives them. It is for deployments whose entry nodes refuse the demand
// that a deep service has no capacity for. Demand that still exceeds the capacity is
// then a passing fluctuation, and refusals are expensive: if one in twenty calls is
// refused, four in ten requests that make ten calls fail, with all their work lost.
func (c *Controller) LetDeepWait() { c.deepWaits = true }

// RestrictQueue limits how many requests may wait for a server that gets fewer requests
// than its slots allow. The others are refused for the given reason, those that wait
// already included; an empty reason removes the restriction.
func (c *Controller) RestrictQueue(now time.Duration, reason Reason, queueLimit int) {
	c.restriction, c.restrictedQueueLimit = reason, queueLimit
	if reason != "" {
		c.evictExcess(now)
	}
}

// SetSlots sets the number of slots that the server announces.
func (c *Controller) SetSlots(slots int) { c.limiter.SetSlots(slots) }

// Running returns the number of requests in service.
func (c *Controller) Running() int { return len(c.running) }

// Queued returns the number of waiting requests.
func (c *Controller) Queued() int { return c.queue.Len() }

// Backlog returns the expected slot time of the waiting requests.
func (c *Controller) Backlog() time.Duration {
	return time.Duration(c.queue.totalCost() * float64(time.Second))
}

// Limit returns how many requests may be in service at once.
func (c *Controller) Limit() int { return c.limiter.Limit() }

// Estimate returns how long a request of a class is expected to take.
func (c *Controller) Estimate(class string) time.Duration { return c.limiter.Estimate(class) }

// Level returns the shed level for an organisation's requests of a class; see
// Shedder.Level.
func (c *Controller) Level(organisation coltsfootward.OrganisationName, class string) uint32 {
	return c.shedder.Level(organisation, class)
}

// ChildRefused records that a child call of a request in service was refused for lack
// of capacity.
func (c *Controller) ChildRefused(id RequestID) {
	if r, ok := c.running[id]; ok {
		c.shedder.ChildShed(r.request)
	}
}

// Offer processes the arrival of a request. If the request, or a less important one,
// is refused, the next call of Refused returns it.
func (c *Controller) Offer(now time.Duration, r Request) {
	c.shedder.Arrived(now, r)
	estimate := c.limiter.Estimate(r.Class)
	r.cost = estimate.Seconds()
	if c.queue.Len() == 0 {
		c.lastEmpty = now
	}
	first := c.assignRank(&r)
	wait := c.predictWait(r, first)
	if now+wait+estimate > r.Deadline && !c.allowProbe(now, r) {
		c.refuse(now, r, ReasonDeadline)
		return
	}
	// A request that would start too late is refused now, while its caller can still
	// go elsewhere, instead of after a useless wait.
	if r.StartBy > 0 && now+wait >= r.StartBy {
		c.refuse(now, r, ReasonStartBy)
		return
	}
	c.queue.Push(r)
	c.evictExcess(now)
}

// evictExcess refuses the least important requests of a queue that is too long. Refusing
// the newest requests would invert priorities under the very load that they exist for.
func (c *Controller) evictExcess(now time.Duration) {
	reason := ReasonQueueFull
	if c.restriction != "" {
		reason = c.restriction
	}
	for c.queue.Len() > c.queueLimit() {
		victim, _ := c.queue.Evict()
		c.refuse(now, victim, reason)
	}
}

// queueLimit returns how many requests may wait. Requests that can start at once do
// not count towards queueFactor.
func (c *Controller) queueLimit() int {
	if c.restriction != "" {
		return c.restrictedQueueLimit
	}
	free := max(c.Limit()-len(c.running), 0)
	return queueFactor*c.Limit() + free
}

// assignRank sets the shed rank of a deep request if deepWaits is set, unless the request
// has that of its root request. It reports whether the request is placed before all
// others in its lane.
func (c *Controller) assignRank(r *Request) bool {
	if !c.deepWaits || !r.Deep || r.Attributed {
		return false
	}
	length := c.Backlog() / time.Duration(max(c.Limit(), 1))
	var first bool
	r.ShedRank, first = c.lifo.assign(length, c.queue.Len() == 0)
	return first
}

// predictWait predicts how long a request would wait for the requests that leave the
// queue before it. These include the requests in its own lane, unless first is set.
func (c *Controller) predictWait(r Request, first bool) time.Duration {
	if len(c.running) < c.Limit() && c.queue.Len() == 0 {
		return 0
	}
	return time.Duration(c.queue.costAhead(r, first) / float64(max(c.Limit(), 1)) * float64(time.Second))
}

// allowProbe reports whether a request that is expected to miss its deadline is
// admitted as a probe, whose service time corrects a wrong estimate.
func (c *Controller) allowProbe(now time.Duration, r Request) bool {
	if !r.Repeatable || now-c.lastProbe < probeInterval || now >= r.Deadline {
		return false
	}
	c.lastProbe = now
	return true
}

// Next returns the next request to start, if the limit permits one.
func (c *Controller) Next(now time.Duration) (Request, bool) {
	if len(c.running) >= c.Limit() {
		return Request{}, false
	}
	r, ok := c.queue.Pop()
	if !ok {
		c.lastEmpty = now
		return Request{}, false
	}
	c.shedder.Served(r)
	c.running[r.ID] = runningRequest{request: r, began: now, concurrency: len(c.running) + 1}
	return r, true
}

// Unsent removes a request that Next returned but that was not started.
func (c *Controller) Unsent(id RequestID) { delete(c.running, id) }

// Done records the end of a request's service. aborted is set if the service was ended
// early.
func (c *Controller) Done(now time.Duration, id RequestID, aborted bool) {
	c.DoneAtSlowdown(now, id, aborted, 0)
}

// DoneAtSlowdown is like Done for a server that has stated that work takes slowdown times as
// long as usual; zero means that it has stated nothing. Estimates are of the usual duration,
// since a slowdown ends within a second.
func (c *Controller) DoneAtSlowdown(now time.Duration, id RequestID, aborted bool, slowdown float64) {
	r, ok := c.running[id]
	if !ok {
		return
	}
	delete(c.running, id)
	c.limiter.Observe(Sample{
		Class: r.request.Class, Began: r.began, Ended: now, Running: r.concurrency, Aborted: aborted, Slowdown: slowdown,
	})
}

// DoneUnmeasured records the end of a request whose duration says nothing about others.
func (c *Controller) DoneUnmeasured(id RequestID) { delete(c.running, id) }

// Withdraw removes a waiting request whose caller has cancelled it. It reports
// whether the request was waiting.
func (c *Controller) Withdraw(id RequestID) bool { return c.queue.Remove(id) }

// Tick refuses the requests that have waited too long and updates the shed levels.
func (c *Controller) Tick(now time.Duration) {
	if c.queue.Len() == 0 {
		c.lastEmpty = now
	} else {
		c.expire(now)
	}
	c.shedder.Tick(now)
}

func (c *Controller) expire(now time.Duration) {
	standing := now-c.lastEmpty > standingAfter
	reason := func(r Request) Reason {
		switch {
		case now+c.limiter.Estimate(r.Class) > r.Deadline:
			return ReasonDeadline
		case r.StartBy > 0 && now >= r.StartBy:
			return ReasonStartBy
		case now-r.Arrived > c.maxWait(r, standing):
			return ReasonWaited
		default:
			return ""
		}
	}
	for _, r := range c.queue.RemoveFunc(func(r Request) bool { return reason(r) != "" }) {
		c.refuse(now, r, reason(r))
	}
}

// maxWait returns how long a request may wait.
func (c *Controller) maxWait(r Request, standing bool) time.Duration {
	if !r.Deep || c.deepWaits {
		return time.Duration(rootWaitFraction * float64(r.Deadline-r.Arrived))
	}
	if standing {
		return deepStandingWait
	}
	return deepBurstWait
}

func (c *Controller) refuse(now time.Duration, r Request, reason Reason) {
	c.refused = append(c.refused, Refused{Request: r, Reason: reason})
	if reason == ReasonCold || reason == ReasonLimited {
		return // the server's own state, which says nothing about the service's capacity
	}
	c.shedder.Shed(r)
	if !c.Overloaded(now) {
		c.overloadedSince = now
	}
	c.everShed = true
	c.lastShed = now
}

// Refused returns the requests that have been refused since the last call.
func (c *Controller) Refused() []Refused {
	refused := c.refused
	c.refused = nil
	return refused
}

// Overloaded reports whether a request was refused for lack of capacity within the
// last second.
func (c *Controller) Overloaded(now time.Duration) bool {
	return c.everShed && now-c.lastShed <= overloadHold
}

// RetryAfter returns how long refused callers should wait before they retry, without
// jitter. The duration of an overload cannot be known in advance. An overload that
// has lasted for a while is likely to last about as long again, so the delay is its
// present age, between minRetryAfter and maxRetryAfter.
func (c *Controller) RetryAfter(now time.Duration) time.Duration {
	return min(max(minRetryAfter, now-c.overloadedSince), maxRetryAfter)
}
