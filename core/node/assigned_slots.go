package node

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"

	"github.com/cespare/xxhash/v2"
)

const (
	// assignInterval is the time between two looks at who holds which slot. A
	// holder that has stopped is replaced within this time of the news.
	assignInterval = 200 * time.Millisecond
	// isolatedHold is how long a node that hears nobody of its domain goes on
	// granting. It is below the time after which the others hold a silent member
	// for gone and take its slots over, so the part of a node that is cut off is
	// granted by one node at a time.
	isolatedHold = 4 * time.Second
	// resumeWait is how long a node that was cut off waits before it grants again.
	// Whoever took its slots over hears of its return meanwhile and stops.
	resumeWait = time.Second
	// aloneWait is how long a node that has started waits for the others of its
	// domain before it takes it that there are none. Nodes that start together
	// would else each grant the whole domain's part.
	aloneWait = 5 * time.Second
)

// assignedSlots gives each slot to one node by the roster of its failure domain
// alone, without a lease: for platforms on which a lease's term would outlast
// the time in which a restarted fleet must serve again.
//
// Two nodes may hold a slot while their rosters differ. The guards keep that
// short: a holder starts with empty buckets, also after it was cut off, and a node
// that hears nobody stops before the others take its slots over.
type assignedSlots struct {
	node    *Node
	began   time.Duration
	holders []coltsfootward.Instance
	terms   []slotTerm
	epoch   uint64
	next    time.Duration
	// heard is when another member of the domain was last heard, by
	// Instant.Monotonic; met says whether one ever was.
	heard time.Duration
	met   bool
	// resumes is when a node that was cut off may grant again.
	resumes time.Duration
	// stopped is set while the node holds slots and may not grant.
	stopped bool
	// seen is the state of the roster that the holders follow from.
	seen uint64
	// foreign remembers the holders of other domains' slots until the roster changes.
	foreign map[slotID]coltsfootward.Instance
}

func newAssignedSlots(n *Node) *assignedSlots {
	return &assignedSlots{
		node:    n,
		began:   n.now.Monotonic,
		holders: make([]coltsfootward.Instance, n.options.Slots),
		terms:   make([]slotTerm, n.options.Slots),
		foreign: make(map[slotID]coltsfootward.Instance),
	}
}

func (s *assignedSlots) count() int { return s.node.options.Slots }

func (s *assignedSlots) own() []slotID { return ownSlots(s.node) }

func (s *assignedSlots) heardFrom(instance coltsfootward.Instance) {
	if instance.Domain != s.node.options.Self.Domain {
		return
	}
	now := s.node.now.Monotonic
	if s.met && now-s.heard >= isolatedHold {
		s.resumes = now + resumeWait
	}
	s.heard = now
	s.met = true
}

func (s *assignedSlots) tick() {
	now := s.node.now.Monotonic
	if now < s.next {
		return
	}
	s.next = now + assignInterval
	resumed := s.resumed()
	changes := s.node.membership.machine.Changes()
	if changes == s.seen && !resumed {
		return
	}
	s.seen = changes
	clear(s.foreign)
	roster := s.running(s.node.options.Self.Domain)
	for i := range s.holders {
		holder := firstFor(slotID{domain: s.node.options.Self.Domain, index: i}, roster)
		mine := holder.ID == s.node.options.Self.ID
		if mine && (resumed || s.holders[i].ID != holder.ID) {
			s.epoch++
			s.terms[i] = slotTerm{epoch: s.epoch, began: s.node.now}
		}
		s.holders[i] = holder
	}
}

// resumed reports whether the node may grant again after it had to stop. Others
// have granted from its slots meanwhile, so it begins anew.
func (s *assignedSlots) resumed() bool {
	stopped := s.met && !s.ready()
	resumed := s.stopped && !stopped
	s.stopped = stopped
	return resumed
}

// firstFor returns the instance that holds a slot: the first by rendezvous
// hashing, so that few slots move when members come and go.
func firstFor(id slotID, members []coltsfootward.Instance) coltsfootward.Instance {
	if len(members) == 0 {
		return coltsfootward.Instance{}
	}
	return slices.MinFunc(members, func(a, b coltsfootward.Instance) int {
		return cmp.Or(cmp.Compare(slotWeight(id, a.ID), slotWeight(id, b.ID)), cmp.Compare(a.ID, b.ID))
	})
}

func slotWeight(id slotID, member coltsfootward.InstanceID) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", id.domain, id.index, member))
}

// ready reports whether the node may grant: it knows who else is in its domain,
// or that nobody is, and has heard one of them lately.
func (s *assignedSlots) ready() bool {
	now := s.node.now.Monotonic
	if !s.met {
		return now-s.began >= aloneWait && len(s.running(s.node.options.Self.Domain)) <= 1
	}
	return now-s.heard < isolatedHold && now >= s.resumes || len(s.running(s.node.options.Self.Domain)) <= 1
}

// term returns this node's term of a slot of its domain, if it holds it now.
func (s *assignedSlots) term(id slotID) (slotTerm, bool) {
	if id.domain != s.node.options.Self.Domain || id.index < 0 || id.index >= len(s.holders) {
		return slotTerm{}, false
	}
	if s.holders[id.index].ID != s.node.options.Self.ID || s.stopped || !s.ready() {
		return slotTerm{}, false
	}
	return s.terms[id.index], true
}

func (s *assignedSlots) holder(id slotID) (coltsfootward.Instance, bool) {
	if id.domain == s.node.options.Self.Domain {
		holder := s.holders[min(id.index, len(s.holders)-1)]
		return holder, holder.ID != ""
	}
	holder, ok := s.foreign[id]
	if !ok {
		holder = firstFor(id, s.running(id.domain))
		s.foreign[id] = holder
	}
	return holder, holder.ID != ""
}

// running lists the members of a domain that are not known to be gone.
func (s *assignedSlots) running(domain coltsfootward.FailureDomain) []coltsfootward.Instance {
	var members []coltsfootward.Instance
	for _, member := range s.node.membership.machine.Serving(domain) {
		if member.State != message.MemberGone {
			members = append(members, member.Announcement.Instance)
		}
	}
	return members
}

func (s *assignedSlots) known(id slotID) coltsfootward.Instance {
	if id.domain != s.node.options.Self.Domain || id.index < 0 || id.index >= len(s.holders) {
		return coltsfootward.Instance{}
	}
	return s.holders[id.index]
}

func (s *assignedSlots) elsewhere(slotID, coltsfootward.Instance) {}

func (s *assignedSlots) released() []releasedSlot { return nil }
