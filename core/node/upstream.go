package node

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"coltsfootward"
	admissioncontrol "coltsfootward/core/admission"
	"coltsfootward/core/attempt"
	"coltsfootward/core/message"
	"coltsfootward/core/record"
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

// request is the call as admission sees it.
func (p *upstreamPart) request(call *upstreamCall) admissioncontrol.Request {
	organisation, _ := p.node.configuration.current.Organisation(call.head.Organisation)
	return admissioncontrol.Request{
		ID:           admissioncontrol.RequestID(call.id),
		Priority:     queuePriority(call.head),
		ShedRank:     call.head.ShedRank,
		Deep:         call.head.Depth > 0,
		Organisation: call.head.Organisation,
		Weight:       organisation.Rate.PerSecond,
		Class:        classOf(call.head),
		Arrived:      call.arrived,
		Deadline:     call.deadline,
		StartBy:      call.lastStart(),
		Repeatable:   !call.head.Unrepeatable,
	}
}

// queuePriority is the place of a request's priorities in the queue. Without a
// second priority only every fourth place is used.
func queuePriority(head message.Call) int {
	second := 0
	if head.Second != "" {
		second = head.Second.Rank()
	}
	return head.Priority.Rank()*len(coltsfootward.Priorities()) + second
}

// classOf returns the class of work that a request belongs to: its route, where
// it has one.
func classOf(head message.Call) string {
	if head.Route != "" {
		return string(head.Route)
	}
	return requestClass(head.Method, head.Path)
}

// requestClass groups requests that probably take equally long: the method and
// the path's first two parts. What follows is usually the name of one thing.
func requestClass(method, path string) string {
	end := 0
	for range 2 {
		next := strings.IndexByte(path[min(end+1, len(path)):], '/')
		if next < 0 {
			return method + " " + path
		}
		end += 1 + next
	}
	return method + " " + path[:end]
}

// check refuses what cannot be served here at all.
func (p *upstreamPart) check(call *upstreamCall) *coltsfootward.Refusal {
	local := p.node.membership.local
	if local.Service == "" || local.Service != call.head.Service {
		return refusal(coltsfootward.RefusalNoUpstream, fmt.Sprintf("no backend server of %q runs here", call.head.Service))
	}
	if local.Draining || p.node.draining {
		return refusal(coltsfootward.RefusalDraining, "the backend server takes no new work")
	}
	if p.node.domains.ownOut() {
		return refusal(coltsfootward.RefusalDraining, outOfServiceText)
	}
	if call.head.Budget < 1 {
		return refusal(coltsfootward.RefusalAttempts, "the chain has used its attempts")
	}
	return p.checkTime(call)
}

func (p *upstreamPart) checkTime(call *upstreamCall) *coltsfootward.Refusal {
	now := p.node.now.Expiry
	if now >= call.deadline {
		return refusal(coltsfootward.RefusalTimeout, "the caller's time ran out before the request started")
	}
	// A node that was paused between admission and dispatch would start work
	// that the organisation's rate has long been charged for elsewhere. The
	// admission's short life ends that: what is older is not dispatched.
	if last := call.lastStart(); last != 0 && now >= last {
		return refusal(coltsfootward.RefusalStale, "the request waited longer than its admission lasts")
	}
	return nil
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
			r = r.WithRetryAfter(p.cold.left() + p.node.spread(coldReturnSpread))
		}
		p.refuse(p.calls[CallID(shed.Request.ID)], r)
	}
}

func (p *upstreamPart) ended(e DispatchEnded) {
	call, ok := p.calls[e.Call]
	if !ok {
		return
	}
	p.measure()
	p.cold.ended(e.Kind)
	p.node.ledger.close(call)
	p.countDispatched(call, -1)
	if call.head.Route != "" {
		p.node.callees.Ended(p.node.now.Monotonic, call.began, call.head.Route, e.Failed)
	}
	if e.Kind == DispatchUnsent {
		p.admission.Unsent(admissioncontrol.RequestID(call.id))
	} else {
		p.admission.Done(p.node.now.Expiry, admissioncontrol.RequestID(call.id), e.Kind != DispatchAnswered)
	}
	switch e.Kind {
	case DispatchUnsent:
		p.refuse(call, coltsfootward.NewRefusal(coltsfootward.RefusalConnectionLost, "the backend server could not be reached"))
	case DispatchRejected:
		p.node.meter.Rejected(p.admission.Estimate(classOf(call.head)))
		p.rejected(call)
	case DispatchFailed:
		p.refuse(call, p.failed(call))
	case DispatchTimeout:
		p.refuse(call, coltsfootward.NewRefusal(coltsfootward.RefusalTimeout, "the caller's time ran out while the request ran").
			WithExecution(coltsfootward.ExecutionUnknown))
	case DispatchAnswered:
		delete(p.calls, call.id)
		p.node.act(EndAnswer{Call: call.id, Load: p.load(call.head), Attempts: call.escrow.Used(), Needed: call.escrow.Needed()})
	default:
		delete(p.calls, call.id)
	}
	p.start()
	p.refuseShed()
}

// rejected answers a call that the backend server said it did not run. The
// server has seen it, so it counts as an attempt.
func (p *upstreamPart) rejected(call *upstreamCall) {
	delete(p.calls, call.id)
	r := coltsfootward.NewRefusal(coltsfootward.RefusalOverloaded, "the backend server rejected the request without running it").
		WithRetryAfter(p.node.spread(p.admission.ReturnAfter(p.node.now.Expiry)))
	p.answerRefused(call, r, 1)
}

