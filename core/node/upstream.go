package node

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"coltsfootward"
	admissioncontrol "coltsfootward/core/admission"
	"coltsfootward/core/attempt"
	"coltsfootward/core/message"
	"coltsfootward/core/quarantine"
)

// upstreamCall is a call for the local backend server.
type upstreamCall struct {
	id        CallID
	head      message.Call
	arrivedAt time.Duration
	// deadline is the caller's deadline, by Instant.Expiry.
	deadline time.Duration
	// startBy is when the call's admission expires, by Instant.Expiry; zero
	// means never.
	startBy time.Duration
	// renewing is set while the call holds a slot and waits for a new
	// admission.
	renewing bool
	// token is set once the call has been dispatched.
	token CallToken
	// dispatchedAt is when the call was dispatched, by Instant.Monotonic.
	dispatchedAt time.Duration
	// mark holds the slowdown that the backend server stated before that.
	mark slowdownMark
	// budget holds the attempts that child calls may still use.
	budget *attempt.Budget
	// childRefused is set once a child call of the request was refused;
	// childRetryAfter is the Retry-After of that refusal.
	childRefused    bool
	childRetryAfter time.Duration
	fingerprint     quarantine.Fingerprint
	// shedBy is the reason for which admission control refused the call.
	shedBy admissioncontrol.Reason
}

// upstreamComponent queues and dispatches all requests for the local backend
// server. Because every request passes through it, the node knows for certain
// which ones were never started.
type upstreamComponent struct {
	node      *Node
	calls     map[CallID]*upstreamCall
	admission *admissioncontrol.Controller
	cold      coldTracker
	crashes   crashDetector
	condition conditionTracker
	stated    statedLoad
	// checkDue is set while a health check waits until it may be made.
	checkDue bool
	// inFlight counts the requests that the backend server is processing;
	// inFlightRetries counts those of them that are retries.
	inFlight, inFlightRetries int
	// overloaded and reportedLimit are the values reported last;
	// nextLimitReport is when the limit may be reported again.
	overloaded      bool
	reportedLimit   int
	nextLimitReport time.Duration
}

func newUpstreamComponent(n *Node) *upstreamComponent {
	p := &upstreamComponent{node: n, calls: make(map[CallID]*upstreamCall), admission: admissioncontrol.NewController(0)}
	p.cold = coldTracker{node: n, startedAt: n.now.Monotonic}
	p.crashes = newCrashDetector(n)
	p.condition = conditionTracker{node: n, responded: !n.options.Routed}
	p.stated = statedLoad{node: n}
	if n.options.Routed {
		p.admission.FixLimit()
		p.admission.LetDeepWait()
	}
	return p
}

func (p *upstreamComponent) count() int { return len(p.calls) }

func (p *upstreamComponent) arrived(e PeerCallArrived) {
	now := p.node.now.Expiry
	call := &upstreamCall{
		id:        e.Call,
		head:      e.Head,
		arrivedAt: now,
		deadline:  now + e.Head.Timeout - e.Age,
		budget:    attempt.NewBudget(e.Head.Budget),

		fingerprint: quarantine.FingerprintOf(e.Head, e.Body),
	}
	if e.Head.StartWithin > 0 {
		call.startBy = now + e.Head.StartWithin - e.Age
	}
	p.calls[call.id] = call
	p.node.tally.received.Asked(tallyClass(call.head))
	if r := p.check(call); r != nil {
		p.refuse(call, *r)
		return
	}
	p.observeLoad()
	if !p.getsFewerRequests() {
		p.node.meter.Arrived(p.admission.Estimate(classOf(call.head)))
	}
	p.node.limits.callArrived(e.From)
	p.stated.used(e.From)
	p.node.demand.callArrived(e.From)
	p.restrictQueue()
	p.admission.Offer(now, p.request(call))
	p.dispatchQueued()
	p.refuseShed()
	p.stated.notify()
}

// dispatchQueued dispatches queued calls while the backend server has capacity.
func (p *upstreamComponent) dispatchQueued() {
	if p.condition.leaving() || p.node.options.Routed && p.node.membership.local.Draining {
		p.refuseQueued("the backend server takes no new work")
	}
	if p.node.domains.ownDomainOut() {
		p.refuseQueued(outOfServiceText)
	}
	p.admission.SetSlots(p.node.membership.local.Slots)
	p.restrictQueue()
	for p.cold.mayStart() && p.condition.mayStart() {
		next, ok := p.admission.Next(p.node.now.Expiry)
		if !ok {
			return
		}
		call := p.calls[CallID(next.ID)]
		r := p.checkDeadlines(call)
		if r == nil && !p.node.quarantine.startTrial(call) {
			r = p.node.quarantine.refusal(call.fingerprint)
		}
		if r != nil {
			p.admission.Unsent(next.ID)
			p.refuse(call, *r)
			continue
		}
		if call.startBy != 0 && p.node.now.Expiry >= call.startBy {
			p.renew(call)
			continue
		}
		p.dispatch(call)
	}
}

// getsFewerRequests reports whether the backend server gets fewer requests than its
// slots allow: it is cold, or has reached the limit that it names.
func (p *upstreamComponent) getsFewerRequests() bool {
	return p.cold.rateLimited() || p.condition.limitReached()
}

// restrictQueue limits the queue for a backend server that gets fewer requests than
// its slots allow.
func (p *upstreamComponent) restrictQueue() {
	p.cold.refresh()
	reason, limit := admissioncontrol.Reason(""), 0
	if p.cold.rateLimited() {
		reason, limit = admissioncontrol.ReasonCold, p.cold.starts.QueueLimit(p.node.now.Monotonic)
	}
	if p.condition.limitReached() {
		if limited := p.condition.queueLimit(); reason == "" || limited < limit {
			reason, limit = admissioncontrol.ReasonLimited, limited
		}
	}
	p.admission.RestrictQueue(p.node.now.Expiry, reason, limit)
}

