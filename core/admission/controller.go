package admission

import (
	"time"

	"coltsfootward"
)

const (
	// queueFactor bounds the queue in multiples of the limit, and so its memory.
	queueFactor = 5
	// freshWait is how much of its caller's time a fresh request may wait. Near
	// full load the queue of a few slots swings over hundreds of milliseconds
	// without any overload; who is refused then is refused for nothing. Half of
	// the time is left for the service itself.
	freshWait = 0.5
	// burstWait is how long a deep request may wait in a burst, and waitTarget
	// how long while there is a standing queue. Each one that waits holds slots
	// of all services above it, so a long queue here fills those up.
	burstWait  = 300 * time.Millisecond
	waitTarget = 50 * time.Millisecond
	// standingAfter is how long the queue must not have been empty to count as
	// a standing queue and no longer as a burst.
	standingAfter = 300 * time.Millisecond
	// trialInterval is the time between two requests that are let through
	// although they seem to take too long: without them an estimate that has
	// become wrong would never be corrected.
	trialInterval = 500 * time.Millisecond
	// overloadMemory is how long after the last refusal an overload has ended.
	overloadMemory = time.Second
	// firstReturn is how soon the first refused callers are asked back: sooner
	// they would spend their tries within the same burst. lastReturn is how
	// late callers are asked back at most: a refusal costs little, and callers
	// that are asked to stay away longer than they wait are lost.
	firstReturn = time.Second
	lastReturn  = 1500 * time.Millisecond
)

// Reason says why a request was refused.
type Reason string

// The reasons.
const (
	// ReasonFull means that more important requests fill the queue.
	ReasonFull Reason = "queue_full"
	// ReasonWaited means that it waited as long as the queue lets requests wait.
	ReasonWaited Reason = "waited"
	// ReasonDeadline means that it cannot end before its caller stops waiting.
	ReasonDeadline Reason = "deadline"
	// ReasonStartBy means that it cannot start before its entitlement ends.
	ReasonStartBy Reason = "start_by"
	// ReasonCold means that the server is cold and bears only few requests.
	ReasonCold Reason = "cold"
)

// Refused is a request that will not be served. It has not begun.
type Refused struct {
	Request Request
	Reason  Reason
}

// Controller decides what a backend server serves. Create it with
// NewController. It is not safe for concurrent use.
type Controller struct {
	limiter *Limiter
	shedder *Shedder
	// patient lets deep requests wait like fresh ones, in the order of turns.
	patient bool
	turns   turns
	queue   Queue
	running map[RequestID]service
	refused []Refused
	// cold is set while the server is cold, coldRoom is how many may wait then.
	cold     bool
	coldRoom int
	// emptied is when the queue was last empty.
	emptied time.Duration
	// overloadedSince is when refusing began, lastShed the latest refusal.
	overloadedSince, lastShed time.Duration
	shed                      bool
	lastTrial                 time.Duration
}

// service is a request in service.
type service struct {
	request Request
	began   time.Duration
	running int
}

// NewController returns a controller for a server with that many slots.
func NewController(slots int) *Controller {
	return &Controller{
		limiter: NewLimiter(slots),
		shedder: NewShedder(),
		running: make(map[RequestID]service),
	}
}

// FixLimit keeps the limit at the announced slots, or a twentieth below them if the
// server does more so. It is for servers whose requests wait for further calls:
// their latency rises with that of the services below, and fewer requests at once
// do not help those.
func (c *Controller) FixLimit() { c.limiter.fixed = true }

// LetDeepWait lets deep requests wait as long as fresh ones, in the order that turns
// gives them. It is for deployments that refuse at the entry what a deep service has
// no room for: what comes all the same is a swing that passes, and a request of ten
// calls of which one in twenty is refused fails four times in ten, with all its work
// lost.
func (c *Controller) LetDeepWait() { c.patient = true }

// SetCold says whether the server is cold and gets few requests, and how many may
// wait then.
func (c *Controller) SetCold(cold bool, room int) { c.cold, c.coldRoom = cold, room }

// SetSlots changes the number of slots that the server announces.
func (c *Controller) SetSlots(slots int) { c.limiter.SetSlots(slots) }

// Running returns the number of requests in service.
func (c *Controller) Running() int { return len(c.running) }

// Queued returns the number of requests that wait.
func (c *Controller) Queued() int { return c.queue.Len() }

// Backlog returns the slot time of the requests that wait.
func (c *Controller) Backlog() time.Duration {
	return time.Duration(c.queue.cost() * float64(time.Second))
}

// Limit returns how many requests are served at once.
func (c *Controller) Limit() int { return c.limiter.Limit() }

// Estimate returns how long a request of a class is expected to take.
func (c *Controller) Estimate(class string) time.Duration { return c.limiter.Estimate(class) }

// Level returns the shed level for an organisation's requests of a class; see
// Shedder.Level.
func (c *Controller) Level(organisation coltsfootward.OrganisationName, class string) uint32 {
	return c.shedder.Level(organisation, class)
}

// RefusedBelow says that a further call of a request in service was refused for
// want of capacity.
func (c *Controller) RefusedBelow(id RequestID) {
	if s, ok := c.running[id]; ok {
		c.shedder.ShedBelow(s.request)
	}
}

