package node

import (
	"slices"
	"time"

	"coltsfootward/core/claim"
	"coltsfootward/core/message"
	"coltsfootward/core/record"
)

const (
	// handoverPageClaims is the maximum number of claims in one message. A
	// claim takes about 150 bytes, so a page is far below the frame size limit.
	handoverPageClaims = 1000
	// handoverLifetime is how long a received handover is retained, in case
	// this node acquires the slot.
	handoverLifetime = 2 * time.Minute
)

// incomingHandover collects the pages of a handover.
type incomingHandover struct {
	epoch    uint64
	pages    int
	received map[int]bool
	content  claim.Handover
	expires  time.Duration
}

// sendHandovers sends the claims of released slots to the candidate successors.
// A slot whose lease has only expired is not handed over. This node may acquire
// it again in the same epoch and grant further claims, which the handover would
// lack.
func (p *claimsComponent) sendHandovers() {
	for _, slot := range p.slots.takeReleased() {
		h, ok := p.held[slot.id]
		if !ok || h.epoch != slot.epoch {
			continue
		}
		delete(p.held, slot.id)
		p.sendHandover(slot, h.claims.Handover(p.node.now))
	}
}

func (p *claimsComponent) sendHandover(slot releasedSlot, handover claim.Handover) {
	p.node.report(record.ClaimsHandedOver, field("slot", number(slot.id.index)), field("claims", number(len(handover.Claims))))
	pages := max((len(handover.Claims)+handoverPageClaims-1)/handoverPageClaims, 1)
	for page := range pages {
		pageContent := handover
		pageContent.Claims = handover.Claims[page*handoverPageClaims : min((page+1)*handoverPageClaims, len(handover.Claims))]
		for _, to := range slot.successors {
			p.node.act(Send{To: to, Message: &message.ClaimHandover{
				Domain: slot.id.domain, Slot: slot.id.index, Epoch: slot.epoch, Page: page, Pages: pages, Handover: pageContent,
			}})
		}
	}
}

// handoverReceived stores a page until this node holds the slot.
func (p *claimsComponent) handoverReceived(m message.ClaimHandover) {
	maxPages := p.node.options.MaximumClaims/handoverPageClaims + 1
	if m.Pages < 1 || m.Pages > maxPages || m.Page < 0 || m.Page >= m.Pages || len(m.Handover.Claims) > handoverPageClaims {
		return
	}
	id := slotID{domain: m.Domain, index: m.Slot}
	if !slices.Contains(p.slots.localSlots(), id) {
		return
	}
	incoming, ok := p.handovers[id]
	if !ok || incoming.epoch < m.Epoch {
		incoming = &incomingHandover{epoch: m.Epoch, pages: m.Pages, received: make(map[int]bool), content: m.Handover}
		incoming.content.Claims = nil
		incoming.expires = p.node.now.Monotonic + handoverLifetime
		p.handovers[id] = incoming
	}
	if incoming.epoch != m.Epoch || incoming.pages != m.Pages || incoming.received[m.Page] {
		return
	}
	incoming.received[m.Page] = true
	incoming.content.Claims = append(incoming.content.Claims, m.Handover.Claims...)
	if h, ok := p.claimsOf(id); ok {
		p.applyHandover(id, h)
	}
}

// applyHandover adds the claims of the previous holder to those of a held slot.
// The handover must come from the immediately preceding epoch, because a holder
// in between may have granted keys that the handover does not contain.
func (p *claimsComponent) applyHandover(id slotID, h *slotClaims) {
	incoming, ok := p.handovers[id]
	if !ok || incoming.epoch+1 != h.epoch || len(incoming.received) < incoming.pages {
		return
	}
	delete(p.handovers, id)
	h.claims.Restore(p.node.now, incoming.content)
	p.node.report(record.ClaimsTakenOver, field("slot", number(id.index)), field("claims", number(len(incoming.content.Claims))))
}

// checkHandovers applies handovers for slots that this node now holds, and
// drops those that have expired.
func (p *claimsComponent) checkHandovers() {
	for _, id := range p.slots.localSlots() {
		incoming, ok := p.handovers[id]
		if !ok {
			continue
		}
		if term, held := p.slots.term(id); held && term.epoch == incoming.epoch+1 {
			p.claimsOf(id)
		}
		if p.node.now.Monotonic >= incoming.expires {
			delete(p.handovers, id)
		}
	}
}
