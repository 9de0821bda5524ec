package node

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/claim"
	"coltsfootward/core/message"
	"coltsfootward/core/record"

	"github.com/cespare/xxhash/v2"
)

const (
	// claimResendInterval is the time after which an unanswered claim message
	// is sent again. Links between failure domains have latencies of a few
	// milliseconds.
	claimResendInterval = 200 * time.Millisecond
	// claimTimeout bounds how long a request waits for its claim. A holder that
	// has not answered by then has failed or is unreachable, and a longer wait
	// would only delay the caller's next try.
	claimTimeout = 2 * time.Second
	// maxClaimEndSends bounds how often the end of a claim is sent. If the end
	// does not reach the holder, the holder treats the request as running until
	// the claim's window has passed.
	maxClaimEndSends = 25
	// MaximumRetainedResponseBytes is the maximum body size, in bytes, of a
	// response that is retained for repeated requests.
	MaximumRetainedResponseBytes = 16 << 10
)

// entryClaim is a request's claim at its entry node.
type entryClaim struct {
	call    *entryCall
	request claim.Request
	slot    slotID
	// holder is the instance to which the request was last sent.
	holder coltsfootward.Instance
	// redirects counts the answers from nodes that do not hold the slot.
	redirects int
	// granted is set once the request may be dispatched. The claim is valid
	// until expires, by Instant.Expiry.
	granted  bool
	expires  time.Duration
	started  time.Duration
	resendAt time.Duration
}

// pendingEnd is a ClaimEnd that the holder has not acknowledged yet.
type pendingEnd struct {
	to       coltsfootward.Instance
	end      message.ClaimEnd
	sends    int
	resendAt time.Duration
}

// claimsComponent deduplicates requests by idempotency key over all nodes. Each
// key belongs to one slot, and only the holder of that slot's lease grants it.
type claimsComponent struct {
	node  *Node
	slots slotDirectory
	held  map[slotID]*slotClaims
	// handovers are the handovers received from previous holders of slots.
	handovers     map[slotID]*incomingHandover
	pendingClaims map[claim.ID]*entryClaim
	pendingEnds   map[claim.ID]*pendingEnd
}

// slotClaims are the claims of one slot during one term of its lease.
type slotClaims struct {
	epoch  uint64
	claims *claim.Holder
}

func newClaimsComponent(n *Node) *claimsComponent {
	return &claimsComponent{
		node:          n,
		slots:         n.slots,
		handovers:     make(map[slotID]*incomingHandover),
		held:          make(map[slotID]*slotClaims),
		pendingClaims: make(map[claim.ID]*entryClaim),
		pendingEnds:   make(map[claim.ID]*pendingEnd),
	}
}

// claim requests a claim for the call. The call then continues with
// entryComponent.claimGranted, or it is refused.
func (p *claimsComponent) claim(call *entryCall) {
	key := claim.Key{Organisation: call.head.Organisation, Text: call.head.IdempotencyKey}
	c := &entryClaim{
		call:    call,
		request: claim.Request{Key: key, ID: claim.ID(p.node.newRequestID()), Content: claimContent(call)},
		slot:    p.slotOf(key),
		started: p.node.now.Expiry,
	}
	call.claim = c
	p.pendingClaims[c.request.ID] = c
	p.sendRequest(c)
}

func claimContent(call *entryCall) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%x", call.head.Service, call.head.Method, call.head.Path, call.body))
}

// sendRequest sends the request to the slot's holder if one is known.
func (p *claimsComponent) sendRequest(c *entryClaim) {
	c.resendAt = p.node.now.Expiry + claimResendInterval
	holder, ok := p.slots.holder(c.slot)
	if !ok {
		return
	}
	c.holder = holder
	if holder.ID == p.node.options.Self.ID {
		p.verdictReceived(message.ClaimVerdict{ID: c.request.ID, Verdict: p.decide(c.request)}, 0)
		return
	}
	p.node.act(Send{To: holder, Message: &message.ClaimRequest{Request: c.request}})
}

