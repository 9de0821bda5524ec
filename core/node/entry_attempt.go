package node

import (
	"net/http"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/record"
)

// startAttempt obtains an admission for the next attempt. Child calls need
// none: the caller's request at the top of the chain was charged for them.
func (p *entryComponent) startAttempt(call *entryCall) {
	if call.parent != "" || call.rateExempt || call.charged {
		p.admitted(call, admission{})
		return
	}
	p.node.rate.acquire(entryWaiter{component: p, call: call})
}

// admitted sends an attempt that the organisation's rate allows.
func (p *entryComponent) admitted(call *entryCall, granted admission) {
	if !call.charged {
		call.admission = granted
	}
	now := p.node.now.Expiry
	if now >= call.deadline {
		p.giveUp(call, coltsfootward.NewRefusal(coltsfootward.RefusalTimeout, "the caller's time ran out before the request started"))
		return
	}
	if call.claim != nil && now >= call.claim.expires {
		p.giveUp(call, coltsfootward.NewRefusal(coltsfootward.RefusalClaim, "the claim on the Idempotency-Key ended before the request started").
			WithRetryAfter(p.node.jitteredRetryAfter()))
		return
	}
	if call.hops == 0 {
		p.node.placement.countDemand(call)
	}
	target, ok := p.chooseTarget(call)
	if !ok {
		p.giveUp(call, p.noTargetRefusal(call), p.targetEvidence(call)...)
		return
	}
	call.target = target.ID
	call.inFlight = true
	call.hops++
	call.charged = call.routed
	if call.routed && call.hops == 1 {
		p.node.placement.countRequest(call)
	}
	p.node.placement.attemptSent(call)
	head := call.head
	call.allocation = p.node.ledger.nextAllocation(call)
	head.Budget = call.allocation
	head.Timeout = call.deadline - now
	if p.node.grants.enabled() {
		head.Sends = call.sends
	}
	// A routed request is charged when it is admitted, and may be queued for
	// longer than its token's lifetime. The deployment's bound on the rate
	// leaves room for tokens that are spent late.
	if !call.routed {
		head.StartWithin = granted.remaining(p.node.now)
		head.Renewable = call.claim == nil && granted.expires != 0
	}
	if call.claim != nil {
		head.StartWithin = shorterLimit(head.StartWithin, call.claim.expires-now)
	}
	p.node.act(Forward{Call: call.id, To: target, Head: head})
}

// noTargetRefusal returns why no backend server can be chosen for the call. If
// servers that were tried have refused it, their refusal is returned: "no
// backend server takes work" would send operators looking for servers that are
// in fact running.
func (p *entryComponent) noTargetRefusal(call *entryCall) coltsfootward.Refusal {
	if call.lastRefusal.Kind != "" {
		return call.lastRefusal
	}
	if wait := p.node.placement.limitWait(call); wait > 0 {
		return coltsfootward.NewRefusal(coltsfootward.RefusalOverloaded, "every backend server of the service gets as many requests as the limit that it names allows").
			WithRetryAfter(p.node.jitter(max(wait, gateRetryAfter(call.objective))))
	}
	return coltsfootward.NewRefusal(coltsfootward.RefusalNoUpstream, "no backend server of the service takes work").
		WithRetryAfter(p.node.jitteredRetryAfter())
}

// refuseOverRate ends a call that exceeds the organisation's rate.
func (p *entryComponent) refuseOverRate(call *entryCall, retryAfter time.Duration, evidence []record.Field) {
	p.giveUp(call, coltsfootward.NewRefusal(coltsfootward.RefusalOverRate, "the organisation is above its rate and burst").
		WithRetryAfter(retryAfter), evidence...)
}

func (p *entryComponent) attemptEnded(e AttemptEnded) {
	call, ok := p.calls[e.Call]
	if !ok || !call.inFlight {
		return
	}
	call.inFlight = false
	p.node.placement.attemptEnded(call, e)
	if e.Kind == AttemptAnswered {
		call.answered = true
		p.recordChildEnd(call, e.Status >= http.StatusInternalServerError)
		return
	}
	call.attempts += attemptsUsed(call, e)
	p.node.ledger.forecast.RecordFailure(call.head.Service)
	p.settleAdmission(call, e)
	unseen := e.Kind == AttemptUnsent || e.Kind == AttemptRefused && e.Refusal.Execution == coltsfootward.ExecutionNotRun && e.Attempts == 0
	refused := refusalOf(e)
	call.mayHaveRun = call.mayHaveRun || refused.Execution != coltsfootward.ExecutionNotRun
	p.node.report(record.AttemptFailed, append(attributionFields(call), field("request", string(call.head.Request)),
		field("instance", string(call.target)), field("kind", string(refused.Kind)),
		field("execution", string(refused.Execution)), field("detail", refused.Detail),
		field("fingerprint", call.fingerprint.String()),
		field("service", string(call.head.Service)), field("route", string(call.head.Route)),
		field("hop", number(call.hops)), field("took", rounded(p.node.now.Monotonic-call.sentAt)))...)
	call.lastRefusal = refused
	call.retryGranted = e.RetryGranted
	call.tried[call.target] = true
	if !unseen {
		call.head.Retry = true
		call.sends++
		call.recordSeen(call.target)
	}
	p.node.ledger.topUp(call)
	if p.mayRetry(call, refused, unseen) {
		p.startAttempt(call)
		return
	}
	p.finish(call, refused)
}

