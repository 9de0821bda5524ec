package node

import (
	"slices"

	"coltsfootward"
	"coltsfootward/core/claim"

	"github.com/cespare/xxhash/v2"
)

// slotTerm is a term for which this node holds a slot.
type slotTerm struct {
	epoch uint64
	began coltsfootward.Instant
	// first is set if the slot had no earlier holder that granted anything.
	first bool
	// share is the fraction of the slot's part that this node may grant.
	share float64
}

// releasedSlot is a slot that this node has released for good.
type releasedSlot struct {
	id    slotID
	epoch uint64
	// successors are the candidates to take the slot over.
	successors []coltsfootward.Instance
}

// slotDirectory finds the holders of slots.
type slotDirectory interface {
	// count returns the number of slots in each failure domain.
	count() int
	// localSlots lists the slots of this node's failure domain.
	localSlots() []slotID
	// holder returns the instance that is assumed to hold the slot.
	holder(id slotID) (coltsfootward.Instance, bool)
	// lastKnownHolder returns the holder of a slot in this node's failure
	// domain, as last seen by this node, for a peer that contacted this node in
	// error. It is empty if the holder is unknown.
	lastKnownHolder(id slotID) coltsfootward.Instance
	// noteHolder records that holder holds the slot. An empty holder means that
	// the instance last contacted does not hold it or does not answer, and that
	// the actual holder is unknown.
	noteHolder(id slotID, holder coltsfootward.Instance)
	// term returns this node's term of the slot if the node holds the slot now.
	term(id slotID) (slotTerm, bool)
	// takeReleased returns the slots that were released since the last call.
	takeReleased() []releasedSlot
}

// slotOf returns the slot of a key; all nodes compute the same one. The slot is
// in the failure domain that the key names, or else in one chosen by the key's
// hash.
func (p *claimsComponent) slotOf(key claim.Key) slotID {
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

// leasedSlots finds the holders by the slots' leases.
type leasedSlots struct{ node *Node }

func (l leasedSlots) count() int { return l.node.options.Slots }

func (l leasedSlots) localSlots() []slotID { return localSlots(l.node) }

// localSlots lists the slots of the node's failure domain.
func localSlots(n *Node) []slotID {
	all := make([]slotID, n.options.Slots)
	for i := range all {
		all[i] = slotID{domain: n.options.Self.Domain, index: i}
	}
	return all
}

func (l leasedSlots) holder(id slotID) (coltsfootward.Instance, bool) { return l.node.lease.holder(id) }

func (l leasedSlots) lastKnownHolder(id slotID) coltsfootward.Instance {
	return l.node.lease.lastKnownHolder(id)
}

func (l leasedSlots) noteHolder(id slotID, holder coltsfootward.Instance) {
	if holder.ID == "" {
		l.node.lease.holderMissed(id)
		return
	}
	l.node.lease.setHolder(id, holder)
}

func (l leasedSlots) term(id slotID) (slotTerm, bool) {
	slot, ok := l.node.lease.localSlot(id)
	if !ok || !slot.Held(l.node.now) {
		return slotTerm{}, false
	}
	return slotTerm{epoch: slot.Epoch(), began: slot.Began(), first: slot.UnusedBefore(), share: 1}, true
}

func (l leasedSlots) takeReleased() []releasedSlot { return l.node.lease.takeReleased() }
