package node

import (
	"slices"

	"coltsfootward"
	"coltsfootward/core/claim"

	"github.com/cespare/xxhash/v2"
)

// claimTerm is this node's own term of a slot's lease.
type claimTerm struct {
	epoch uint64
	began coltsfootward.Instant
	// first is set if nobody held the lease before.
	first bool
}

// releasedSlot is a slot that this node has given up for good.
type releasedSlot struct {
	id    slotID
	epoch uint64
	// successors are those who may take it over.
	successors []coltsfootward.Instance
}

// claimSlots says who holds which slot.
type claimSlots interface {
	// count is the number of slots in each failure domain.
	count() int
	// own lists the slots of this node's failure domain.
	own() []slotID
	// holder returns the instance that is believed to hold the slot.
	holder(id slotID) (coltsfootward.Instance, bool)
	// known returns the holder of an own slot as this node last saw it, for one
	// that asked in vain; empty if unknown.
	known(id slotID) coltsfootward.Instance
	// elsewhere notes that whoever was asked does not hold the slot, and who
	// does if that is known.
	elsewhere(id slotID, holder coltsfootward.Instance)
	// term returns this node's term of the slot if its lease stands now.
	term(id slotID) (claimTerm, bool)
	// released lists the slots that this node is giving up.
	released() []releasedSlot
}

// slotOf returns the slot of a key, the same at every node: in the failure
// domain that the key names, else in one that its hash chooses.
func (p *claimsPart) slotOf(key claim.Key) slotID {
	hash := xxhash.Sum64String(string(key.Organisation) + "\x00" + key.Text)
	domains := p.node.options.Domains
	if len(domains) == 0 {
		domains = []coltsfootward.FailureDomain{p.node.options.Self.Domain}
	}
	domain := coltsfootward.FailureDomain(key.Domain())
	if !slices.Contains(domains, domain) {
		domain = domains[hash%uint64(len(domains))]
	}
	return slotID{domain: domain, index: int(hash / uint64(len(domains)) % uint64(p.slots.count()))}
}

// ROSTER
// slotID names a slot of the deployment.
type slotID struct {
	domain coltsfootward.FailureDomain
	index  int
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

func (r *rosterSlots) own() []slotID { return []slotID{{domain: r.node.options.Self.Domain}} }

func (r *rosterSlots) holder(id slotID) (coltsfootward.Instance, bool) {
	first := r.node.membership.machine.First(id.domain, 1)
	if len(first) == 0 {
		return coltsfootward.Instance{}, false
	}
	return first[0], true
}

func (r *rosterSlots) known(id slotID) coltsfootward.Instance {
	holder, _ := r.holder(id)
	return holder
}

func (r *rosterSlots) elsewhere(slotID, coltsfootward.Instance) {}

func (r *rosterSlots) term(id slotID) (claimTerm, bool) {
	holder, ok := r.holder(id)
	return claimTerm{epoch: 1, began: r.began, first: true}, ok && holder.ID == r.node.options.Self.ID
}

func (r *rosterSlots) released() []releasedSlot { return nil }