// answerRefused tells the peer and the log that a call is refused.
func (p *upstreamPart) answerRefused(call *upstreamCall, r coltsfootward.Refusal, attempts int) {
	p.node.report(record.CallRefused, append(refusalFields(call.head.Request, r), p.evidence(call)...)...)
	p.node.act(Refuse{Call: call.id, Refusal: r, Load: p.load(call.head), Attempts: attempts})
}

// failed is the refusal of a call that the backend server broke off.
//
// One that broke off because a further call of its own was refused is final:
// the layer below has already attempted that call as often as is allowed. If
// each layer above did so too, attempts would multiply with the depth just
// when the deepest service is overloaded.
func (p *upstreamPart) failed(call *upstreamCall) coltsfootward.Refusal {
	r := coltsfootward.NewRefusal(coltsfootward.RefusalUpstreamFailed, "the backend server broke off").
		WithExecution(coltsfootward.ExecutionUnknown)
	if call.childRefused {
		r = r.WithFinal().WithRetryAfter(call.childRetryAfter)
	}
	return r
}

// childRefused notes that a further call of the request was refused for good.
func (p *upstreamPart) childRefused(token CallToken, r coltsfootward.Refusal) {
	if call, ok := p.node.ledger.parent(token); ok {
		call.childRefused = true
		call.childRetryAfter = r.RetryAfter
		if r.Kind == coltsfootward.RefusalOverloaded {
			p.admission.RefusedBelow(admissioncontrol.RequestID(call.id))
		}
	}
}

func (p *upstreamPart) callerLeft(id CallID) {
	call, ok := p.calls[id]
	if !ok {
		return
	}
	if call.token != "" {
		p.node.act(CancelDispatch{Call: id})
		return
	}
	p.admission.Withdraw(admissioncontrol.RequestID(id))
	p.admission.Unsent(admissioncontrol.RequestID(id))
	p.refuse(call, coltsfootward.NewRefusal(coltsfootward.RefusalCancelled, "the caller left before the request started"))
	p.start()
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

// measure takes in how full the backend server has been since the last look. It comes
// before each change of that, so the time between two looks does not matter.
func (p *upstreamPart) measure() {
	p.node.meter.Observe(p.node.now.Monotonic, p.admission.Running(), p.admission.Backlog())
}

func (p *upstreamPart) reportOverload() {
	overloaded := p.admission.Overloaded(p.node.now.Expiry)
	if overloaded == p.overloaded {
		return
	}
	p.overloaded = overloaded
	code := record.OverloadEnded
	if overloaded {
		code = record.OverloadBegan
	}
	p.node.report(code, field("service", string(p.node.membership.local.Service)), field("queued", number(p.admission.Queued())))
}

// reportLimit reports the limit's moves, at most once a second. The first limit
// is what the backend server announced and has been reported as such.
func (p *upstreamPart) reportLimit() {
	limit, now := p.admission.Limit(), p.node.now.Monotonic
	if limit == p.reportedLimit || now < p.nextReport {
		return
	}
	first := p.reportedLimit == 0
	p.reportedLimit = limit
	if first {
		return
	}
	p.nextReport = now + time.Second
	p.node.report(record.LimitChanged, field("limit", number(limit)), field("slots", number(p.node.membership.local.Slots)))
}

// refuse answers the peer. Attempts counts what the call and all below it used:
// its own attempt only if it may have run.
func (p *upstreamPart) refuse(call *upstreamCall, r coltsfootward.Refusal) {
	delete(p.calls, call.id)
	used := 0
	if r.Execution != coltsfootward.ExecutionNotRun {
		used = call.escrow.Used()
	}
	p.answerRefused(call, r, used)
}

// load is what goes back with every answer to such a request.
func (p *upstreamPart) load(head message.Call) message.Load {
	if head.Route != "" {
		return p.routedLoad(head)
	}
	return message.Load{
		Running:   p.admission.Running(),
		Queued:    p.admission.Queued(),
		Limit:     p.admission.Limit(),
		ShedLevel: p.admission.Level(head.Organisation, classOf(head)),
	}
}

// routedLoad tells how full this upstream is, and what entry nodes are to refuse
// for it and for the services that such requests need further down.
func (p *upstreamPart) routedLoad(head message.Call) message.Load {
	load := message.Load{
		Running: p.admission.Running(),
		Queued:  p.admission.Queued(),
		Limit:   p.admission.Limit(),
		Cold:    p.coldLeft(),
		Excess:  p.node.throttle.Excess(),
		Cost:    p.admission.Estimate(classOf(head)).Seconds(),
	}
	for _, r := range p.node.gates.Below(p.node.now.Monotonic, p.node.callees.Of(p.node.now.Monotonic, head.Route)) {
		load.Below = append(load.Below, message.Pressure{Service: r.Service, Excess: r.Excess, Cost: r.Cost})
	}
	return load
}

// Load returns the state of the node's own upstream, without a shed level.
func (n *Node) Load() message.Load {
	return n.upstream.load(message.Call{})
}

// LoadFor returns what goes back with the answer to a request: the upstream's
// state and the shed level for such requests.
func (n *Node) LoadFor(head message.Call) message.Load {
	return n.upstream.load(head)
}

func (n *Node) newCallToken() CallToken {
	return CallToken(fmt.Sprintf("%016x%016x", n.source.Uint64(), n.source.Uint64()))
}

// sortedCalls returns the calls in the order of their numbers: the order of a
// map would differ between two runs of one seed.
func sortedCalls[V any](calls map[CallID]V) []CallID {
	return slices.Sorted(maps.Keys(calls))
}
