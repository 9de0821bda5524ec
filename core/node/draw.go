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
	// drawTimeout is how long a draw may go unanswered before the next part is
	// asked. It is well above a round trip between failure domains; while it
	// runs, requests wait.
	drawTimeout = 100 * time.Millisecond
	// silentWait is how long a part whose holder did not answer is left alone.
	// It doubles with each failure up to silentDoublings times, so that a cut
	// domain costs the others one stalled draw in a few seconds.
	silentWait      = time.Second
	silentDoublings = 3
	// unheldWait is how long a part is left alone that nobody holds yet. Nodes that
	// have all just started agree on the holders within a few rounds of gossip, and
	// to look again costs next to nothing.
	unheldWait = 50 * time.Millisecond
	// emptyWait is the longest that an empty part is left alone: its rate may be
	// raised, or its slot have a new holder.
	emptyWait = time.Second
	// stockShare is the part of a token's life, one in so many, for which
	// demand is drawn ahead. More would often run out unspent.
	stockShare = 4
	// stockInterval is the least time between two draws ahead of need.
	stockInterval = 5 * time.Millisecond
	// drawMemory is how long a draw's late answer is still recognised.
	drawMemory = 2 * time.Second
)

// partView is what an entry node knows about one part.
type partView struct {
	// asked is set once the part's holder has answered.
	asked bool
	// level is how many tokens its holder had left, told when it said so, by
	// Instant.Monotonic.
	level int64
	told  time.Duration
	// blockedUntil is when to ask again, by Instant.Monotonic.
	blockedUntil time.Duration
	// emptyUntil is when it will have a token, by Instant.Monotonic.
	emptyUntil time.Duration
	// failures counts draws in a row that brought no answer.
	failures int
}

// pendingDraw is a draw that was sent to another node.
type pendingDraw struct {
	account *account
	slot    slotID
	asked   coltsfootward.Instance
	need    int64
	ahead   int64
	// sent is when it was sent, by Instant.Expiry: tokens live from then on.
	sent time.Duration
	// givenUp is when its answer is no longer waited for, by Instant.Monotonic.
	givenUp   time.Duration
	abandoned bool
	redirects int
}

// pump draws until every waiting call has a token or no part has one.
func (p *ratePart) pump(a *account) {
	for a.drawing == nil {
		p.serve(a)
		if len(a.waiting) == 0 {
			return
		}
		part, ok := p.choosePart(a)
		if !ok {
			p.refuse(a)
			return
		}
		a.drawing = p.draw(a, slotID{domain: part.Domain, index: part.Slot}, int64(len(a.waiting)), p.missingStock(a), 0)
	}
}

// stock draws ahead of need, so that a busy organisation's requests do not
// wait for a round trip each.
func (p *ratePart) stock(a *account) {
	now := p.node.now
	missing := p.missingStock(a)
	if a.drawing != nil || missing == 0 || now.Monotonic < a.ahead {
		return
	}
	a.ahead = now.Monotonic + stockInterval
	if part, ok := p.choosePart(a); ok {
		a.drawing = p.draw(a, slotID{domain: part.Domain, index: part.Slot}, 0, missing, 0)
		p.serve(a)
	}
}

// missingStock returns how many tokens to draw ahead. Below one token's worth
// of demand nothing is drawn ahead: it would mostly run out unspent.
func (p *ratePart) missingStock(a *account) int64 {
	target := int64(a.demand.PerSecond(p.node.now) * a.life.Seconds() / stockShare)
	stock := a.purse.Tokens(p.node.now)
	if stock > target/2 {
		return 0
	}
	return target - stock
}

// choosePart returns the part to ask next: one of the own failure domain if it
// may have tokens, else the one that last had the most.
func (p *ratePart) choosePart(a *account) (rate.Part, bool) {
	best := -1
	var bestScore int64
	for i, part := range a.share.Current() {
		view := a.parts[i]
		if p.node.now.Monotonic < view.blockedUntil {
			continue
		}
		score := view.level
		if !view.asked {
			score = part.Burst
		}
		if part.Domain == p.node.options.Self.Domain {
			score += a.whole.Burst + 1
		}
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return rate.Part{}, false
	}
	return a.share.Current()[best], true
}