// checkBackend requests a health check, which is a request to the backend server like
// any other. It is made once the server's limit allows it.
func (p *upstreamComponent) checkBackend() {
	p.checkDue = p.condition.limitReached()
	if p.checkDue {
		return
	}
	p.condition.recordStart()
	p.node.act(CheckBackend{})
}

// domainsChanged processes a change of the failure domains that are out of
// service. A backend server may have gone cold while its domain received no
// requests.
func (p *upstreamComponent) domainsChanged(before coltsfootward.OutOfService) {
	own := p.node.options.Self.Domain
	if before.Has(own) && !p.node.domains.current.Has(own) {
		p.cold.assumeCold()
	}
	p.dispatchQueued()
}

// coldRemaining returns how much longer the rate of requests to the cold
// backend server is limited.
func (p *upstreamComponent) coldRemaining() time.Duration {
	if !p.cold.rateLimited() {
		return 0
	}
	return p.cold.remaining()
}

// outOfServiceText is the detail of refusals in a failure domain that is out of
// service.
const outOfServiceText = "the failure domain is out of service"

// refuseQueued refuses all calls that wait for a backend server that must get
// no more requests. If they were dispatched in their turn, they could reach the
// server long after the stop of its requests was acknowledged; a call refused
// now can go to another server.
func (p *upstreamComponent) refuseQueued(detail string) {
	for _, id := range sortedCalls(p.calls) {
		call := p.calls[id]
		if call.token == "" && p.admission.Withdraw(admissioncontrol.RequestID(id)) {
			p.refuse(call, coltsfootward.NewRefusal(coltsfootward.RefusalDraining, detail))
		}
	}
}

func (p *upstreamComponent) dispatch(call *upstreamCall) {
	call.token = p.node.newCallToken()
	p.node.ledger.open(call)
	call.dispatchedAt = p.node.now.Monotonic
	call.mark = p.stated.mark()
	p.addInFlight(call, 1)
	p.node.grants.dispatched(call.head)
	p.cold.recordStart()
	p.condition.recordStart()
	p.node.act(Dispatch{
		Call:           call.id,
		Token:          call.token,
		Deadline:       call.deadline,
		StatedDeadline: p.node.attribution.dispatched(call),
		StartBy:        call.startBy,
		Unrepeatable:   call.head.Unrepeatable,

		ConditionExpected: !p.condition.responded || p.condition.current != coltsfootward.BackendCondition{},
	})
}

func (p *upstreamComponent) addInFlight(call *upstreamCall, change int) {
	p.inFlight += change
	if call.head.Retry {
		p.inFlightRetries += change
	}
}

// inFlightRetryRatio returns the fraction of the backend server's requests in
// flight that are retries. Child calls do not name the request that they are
// made for, so the same fraction of them is assumed to belong to retries.
func (p *upstreamComponent) inFlightRetryRatio() float64 {
	if p.inFlight == 0 {
		return 0
	}
	return float64(p.inFlightRetries) / float64(p.inFlight)
}

// refuseShed refuses the calls that admission control has shed since the last
// call of refuseShed.
func (p *upstreamComponent) refuseShed() {
	for _, shed := range p.admission.Refused() {
		detail := "more important requests fill the backend server's queue"
		switch shed.Reason {
		case admissioncontrol.ReasonWaited:
			detail = "the backend server is busy and the request has waited as long as any may"
		case admissioncontrol.ReasonDeadline:
			detail = "the backend server cannot finish the request in the caller's time"
		case admissioncontrol.ReasonCold:
			detail = "the backend server is cold and bears only few requests"
		case admissioncontrol.ReasonLimited:
			detail = "the backend server gets as many requests as the limit that it names allows"
		case admissioncontrol.ReasonStartBy:
			detail = "the backend server is busy for longer than the request's admission lasts"
		}
		r := coltsfootward.NewRefusal(coltsfootward.RefusalOverloaded, detail).
			WithRetryAfter(p.node.jitter(p.admission.RetryAfter(p.node.now.Expiry)))
		switch shed.Reason {
		case admissioncontrol.ReasonCold:
			r = p.cold.withRetryAfter(r)
		case admissioncontrol.ReasonLimited:
			r = p.condition.withRetryAfter(r)
		}
		call := p.calls[CallID(shed.Request.ID)]
		call.shedBy = shed.Reason
		p.refuse(call, r)
	}
}

// tick refuses calls that have waited too long.
func (p *upstreamComponent) tick() {
	p.admission.Tick(p.node.now.Expiry)
	if p.admission.Queued() > 0 {
		p.dispatchQueued()
	}
	p.observeLoad()
	p.node.throttle.Observe(p.node.now.Monotonic, p.node.meter.Ratio(p.admission.Limit()))
	p.node.grants.tick()
	p.refuseShed()
	if p.checkDue {
		p.checkBackend()
	}
	p.condition.checkAfterStart()
	p.crashes.tick()
	p.reportOverload()
	p.reportLimit()
	p.stated.notify()
}

func (n *Node) newCallToken() CallToken {
	return CallToken(fmt.Sprintf("%016x%016x", n.source.Uint64(), n.source.Uint64()))
}

// sortedCalls returns the IDs of the calls in ascending order. The iteration
// order of a map would differ between two runs with the same seed.
func sortedCalls[V any](calls map[CallID]V) []CallID {
	return slices.Sorted(maps.Keys(calls))
}
