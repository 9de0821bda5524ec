package node

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/lease"
	"coltsfootward/core/message"
	"coltsfootward/core/record"

	"github.com/cespare/xxhash/v2"
)

// slotWatchers is the number of nodes that read the record of one slot: its
// holder and the candidates to succeed it. Other nodes never read the record,
// so that the load on the platform does not grow with the number of nodes; they
// learn the holder from the answers to their own requests.
const slotWatchers = 3

// rankInterval is the time between two computations of the slots' candidates.
// With 64 slots and 1,333 nodes each computation costs 85,000 hashes.
const rankInterval = 2 * time.Second

// A node that has just started and does not know all others yet acquires slots
// that it should not keep. During this period it computes the candidates more
// often, to release such slots before they are in use.
const (
	startPeriod       = 10 * time.Second
	startRankInterval = 250 * time.Millisecond
)

// releaseTimeout bounds how long a leaving node waits for the platform to store
// the release of its slots. A longer wait gains nothing, because the leases
// expire.
const releaseTimeout = 2 * time.Second

// slotID identifies a slot of the deployment.
type slotID struct {
	domain coltsfootward.FailureDomain
	index  int
}

// holderHint is the node's current assumption about the holder of a slot.
type holderHint struct {
	// holder answered as the holder or was named as the holder by another node.
	// It is empty if the holder is unknown.
	holder coltsfootward.Instance
	// misses counts the candidates that answered that they do not hold the
	// slot, or did not answer, since the holder was last known.
	misses int
}

// leaseComponent manages the leases of slots in the node's own failure domain
// and finds the holders of all other slots.
type leaseComponent struct {
	node  *Node
	slots []*lease.Slot
	// ranks is this node's position among each slot's candidates.
	ranks []int
	// offeredUntil is the time until which each slot is offered to this node,
	// by Instant.Monotonic.
	offeredUntil []time.Duration
	// successors are the instances to which this node last offered each slot.
	successors []coltsfootward.Instance
	// reported is the state of each slot that was reported last.
	reported  []bool
	fairShare int
	started   time.Duration
	nextRank  time.Duration
	hints     map[slotID]*holderHint
	// disconnected holds the peers whose connection broke and from which no
	// message has arrived since.
	disconnected   map[coltsfootward.InstanceID]bool
	releaseStarted time.Duration
	// released are the slots that were released and whose claims are not handed
	// over yet.
	released []releasedSlot
}

func newLeaseComponent(n *Node) *leaseComponent {
	p := &leaseComponent{
		node:         n,
		ranks:        make([]int, n.options.Slots),
		successors:   make([]coltsfootward.Instance, n.options.Slots),
		reported:     make([]bool, n.options.Slots),
		offeredUntil: make([]time.Duration, n.options.Slots),
		started:      n.now.Monotonic,
		hints:        make(map[slotID]*holderHint),
		disconnected: make(map[coltsfootward.InstanceID]bool),
	}
	for range n.options.Slots {
		p.slots = append(p.slots, lease.New(lease.Options{Self: n.options.Self, Term: n.options.LeaseTerm, Margin: n.options.LeaseMargin}))
	}
	return p
}

func (p *leaseComponent) tick() {
	now := p.node.now
	if now.Monotonic >= p.nextRank {
		p.nextRank = now.Monotonic + rankInterval
		if now.Monotonic < p.started+startPeriod {
			p.nextRank = now.Monotonic + startRankInterval
		}
		p.updateRanks()
		p.rebalance()
	}
	for i, s := range p.slots {
		p.execute(i, s.Tick(now, p.candidacy(i)))
		p.reportHeld(i)
	}
}

// candidacy returns whether and with which delay this node tries to acquire a
// slot. The delay grows with the node's rank among the candidates, and a node
// that already holds its fair share waits for two terms more. A slot that was
// offered to this node is acquired without delay.
func (p *leaseComponent) candidacy(index int) lease.Candidacy {
	rank := p.ranks[index]
	term := p.node.options.LeaseTerm
	c := lease.Candidacy{Eligible: !p.node.draining && p.watches(index), Delay: time.Duration(rank) * term / 3}
	if p.node.now.Monotonic < p.offeredUntil[index] {
		return lease.Candidacy{Eligible: !p.node.draining}
	}
	if p.ownedCount() >= p.fairShare {
		c.Delay += 2 * term
	}
	return c
}

func (p *leaseComponent) ownedCount() int {
	count := 0
	for _, s := range p.slots {
		if s.IsHolderOfRecord() && !s.Releasing() {
			count++
		}
	}
	return count
}