// draw asks a slot's holder. It returns the draw under way, or nil if the
// answer is there already.
func (p *ratePart) draw(a *account, id slotID, need, ahead int64, redirects int) *pendingDraw {
	holder, ok := p.node.slots.holder(id)
	if !ok {
		p.unheld(a, id)
		return nil
	}
	if holder.ID == p.node.options.Self.ID {
		grant := p.grant(message.Draw{Organisation: a.name, Domain: id.domain, Slot: id.index, Need: need, Ahead: ahead})
		if !grant.Held {
			p.unheld(a, id)
			return nil
		}
		p.granted(a, id, grant, p.node.now.Expiry)
		return nil
	}
	p.nextDraw++
	d := &pendingDraw{
		account: a, slot: id, asked: holder, need: need, ahead: ahead, redirects: redirects,
		sent: p.node.now.Expiry, givenUp: p.node.now.Monotonic + drawTimeout,
	}
	p.draws[p.nextDraw] = d
	p.node.act(Send{To: holder, Message: &message.Draw{
		ID: p.nextDraw, Organisation: a.name, Domain: id.domain, Slot: id.index,
		Need: need, Ahead: ahead, From: p.node.options.Self,
	}})
	return d
}

// answered takes a grant from another node.
func (p *ratePart) answered(m message.Grant) {
	d, ok := p.draws[m.ID]
	if !ok {
		return
	}
	delete(p.draws, m.ID)
	a := d.account
	current := a.drawing == d
	if current {
		a.drawing = nil
	}
	switch {
	case m.Held:
		p.node.slots.elsewhere(d.slot, d.asked)
		p.granted(a, d.slot, m, d.sent)
	case current && m.Ask.ID != "" && m.Ask.ID != d.asked.ID && d.redirects < slotWatchers:
		p.node.slots.elsewhere(d.slot, m.Ask)
		a.drawing = p.draw(a, d.slot, d.need, d.ahead, d.redirects+1)
	case current && d.redirects < slotWatchers:
		p.node.slots.elsewhere(d.slot, coltsfootward.Instance{})
		a.drawing = p.draw(a, d.slot, d.need, d.ahead, d.redirects+1)
	default:
		p.node.slots.elsewhere(d.slot, coltsfootward.Instance{})
		p.unheld(a, d.slot)
	}
	p.pump(a)
}

// granted takes tokens in. They live from before the draw was sent: counted
// from the answer, a slow answer would stretch their life past what the
// holder's bucket allows for.
func (p *ratePart) granted(a *account, id slotID, m message.Grant, sent time.Duration) {
	chunk := rate.Chunk{Tokens: m.Tokens, Expires: sent + m.Life}
	if m.Tokens > 0 && chunk.Expires <= p.node.now.Expiry+spendSpare {
		// The way to the holder takes longer than tokens live. To draw on would
		// empty its bucket for nobody's use.
		p.silent(a, id)
		return
	}
	if m.Tokens > 0 {
		a.purse.Add(chunk)
	}
	view := p.view(a, id)
	if view == nil {
		return
	}
	now := p.node.now.Monotonic
	*view = partView{asked: true, level: m.Level, told: now}
	if m.EmptyFor > 0 {
		view.emptyUntil = now + m.EmptyFor
		view.blockedUntil = now + min(m.EmptyFor, emptyWait)
	}
}

// unheld leaves a part alone for a moment that nobody holds, as far as is known.
// After a loss of power of all nodes that is every part: left alone for as long as
// one whose holder does not answer, they would have all callers refused for a
// second after their holders are there.
func (p *ratePart) unheld(a *account, id slotID) {
	view := p.view(a, id)
	if view == nil {
		return
	}
	view.blockedUntil = p.node.now.Monotonic + unheldWait
	view.emptyUntil = view.blockedUntil
}

// silent leaves a part alone whose holder does not answer.
func (p *ratePart) silent(a *account, id slotID) {
	view := p.view(a, id)
	if view == nil {
		return
	}
	wait := silentWait << min(view.failures, silentDoublings)
	view.failures++
	view.blockedUntil = p.node.now.Monotonic + wait
	view.emptyUntil = view.blockedUntil
}

func (p *ratePart) view(a *account, id slotID) *partView {
	for i, part := range a.share.Current() {
		if part.Domain == id.domain && part.Slot == id.index {
			return &a.parts[i]
		}
	}
	return nil
}

// expireDraws goes on without the draws that were not answered in time.
func (p *ratePart) expireDraws() {
	if len(p.draws) == 0 {
		return
	}
	now := p.node.now.Monotonic
	for _, id := range slices.Sorted(maps.Keys(p.draws)) {
		d := p.draws[id]
		if now >= d.givenUp+drawMemory {
			delete(p.draws, id)
		}
		if d.abandoned || now < d.givenUp {
			continue
		}
		d.abandoned = true
		p.node.slots.elsewhere(d.slot, coltsfootward.Instance{})
		p.silent(d.account, d.slot)
		if d.account.drawing == d {
			d.account.drawing = nil
			p.pump(d.account)
		}
	}
}
