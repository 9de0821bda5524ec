package node

import (
	"time"

	"coltsfootward"
	admissioncontrol "coltsfootward/core/admission"
)

// startDeadline returns the time after which the call can no longer be
// dispatched, by Instant.Expiry; zero means that there is none. A renewable
// call has none, because a new token is drawn for it.
func (c *upstreamCall) startDeadline() time.Duration {
	if c.head.Renewable {
		return 0
	}
	return c.startBy
}

// renew draws a new token for a call that has waited longer than the lifetime
// of its first one. The call keeps its slot meanwhile: a draw takes one round
// trip at most, and if the slot went to the next call, that call would have to
// wait in its turn.
func (p *upstreamComponent) renew(call *upstreamCall) {
	call.renewing = true
	p.node.rate.acquire(upstreamWaiter{component: p, call: call})
}

// admissionRenewed dispatches a call with its new admission.
func (p *upstreamComponent) admissionRenewed(call *upstreamCall, granted admission) {
	call.renewing = false
	call.startBy = granted.expires
	if r := p.checkDeadlines(call); r != nil {
		p.refuseUnstarted(call, *r)
		return
	}
	p.dispatch(call)
}

// renewalRefused refuses a call that the organisation's rate no longer allows.
func (p *upstreamComponent) renewalRefused(call *upstreamCall, retryAfter time.Duration) {
	call.renewing = false
	p.refuseUnstarted(call, coltsfootward.NewRefusal(coltsfootward.RefusalOverRate,
		"the organisation was above its rate and burst when the request's turn came").WithRetryAfter(retryAfter))
}

// refuseUnstarted refuses a call that held a slot but was not dispatched, and
// frees the slot.
func (p *upstreamComponent) refuseUnstarted(call *upstreamCall, r coltsfootward.Refusal) {
	p.admission.Unsent(admissioncontrol.RequestID(call.id))
	p.refuse(call, r)
	p.dispatchQueued()
}
