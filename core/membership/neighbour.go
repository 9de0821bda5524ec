package membership

import (
	"slices"

	"coltsfootward"
	"coltsfootward/core/message"
)

// Each node communicates mostly with a small, fixed set of members: probing a
// different member each second would keep hundreds of connections open. All nodes
// order the members of a domain by the same hash, as a ring. A node probes its
// successors in the ring and gossips to its fingers, the members at distances of
// 1, 2, 4 and so on. An update thus still reaches all members in a number of steps
// that is logarithmic in the number of members.

const (
	// successors is the number of members after this node in the ring that it probes
	// in turn. Each member is therefore probed by eight others, about once a second.
	successors = 8
	// One in randomProbePeriod probes goes to a random member. By such probes, members
	// that declared each other gone during a network partition find each other again,
	// and the reachability of a domain does not depend on a single member.
	randomProbePeriod = 8
)

// position returns the index at which this node's hash sorts among the members of a
// domain.
func (m *Machine) position(list []*member) int {
	i, _ := slices.BinarySearchFunc(list, m.roster.members[m.options.Self.ID], byHash)
	return i
}

// presentFrom returns the first present member other than this node at or after a
// position in the ring, or nil.
func (m *Machine) presentFrom(list []*member, index int) *member {
	for i := range list {
		entry := list[(index+i)%len(list)]
		if entry.present() && entry.id() != m.options.Self.ID {
			return entry
		}
	}
	return nil
}

// successor returns the present member at the given distance after this node in the
// ring, or nil if there is no other present member. Only present members count
// towards the distance.
func (m *Machine) successor(distance int) *member {
	list := m.roster.domains[m.options.Self.Domain]
	index := m.position(list)
	var entry *member
	for range distance {
		entry = m.presentFrom(list, index+1)
		if entry == nil {
			return nil
		}
		index, _ = slices.BinarySearchFunc(list, entry, byHash)
	}
	return entry
}

// fingers returns the present members of this node's domain at distances that are
// powers of two.
func (m *Machine) fingers() []*member {
	list := m.roster.domains[m.options.Self.Domain]
	index := m.position(list)
	var found []*member
	for distance := 1; distance < len(list); distance *= 2 {
		entry := m.presentFrom(list, index+distance)
		if entry != nil && !slices.Contains(found, entry) {
			found = append(found, entry)
		}
	}
	return found
}

// someFingers returns up to count random fingers.
func (m *Machine) someFingers(count int) []*member {
	found := m.fingers()
	m.source.Shuffle(len(found), func(i, k int) { found[i], found[k] = found[k], found[i] })
	return found[:min(count, len(found))]
}

// counterpart returns the present member of another domain at or after the position
// that this node's hash has in that domain's ring, or nil.
func (m *Machine) counterpart(domain coltsfootward.FailureDomain) *member {
	list := m.roster.domains[domain]
	if len(list) == 0 {
		return nil
	}
	return m.presentFrom(list, m.position(list))
}

// randomNotLeft returns a random member of a domain that has not left, or nil. The
// member may be gone.
func (m *Machine) randomNotLeft(domain coltsfootward.FailureDomain) *member {
	return m.randomMatching(domain, func(entry *member) bool { return entry.latest.State != message.MemberLeft })
}
