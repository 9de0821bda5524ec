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
	// assignmentInterval is the time between two computations of the slots'
	// holders. A failed holder is replaced within this time after its failure
	// is known.
	assignmentInterval = 200 * time.Millisecond
	// isolationTimeout is how long a node continues to grant without receiving
	// a message from its failure domain. It is shorter than the time after
	// which the other nodes consider a silent member failed and take its slots
	// over. The parts of an isolated node are therefore granted by one node at
	// a time.
	isolationTimeout = 4 * time.Second
	// resumeDelay is how long a node waits before it grants again after it was
	// isolated. Within this time, the nodes that took its slots over learn of
	// its return and stop granting.
	resumeDelay = time.Second
	// soloStartDelay is how long a starting node waits for others in its
	// failure domain before it assumes that there are none. Without the delay,
	// nodes that start together would each grant all parts of the domain.
	soloStartDelay = 5 * time.Second
)

// assignedSlots assigns each slot to one node from the roster of its failure
// domain alone, without a lease. It is for platforms where the term of a lease
// would be longer than the time within which a restarted deployment must serve
// again.
//
// Two nodes may hold the same slot while their rosters differ. Two rules keep
// this period short: a holder starts with empty buckets, also after it was
// isolated, and a node that receives no messages stops granting before the
// others take its slots over.
type assignedSlots struct {
	node      *Node
	started   time.Duration
	holders   []coltsfootward.Instance
	terms     []slotTerm
	epoch     uint64
	nextCheck time.Duration
	// lastSeen is when a message from another member of the domain last
	// arrived, by Instant.Monotonic. peerSeen is set once any has arrived.
	lastSeen time.Duration
	peerSeen bool
	// resumeAt is when a node that was isolated may grant again.
	resumeAt time.Duration
	// stopped is set while the node holds slots but may not grant.
	stopped bool
	// rosterChanges is the roster's change count for which the holders were
	// computed.
	rosterChanges uint64
	// share is the share of the slots that this node grants.
	share domainShare
	// remoteHolders caches the holders of other failure domains' slots until
	// the roster changes.
	remoteHolders map[slotID]coltsfootward.Instance
}

func newAssignedSlots(n *Node) *assignedSlots {
	return &assignedSlots{
		node:          n,
		started:       n.now.Monotonic,
		holders:       make([]coltsfootward.Instance, n.options.Slots),
		terms:         make([]slotTerm, n.options.Slots),
		share:         newDomainShare(n),
		remoteHolders: make(map[slotID]coltsfootward.Instance),
	}
}

func (s *assignedSlots) count() int { return s.node.options.Slots }

func (s *assignedSlots) localSlots() []slotID { return localSlots(s.node) }

func (s *assignedSlots) messageReceived(instance coltsfootward.Instance) {
	if instance.Domain != s.node.options.Self.Domain {
		return
	}
	now := s.node.now.Monotonic
	if s.peerSeen && now-s.lastSeen >= isolationTimeout {
		s.resumeAt = now + resumeDelay
	}
	s.lastSeen = now
	s.peerSeen = true
}

func (s *assignedSlots) tick() {
	now := s.node.now.Monotonic
	if now < s.nextCheck {
		return
	}
	s.nextCheck = now + assignmentInterval
	resumed := s.checkResumed()
	changes := s.node.membership.machine.Changes()
	if changes == s.rosterChanges && !resumed {
		s.share.tick()
		return
	}
	s.rosterChanges = changes
	s.share.rosterChanged()
	s.share.tick()
	clear(s.remoteHolders)
	roster := s.runningMembers(s.node.options.Self.Domain)
	for i := range s.holders {
		holder := assignedHolder(slotID{domain: s.node.options.Self.Domain, index: i}, roster)
		mine := holder.ID == s.node.options.Self.ID
		if mine && (resumed || s.holders[i].ID != holder.ID) {
			s.epoch++
			s.terms[i] = slotTerm{epoch: s.epoch, began: s.node.now}
		}
		s.holders[i] = holder
	}
}

// checkResumed updates stopped and reports whether the node may grant again
// after it had to stop. Other nodes may have granted for its slots in the
// meantime, so the caller starts new epochs.
func (s *assignedSlots) checkResumed() bool {
	stopped := s.peerSeen && !s.mayGrant()
	resumed := s.stopped && !stopped
	s.stopped = stopped
	return resumed
}

// assignedHolder returns the member that holds a slot. It is chosen by
// rendezvous hashing, so that few slots move when members join or leave.
func assignedHolder(id slotID, members []coltsfootward.Instance) coltsfootward.Instance {
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

// mayGrant reports whether the node may grant. Either it has received a message
// from another node of its failure domain within isolationTimeout and resumeAt
// has passed, or no other node runs there. A starting node waits for
// soloStartDelay before it assumes that it is alone.
func (s *assignedSlots) mayGrant() bool {
	now := s.node.now.Monotonic
	if !s.peerSeen {
		return now-s.started >= soloStartDelay && len(s.runningMembers(s.node.options.Self.Domain)) <= 1
	}
	return now-s.lastSeen < isolationTimeout && now >= s.resumeAt || len(s.runningMembers(s.node.options.Self.Domain)) <= 1
}

// term returns this node's term of a slot in its failure domain if it holds the
// slot now.
func (s *assignedSlots) term(id slotID) (slotTerm, bool) {
	if id.domain != s.node.options.Self.Domain || id.index < 0 || id.index >= len(s.holders) {
		return slotTerm{}, false
	}
	if s.holders[id.index].ID != s.node.options.Self.ID || s.stopped || !s.mayGrant() {
		return slotTerm{}, false
	}
	term := s.terms[id.index]
	term.share = s.share.granted
	return term, true
}

func (s *assignedSlots) holder(id slotID) (coltsfootward.Instance, bool) {
	if id.domain == s.node.options.Self.Domain {
		holder := s.holders[min(id.index, len(s.holders)-1)]
		return holder, holder.ID != ""
	}
	holder, ok := s.remoteHolders[id]
	if !ok {
		holder = assignedHolder(id, s.runningMembers(id.domain))
		s.remoteHolders[id] = holder
	}
	return holder, holder.ID != ""
}

// runningMembers lists the members of a failure domain that are not considered
// failed.
func (s *assignedSlots) runningMembers(domain coltsfootward.FailureDomain) []coltsfootward.Instance {
	var members []coltsfootward.Instance
	for _, member := range s.node.membership.machine.RosterWithLeaving(domain) {
		if member.State != message.MemberGone {
			members = append(members, member.Announcement.Instance)
		}
	}
	return members
}

func (s *assignedSlots) lastKnownHolder(id slotID) coltsfootward.Instance {
	if id.domain != s.node.options.Self.Domain || id.index < 0 || id.index >= len(s.holders) {
		return coltsfootward.Instance{}
	}
	return s.holders[id.index]
}

func (s *assignedSlots) noteHolder(slotID, coltsfootward.Instance) {}

func (s *assignedSlots) takeReleased() []releasedSlot { return nil }