// Offer takes in a request that arrived. Refused then tells whether it, or one
// that matters less, was refused.
func (c *Controller) Offer(now time.Duration, r Request) {
	c.shedder.Arrived(now, r)
	estimate := c.limiter.Estimate(r.Class)
	r.cost = estimate.Seconds()
	if c.queue.Len() == 0 {
		c.emptied = now
	}
	first := c.takeTurn(&r)
	wait := c.wait(r, first)
	if now+wait+estimate > r.Deadline && !c.trial(now, r) {
		c.refuse(now, r, ReasonDeadline)
		return
	}
	// A request that would start too late is refused now, while its caller can
	// still go elsewhere, and not after it has waited in vain.
	if r.StartBy > 0 && now+wait >= r.StartBy {
		c.refuse(now, r, ReasonStartBy)
		return
	}
	c.queue.Push(r)
	// The queue is full of what matters less than the newcomer as often as not.
	// Refusing whoever comes last would invert priorities under the very load
	// that they are made for.
	reason := ReasonFull
	if c.cold {
		reason = ReasonCold
	}
	for c.queue.Len() > c.room() {
		victim, _ := c.queue.Evict()
		c.refuse(now, victim, reason)
	}
}

// room is how many requests may wait. Those that can start at once do not count.
func (c *Controller) room() int {
	if c.cold {
		return c.coldRoom
	}
	free := max(c.Limit()-len(c.running), 0)
	return queueFactor*c.Limit() + free
}

// takeTurn gives a deep request its place, if deep requests take turns. It reports
// whether the place is before all others of its lane.
func (c *Controller) takeTurn(r *Request) bool {
	if !c.patient || !r.Deep {
		return false
	}
	length := c.Backlog() / time.Duration(max(c.Limit(), 1))
	var first bool
	r.ShedRank, first = c.turns.next(length, c.queue.Len() == 0)
	return first
}

// wait predicts how long a request would wait behind what leaves before it: its own
// lane too, unless it is the first there.
func (c *Controller) wait(r Request, first bool) time.Duration {
	if len(c.running) < c.Limit() && c.queue.Len() == 0 {
		return 0
	}
	return time.Duration(c.queue.ahead(r, first) / float64(max(c.Limit(), 1)) * float64(time.Second))
}

// trial reports whether a request that seems too slow is tried all the same.
func (c *Controller) trial(now time.Duration, r Request) bool {
	if !r.Repeatable || now-c.lastTrial < trialInterval || now >= r.Deadline {
		return false
	}
	c.lastTrial = now
	return true
}

// Next returns the request that begins its service now, if there is room.
func (c *Controller) Next(now time.Duration) (Request, bool) {
	if len(c.running) >= c.Limit() {
		return Request{}, false
	}
	r, ok := c.queue.Pop()
	if !ok {
		c.emptied = now
		return Request{}, false
	}
	c.shedder.Served(r)
	c.running[r.ID] = service{request: r, began: now, running: len(c.running) + 1}
	return r, true
}

// Unsent takes back a request that Next returned and that did not begin after all.
func (c *Controller) Unsent(id RequestID) { delete(c.running, id) }

// Done says that a service ended. cut is set if it was ended early.
func (c *Controller) Done(now time.Duration, id RequestID, cut bool) {
	s, ok := c.running[id]
	if !ok {
		return
	}
	delete(c.running, id)
	c.limiter.Observe(Sample{Class: s.request.Class, Began: s.began, Ended: now, Running: s.running, Cut: cut})
}

// Withdraw takes out a waiting request whose caller has left. It reports
// whether the request waited.
func (c *Controller) Withdraw(id RequestID) bool { return c.queue.Remove(id) }

// Tick refuses what has waited too long and sets the shed levels.
func (c *Controller) Tick(now time.Duration) {
	if c.queue.Len() == 0 {
		c.emptied = now
	} else {
		c.expire(now)
	}
	c.shedder.Tick(now)
}

func (c *Controller) expire(now time.Duration) {
	standing := now-c.emptied > standingAfter
	reason := func(r Request) Reason {
		switch {
		case now+c.limiter.Estimate(r.Class) > r.Deadline:
			return ReasonDeadline
		case r.StartBy > 0 && now >= r.StartBy:
			return ReasonStartBy
		case now-r.Arrived > c.waitOf(r, standing):
			return ReasonWaited
		default:
			return ""
		}
	}
	for _, r := range c.queue.RemoveFunc(func(r Request) bool { return reason(r) != "" }) {
		c.refuse(now, r, reason(r))
	}
}

// waitOf returns how long a request may wait.
func (c *Controller) waitOf(r Request, standing bool) time.Duration {
	if !r.Deep || c.patient {
		return time.Duration(freshWait * float64(r.Deadline-r.Arrived))
	}
	if standing {
		return waitTarget
	}
	return burstWait
}

func (c *Controller) refuse(now time.Duration, r Request, reason Reason) {
	c.refused = append(c.refused, Refused{Request: r, Reason: reason})
	if reason == ReasonCold {
		return // that passes by itself, and says nothing of the demand
	}
	c.shedder.Shed(r)
	if !c.Overloaded(now) {
		c.overloadedSince = now
	}
	c.shed = true
	c.lastShed = now
}

// Refused returns what has been refused since the last call.
func (c *Controller) Refused() []Refused {
	refused := c.refused
	c.refused = nil
	return refused
}

// Overloaded reports whether a request was refused for want of capacity within
// the last second.
func (c *Controller) Overloaded(now time.Duration) bool {
	return c.shed && now-c.lastShed <= overloadMemory
}

// ReturnAfter says when refused callers should come back, before spreading.
// Nobody knows how long an overload will last; what has lasted for a while is
// likely to last about as long again, so callers stay away for that time.
func (c *Controller) ReturnAfter(now time.Duration) time.Duration {
	return min(max(firstReturn, now-c.overloadedSince), lastReturn)
}
