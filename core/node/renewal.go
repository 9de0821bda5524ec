package node

import (
	"time"

	"coltsfootward"
	admissioncontrol "coltsfootward/core/admission"
)

// lastStart is when the call can no longer be dispatched, by Instant.Expiry;
// zero means never. What a renewable call needs is drawn anew.
func (c *upstreamCall) lastStart() time.Duration {
	if c.head.Renewable {
		return 0
	}
	return c.startBy
}

// renew draws a token for a call that has waited for longer than the one it
// came with lasts. The call keeps its slot meanwhile: a draw takes a round trip
// at most, and giving the slot to the next one would only move the wait there.
func (p *upstreamPart) renew(call *upstreamCall) {
	call.renewing = true
	p.node.rate.acquire(upstreamWaiter{part: p, call: call})
}

// renewed dispatches a call with its new admission.
func (p *upstreamPart) renewed(call *upstreamCall, granted admission) {
	call.renewing = false
	call.startBy = granted.expires
	if r := p.checkTime(call); r != nil {
		p.unstarted(call, *r)
		return
	}
	p.dispatch(call)
}

// notRenewed refuses a call that the organisation's rate no longer allows.
func (p *upstreamPart) notRenewed(call *upstreamCall, retryAfter time.Duration) {
	call.renewing = false
	p.unstarted(call, coltsfootward.NewRefusal(coltsfootward.RefusalOverRate,
		"the organisation was above its rate and burst when the request's turn came").WithRetryAfter(retryAfter))
}

// unstarted frees the slot of a call that did not begin after all.
func (p *upstreamPart) unstarted(call *upstreamCall, r coltsfootward.Refusal) {
	p.admission.Unsent(admissioncontrol.RequestID(call.id))
	p.refuse(call, r)
	p.start()
}