// mayRetryRouted decides whether a routed request is attempted again. Its
// budget bounds the number of backend servers that see it, but a server that
// has rejected it may be tried again: a server that rejects requests at random
// has about an even chance of serving the next attempt.
func (p *entryComponent) mayRetryRouted(call *entryCall, refused coltsfootward.Refusal, unseen bool) bool {
	if refused.Final || p.node.now.Expiry >= call.deadline || !safeToRetry(call.head, refused) {
		return false
	}
	granting := p.node.grants.enabled()
	if unseen {
		return call.hops < maxHops || granting && call.hops-call.sends < maxHops
	}
	rejected := refused.Execution == coltsfootward.ExecutionNotRun
	if !granting && call.sends >= maxSends || !rejected && len(call.seenBy) >= call.budget {
		return false
	}
	if granting {
		return p.takeGrantedRetry(call, refused)
	}
	return p.node.placement.takeRoutedRetry(call)
}

// chooseTarget returns the destination of the next attempt.
func (p *entryComponent) chooseTarget(call *entryCall) (coltsfootward.Instance, bool) {
	if !call.routed {
		return p.node.placement.choose(call)
	}
	if len(call.seenBy) >= call.budget {
		return p.node.placement.seenServer(call)
	}
	target, ok := p.node.placement.choose(call)
	if !ok && len(call.seenBy) > 0 && call.lastRefusal.Execution == coltsfootward.ExecutionNotRun {
		// The service has only one server, so the same one is tried again.
		return p.node.placement.seenServer(call)
	}
	return target, ok
}

// recordSeen records that a backend server has seen the call.
func (c *entryCall) recordSeen(id coltsfootward.InstanceID) {
	if !slices.Contains(c.seenBy, id) {
		c.seenBy = append(c.seenBy, id)
	}
}

// settleAdmission returns the admission of an attempt that did not spend it. An
// attempt that may have started has spent its admission, whatever its outcome.
func (p *entryComponent) settleAdmission(call *entryCall, e AttemptEnded) {
	if call.routed {
		return // charged once; finish releases the admission if nothing ran
	}
	spent := e.Kind == AttemptLost || (e.Kind == AttemptRefused && e.Refusal.Execution != coltsfootward.ExecutionNotRun)
	if !spent {
		p.node.rate.release(call.head.Organisation, call.admission)
	}
	call.admission = admission{}
}

// attemptsUsed returns the number of attempts that an ended attempt has used.
// If that is unknown, its whole allocation counts as used, because the chain
// below may still be spending it. That includes a refusal whose attempt count
// was lost, unless nothing ran.
func attemptsUsed(call *entryCall, e AttemptEnded) int {
	switch {
	case e.Kind == AttemptUnsent:
		return 0
	case e.Kind == AttemptRefused && e.Refusal.Execution == coltsfootward.ExecutionNotRun && !call.routed:
		return 0
	case e.Kind == AttemptRefused && e.Attempts >= 0:
		return min(e.Attempts, call.allocation)
	default:
		return call.allocation
	}
}

func refusalOf(e AttemptEnded) coltsfootward.Refusal {
	switch e.Kind {
	case AttemptUnsent:
		return coltsfootward.NewRefusal(coltsfootward.RefusalConnectionLost, "the upstream's node could not be reached")
	case AttemptLost:
		return coltsfootward.NewRefusal(coltsfootward.RefusalConnectionLost, "the connection broke while the request was under way").
			WithExecution(coltsfootward.ExecutionUnknown)
	default:
		return e.Refusal
	}
}

// mayRetry decides whether another attempt follows. A request whose execution
// is unknown is retried only if it is repeatable. For a routed request, a retry
// after an attempt that no backend server saw does not draw on the retry
// budget, as it costs the servers nothing. The number of such retries is still
// limited, because each one is a hop under load.
func (p *entryComponent) mayRetry(call *entryCall, refused coltsfootward.Refusal, unseen bool) bool {
	if call.routed {
		return p.mayRetryRouted(call, refused, unseen)
	}
	if refused.Final || !call.retryAllowed || !p.node.ledger.hasEnough(call) {
		return false
	}
	if p.node.now.Expiry >= call.deadline {
		return false
	}
	return safeToRetry(call.head, refused) && p.node.placement.takeRetry(call.head.Service)
}

// maxHops limits the attempts of a routed request after one that no backend
// server saw: it is attempted again only while fewer than maxHops attempts have
// been made, whether servers saw them or not. With two candidates compared each
// time, three full servers in a row mean that most servers are full.
const maxHops = 3

// maxSends bounds how often backend servers see one routed request. Against
// a server that rejects half of its requests, four attempts succeed in 94 of
// 100 cases.
const maxSends = 4

func safeToRetry(head message.Call, refused coltsfootward.Refusal) bool {
	if refused.Execution == coltsfootward.ExecutionNotRun {
		return retryableKind(refused.Kind)
	}
	return refused.Execution == coltsfootward.ExecutionUnknown && !head.Unrepeatable &&
		refused.Kind != coltsfootward.RefusalTimeout
}

func retryableKind(kind coltsfootward.RefusalKind) bool {
	switch kind {
	case coltsfootward.RefusalOverloaded, coltsfootward.RefusalDraining, coltsfootward.RefusalStale,
		coltsfootward.RefusalConnectionLost, coltsfootward.RefusalNoUpstream:
		return true
	default:
		return false
	}
}
