package node

import (
	"maps"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/rate"
)

const (
	// drawTimeout is how long a draw may stay unanswered before the next part
	// is tried. It is well above a round trip between failure domains. Requests
	// wait while it runs.
	drawTimeout = 100 * time.Millisecond
	// unansweredBackoff is how long no tokens are drawn from a part after its
	// holder failed to answer. It doubles with each consecutive failure, up to
	// maxBackoffDoublings times, so that an unreachable failure domain costs
	// the others one stalled draw every few seconds.
	unansweredBackoff   = time.Second
	maxBackoffDoublings = 3
	// unheldBackoff is how long no tokens are drawn from a part without a known
	// holder. Nodes that have all just started agree on the holders within a
	// few rounds of gossip, and another attempt costs next to nothing.
	unheldBackoff = 50 * time.Millisecond
	// maxEmptyBackoff is the longest time for which no tokens are drawn from an
	// empty part: its rate may be raised in the meantime, or its slot may get a
	// new holder.
	maxEmptyBackoff = time.Second
	// prefetchDivisor sets the prefetch target: the demand expected within
	// 1/prefetchDivisor of a token's lifetime. A larger prefetch would often
	// expire unspent.
	prefetchDivisor = 4
	// prefetchInterval is the minimum time between two prefetches.
	prefetchInterval = 5 * time.Millisecond
	// lateGrantWindow is how long after its timeout a draw's late grant is
	// still matched to it.
	lateGrantWindow = 2 * time.Second
)

// partState is what this entry node knows about one part.
type partState struct {
	// answered is set once the part's holder has answered a draw.
	answered bool
	// remaining is the number of tokens that the holder last reported as left,
	// and reportedAt the time of that report, by Instant.Monotonic.
	remaining  int64
	reportedAt time.Duration
	// blockedUntil is the earliest time of the next draw from the part, by
	// Instant.Monotonic.
	blockedUntil time.Duration
	// emptyUntil is when the part is expected to have a token again, by
	// Instant.Monotonic.
	emptyUntil time.Duration
	// failures counts consecutive unanswered draws.
	failures int
}

// pendingDraw is a draw that was sent to another node and has not been answered
// yet.
type pendingDraw struct {
	account  *account
	slot     slotID
	target   coltsfootward.Instance
	need     int64
	prefetch int64
	// sent is when the draw was sent, by Instant.Expiry. The lifetime of the
	// granted tokens starts at this time.
	sent time.Duration
	// deadline is when the waiters stop waiting for the answer, by
	// Instant.Monotonic.
	deadline  time.Duration
	timedOut  bool
	redirects int
}

// drawForWaiters draws tokens until every waiter has one, a draw is pending or
// no part has a token left.
func (p *rateComponent) drawForWaiters(a *account) {
	for a.activeDraw == nil {
		p.serveWaiters(a)
		if len(a.waiters) == 0 {
			return
		}
		part, ok := p.choosePart(a)
		if !ok {
			p.refuseWaiters(a)
			return
		}
		a.activeDraw = p.draw(a, slotID{domain: part.Domain, index: part.Slot}, int64(len(a.waiters)), p.prefetchCount(a), 0)
	}
}

// prefetch draws tokens in advance, so that the requests of a busy organisation
// do not each wait for a round trip.
func (p *rateComponent) prefetch(a *account) {
	now := p.node.now
	missing := p.prefetchCount(a)
	if a.activeDraw != nil || missing == 0 || now.Monotonic < a.nextPrefetch {
		return
	}
	a.nextPrefetch = now.Monotonic + prefetchInterval
	if part, ok := p.choosePart(a); ok {
		a.activeDraw = p.draw(a, slotID{domain: part.Domain, index: part.Slot}, 0, missing, 0)
		p.serveWaiters(a)
	}
}

// prefetchCount returns how many tokens to prefetch. Nothing is prefetched if
// the expected demand is below one token, because that token would mostly
// expire unspent.
func (p *rateComponent) prefetchCount(a *account) int64 {
	target := int64(a.demand.PerSecond(p.node.now.Monotonic) * a.tokenLifetime.Seconds() / prefetchDivisor)
	available := a.tokenCache.Tokens(p.node.now)
	if available > target/2 {
		return 0
	}
	return target - available
}

// choosePart returns the part to draw from next: one in this node's failure
// domain if it may have tokens, otherwise the part with the most tokens
// reported.
func (p *rateComponent) choosePart(a *account) (rate.Part, bool) {
	best := -1
	var bestScore int64
	for i, part := range a.division.Current() {
		state := a.parts[i]
		if p.node.now.Monotonic < state.blockedUntil {
			continue
		}
		score := state.remaining
		if !state.answered {
			score = part.Burst
		}
		if part.Domain == p.node.options.Self.Domain {
			score += a.limit.Burst + 1
		}
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return rate.Part{}, false
	}
	return a.division.Current()[best], true
}

