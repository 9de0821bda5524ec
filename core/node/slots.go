package node

import (
	"slices"

	"coltsfootward"
	"coltsfootward/core/claim"

	"github.com/cespare/xxhash/v2"
)

// claimSlot names the slot that a key's claims belong to.
type claimSlot struct {
	domain coltsfootward.FailureDomain
	number int
}

// claimTerm is this node's own term of a slot's lease.
type claimTerm struct {
	epoch uint64
	began coltsfootward.Instant
	// first is set if nobody held the lease before.
	first bool
}

// claimSlots says who holds which slot.
type claimSlots interface {
	// count is the number of slots in each failure domain.
	count() int
	// holder returns the instance that is believed to hold the slot.
	holder(s claimSlot) (coltsfootward.Instance, bool)
	// term returns this node's term of the slot if its lease stands now.
	term(s claimSlot) (claimTerm, bool)
}

// slotOf returns the slot of a key, the same at every node: in the failure
// domain that the key names, else in one that its hash chooses.
func (p *claimsPart) slotOf(key claim.Key) claimSlot {
	hash := xxhash.Sum64String(string(key.Organisation) + "\x00" + key.Text)
	domains := p.node.options.Domains
	domain := coltsfootward.FailureDomain(key.Domain())
	if !slices.Contains(domains, domain) {
		domain = domains[hash%uint64(len(domains))]
	}
	return claimSlot{domain: domain, number: int(hash / uint64(len(domains)) % uint64(p.slots.count()))}
}

// leasedSlots brings claims to the holders of the slots' leases.
type leasedSlots struct{ node *Node }

func newClaimSlots(n *Node) claimSlots { return leasedSlots{node: n} }

func (l leasedSlots) count() int { return l.node.options.Slots }

func (l leasedSlots) holder(s claimSlot) (coltsfootward.Instance, bool) {
	return l.node.lease.holder(slotID{domain: s.domain, index: s.number})
}

func (l leasedSlots) term(s claimSlot) (claimTerm, bool) {
	slot, ok := l.node.lease.own(slotID{domain: s.domain, index: s.number})
	if !ok || !slot.Held(l.node.now) {
		return claimTerm{}, false
	}
	return claimTerm{epoch: slot.Epoch(), began: slot.Began(), first: slot.First()}, true
}
