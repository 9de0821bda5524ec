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
	// claimResend is the time after which an unanswered claim message is sent
	// again; links between failure domains take a few milliseconds.
	claimResend = 200 * time.Millisecond
	// claimWait bounds how long a request waits for its claim. A holder that
	// has not answered by then is cut off or gone: waiting longer would only
	// keep the caller from trying later.
	claimWait = 2 * time.Second
	// claimEndSends bounds how often the end of a claim is sent. Without it the
	// holder takes the request for running until its window has passed.
	claimEndSends = 25
	// MaximumKeptAnswer bounds the body of an answer kept for repeats, in bytes.
	MaximumKeptAnswer = 16 << 10
)

// entryClaim is the claim of a request at its entry node.
type entryClaim struct {
	call    *entryCall
	request claim.Request
	slot    slotID
	// holder is the instance that was asked last.
	holder coltsfootward.Instance
	// moved counts the answers of nodes that do not hold the slot.
	moved int
	// granted is set once the request may be dispatched, until expires by
	// Instant.Expiry.
	granted bool
	expires time.Duration
	asked   time.Duration
	resend  time.Duration
}

// claimEnding is the end of a claim on its way to the holder.
type claimEnding struct {
	to     coltsfootward.Instance
	end    message.ClaimEnd
	sends  int
	resend time.Duration
}

// claimsPart keeps repeats of one idempotency key apart over all nodes. Each
// key belongs to one slot, and only the holder of that slot's lease grants it.
type claimsPart struct {
	node    *Node
	slots   slotHolders
	holders map[slotID]*slotHolder
	// handovers are on their way from the last holders of slots.
	handovers map[slotID]*incomingHandover
	asking    map[claim.ID]*entryClaim
	ending    map[claim.ID]*claimEnding
}

// slotHolder holds the claims of one slot for one term of its lease.
type slotHolder struct {
	epoch  uint64
	claims *claim.Holder
}

func newClaimsPart(n *Node) *claimsPart {
	return &claimsPart{
		node:      n,
		slots:     n.slots,
		handovers: make(map[slotID]*incomingHandover),
		holders:   make(map[slotID]*slotHolder),
		asking:    make(map[claim.ID]*entryClaim),
		ending:    make(map[claim.ID]*claimEnding),
	}
}

// claim asks for the call's claim. The call goes on with entryPart.claimed, or
// is refused.
func (p *claimsPart) claim(call *entryCall) {
	key := claim.Key{Organisation: call.head.Organisation, Text: call.head.IdempotencyKey}
	c := &entryClaim{
		call:    call,
		request: claim.Request{Key: key, ID: claim.ID(p.node.newRequestID()), Content: claimContent(call)},
		slot:    p.slotOf(key),
		asked:   p.node.now.Expiry,
	}
	call.claim = c
	p.asking[c.request.ID] = c
	p.ask(c)
}

func claimContent(call *entryCall) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%x", call.head.Service, call.head.Method, call.head.Path, call.body))
}

// ask sends the request to the slot's holder, if one is known.
func (p *claimsPart) ask(c *entryClaim) {
	c.resend = p.node.now.Expiry + claimResend
	holder, ok := p.slots.holder(c.slot)
	if !ok {
		return
	}
	c.holder = holder
	if holder.ID == p.node.options.Self.ID {
		p.verdict(message.ClaimVerdict{ID: c.request.ID, Verdict: p.decide(c.request)}, 0)
		return
	}
	p.node.act(Send{To: holder, Message: &message.ClaimRequest{Request: c.request}})
}

// holder returns the claims of a slot whose lease this node holds now. Another
// epoch means another term: in between, others may have granted any key.
func (p *claimsPart) holder(slot slotID) (*slotHolder, bool) {
	term, ok := p.slots.term(slot)
	if !ok {
		return nil, false
	}
	if h, ok := p.holders[slot]; ok && h.epoch == term.epoch {
		return h, true
	}
	h := &slotHolder{epoch: term.epoch}
	if term.first {
		h.claims = claim.NewFirstHolder(p.node.options.claims(), term.began)
	} else {
		h.claims = claim.NewHolder(p.node.options.claims(), term.began)
	}
	p.holders[slot] = h
	p.takeOver(slot, h)
	return h, true
}

func (p *claimsPart) decide(r claim.Request) claim.Verdict {
	h, ok := p.holder(p.slotOf(r.Key))
	if !ok {
		return claim.Verdict{Decision: claim.Elsewhere, RetryAfter: claimResend}
	}
	return h.claims.Claim(p.node.now, r)
}

// requested answers a peer's claim.
func (p *claimsPart) requested(from coltsfootward.InstanceID, m message.ClaimRequest) {
	peer, ok := p.node.membership.instance(from)
	if !ok {
		return
	}
	verdict := message.ClaimVerdict{ID: m.Request.ID, Verdict: p.decide(m.Request)}
	if verdict.Verdict.Decision == claim.Elsewhere {
		verdict.Holder = p.slots.known(p.slotOf(m.Request.Key))
	}
	p.node.act(Send{To: peer, Message: &verdict})
}