// claimsOf returns the claims of a slot if this node holds the slot's lease
// now. It starts without claims in a new epoch, because another node may have
// granted any key in between.
func (p *claimsComponent) claimsOf(slot slotID) (*slotClaims, bool) {
	term, ok := p.slots.term(slot)
	if !ok {
		return nil, false
	}
	if h, ok := p.held[slot]; ok && h.epoch == term.epoch {
		return h, true
	}
	h := &slotClaims{epoch: term.epoch}
	if term.first {
		h.claims = claim.NewFirstHolder(p.node.options.claims(), term.began)
	} else {
		h.claims = claim.NewHolder(p.node.options.claims(), term.began)
	}
	p.held[slot] = h
	p.applyHandover(slot, h)
	return h, true
}

func (p *claimsComponent) decide(r claim.Request) claim.Verdict {
	h, ok := p.claimsOf(p.slotOf(r.Key))
	if !ok {
		return claim.Verdict{Decision: claim.Elsewhere, RetryAfter: claimResendInterval}
	}
	return h.claims.Claim(p.node.now, r)
}

// requestReceived answers a peer's claim request.
func (p *claimsComponent) requestReceived(from coltsfootward.InstanceID, m message.ClaimRequest) {
	peer, ok := p.node.membership.instance(from)
	if !ok {
		return
	}
	verdict := message.ClaimVerdict{ID: m.Request.ID, Verdict: p.decide(m.Request)}
	if verdict.Verdict.Decision == claim.Elsewhere {
		verdict.Holder = p.slots.lastKnownHolder(p.slotOf(m.Request.Key))
	}
	p.node.act(Send{To: peer, Message: &verdict})
}

// verdictReceived processes the holder's decision. age is an upper bound of the
// time since the verdict was sent.
func (p *claimsComponent) verdictReceived(m message.ClaimVerdict, age time.Duration) {
	c, ok := p.pendingClaims[m.ID]
	if !ok {
		return
	}
	if m.Verdict.Decision == claim.Elsewhere {
		p.slots.noteHolder(c.slot, m.Holder)
		// The next candidate may hold the slot. If none of the candidates does,
		// the request is sent again after claimResendInterval, to the node that
		// is assumed to hold the slot by then.
		c.redirects++
		if c.redirects%slotWatchers != 0 {
			p.sendRequest(c)
		}
		return
	}
	delete(p.pendingClaims, m.ID)
	if m.Verdict.Decision != claim.Granted {
		p.refuse(c.call, m.Verdict)
		return
	}
	c.granted = true
	c.expires = p.node.now.Expiry + m.Verdict.Lifetime - age
	p.node.entry.claimGranted(c.call)
}

// refuse ends a call whose claim was not granted.
func (p *claimsComponent) refuse(call *entryCall, v claim.Verdict) {
	call.claim = nil
	p.node.report(record.ClaimRefused, field("request", string(call.head.Request)), field("decision", string(v.Decision)))
	if v.Decision == claim.AlreadyRun && v.Response != nil {
		p.node.entry.replay(call, v.Response)
		return
	}
	p.node.entry.finish(call, claimRefusal(v))
}

func claimRefusal(v claim.Verdict) coltsfootward.Refusal {
	refusal := coltsfootward.NewRefusal
	switch v.Decision {
	case claim.Running:
		return refusal(coltsfootward.RefusalDuplicate, "a request with this Idempotency-Key is running or its end is unknown").
			WithExecution(coltsfootward.ExecutionUnknown).WithRetryAfter(v.RetryAfter)
	case claim.AlreadyRun:
		return refusal(coltsfootward.RefusalAlreadyRun, "a request with this Idempotency-Key has ended").WithExecution(v.Execution)
	case claim.Reused:
		return refusal(coltsfootward.RefusalKeyReused, "this Idempotency-Key was used for another method, path or body")
	case claim.Forgotten:
		return refusal(coltsfootward.RefusalClaim, "this Idempotency-Key is older than what is remembered of keys: "+
			"look up the outcome of earlier tries, and use a new key only if none may have run")
	case claim.Early:
		return refusal(coltsfootward.RefusalClaim, "this Idempotency-Key carries a time that has not come: "+
			"set the clock that made it").WithRetryAfter(v.RetryAfter)
	case claim.HeldOff:
		return refusal(coltsfootward.RefusalClaim, "this Idempotency-Key carries no time and the instance that remembers keys is new: "+
			"use a UUID of version 7 to be served sooner").WithRetryAfter(v.RetryAfter)
	default:
		return refusal(coltsfootward.RefusalClaim, "too many Idempotency-Keys are remembered").WithRetryAfter(v.RetryAfter)
	}
}

