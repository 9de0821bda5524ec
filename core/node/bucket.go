package node

import (
	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/rate"
)

// bucketID identifies the bucket that a slot's holder keeps for one
// organisation's part.
type bucketID struct {
	slot         int
	organisation coltsfootward.OrganisationName
}

// heldBucket is a bucket of a slot that this node holds, valid for one epoch of
// the slot.
type heldBucket struct {
	bucket *rate.Bucket
	epoch  uint64
	part   rate.Part
}

// drawReceived answers another node's draw.
func (p *rateComponent) drawReceived(m message.Draw) {
	p.refresh()
	grant := p.grant(m)
	p.node.act(Send{To: m.From, Message: &grant})
}

// grant draws from the bucket of a slot that this node holds. The lease is
// checked in the same step that takes the tokens, so that a node that was
// paused notices that its lease has expired and grants nothing.
func (p *rateComponent) grant(m message.Draw) message.Grant {
	id := slotID{domain: m.Domain, index: m.Slot}
	term, ok := p.node.slots.term(id)
	if !ok {
		return message.Grant{ID: m.ID, Holder: p.node.slots.lastKnownHolder(id)}
	}
	g := p.bucket(m.Organisation, m.Slot, term).Draw(p.node.now, m.Need, m.Prefetch)
	return message.Grant{
		ID: m.ID, IsHolder: true,
		Tokens: g.Tokens, Lifetime: g.Lifetime, RetryAfter: g.RetryAfter, Remaining: g.Remaining,
	}
}

// bucket returns the bucket of an organisation's part in a held slot.
func (p *rateComponent) bucket(organisation coltsfootward.OrganisationName, index int, term slotTerm) *rate.Bucket {
	a, ok := p.accounts[organisation]
	if !ok {
		return rate.NewBucket(rate.Part{}, p.node.now.Monotonic)
	}
	part := a.division.Part(p.node.now, p.node.options.Self.Domain, index).Scaled(term.share)
	id := bucketID{slot: index, organisation: organisation}
	held, ok := p.buckets[id]
	if !ok || held.epoch != term.epoch {
		held = &heldBucket{bucket: p.newBucket(a, term, part), epoch: term.epoch, part: part}
		p.buckets[id] = held
	}
	if held.part != part {
		held.bucket.SetPart(p.node.now, part)
		held.part = part
	}
	return held.bucket
}

// newBucket returns the bucket for its first use in an epoch. The bucket starts
// empty, because an earlier holder may have granted tokens from the part. It
// starts full only if that is impossible: the slot had no earlier holder, or
// the organisation was created so long after the start of the epoch that no
// earlier holder knew it. After a change that moved tokens between parts it
// starts empty as well, since the tokens that a part gains may have been
// granted by the holder of another part.
func (p *rateComponent) newBucket(a *account, term slotTerm, part rate.Part) *rate.Bucket {
	since := max(term.began.Monotonic, a.division.EffectiveAt())
	unused := term.first || (a.creationSeen && a.firstSeen >= term.began.Monotonic+p.node.options.ConfigurationSpread)
	if unused && a.division.EffectiveAt() == 0 {
		return rate.NewFullBucket(part, since)
	}
	return rate.NewBucket(part, since)
}

// unused reports whether this node has granted no tokens for the slot in its
// current epoch.
func (p *rateComponent) unused(index int) bool {
	for id := range p.buckets {
		if id.slot == index {
			return false
		}
	}
	return true
}
