package node

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/claim"
	"coltsfootward/core/record"
)

// giveUp refuses a call that has no attempt in flight. The outcome of earlier
// attempts determines the execution status that the caller receives.
//
// An admission that no attempt has spent is released. Otherwise the
// organisation would be charged for requests that never ran, and later requests
// within its rate would be refused.
func (p *entryComponent) giveUp(call *entryCall, r coltsfootward.Refusal, evidence ...record.Field) {
	if !call.inFlight {
		p.node.rate.release(call.head.Organisation, call.admission)
		call.admission = admission{}
	}
	p.finish(call, r, evidence...)
}

// finish refuses the call and removes it; evidence holds log fields that
// explain the refusal. Once an attempt may have run, a later attempt that
// certainly did not run does not change the execution status back to not run.
func (p *entryComponent) finish(call *entryCall, r coltsfootward.Refusal, evidence ...record.Field) {
	delete(p.calls, call.id)
	p.recordChildEnd(call, true)
	p.countRefusal(call, r)
	if call.mayHaveRun && r.Execution == coltsfootward.ExecutionNotRun {
		r = r.WithExecution(coltsfootward.ExecutionUnknown)
	}
	if call.routed && r.Execution == coltsfootward.ExecutionNotRun {
		p.node.rate.release(call.head.Organisation, call.admission)
	}
	if call.claim != nil {
		p.node.claims.ended(call, r.Execution, nil)
	}
	if call.parent != "" {
		p.node.ledger.release(call.parent, call.budget-call.attempts)
		p.node.upstream.childRefused(call.parent, r)
	}
	p.refuse(call.id, call.head.Request, r, append(p.evidence(call), evidence...)...)
}

// countRefusal counts a call that ends without a response of a backend server.
func (p *entryComponent) countRefusal(call *entryCall, r coltsfootward.Refusal) {
	reason := string(r.Kind)
	if call.refusedAtGate {
		reason = reasonGate
	}
	p.node.tally.entered.Refused(tallyClass(call.head), reason)
}

// replay answers the call with the response to the first request under its
// idempotency key, and removes the call.
func (p *entryComponent) replay(call *entryCall, response *claim.RetainedResponse) {
	delete(p.calls, call.id)
	if call.parent != "" {
		p.node.ledger.release(call.parent, call.budget)
	}
	p.node.act(Replay{Call: call.id, Response: *response})
}

func (p *entryComponent) refuse(id CallID, request coltsfootward.RequestID, r coltsfootward.Refusal, evidence ...record.Field) {
	p.node.report(record.RequestRefused, append(refusalFields(request, r), evidence...)...)
	p.node.act(Refuse{Call: id, Refusal: r})
}

// responseTruncated resumes a truncated response with another attempt, if the
// budget allows one. The new attempt may wait for its response to begin as long
// as the first, since a download may have lasted far longer than the request's
// timeout. The upstream is not marked as tried, because only the connection may
// have failed.
func (p *entryComponent) responseTruncated(e ResponseTruncated) {
	call, ok := p.calls[e.Call]
	if !ok || !call.answered {
		return
	}
	call.answered = false
	call.inFlight = false
	call.mayHaveRun = true
	call.attempts += call.allocation
	if call.parent == "" {
		call.deadline = max(call.deadline, p.node.now.Expiry+call.timeout)
	}
	p.node.ledger.topUp(call)
	if p.node.grants.enabled() {
		call.sends++
		call.head.Retry = true
	}
	r := coltsfootward.NewRefusal(coltsfootward.RefusalConnectionLost, "the answer broke off").WithExecution(coltsfootward.ExecutionUnknown)
	if p.mayRetry(call, r, false) {
		p.startAttempt(call)
		return
	}
	p.finish(call, r)
}

func (p *entryComponent) callDone(e CallDone) {
	call, ok := p.calls[e.Call]
	if !ok {
		return
	}
	delete(p.calls, e.Call)
	if e.Complete {
		p.node.tally.entered.Served(tallyClass(call.head))
	} else {
		p.node.tally.entered.Failed(tallyClass(call.head))
	}
	used := call.allocation
	if e.Attempts >= 0 {
		used = min(e.Attempts, used)
	}
	call.attempts += used
	p.node.crossing.callDone(call, e.Size)
	if e.Complete && e.Attempts >= 0 {
		p.node.ledger.recordNeed(call, e.Needed)
	}
	if call.parent != "" {
		p.node.ledger.release(call.parent, call.budget-call.attempts)
	}
	if call.claim != nil {
		p.node.claims.ended(call, coltsfootward.ExecutionRan, e.Response)
	}
}

// callCancelled cancels the attempts and child calls of a call whose caller has
// disconnected. Work for such callers would keep an overloaded service from
// recovering.
func (p *entryComponent) callCancelled(id CallID) {
	call, ok := p.calls[id]
	if !ok {
		return
	}
	delete(p.calls, id)
	p.node.tally.entered.Refused(tallyClass(call.head), string(coltsfootward.RefusalCancelled))
	execution := coltsfootward.ExecutionNotRun
	if call.inFlight || call.answered || call.mayHaveRun {
		execution = coltsfootward.ExecutionUnknown
	}
	if call.inFlight || call.answered {
		call.attempts += call.allocation
	}
	if call.inFlight {
		p.node.placement.attemptCancelled(call, false)
	}
	if call.inFlight || call.answered {
		p.node.act(CancelAttempt{Call: id})
	} else {
		p.node.rate.release(call.head.Organisation, call.admission)
	}
	if call.claim != nil {
		p.node.claims.ended(call, execution, nil)
	}
	if call.parent != "" {
		p.node.ledger.release(call.parent, call.budget-call.attempts)
	}
}

// tick ends calls whose deadline has passed while they waited.
func (p *entryComponent) tick() {
	p.updateGates()
	for _, id := range sortedCalls(p.calls) {
		call := p.calls[id]
		if call.answered || p.node.now.Expiry < call.deadline {
			continue
		}
		p.expire(call)
	}
}

func (p *entryComponent) expire(call *entryCall) {
	r := coltsfootward.NewRefusal(coltsfootward.RefusalTimeout, "the caller's time ran out")
	if call.inFlight {
		p.node.placement.attemptCancelled(call, true)
		p.node.act(CancelAttempt{Call: call.id})
		r = r.WithExecution(coltsfootward.ExecutionUnknown)
		call.attempts += call.allocation
	}
	p.giveUp(call, r)
}

// shorterLimit returns the shorter of two durations; a limit of zero means no
// limit.
func shorterLimit(limit, other time.Duration) time.Duration {
	if limit == 0 {
		return other
	}
	return min(limit, other)
}
