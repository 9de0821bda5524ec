package membership

import (
	"maps"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
)

// Member is a member as this node knows it.
type Member struct {
	Announcement message.Announcement
	State        message.MemberState
	// Heard is when this node last had a message from the member itself, by
	// Instant.Expiry. It counts only if Known is set.
	Heard time.Duration
	Known bool
}

func (m *member) export() Member {
	return Member{Announcement: m.news.Announcement, State: m.news.State, Heard: m.heard, Known: m.known}
}

// Size returns the number of members that run, this node included.
func (m *Machine) Size() int { return m.roster.present }

// Changes returns a number that grows with each change of the roster.
func (m *Machine) Changes() uint64 { return m.roster.changes }

// Member returns what is known of an instance.
func (m *Machine) Member(id coltsfootward.InstanceID) (Member, bool) {
	line, ok := m.roster.members[id]
	if !ok {
		return Member{}, false
	}
	return line.export(), true
}

// Upstreams returns the backend servers of a service that take work, in the
// order of their names: not those that drain, that are gone, or whose failure
// domain cannot be reached from here. Suspected ones are left out as long as
// there are others. Its cost grows with the service's servers, not with all.
// The slice is the caller's.
func (m *Machine) Upstreams(service coltsfootward.ServiceName) []message.Announcement {
	list := m.roster.services[service]
	found := make([]message.Announcement, 0, len(list))
	var suspected []message.Announcement
	for _, line := range list {
		a := line.news.Announcement
		if a.Draining || a.Leaving || m.lost(a.Instance.Domain) {
			continue
		}
		if line.news.State == message.MemberSuspected {
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

func (m *Machine) lost(domain coltsfootward.FailureDomain) bool {
	v, ok := m.views[domain]
	return ok && v.unreachable
}

// Reachable reports whether a failure domain can be reached as far as this
// node knows.
func (m *Machine) Reachable(domain coltsfootward.FailureDomain) bool { return !m.lost(domain) }

// Roster returns the members of a failure domain that have not said that they
// leave, this node included if it is one, in an order that is the same at every
// node. Those that are gone are among them, with that state, for as long as
// they are remembered: whoever needs a majority of the domain has to count
// them, because both sides of a cut call each other gone.
func (m *Machine) Roster(domain coltsfootward.FailureDomain) []Member {
	return slices.DeleteFunc(m.Serving(domain), func(member Member) bool { return member.Announcement.Leaving })
}

// Serving returns the members of a failure domain that have not said that they
// have stopped, this node included if it is one, in an order that is the same at
// every node. Those that are about to leave are among them, since they serve on
// for seconds, and those that are gone, with that state.
func (m *Machine) Serving(domain coltsfootward.FailureDomain) []Member {
	var found []Member
	for _, line := range m.roster.domains[domain] {
		if line.news.State != message.MemberLeft {
			found = append(found, line.export())
		}
	}
	return found
}

// First returns the first count running members of a failure domain in the
// order that is the same at every node, and so mostly the same members at each.
// Those that leave or are suspected are passed over.
func (m *Machine) First(domain coltsfootward.FailureDomain, count int) []coltsfootward.Instance {
	var found []coltsfootward.Instance
	for _, line := range m.roster.domains[domain] {
		if len(found) == count {
			break
		}
		if line.news.State == message.MemberAlive && !line.news.Announcement.Leaving {
			found = append(found, line.news.Announcement.Instance)
		}
	}
	return found
}

// Rank returns this node's place among the first count of its domain, or -1.
func (m *Machine) Rank(count int) int {
	return slices.IndexFunc(m.First(m.options.Self.Domain, count), func(i coltsfootward.Instance) bool {
		return i.ID == m.options.Self.ID
	})
}

// Near returns up to count running members of a failure domain other than this
// node, those that it talks to anyway: random ones of its fingers in the own
// domain, its partner in another.
func (m *Machine) Near(domain coltsfootward.FailureDomain, count int) []coltsfootward.Instance {
	var lines []*member
	if domain == m.options.Self.Domain {
		lines = m.someFingers(count)
	} else if line := m.partner(domain); line != nil {
		lines = []*member{line}
	}
	var found []coltsfootward.Instance
	for _, line := range lines {
		found = append(found, line.news.Announcement.Instance)
	}
	return found
}

// Domains returns every failure domain that has members, sorted.
func (m *Machine) Domains() []coltsfootward.FailureDomain {
	return slices.Sorted(maps.Keys(m.roster.domains))
}

// HeardWithin reports whether a member of the domain was heard in the last d
// before now, by the clock that is never behind real time.
func (m *Machine) HeardWithin(now coltsfootward.Instant, domain coltsfootward.FailureDomain, d time.Duration) bool {
	v, ok := m.views[domain]
	return ok && v.known && now.Expiry-v.heard <= d
}

// All returns every member that is remembered, sorted by name. It is meant for
// operators; its cost grows with the number of members.
func (m *Machine) All() []Member {
	var found []Member
	for _, id := range slices.Sorted(maps.Keys(m.roster.members)) {
		found = append(found, m.roster.members[id].export())
	}
	return found
}