// updateRanks computes this node's position among each slot's candidates, and
// its fair share of the slots.
func (p *leaseComponent) updateRanks() {
	domain := p.node.options.Self.Domain
	count := 1
	for i := range p.slots {
		order := p.candidates(slotID{domain: domain, index: i})
		count = len(order)
		p.ranks[i] = slices.IndexFunc(order, func(c coltsfootward.Instance) bool { return c.ID == p.node.options.Self.ID })
	}
	p.fairShare = (len(p.slots) + count - 1) / max(count, 1)
}

// candidates returns the nodes of the slot's failure domain in the order of
// preference for holding the slot. Nodes that know the same peers compute the
// same order.
func (p *leaseComponent) candidates(id slotID) []coltsfootward.Instance {
	var running []coltsfootward.Instance
	for _, member := range p.node.membership.roster(id.domain) {
		instance := member.Announcement.Instance
		if member.State != message.MemberGone && !p.disconnected[instance.ID] {
			running = append(running, instance)
		}
	}
	weights := make(map[coltsfootward.InstanceID]uint64, len(running))
	for _, c := range running {
		weights[c.ID] = xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", id.domain, id.index, c.ID))
	}
	slices.SortFunc(running, func(a, b coltsfootward.Instance) int {
		return cmp.Or(cmp.Compare(weights[a.ID], weights[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	return running
}

// successorsOf returns the first candidates of a slot, excluding this node.
func (p *leaseComponent) successorsOf(id slotID) []coltsfootward.Instance {
	order := slices.DeleteFunc(p.candidates(id), func(c coltsfootward.Instance) bool { return c.ID == p.node.options.Self.ID })
	return order[:min(len(order), slotWatchers)]
}

// rebalance releases slots if the node holds more than its fair share.
// Otherwise the node that started first would keep them all, and its loss would
// stop the whole failure domain. Slots in use are released one at a time,
// because the next holder starts with empty buckets.
func (p *leaseComponent) rebalance() {
	for !p.node.draining && p.ownedCount() > p.fairShare {
		index := p.leastPreferred()
		unused := p.unused(index)
		p.release(index)
		if !unused {
			return
		}
	}
}

// release gives a slot up. From now on this node grants nothing more in the
// slot's current epoch, even if the platform does not store the release.
func (p *leaseComponent) release(index int) {
	slot := p.slots[index]
	if slot.Releasing() {
		return
	}
	id := slotID{domain: p.node.options.Self.Domain, index: index}
	slot.Release(p.unused(index))
	p.released = append(p.released, releasedSlot{id: id, epoch: slot.Epoch(), successors: p.successorsOf(id)})
}

// takeReleased returns the slots that were released since the last call.
func (p *leaseComponent) takeReleased() []releasedSlot {
	released := p.released
	p.released = nil
	return released
}

// unused reports whether this node has granted neither tokens nor claims for
// the slot in its current epoch.
func (p *leaseComponent) unused(index int) bool {
	slot := slotID{domain: p.node.options.Self.Domain, index: index}
	return p.node.rate.unused(index) && p.node.claims.held[slot] == nil
}

// leastPreferred returns the held slot for which this node is the lowest-ranked
// candidate.
func (p *leaseComponent) leastPreferred() int {
	worst := -1
	for i, s := range p.slots {
		if s.IsHolderOfRecord() && !s.Releasing() && (worst < 0 || p.ranks[i] > p.ranks[worst]) {
			worst = i
		}
	}
	return worst
}

// drain releases all slots.
func (p *leaseComponent) drain() {
	p.releaseStarted = p.node.now.Monotonic
	for i, s := range p.slots {
		if s.IsHolderOfRecord() {
			p.release(i)
		}
	}
}

// releasePending reports whether the node still waits for the platform to store
// the release of its slots.
func (p *leaseComponent) releasePending() bool {
	mine := slices.ContainsFunc(p.slots, (*lease.Slot).IsHolderOfRecord)
	return mine && !p.node.table.unavailable && p.node.now.Monotonic < p.releaseStarted+releaseTimeout
}

func (p *leaseComponent) execute(index int, action lease.Action) {
	key := lease.Key(p.node.options.Self.Domain, index)
	slot := p.slots[index]
	switch a := action.(type) {
	case lease.Read:
		p.node.table.read(key, func(row coltsfootward.Row, err error) {
			p.execute(index, slot.ReadCompleted(p.node.now, row, err))
		})
	case lease.Write:
		t := coltsfootward.Transaction{
			Conditions: []coltsfootward.Condition{{Key: key, Version: a.Version}},
			Writes:     []coltsfootward.Write{{Key: key, Value: a.Record.Encode()}},
		}
		p.node.table.transact(t, func(err error) {
			releasing := slot.Releasing()
			p.execute(index, slot.WriteCompleted(p.node.now, err))
			if releasing && !slot.IsHolderOfRecord() {
				p.offerSlot(slotID{domain: p.node.options.Self.Domain, index: index})
			}
		})
	}
	p.reportHeld(index)
}

// offerSlot notifies the next candidate that a slot was released. Without the
// notification the slot would stay unused until the candidate's next read of
// the record.
func (p *leaseComponent) offerSlot(id slotID) {
	order := p.successorsOf(id)
	if len(order) == 0 {
		return
	}
	p.node.act(Send{To: order[0], Message: &message.SlotOffer{Domain: id.domain, Slot: id.index}})
	p.successors[id.index] = order[0]
}

func (p *leaseComponent) offerReceived(m message.SlotOffer) {
	slot, ok := p.localSlot(slotID{domain: m.Domain, index: m.Slot})
	if !ok {
		return
	}
	p.offeredUntil[m.Slot] = p.node.now.Monotonic + p.node.options.LeaseTerm
	slot.RequestRead()
}

func (p *leaseComponent) reportHeld(index int) {
	held := p.slots[index].Held(p.node.now)
	if held == p.reported[index] {
		return
	}
	p.reported[index] = held
	code := record.SlotLost
	if held {
		code = record.SlotHeld
	}
	p.node.report(code, field("slot", number(index)), field("epoch", number(p.slots[index].Epoch())))
}

// localSlot returns the slot if it is in this node's failure domain.
func (p *leaseComponent) localSlot(id slotID) (*lease.Slot, bool) {
	if id.domain != p.node.options.Self.Domain || id.index < 0 || id.index >= len(p.slots) {
		return nil, false
	}
	return p.slots[id.index], true
}

// holder returns the instance to which messages about a slot are sent.
func (p *leaseComponent) holder(id slotID) (coltsfootward.Instance, bool) {
	if s, ok := p.localSlot(id); ok && s.Held(p.node.now) {
		return p.node.options.Self, true
	}
	hint := p.hint(id)
	// Another node's copy of the record may still name this node after its
	// lease has expired.
	if hint.holder.ID != "" && hint.holder.ID != p.node.options.Self.ID && !p.disconnected[hint.holder.ID] {
		return hint.holder, true
	}
	if recorded := p.lastKnownHolder(id); recorded.ID != "" && !p.disconnected[recorded.ID] && hint.misses == 0 {
		return recorded, true
	}
	order := p.successorsOf(id)
	if len(order) == 0 {
		return coltsfootward.Instance{}, false
	}
	return order[hint.misses%len(order)], true
}

func (p *leaseComponent) hint(id slotID) *holderHint {
	hint, ok := p.hints[id]
	if !ok {
		hint = &holderHint{}
		p.hints[id] = hint
	}
	return hint
}

// setHolder records the holder of a slot.
func (p *leaseComponent) setHolder(id slotID, holder coltsfootward.Instance) {
	*p.hint(id) = holderHint{holder: holder}
}

// holderMissed records that the instance last contacted about the slot does not
// hold it, or does not answer.
func (p *leaseComponent) holderMissed(id slotID) {
	hint := p.hint(id)
	*hint = holderHint{misses: hint.misses + 1}
}

// lastKnownHolder returns the holder of a slot in this node's failure domain.
// It is sent to a node that contacted this one although this one does not hold
// the slot.
func (p *leaseComponent) lastKnownHolder(id slotID) coltsfootward.Instance {
	s, ok := p.localSlot(id)
	if !ok {
		return coltsfootward.Instance{}
	}
	holder, ok := s.Holder()
	switch {
	case !ok:
		return coltsfootward.Instance{}
	case holder.ID == p.node.options.Self.ID:
		return p.successors[id.index]
	// Slots move while the nodes of a failure domain start. A node that no
	// longer watches a slot has an outdated copy of its record. If it named the
	// holder from that copy, the previous holder would be asked again and
	// again, and the failure domain's own part of each rate would stay unused.
	case !p.watches(id.index):
		return coltsfootward.Instance{}
	default:
		return holder
	}
}

// watches reports whether this node reads the slot's record.
func (p *leaseComponent) watches(index int) bool {
	rank := p.ranks[index]
	return rank >= 0 && rank < slotWatchers
}

func (p *leaseComponent) messageReceived(from coltsfootward.InstanceID) { delete(p.disconnected, from) }

func (p *leaseComponent) peerLost(id coltsfootward.InstanceID) { p.disconnected[id] = true }
