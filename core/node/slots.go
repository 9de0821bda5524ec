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

// rosterSlots gives every slot of a failure domain to the first member of its
// roster. Two nodes with different rosters may both take themselves for the
// holder, so it is good only until leases decide.
type rosterSlots struct {
	node  *Node
	began coltsfootward.Instant
}

func newClaimSlots(n *Node) claimSlots { return &rosterSlots{node: n, began: n.now} }

func (r *rosterSlots) count() int { return 1 }

func (r *rosterSlots) holder(s claimSlot) (coltsfootward.Instance, bool) {
	first := r.node.membership.machine.First(s.domain, 1)
	if len(first) == 0 {
		return coltsfootward.Instance{}, false
	}
	return first[0], true
}

func (r *rosterSlots) term(s claimSlot) (claimTerm, bool) {
	holder, ok := r.holder(s)
	return claimTerm{epoch: 1, began: r.began, first: true}, ok && holder.ID == r.node.options.Self.ID
}
