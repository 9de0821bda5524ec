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
)

// upstreamCall is a call for the local backend server.
type upstreamCall struct {
	id      CallID
	head    message.Call
	arrived time.Duration
	// deadline is when the caller's time ends, by Instant.Expiry.
	deadline time.Duration
	// startBy is when the call's admission ends, by Instant.Expiry; zero means never.
	startBy time.Duration
	// renewing is set while the call holds a slot and waits for a new admission.
	renewing bool
	// token is set once the call has been dispatched.
	token CallToken
	// began is when it was dispatched, by Instant.Monotonic.
	began time.Duration
	// escrow holds the attempts that the calls below may still use.
	escrow *attempt.Escrow
	// childRefused is set once a further call of the request was refused, and
	// childRetryAfter is when that one may come back.
	childRefused    bool
	childRetryAfter time.Duration
}

// upstreamPart stands before the local backend server: every request for it
// passes here, so what was never started is known for certain.
type upstreamPart struct {
	node      *Node
	calls     map[CallID]*upstreamCall
	admission *admissioncontrol.Controller
	cold      coldPart
	// dispatched counts the routed requests that the backend server has in hand,
	// repeated those of them that are repeats.
	dispatched, repeated int
	// overloaded and reportedLimit are what was reported last, nextReport is
	// when the limit may be reported again.
	overloaded    bool
	reportedLimit int
	nextReport    time.Duration
}

func newUpstreamPart(n *Node) *upstreamPart {
	p := &upstreamPart{node: n, calls: make(map[CallID]*upstreamCall), admission: admissioncontrol.NewController(0)}
	p.cold = coldPart{node: n, began: n.now.Monotonic}
	if n.options.Routed {
		p.admission.FixLimit()
		p.admission.LetDeepWait()
	}
	return p
}

func (p *upstreamPart) count() int { return len(p.calls) }

func (p *upstreamPart) arrived(e PeerCallArrived) {
	now := p.node.now.Expiry
	call := &upstreamCall{
		id:       e.Call,
		head:     e.Head,
		arrived:  now,
		deadline: now + e.Head.Timeout - e.Age,
		escrow:   attempt.NewEscrow(e.Head.Budget),
	}
	if e.Head.StartWithin > 0 {
		call.startBy = now + e.Head.StartWithin - e.Age
	}
	p.calls[call.id] = call
	if r := p.check(call); r != nil {
		p.refuse(call, *r)
		return
	}
	p.measure()
	if !p.cold.bounded() {
		p.node.meter.Arrived(p.admission.Estimate(classOf(call.head)))
	}
	p.cold.refresh()
	p.admission.Offer(now, p.request(call))
	p.start()
	p.refuseShed()
}

// start dispatches waiting calls while the backend server has room.
func (p *upstreamPart) start() {
	if p.node.options.Routed && p.node.membership.local.Draining {
		p.turnAway("the backend server takes no new work")
	}
	if p.node.domains.ownOut() {
		p.turnAway(outOfServiceText)
	}
	p.admission.SetSlots(p.node.membership.local.Slots)
	p.cold.refresh()
	for p.cold.allows() {
		next, ok := p.admission.Next(p.node.now.Expiry)
		if !ok {
			return
		}
		call := p.calls[CallID(next.ID)]
		if r := p.checkTime(call); r != nil {
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

// domainsChanged takes in that other failure domains than before are out of service.
// A backend server may have gone cold while it got nothing.
func (p *upstreamPart) domainsChanged(before coltsfootward.OutOfService) {
	own := p.node.options.Self.Domain
	if before.Has(own) && !p.node.domains.current.Has(own) {
		p.cold.suspect()
	}
	p.start()
}

// coldLeft returns how much longer the backend server gets few requests.
func (p *upstreamPart) coldLeft() time.Duration {
	if !p.cold.bounded() {
		return 0
	}
	return p.cold.left()
}

// outOfServiceText is the detail of refusals in a failure domain without service.
const outOfServiceText = "the failure domain is out of service"

// turnAway refuses what waits for a backend server that is to get nothing more.
// Dispatched as its turn comes, it could reach the server long after that was
// acknowledged; refused now, it goes to another one.
func (p *upstreamPart) turnAway(detail string) {
	for _, id := range sortedCalls(p.calls) {
		call := p.calls[id]
		if call.token == "" && p.admission.Withdraw(admissioncontrol.RequestID(id)) {
			p.refuse(call, coltsfootward.NewRefusal(coltsfootward.RefusalDraining, detail))
		}
	}
}

func (p *upstreamPart) dispatch(call *upstreamCall) {
	call.token = p.node.newCallToken()
	p.node.ledger.open(call)
	call.began = p.node.now.Monotonic
	p.countDispatched(call, 1)
	p.cold.started()
	p.node.act(Dispatch{
		Call:         call.id,
		Token:        call.token,
		Deadline:     call.deadline,
		StartBy:      call.startBy,
		Unrepeatable: call.head.Unrepeatable,
	})
}

func (p *upstreamPart) countDispatched(call *upstreamCall, change int) {
	p.dispatched += change
	if call.head.Repeat {
		p.repeated += change
	}
}

// repeatedPart is the part of what the backend server has in hand that are
// repeats. Its further calls do not name the request that they are made for, so as
// many of them are taken for calls of repeats.
func (p *upstreamPart) repeatedPart() float64 {
	if p.dispatched == 0 {
		return 0
	}
	return float64(p.repeated) / float64(p.dispatched)
}

// refuseShed answers what admission has refused since the last time.
func (p *upstreamPart) refuseShed() {
	for _, shed := range p.admission.Refused() {
		text := "more important requests fill the backend server's queue"
		switch shed.Reason {
		case admissioncontrol.ReasonWaited:
			text = "the backend server is busy and the request has waited as long as any may"
		case admissioncontrol.ReasonDeadline:
			text = "the backend server cannot finish the request in the caller's time"
		case admissioncontrol.ReasonCold:
			text = "the backend server is cold and bears only few requests"
		case admissioncontrol.ReasonStartBy:
			text = "the backend server is busy for longer than the request's admission lasts"
		}
		r := coltsfootward.NewRefusal(coltsfootward.RefusalOverloaded, text).
			WithRetryAfter(p.node.spread(p.admission.ReturnAfter(p.node.now.Expiry)))
		if shed.Reason == admissioncontrol.ReasonCold {
			r = p.cold.refusal(r)
		}
		p.refuse(p.calls[CallID(shed.Request.ID)], r)
	}
}

// tick refuses calls that have waited too long.
func (p *upstreamPart) tick() {
	p.admission.Tick(p.node.now.Expiry)
	if p.admission.Queued() > 0 {
		p.start()
	}
	p.measure()
	p.node.throttle.Observe(p.node.now.Monotonic, p.node.meter.Ratio(p.admission.Limit()))
	p.refuseShed()
	p.reportOverload()
	p.reportLimit()
}

func (n *Node) newCallToken() CallToken {
	return CallToken(fmt.Sprintf("%016x%016x", n.source.Uint64(), n.source.Uint64()))
}

// sortedCalls returns the calls in the order of their numbers: the order of a
// map would differ between two runs of one seed.
func sortedCalls[V any](calls map[CallID]V) []CallID {
	return slices.Sorted(maps.Keys(calls))
}