// ended reports the end of the call to the holder. If the request certainly did
// not run, its key becomes available again.
func (p *claimsComponent) ended(call *entryCall, execution coltsfootward.Execution, response *claim.RetainedResponse) {
	c := call.claim
	call.claim = nil
	delete(p.pendingClaims, c.request.ID)
	if c.holder.ID == "" {
		return // the request was never sent
	}
	end := message.ClaimEnd{Key: c.request.Key, ID: c.request.ID, Execution: execution, Response: response}
	if c.holder.ID == p.node.options.Self.ID {
		p.recordEnd(end)
		return
	}
	e := &pendingEnd{to: c.holder, end: end}
	p.pendingEnds[c.request.ID] = e
	p.sendEnd(e)
}

func (p *claimsComponent) sendEnd(e *pendingEnd) {
	e.sends++
	e.resendAt = p.node.now.Expiry + claimResendInterval
	end := e.end
	p.node.act(Send{To: e.to, Message: &end})
}

func (p *claimsComponent) recordEnd(m message.ClaimEnd) {
	if h, ok := p.claimsOf(p.slotOf(m.Key)); ok {
		h.claims.End(p.node.now, m.Key, m.ID, m.Execution, m.Response)
	}
}

// endReceived processes and acknowledges the end of a peer's claim. A node that
// no longer holds the slot does not need the information.
func (p *claimsComponent) endReceived(from coltsfootward.InstanceID, m message.ClaimEnd) {
	p.recordEnd(m)
	if peer, ok := p.node.membership.instance(from); ok {
		p.node.act(Send{To: peer, Message: &message.ClaimEndAcknowledged{ID: m.ID}})
	}
}

func (p *claimsComponent) endAcknowledged(m message.ClaimEndAcknowledged) {
	delete(p.pendingEnds, m.ID)
}

// messageReceived dispatches a peer's message about claims.
func (p *claimsComponent) messageReceived(e MessageArrived) {
	switch m := e.Message.(type) {
	case *message.ClaimRequest:
		p.requestReceived(e.From, *m)
	case *message.ClaimVerdict:
		p.verdictReceived(*m, e.Age)
	case *message.ClaimHandover:
		p.handoverReceived(*m)
	case *message.ClaimEnd:
		p.endReceived(e.From, *m)
	case *message.ClaimEndAcknowledged:
		p.endAcknowledged(*m)
	}
}

// tick sends unanswered messages again and gives up after too many tries.
func (p *claimsComponent) tick() {
	p.sendHandovers()
	p.checkHandovers()
	now := p.node.now.Expiry
	for _, id := range slices.Sorted(maps.Keys(p.pendingClaims)) {
		c := p.pendingClaims[id]
		switch {
		case now >= c.started+claimTimeout:
			p.refuseUnanswered(c)
		case now >= c.resendAt:
			p.noteUnanswered(c)
			p.sendRequest(c)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.pendingEnds)) {
		e := p.pendingEnds[id]
		switch {
		case now < e.resendAt:
		case e.sends >= maxClaimEndSends:
			delete(p.pendingEnds, id)
		default:
			p.sendEnd(e)
		}
	}
}

// noteUnanswered records that the instance to which the request was last sent
// did not answer, so that the request goes to the next assumed holder of the
// slot.
func (p *claimsComponent) noteUnanswered(c *entryClaim) {
	if c.holder.ID != "" && c.holder.ID != p.node.options.Self.ID {
		p.slots.noteHolder(c.slot, coltsfootward.Instance{})
	}
}

// refuseUnanswered refuses a call whose claim was not decided in time. The
// claim may have been granted and the verdict lost, so the holder is informed
// that the request did not run.
func (p *claimsComponent) refuseUnanswered(c *entryClaim) {
	p.node.report(record.ClaimUnanswered, field("request", string(c.call.head.Request)))
	p.node.entry.finish(c.call, coltsfootward.NewRefusal(coltsfootward.RefusalClaim,
		"the instance that remembers this Idempotency-Key could not be reached").
		WithRetryAfter(p.node.jitteredRetryAfter()))
}
