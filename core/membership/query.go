package membership

import (
	"maps"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
)

// Member is a snapshot of a member's entry in the roster.
type Member struct {
	Announcement message.Announcement
	State        message.MemberState
	// LastSeen is when the latest message that this node received from the member
	// itself was sent, by Instant.Expiry. It is valid only if Seen is set.
	LastSeen time.Duration
	Seen     bool
}

func (m *member) export() Member {
	return Member{Announcement: m.latest.Announcement, State: m.latest.State, LastSeen: m.lastSeen, Seen: m.seen}
}

// Size returns the number of members that are alive or suspected, including this
// node.
func (m *Machine) Size() int { return m.roster.present }

// SizeWithGone returns the number of members that have not announced that they have
// stopped, including this node. What is divided among the members must be divided by
// this number: both sides of a network partition consider the other one gone, and would
// otherwise divide the whole among themselves.
func (m *Machine) SizeWithGone() int { return m.roster.remaining }

// Changes returns a counter that increases with each change of the roster.
func (m *Machine) Changes() uint64 { return m.roster.changes }

// Member returns the member with the given ID, and whether the roster contains it.
func (m *Machine) Member(id coltsfootward.InstanceID) (Member, bool) {
	entry, ok := m.roster.members[id]
	if !ok {
		return Member{}, false
	}
	return entry.export(), true
}

// Upstreams returns the backend servers of a service that accept work, sorted by
// instance ID. It excludes servers that are draining, gone, or in a failure domain
// that is unreachable from this node. Suspected servers are returned only if there
// are no others. The cost grows with the number of servers of the service, not with
// the number of members. The caller may modify the slice.
func (m *Machine) Upstreams(service coltsfootward.ServiceName) []message.Announcement {
	list := m.roster.services[service]
	found := make([]message.Announcement, 0, len(list))
	var suspected []message.Announcement
	for _, entry := range list {
		a := entry.latest.Announcement
		if a.Draining || a.Leaving || m.unreachable(a.Instance.Domain) {
			continue
		}
		if entry.latest.State == message.MemberSuspected {
			suspected = append(suspected, a)
			continue
		}
		found = append(found, a)
	}
	if len(found) == 0 {
		return suspected
	}
	return found
}

func (m *Machine) unreachable(domain coltsfootward.FailureDomain) bool {
	state, ok := m.domainStates[domain]
	return ok && state.unreachable
}

// Reachable reports whether this node considers a failure domain reachable. A domain
// that was never probed is considered reachable.
func (m *Machine) Reachable(domain coltsfootward.FailureDomain) bool { return !m.unreachable(domain) }

// Roster returns the members of a failure domain that have not announced that they
// are leaving, in an order that is the same at every node. It includes this node if
// it belongs to the domain. It also includes gone members, with that state, until
// they are removed from the roster. A caller that needs a majority of the domain has
// to count these, because both sides of a network partition declare each other gone.
func (m *Machine) Roster(domain coltsfootward.FailureDomain) []Member {
	return slices.DeleteFunc(m.RosterWithLeaving(domain), func(member Member) bool { return member.Announcement.Leaving })
}

// RosterWithLeaving returns the members of a failure domain that have not announced
// that they have stopped, in an order that is the same at every node. It includes this
// node if it belongs to the domain, members that are about to leave, since they still
// serve for seconds, and gone members, with that state.
func (m *Machine) RosterWithLeaving(domain coltsfootward.FailureDomain) []Member {
	var found []Member
	for _, entry := range m.roster.domains[domain] {
		if entry.latest.State != message.MemberLeft {
			found = append(found, entry.export())
		}
	}
	return found
}

// FirstAlive returns the first count alive members of a failure domain, in an order
// that is the same at every node. All nodes thus mostly get the same members. Members
// that are leaving or suspected are skipped.
func (m *Machine) FirstAlive(domain coltsfootward.FailureDomain, count int) []coltsfootward.Instance {
	var found []coltsfootward.Instance
	for _, entry := range m.roster.domains[domain] {
		if len(found) == count {
			break
		}
		if entry.latest.State == message.MemberAlive && !entry.latest.Announcement.Leaving {
			found = append(found, entry.latest.Announcement.Instance)
		}
	}
	return found
}

// Rank returns this node's index in the result of FirstAlive for its own domain and
// count, or -1 if it is not included.
func (m *Machine) Rank(count int) int {
	return slices.IndexFunc(m.FirstAlive(m.options.Self.Domain, count), func(i coltsfootward.Instance) bool {
		return i.ID == m.options.Self.ID
	})
}

// Neighbours returns up to count present members of a failure domain to which this
// node usually has connections already: random fingers in its own domain, or its
// counterpart in another domain. This node is not included.
func (m *Machine) Neighbours(domain coltsfootward.FailureDomain, count int) []coltsfootward.Instance {
	var members []*member
	if domain == m.options.Self.Domain {
		members = m.someFingers(count)
	} else if entry := m.counterpart(domain); entry != nil {
		members = []*member{entry}
	}
	var found []coltsfootward.Instance
	for _, entry := range members {
		found = append(found, entry.latest.Announcement.Instance)
	}
	return found
}

// Domains returns all failure domains that have members in the roster, sorted.
func (m *Machine) Domains() []coltsfootward.FailureDomain {
	return slices.Sorted(maps.Keys(m.roster.domains))
}

// SeenWithin reports whether a member of the domain sent a message that arrived here
// and is not older than d. Ages are measured by Instant.Expiry, which is never behind
// real time.
func (m *Machine) SeenWithin(now coltsfootward.Instant, domain coltsfootward.FailureDomain, d time.Duration) bool {
	state, ok := m.domainStates[domain]
	return ok && state.seen && now.Expiry-state.lastSeen <= d
}

// All returns all members of the roster, gone members included, sorted by instance
// ID. It is meant for operators; its cost grows with the number of members.
func (m *Machine) All() []Member {
	var found []Member
	for _, id := range slices.Sorted(maps.Keys(m.roster.members)) {
		found = append(found, m.roster.members[id].export())
	}
	return found
}
