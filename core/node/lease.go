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

// slotWatchers is how many nodes look after one slot: its holder and those
// that would take it over. The others never read its record, so that the
// platform's load does not grow with the number of nodes; they are told the
// holder by whom they ask.
const slotWatchers = 3

// rankInterval is the time between two looks at who should look after which
// slot. At 64 slots and 1,333 nodes each look costs 85,000 hashes.
const rankInterval = 2 * time.Second

// While a node learns of the others it takes slots that it should not keep. It
// looks more often then, to hand them over before they are in use.
const (
	startPeriod       = 10 * time.Second
	startRankInterval = 250 * time.Millisecond
)

// releaseWait bounds how long a leaving node waits for the platform to take
// its slots back. Longer is not worth it: the slots come free by themselves.
const releaseWait = 2 * time.Second

// slotID names a slot of the deployment.
type slotID struct {
	domain coltsfootward.FailureDomain
	index  int
}

// route is whom a node asks for a slot's holder.
type route struct {
	// holder answered as the holder, or was named as it; empty if unknown.
	holder coltsfootward.Instance
	// try counts the candidates that were asked in vain.
	try int
}

// leasePart holds slots of the node's own failure domain and knows whom to ask
// about the others.
type leasePart struct {
	node  *Node
	slots []*lease.Slot
	// ranks is where this node stands in the order of each slot's candidates.
	ranks []int
	// offered is until when each slot is offered to this node, by Instant.Monotonic.
	offered []time.Duration
	// successors are those that each slot was last offered to by this node.
	successors []coltsfootward.Instance
	// held is what was reported last.
	held   []bool
	fair   int
	booted time.Duration
	ranked time.Duration
	routes map[slotID]*route
	// lost holds the peers whose connection broke and that were not heard since.
	lost        map[coltsfootward.InstanceID]bool
	releaseFrom time.Duration
	// released are slots given up whose claims are still to be handed over.
	released []releasedSlot
}

func newLeasePart(n *Node) *leasePart {
	p := &leasePart{
		node:       n,
		ranks:      make([]int, n.options.Slots),
		successors: make([]coltsfootward.Instance, n.options.Slots),
		held:       make([]bool, n.options.Slots),
		offered:    make([]time.Duration, n.options.Slots),
		booted:     n.now.Monotonic,
		routes:     make(map[slotID]*route),
		lost:       make(map[coltsfootward.InstanceID]bool),
	}
	for range n.options.Slots {
		p.slots = append(p.slots, lease.New(lease.Options{Self: n.options.Self, Term: n.options.LeaseTerm, Margin: n.options.LeaseMargin}))
	}
	return p
}

func (p *leasePart) tick() {
	now := p.node.now
	if now.Monotonic >= p.ranked {
		p.ranked = now.Monotonic + rankInterval
		if now.Monotonic < p.booted+startPeriod {
			p.ranked = now.Monotonic + startRankInterval
		}
		p.rank()
		p.handOver()
	}
	for i, s := range p.slots {
		p.perform(i, s.Tick(now, p.candidacy(i)))
		p.reportHeld(i)
	}
}

func (p *leasePart) candidacy(index int) lease.Candidacy {
	rank := p.ranks[index]
	term := p.node.options.LeaseTerm
	c := lease.Candidacy{Eligible: !p.node.draining && p.watches(index), Delay: time.Duration(rank) * term / 3}
	if p.node.now.Monotonic < p.offered[index] {
		return lease.Candidacy{Eligible: !p.node.draining}
	}
	if p.mine() >= p.fair {
		c.Delay += 2 * term
	}
	return c
}

func (p *leasePart) mine() int {
	count := 0
	for _, s := range p.slots {
		if s.Mine() && !s.Releasing() {
			count++
		}
	}
	return count
}

// rank finds this node's place in the order of each slot's candidates.
func (p *leasePart) rank() {
	domain := p.node.options.Self.Domain
	count := 1
	for i := range p.slots {
		order := p.candidates(slotID{domain: domain, index: i})
		count = len(order)
		p.ranks[i] = slices.IndexFunc(order, func(c coltsfootward.Instance) bool { return c.ID == p.node.options.Self.ID })
	}
	p.fair = (len(p.slots) + count - 1) / max(count, 1)
}

