package node

import (
	"slices"

	"coltsfootward"
	"coltsfootward/core/claim"

	"github.com/cespare/xxhash/v2"
)

// slotTerm is this node's own term of a slot.
type slotTerm struct {
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

// slotHolders says who holds which slot.
type slotHolders interface {
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
	term(id slotID) (slotTerm, bool)
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

// leasedSlots knows the holders of the slots' leases.
type leasedSlots struct{ node *Node }

func (l leasedSlots) count() int { return l.node.options.Slots }

func (l leasedSlots) own() []slotID { return ownSlots(l.node) }

// ownSlots lists the slots of the node's failure domain.
func ownSlots(n *Node) []slotID {
	all := make([]slotID, n.options.Slots)
	for i := range all {
		all[i] = slotID{domain: n.options.Self.Domain, index: i}
	}
	return all
}

func (l leasedSlots) holder(id slotID) (coltsfootward.Instance, bool) { return l.node.lease.holder(id) }

func (l leasedSlots) known(id slotID) coltsfootward.Instance { return l.node.lease.known(id) }

func (l leasedSlots) elsewhere(id slotID, holder coltsfootward.Instance) {
	if holder.ID == "" {
		l.node.lease.holderFailed(id)
		return
	}
	l.node.lease.holderAnswered(id, holder)
}

func (l leasedSlots) term(id slotID) (slotTerm, bool) {
	slot, ok := l.node.lease.own(id)
	if !ok || !slot.Held(l.node.now) {
		return slotTerm{}, false
	}
	return slotTerm{epoch: slot.Epoch(), began: slot.Began(), first: slot.First()}, true
}

func (l leasedSlots) released() []releasedSlot { return l.node.lease.takeReleased() }