// verdict takes in the holder's decision. age bounds the time since it was sent.
func (p *claimsPart) verdict(m message.ClaimVerdict, age time.Duration) {
	c, ok := p.asking[m.ID]
	if !ok {
		return
	}
	if m.Verdict.Decision == claim.Elsewhere {
		p.slots.elsewhere(c.slot, m.Holder)
		// Another candidate may hold the slot; if none does, the next resend
		// asks whoever holds it by then.
		c.moved++
		if c.moved%slotWatchers != 0 {
			p.ask(c)
		}
		return
	}
	delete(p.asking, m.ID)
	if m.Verdict.Decision != claim.Granted {
		p.refused(c.call, m.Verdict)
		return
	}
	c.granted = true
	c.expires = p.node.now.Expiry + m.Verdict.Life - age
	p.node.entry.claimed(c.call)
}

// refused answers a call whose claim was not granted.
func (p *claimsPart) refused(call *entryCall, v claim.Verdict) {
	call.claim = nil
	p.node.report(record.ClaimRefused, field("request", string(call.head.Request)), field("decision", string(v.Decision)))
	if v.Decision == claim.AlreadyRun && v.Answer != nil {
		p.node.entry.replay(call, v.Answer)
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

// ended tells the holder how the call ended. The end of a request that
// certainly did not run frees its key.
func (p *claimsPart) ended(call *entryCall, execution coltsfootward.Execution, answer *claim.Answer) {
	c := call.claim
	call.claim = nil
	delete(p.asking, c.request.ID)
	if c.holder.ID == "" {
		return // nobody was asked
	}
	end := message.ClaimEnd{Key: c.request.Key, ID: c.request.ID, Execution: execution, Answer: answer}
	if c.holder.ID == p.node.options.Self.ID {
		p.end(end)
		return
	}
	e := &claimEnding{to: c.holder, end: end}
	p.ending[c.request.ID] = e
	p.sendEnd(e)
}

func (p *claimsPart) sendEnd(e *claimEnding) {
	e.sends++
	e.resend = p.node.now.Expiry + claimResend
	end := e.end
	p.node.act(Send{To: e.to, Message: &end})
}

func (p *claimsPart) end(m message.ClaimEnd) {
	if h, ok := p.holder(p.slotOf(m.Key)); ok {
		h.claims.End(p.node.now, m.Key, m.ID, m.Execution, m.Answer)
	}
}

// endReceived takes in a peer's end and acknowledges it. A node that holds the
// slot no longer has nothing to keep it for.
func (p *claimsPart) endReceived(from coltsfootward.InstanceID, m message.ClaimEnd) {
	p.end(m)
	if peer, ok := p.node.membership.instance(from); ok {
		p.node.act(Send{To: peer, Message: &message.ClaimEndTaken{ID: m.ID}})
	}
}

func (p *claimsPart) endTaken(m message.ClaimEndTaken) { delete(p.ending, m.ID) }

// message takes what peers say about claims.
func (p *claimsPart) message(e MessageArrived) {
	switch m := e.Message.(type) {
	case *message.ClaimRequest:
		p.requested(e.From, *m)
	case *message.ClaimVerdict:
		p.verdict(*m, e.Age)
	case *message.ClaimHandover:
		p.handoverReceived(*m)
	case *message.ClaimEnd:
		p.endReceived(e.From, *m)
	case *message.ClaimEndTaken:
		p.endTaken(*m)
	}
}

// tick sends again what went unanswered and gives up on holders that do not answer.
func (p *claimsPart) tick() {
	p.handOver()
	p.tickHandovers()
	now := p.node.now.Expiry
	for _, id := range slices.Sorted(maps.Keys(p.asking)) {
		c := p.asking[id]
		switch {
		case now >= c.asked+claimWait:
			p.giveUp(c)
		case now >= c.resend:
			p.unanswered(c)
			p.ask(c)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.ending)) {
		e := p.ending[id]
		switch {
		case now < e.resend:
		case e.sends >= claimEndSends:
			delete(p.ending, id)
		default:
			p.sendEnd(e)
		}
	}
}

// unanswered notes that the instance asked last did not answer, so that the next
// one believed to hold the slot is asked.
func (p *claimsPart) unanswered(c *entryClaim) {
	if c.holder.ID != "" && c.holder.ID != p.node.options.Self.ID {
		p.slots.elsewhere(c.slot, coltsfootward.Instance{})
	}
}

// giveUp refuses a call whose claim nobody decided on. The claim may have been
// granted and the verdict lost, so the holder is told that nothing ran.
func (p *claimsPart) giveUp(c *entryClaim) {
	p.node.report(record.ClaimUnanswered, field("request", string(c.call.head.Request)))
	p.node.entry.finish(c.call, coltsfootward.NewRefusal(coltsfootward.RefusalClaim,
		"the instance that remembers this Idempotency-Key could not be reached").
		WithRetryAfter(p.node.spreadRetryAfter()))
}
