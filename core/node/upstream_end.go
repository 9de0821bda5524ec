package node

import (
	"coltsfootward"
	admissioncontrol "coltsfootward/core/admission"
	"coltsfootward/core/record"
)

func (p *upstreamComponent) dispatchEnded(e DispatchEnded) {
	call, ok := p.calls[e.Call]
	if !ok {
		return
	}
	p.observeLoad()
	p.stated.observed(e.Load, e.UnusableLoad, e.LoadAge)
	p.cold.dispatchEnded(e.Kind)
	if e.Kind == DispatchAnswered && !e.Failed {
		p.node.quarantine.answered(call.fingerprint)
	}
	p.node.ledger.close(call)
	p.node.attribution.ended(call)
	p.addInFlight(call, -1)
	p.node.grants.ended(call, e.Kind)
	p.crashes.dispatchEnded(call, e)
	if call.head.Route != "" {
		p.node.callees.RequestEnded(p.node.now.Monotonic, call.dispatchedAt, call.head.Route, e.Failed)
	}
	p.recordDone(call, e.Kind)
	p.countEnd(call, e)
	switch e.Kind {
	case DispatchUnsent:
		p.refuse(call, coltsfootward.NewRefusal(coltsfootward.RefusalConnectionLost, "the backend server could not be reached"))
	case DispatchRejected:
		p.node.meter.Rejected(p.admission.Estimate(classOf(call.head)))
		p.refuseRejected(call)
	case DispatchFailed:
		p.refuse(call, p.failureRefusal(call))
	case DispatchTimeout:
		p.refuse(call, coltsfootward.NewRefusal(coltsfootward.RefusalTimeout, "the caller's time ran out while the request ran").
			WithExecution(coltsfootward.ExecutionUnknown))
	case DispatchAnswered:
		delete(p.calls, call.id)
		p.node.act(EndResponse{Call: call.id, Load: p.load(call.head), Attempts: call.budget.Used(), Needed: call.budget.Needed()})
	default:
		delete(p.calls, call.id)
	}
	p.dispatchQueued()
	p.refuseShed()
	p.stated.notify()
}

// recordDone records the end of a dispatched call with admission control.
func (p *upstreamComponent) recordDone(call *upstreamCall, kind DispatchKind) {
	id := admissioncontrol.RequestID(call.id)
	if kind == DispatchUnsent {
		p.admission.Unsent(id)
		return
	}
	slowdown, usable := p.stated.during(call.dispatchedAt, call.mark)
	if !usable {
		p.admission.DoneUnmeasured(id)
		return
	}
	p.admission.DoneAtSlowdown(p.node.now.Expiry, id, kind != DispatchAnswered, slowdown)
}

// countEnd counts a dispatched call that has ended. Those that are refused are counted by
// sendRefusal.
func (p *upstreamComponent) countEnd(call *upstreamCall, e DispatchEnded) {
	class := tallyClass(call.head)
	p.node.tally.received.Used(class, p.node.now.Monotonic-call.dispatchedAt)
	switch {
	case e.Kind != DispatchAnswered:
	case e.Failed:
		p.node.tally.received.Failed(class)
	default:
		p.node.tally.received.Served(class)
	}
}

// refuseRejected answers a call that the backend server reported not to have
// run. The server has seen it, so it counts as an attempt.
func (p *upstreamComponent) refuseRejected(call *upstreamCall) {
	delete(p.calls, call.id)
	r := coltsfootward.NewRefusal(coltsfootward.RefusalOverloaded, "the backend server rejected the request without running it").
		WithRetryAfter(p.node.jitter(p.admission.RetryAfter(p.node.now.Expiry)))
	p.sendRefusal(call, r, 1)
}

// sendRefusal sends a call's refusal to the peer and logs it.
func (p *upstreamComponent) sendRefusal(call *upstreamCall, r coltsfootward.Refusal, attempts int) {
	reason := string(r.Kind)
	if call.shedBy != "" {
		reason = string(call.shedBy)
	}
	p.node.tally.received.Refused(tallyClass(call.head), reason)
	granted := p.node.grants.grant(call, r, attempts)
	fields := append(refusalFields(call.head.Request, r), p.evidence(call)...)
	p.node.report(record.CallRefused, append(fields, p.node.grants.evidence(call, granted)...)...)
	p.node.act(Refuse{Call: call.id, Refusal: r, Load: p.load(call.head), Attempts: attempts, RetryGranted: granted})
}

// failureRefusal returns the refusal of a call that the backend server broke
// off.
//
// If the server broke off because one of its child calls was refused, the
// refusal is final: the layer below has already attempted the child call as
// often as is allowed. If each layer above did the same, attempts would
// multiply with the depth of the chain just when the deepest service is
// overloaded.
func (p *upstreamComponent) failureRefusal(call *upstreamCall) coltsfootward.Refusal {
	r := coltsfootward.NewRefusal(coltsfootward.RefusalUpstreamFailed, "the backend server broke off").
		WithExecution(coltsfootward.ExecutionUnknown)
	if call.childRefused {
		r = r.WithFinal().WithRetryAfter(call.childRetryAfter)
	}
	return r
}

// childRefused records that a child call of the request was refused and will
// not be retried.
func (p *upstreamComponent) childRefused(token CallToken, r coltsfootward.Refusal) {
	if call, ok := p.node.ledger.parent(token); ok {
		call.childRefused = true
		call.childRetryAfter = r.RetryAfter
		if r.Kind == coltsfootward.RefusalOverloaded {
			p.admission.ChildRefused(admissioncontrol.RequestID(call.id))
		}
	}
}

func (p *upstreamComponent) callCancelled(id CallID) {
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
	p.dispatchQueued()
}

// refuse answers the peer with a refusal. Its attempt count covers the call and
// everything below it; the call's own attempt counts only if it may have run.
func (p *upstreamComponent) refuse(call *upstreamCall, r coltsfootward.Refusal) {
	delete(p.calls, call.id)
	used := 0
	if r.Execution != coltsfootward.ExecutionNotRun {
		used = call.budget.Used()
	}
	p.sendRefusal(call, r, used)
}
