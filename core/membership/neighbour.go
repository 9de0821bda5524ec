package membership

import (
	"slices"

	"coltsfootward"
	"coltsfootward/core/message"
)

// Nodes talk mostly to the same few others: a probe of a new member each second
// would keep hundreds of connections open. All order the members of a domain by
// the same hash; in that ring a node probes those next to it and passes news on
// to those at distances of 1, 2, 4 and so on, so that news still reaches all in
// a number of steps that is the logarithm of theirs.

const (
	// successors is how many members after it each node probes in turn. So each
	// is probed about once a second, by eight others.
	successors = 8
	// strayProbe is after how many probes one goes to any member at all: that
	// is how those that were declared gone across a cut find each other again,
	// and how a domain is not judged by one member of it.
	strayProbe = 8
)

// position returns the place of this node, by its hash, among the members of a
// domain.
func (m *Machine) position(list []*member) int {
	i, _ := slices.BinarySearchFunc(list, m.roster.members[m.options.Self.ID], byHash)
	return i
}

// presentFrom returns the first present member other than this node at or after
// a place in the ring, or nil.
func (m *Machine) presentFrom(list []*member, place int) *member {
	for i := range list {
		line := list[(place+i)%len(list)]
		if line.present() && line.id() != m.options.Self.ID {
			return line
		}
	}
	return nil
}

// successor returns the member that is that many present ones after this node,
// counting round the ring, or nil if there is no other.
func (m *Machine) successor(distance int) *member {
	list := m.roster.domains[m.options.Self.Domain]
	place := m.position(list)
	var line *member
	for range distance {
		line = m.presentFrom(list, place+1)
		if line == nil {
			return nil
		}
		place, _ = slices.BinarySearchFunc(list, line, byHash)
	}
	return line
}

// fingers returns the members of the own domain at distances of powers of two.
func (m *Machine) fingers() []*member {
	list := m.roster.domains[m.options.Self.Domain]
	place := m.position(list)
	var found []*member
	for distance := 1; distance < len(list); distance *= 2 {
		line := m.presentFrom(list, place+distance)
		if line != nil && !slices.Contains(found, line) {
			found = append(found, line)
		}
	}
	return found
}

// someFingers returns up to count of them, chosen at random.
func (m *Machine) someFingers(count int) []*member {
	found := m.fingers()
	m.source.Shuffle(len(found), func(i, k int) { found[i], found[k] = found[k], found[i] })
	return found[:min(count, len(found))]
}

// partner returns the member of another domain that has this node's place in
// that domain's ring, or nil.
func (m *Machine) partner(domain coltsfootward.FailureDomain) *member {
	list := m.roster.domains[domain]
	if len(list) == 0 {
		return nil
	}
	return m.presentFrom(list, m.position(list))
}

// anyMember returns a random member of a domain that has not left, gone or not,
// or nil.
func (m *Machine) anyMember(domain coltsfootward.FailureDomain) *member {
	return m.pick(domain, func(line *member) bool { return line.news.State != message.MemberLeft })
}