// draw draws tokens from the holder of a slot. It returns the pending draw, or
// nil if the outcome is known already.
func (p *rateComponent) draw(a *account, id slotID, need, prefetch int64, redirects int) *pendingDraw {
	holder, ok := p.node.slots.holder(id)
	if !ok {
		p.backOffUnheld(a, id)
		return nil
	}
	if holder.ID == p.node.options.Self.ID {
		grant := p.grant(message.Draw{Organisation: a.name, Domain: id.domain, Slot: id.index, Need: need, Prefetch: prefetch})
		if !grant.IsHolder {
			p.backOffUnheld(a, id)
			return nil
		}
		p.acceptGrant(a, id, grant, p.node.now.Expiry)
		return nil
	}
	p.lastDrawID++
	d := &pendingDraw{
		account: a, slot: id, target: holder, need: need, prefetch: prefetch, redirects: redirects,
		sent: p.node.now.Expiry, deadline: p.node.now.Monotonic + drawTimeout,
	}
	p.pendingDraws[p.lastDrawID] = d
	p.node.act(Send{To: holder, Message: &message.Draw{
		ID: p.lastDrawID, Organisation: a.name, Domain: id.domain, Slot: id.index,
		Need: need, Prefetch: prefetch, From: p.node.options.Self,
	}})
	return d
}

// grantReceived processes another node's answer to a draw.
func (p *rateComponent) grantReceived(m message.Grant) {
	d, ok := p.pendingDraws[m.ID]
	if !ok {
		return
	}
	delete(p.pendingDraws, m.ID)
	a := d.account
	current := a.activeDraw == d
	if current {
		a.activeDraw = nil
	}
	switch {
	case m.IsHolder:
		p.node.slots.noteHolder(d.slot, d.target)
		p.acceptGrant(a, d.slot, m, d.sent)
	case current && m.Holder.ID != "" && m.Holder.ID != d.target.ID && d.redirects < slotWatchers:
		p.node.slots.noteHolder(d.slot, m.Holder)
		a.activeDraw = p.draw(a, d.slot, d.need, d.prefetch, d.redirects+1)
	case current && d.redirects < slotWatchers:
		p.node.slots.noteHolder(d.slot, coltsfootward.Instance{})
		a.activeDraw = p.draw(a, d.slot, d.need, d.prefetch, d.redirects+1)
	default:
		p.node.slots.noteHolder(d.slot, coltsfootward.Instance{})
		p.backOffUnheld(a, d.slot)
	}
	p.drawForWaiters(a)
}

// acceptGrant adds granted tokens to the organisation's tokens. Their lifetime
// starts when the draw was sent. If it started when the grant arrived, a slow
// grant would extend it beyond what the holder's bucket accounts for.
func (p *rateComponent) acceptGrant(a *account, id slotID, m message.Grant, sent time.Duration) {
	batch := rate.Batch{Tokens: m.Tokens, Expires: sent + m.Lifetime}
	if m.Tokens > 0 && batch.Expires <= p.node.now.Expiry+minRemainingLifetime {
		// The round trip to the holder takes longer than a token's lifetime.
		// Further draws would only empty its bucket with no use for the tokens.
		p.backOffUnanswered(a, id)
		return
	}
	if m.Tokens > 0 {
		a.tokenCache.Add(batch)
	}
	state := p.partState(a, id)
	if state == nil {
		return
	}
	now := p.node.now.Monotonic
	*state = partState{answered: true, remaining: m.Remaining, reportedAt: now}
	if m.RetryAfter > 0 {
		state.emptyUntil = now + m.RetryAfter
		state.blockedUntil = now + min(m.RetryAfter, maxEmptyBackoff)
	}
}

// backOffUnheld pauses draws from a part whose slot has no known holder. After
// a power failure of all nodes that applies to every part. With the longer
// backoff of an unanswered draw, all callers would be refused for another
// second after the holders are known.
func (p *rateComponent) backOffUnheld(a *account, id slotID) {
	state := p.partState(a, id)
	if state == nil {
		return
	}
	state.blockedUntil = p.node.now.Monotonic + unheldBackoff
	state.emptyUntil = state.blockedUntil
}

// backOffUnanswered pauses draws from a part whose holder does not answer.
func (p *rateComponent) backOffUnanswered(a *account, id slotID) {
	state := p.partState(a, id)
	if state == nil {
		return
	}
	wait := unansweredBackoff << min(state.failures, maxBackoffDoublings)
	state.failures++
	state.blockedUntil = p.node.now.Monotonic + wait
	state.emptyUntil = state.blockedUntil
}

func (p *rateComponent) partState(a *account, id slotID) *partState {
	for i, part := range a.division.Current() {
		if part.Domain == id.domain && part.Slot == id.index {
			return &a.parts[i]
		}
	}
	return nil
}

// expireDraws times out unanswered draws and draws from another part for their
// waiters.
func (p *rateComponent) expireDraws() {
	if len(p.pendingDraws) == 0 {
		return
	}
	now := p.node.now.Monotonic
	for _, id := range slices.Sorted(maps.Keys(p.pendingDraws)) {
		d := p.pendingDraws[id]
		if now >= d.deadline+lateGrantWindow {
			delete(p.pendingDraws, id)
		}
		if d.timedOut || now < d.deadline {
			continue
		}
		d.timedOut = true
		p.node.slots.noteHolder(d.slot, coltsfootward.Instance{})
		p.backOffUnanswered(d.account, d.slot)
		if d.account.activeDraw == d {
			d.account.activeDraw = nil
			p.drawForWaiters(d.account)
		}
	}
}