// candidates returns the nodes of the slot's domain in the order in which they
// should hold it, the same at every node that knows the same peers.
func (p *leasePart) candidates(id slotID) []coltsfootward.Instance {
	var found []coltsfootward.Instance
	for _, member := range p.node.membership.roster(id.domain) {
		instance := member.Announcement.Instance
		if member.State != message.MemberGone && !p.lost[instance.ID] {
			found = append(found, instance)
		}
	}
	weights := make(map[coltsfootward.InstanceID]uint64, len(found))
	for _, c := range found {
		weights[c.ID] = xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", id.domain, id.index, c.ID))
	}
	slices.SortFunc(found, func(a, b coltsfootward.Instance) int {
		return cmp.Or(cmp.Compare(weights[a.ID], weights[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	return found
}

// successorsOf returns the first candidates of a slot but for this node.
func (p *leasePart) successorsOf(id slotID) []coltsfootward.Instance {
	order := slices.DeleteFunc(p.candidates(id), func(c coltsfootward.Instance) bool { return c.ID == p.node.options.Self.ID })
	return order[:min(len(order), slotWatchers)]
}

// handOver gives up slots if the node holds more than its share: a node that
// started first would otherwise keep them all, and its loss would stop the
// whole domain. Slots that are in use go one at a time, since the next holder
// starts with empty buckets.
func (p *leasePart) handOver() {
	for !p.node.draining && p.mine() > p.fair {
		index := p.worst()
		unused := p.unused(index)
		p.release(index)
		if !unused {
			return
		}
	}
}

// release gives a slot up. From here on this node grants nothing more in its
// present epoch, also if the platform does not take the slot back.
func (p *leasePart) release(index int) {
	slot := p.slots[index]
	if slot.Releasing() {
		return
	}
	id := slotID{domain: p.node.options.Self.Domain, index: index}
	slot.Release(p.unused(index))
	p.released = append(p.released, releasedSlot{id: id, epoch: slot.Epoch(), successors: p.successorsOf(id)})
}

// takeReleased returns the slots that were given up since the last call.
func (p *leasePart) takeReleased() []releasedSlot {
	released := p.released
	p.released = nil
	return released
}

// unused reports whether nothing was granted in the slot's name in this epoch.
func (p *leasePart) unused(index int) bool {
	slot := slotID{domain: p.node.options.Self.Domain, index: index}
	return p.node.rate.unused(index) && p.node.claims.holders[slot] == nil
}

// worst returns the held slot that this node is the least preferred for.
func (p *leasePart) worst() int {
	worst := -1
	for i, s := range p.slots {
		if s.Mine() && !s.Releasing() && (worst < 0 || p.ranks[i] > p.ranks[worst]) {
			worst = i
		}
	}
	return worst
}

// drain gives every slot up.
func (p *leasePart) drain() {
	p.releaseFrom = p.node.now.Monotonic
	for i, s := range p.slots {
		if s.Mine() {
			p.release(i)
		}
	}
}

// leaving reports whether the platform is still to take slots back.
func (p *leasePart) leaving() bool {
	mine := slices.ContainsFunc(p.slots, (*lease.Slot).Mine)
	return mine && !p.node.table.away && p.node.now.Monotonic < p.releaseFrom+releaseWait
}

func (p *leasePart) perform(index int, action lease.Action) {
	key := lease.Key(p.node.options.Self.Domain, index)
	slot := p.slots[index]
	switch a := action.(type) {
	case lease.Read:
		p.node.table.read(key, func(row coltsfootward.Row, err error) {
			p.perform(index, slot.ReadAnswered(p.node.now, row, err))
		})
	case lease.Write:
		t := coltsfootward.Transaction{
			Conditions: []coltsfootward.Condition{{Key: key, Version: a.Version}},
			Writes:     []coltsfootward.Write{{Key: key, Value: a.Record.Encode()}},
		}
		p.node.table.transact(t, func(err error) {
			releasing := slot.Releasing()
			p.perform(index, slot.WriteAnswered(p.node.now, err))
			if releasing && !slot.Mine() {
				p.offer(slotID{domain: p.node.options.Self.Domain, index: index})
			}
		})
	}
	p.reportHeld(index)
}

// offer tells the next candidate of a slot that it was released. Without that
// the slot would stay unused until the candidate's next look at it.
func (p *leasePart) offer(id slotID) {
	order := p.successorsOf(id)
	if len(order) == 0 {
		return
	}
	p.node.act(Send{To: order[0], Message: &message.SlotOffer{Domain: id.domain, Slot: id.index}})
	p.successors[id.index] = order[0]
}

func (p *leasePart) takeOffer(m message.SlotOffer) {
	slot, ok := p.own(slotID{domain: m.Domain, index: m.Slot})
	if !ok {
		return
	}
	p.offered[m.Slot] = p.node.now.Monotonic + p.node.options.LeaseTerm
	slot.Look()
}

func (p *leasePart) reportHeld(index int) {
	held := p.slots[index].Held(p.node.now)
	if held == p.held[index] {
		return
	}
	p.held[index] = held
	code := record.SlotLost
	if held {
		code = record.SlotHeld
	}
	p.node.report(code, field("slot", number(index)), field("epoch", number(p.slots[index].Epoch())))
}

// own returns the slot if it is one that this node may hold.
func (p *leasePart) own(id slotID) (*lease.Slot, bool) {
	if id.domain != p.node.options.Self.Domain || id.index < 0 || id.index >= len(p.slots) {
		return nil, false
	}
	return p.slots[id.index], true
}

// holder returns whom to ask for a slot.
func (p *leasePart) holder(id slotID) (coltsfootward.Instance, bool) {
	if s, ok := p.own(id); ok && s.Held(p.node.now) {
		return p.node.options.Self, true
	}
	r := p.route(id)
	// Another node's look at the record may name this one after it has lapsed.
	if r.holder.ID != "" && r.holder.ID != p.node.options.Self.ID && !p.lost[r.holder.ID] {
		return r.holder, true
	}
	if watched := p.known(id); watched.ID != "" && !p.lost[watched.ID] && r.try == 0 {
		return watched, true
	}
	order := p.successorsOf(id)
	if len(order) == 0 {
		return coltsfootward.Instance{}, false
	}
	return order[r.try%len(order)], true
}

func (p *leasePart) route(id slotID) *route {
	r, ok := p.routes[id]
	if !ok {
		r = &route{}
		p.routes[id] = r
	}
	return r
}

// holderAnswered notes who holds a slot.
func (p *leasePart) holderAnswered(id slotID, holder coltsfootward.Instance) {
	*p.route(id) = route{holder: holder}
}

// holderFailed notes that whoever was asked does not hold the slot.
func (p *leasePart) holderFailed(id slotID) {
	r := p.route(id)
	*r = route{try: r.try + 1}
}

// known returns the holder of an own slot for a node that asked in vain.
func (p *leasePart) known(id slotID) coltsfootward.Instance {
	s, ok := p.own(id)
	if !ok {
		return coltsfootward.Instance{}
	}
	holder, ok := s.Holder()
	switch {
	case !ok:
		return coltsfootward.Instance{}
	case holder.ID == p.node.options.Self.ID:
		return p.successors[id.index]
	// Slots move while a domain's nodes start. Who no longer looks after a slot
	// has an old record of it: named from that, the old holder would be asked
	// again and again, and the domain's own part of each rate lie unused.
	case !p.watches(id.index):
		return coltsfootward.Instance{}
	default:
		return holder
	}
}

// watches reports whether this node reads the slot's record.
func (p *leasePart) watches(index int) bool {
	rank := p.ranks[index]
	return rank >= 0 && rank < slotWatchers
}

func (p *leasePart) heard(from coltsfootward.InstanceID) { delete(p.lost, from) }

func (p *leasePart) peerLost(id coltsfootward.InstanceID) { p.lost[id] = true }
