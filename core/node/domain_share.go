package node

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/record"

	"github.com/cespare/xxhash/v2"
)

const (
	// shareRaiseDelay is how long the states of a failure domain's members must
	// not have changed before the share of the domain is raised. Nodes that a
	// network partition has separated find each other one by one after it, and
	// by then both sides know which of them holds a slot.
	shareRaiseDelay = 5 * time.Second
	// statedSizeLifetime is how long the number of members that a peer has
	// stated is used.
	statedSizeLifetime = 20 * time.Second
)

// domainShare determines the share of its slots that a failure domain's holders
// may grant: the fraction of the domain's members that are alive.
//
// The nodes on either side of a network partition consider the others gone, and
// both sides then hold all slots. A node cannot tell that from a failure of the
// others. Members therefore count until they announce that they leave, and
// those that are silent take their share of the rates with them. However the
// domain is split, the shares of all sides add up to one.
type domainShare struct {
	node *Node
	// known is the number of members in this node's roster that have not left,
	// alive the number of those that are neither suspected nor gone.
	known, alive int
	// states is a hash of the members' states, and changedAt when it last
	// changed, by Instant.Monotonic.
	states    uint64
	changedAt time.Duration
	// stated holds the numbers of members that peers in the domain know. A node
	// that has restarted does not learn from its roster who was gone before.
	stated map[coltsfootward.InstanceID]statedSize
	// granted is the share that this node grants.
	granted float64
}

type statedSize struct {
	members int
	// until is when the number is no longer used, by Instant.Monotonic.
	until time.Duration
}

func newDomainShare(n *Node) domainShare {
	return domainShare{node: n, known: 1, alive: 1, granted: 1, stated: make(map[coltsfootward.InstanceID]statedSize)}
}

// rosterChanged counts the members of the domain anew.
func (s *domainShare) rosterChanged() {
	s.known, s.alive = 0, 0
	var states uint64
	for _, member := range s.node.membership.machine.RosterWithLeaving(s.node.options.Self.Domain) {
		s.known++
		state := "silent"
		if member.State == message.MemberAlive {
			s.alive++
			state = "alive"
		}
		states ^= xxhash.Sum64String(string(member.Announcement.Instance.ID) + "/" + state)
	}
	if states != s.states {
		s.states, s.changedAt = states, s.node.now.Monotonic
	}
}

// sizeStated records how many members a peer in the domain knows.
func (s *domainShare) sizeStated(from coltsfootward.InstanceID, members int) {
	if members == 0 {
		return
	}
	if instance, ok := s.node.membership.instance(from); ok && instance.Domain == s.node.options.Self.Domain {
		s.stated[from] = statedSize{members: members, until: s.node.now.Monotonic + statedSizeLifetime}
	}
}

// size returns the number of the domain's members that have not left.
func (s *domainShare) size() int {
	size := s.known
	for id, stated := range s.stated {
		if s.node.now.Monotonic >= stated.until {
			delete(s.stated, id)
			continue
		}
		size = max(size, stated.members)
	}
	return size
}

// tick updates the granted share. It falls at once, because the nodes on the
// other side of a partition take over when they consider this side gone.
func (s *domainShare) tick() {
	share := float64(s.alive) / float64(max(s.size(), 1))
	settled := s.node.now.Monotonic-s.changedAt >= shareRaiseDelay
	if share == s.granted || share > s.granted && !settled {
		return
	}
	s.granted = share
	s.node.report(record.SlotShareChanged, field("share", decimal(share)), field("alive", number(s.alive)), field("members", number(s.size())))
}
