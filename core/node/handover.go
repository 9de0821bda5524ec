package node

import (
	"slices"
	"time"

	"coltsfootward/core/claim"
	"coltsfootward/core/message"
	"coltsfootward/core/record"
)

const (
	// handoverPage is how many claims one message carries; each takes about
	// 150 bytes, so a page is far below the limit of a frame.
	handoverPage = 1000
	// handoverWait is how long a handover waits for this node to take the slot.
	handoverWait = 2 * time.Minute
)

// incomingHandover collects the pages of a handover.
type incomingHandover struct {
	epoch   uint64
	pages   int
	seen    map[int]bool
	whole   claim.Handover
	expires time.Duration
}

// handOver gives the claims of released slots to those who may take them over.
// A slot that merely lapsed may be this node's again in the same epoch, with
// claims granted after the handover: only one released for good is handed over.
func (p *claimsPart) handOver() {
	for _, slot := range p.slots.released() {
		h, ok := p.holders[slot.id]
		if !ok || h.epoch != slot.epoch {
			continue
		}
		delete(p.holders, slot.id)
		p.sendHandover(slot, h.claims.Handover(p.node.now))
	}
}

func (p *claimsPart) sendHandover(slot releasedSlot, whole claim.Handover) {
	p.node.report(record.ClaimsHandedOver, field("slot", number(slot.id.index)), field("claims", number(len(whole.Claims))))
	pages := max((len(whole.Claims)+handoverPage-1)/handoverPage, 1)
	for page := range pages {
		part := whole
		part.Claims = whole.Claims[page*handoverPage : min((page+1)*handoverPage, len(whole.Claims))]
		for _, to := range slot.successors {
			p.node.act(Send{To: to, Message: &message.ClaimHandover{
				Domain: slot.id.domain, Slot: slot.id.index, Epoch: slot.epoch, Page: page, Pages: pages, Handover: part,
			}})
		}
	}
}

// handoverReceived keeps a page until this node holds the slot.
func (p *claimsPart) handoverReceived(m message.ClaimHandover) {
	most := p.node.options.MaximumClaims/handoverPage + 1
	if m.Pages < 1 || m.Pages > most || m.Page < 0 || m.Page >= m.Pages || len(m.Handover.Claims) > handoverPage {
		return
	}
	id := slotID{domain: m.Domain, index: m.Slot}
	if !slices.Contains(p.slots.own(), id) {
		return
	}
	in, ok := p.handovers[id]
	if !ok || in.epoch < m.Epoch {
		in = &incomingHandover{epoch: m.Epoch, pages: m.Pages, seen: make(map[int]bool), whole: m.Handover}
		in.whole.Claims = nil
		in.expires = p.node.now.Monotonic + handoverWait
		p.handovers[id] = in
	}
	if in.epoch != m.Epoch || in.pages != m.Pages || in.seen[m.Page] {
		return
	}
	in.seen[m.Page] = true
	in.whole.Claims = append(in.whole.Claims, m.Handover.Claims...)
	if h, ok := p.holder(id); ok {
		p.takeOver(id, h)
	}
}

// takeOver completes the claims of a slot whose last holder handed them over.
// It must have been the holder right before: one in between may have granted
// keys that the handover does not know.
func (p *claimsPart) takeOver(id slotID, h *slotHolder) {
	in, ok := p.handovers[id]
	if !ok || in.epoch+1 != h.epoch || len(in.seen) < in.pages {
		return
	}
	delete(p.handovers, id)
	h.claims.Take(p.node.now, in.whole)
	p.node.report(record.ClaimsTakenOver, field("slot", number(id.index)), field("claims", number(len(in.whole.Claims))))
}

// forgetHandovers drops those of slots that others took.
func (p *claimsPart) forgetHandovers() {
	for _, id := range p.slots.own() {
		if in, ok := p.handovers[id]; ok && p.node.now.Monotonic >= in.expires {
			delete(p.handovers, id)
		}
	}
}
