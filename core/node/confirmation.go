package node

import (
	"maps"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"

	"github.com/cespare/xxhash/v2"
)

const (
	// relayCount is the number of relays in a large failure domain. They
	// combine the members' confirmations for the collector, so that 1,333
	// confirmations reach it as 32 messages.
	relayCount = 32
	// relayThreshold is the size from which a failure domain uses relays. In
	// smaller failure domains, confirmations go directly to the collector.
	relayThreshold = 2 * relayCount
	// relayDelay is how long a relay collects confirmations before it forwards
	// them.
	relayDelay = 500 * time.Millisecond
	// maxConfirmDelay is the interval over which the members' confirmations of
	// a change are spread.
	maxConfirmDelay = 200 * time.Millisecond
	// queryInterval is the time between two queries for a revision that an
	// operator is waiting for.
	queryInterval = 250 * time.Millisecond
	// watchTimeout is how long a node continues to send queries after the
	// operator's last request.
	watchTimeout = 30 * time.Second
	// maxUnansweredQueries is the number of unanswered queries after which the
	// queries to a failure domain alternate between its collector and its
	// second member.
	maxUnansweredQueries = 4
	// maxNamedMembers bounds the outdated members that a reply lists by name.
	maxNamedMembers = 10
	// maxReminders bounds the outdated members from which a collector requests
	// a confirmation at each query. Their confirmation may have been lost, or
	// the collector may be new in its role.
	maxReminders = 64
)

// confirmationComponent determines where a revision is in force. Each failure
// domain has a collector: the first member in an order that all nodes share.
// Members send their confirmations to the collector, and the node that serves
// an operator's request queries the collectors.
//
// A collector that has just started may know only a few members of its failure
// domain and would reply for those alone. Replies therefore contain the number
// of members they cover, and a reply that covers fewer members than the
// querying node knows is ignored.
type confirmationComponent struct {
	node *Node
	// confirmed holds the highest revision that each member of the own failure
	// domain has confirmed.
	confirmed map[coltsfootward.InstanceID]coltsfootward.Revision
	// confirmAt is when this node confirms its own revision; zero means that no
	// confirmation is due.
	confirmAt time.Duration
	// pendingRelay holds, by revision, the members whose confirmations this
	// node will forward as a relay.
	pendingRelay map[coltsfootward.Revision][]coltsfootward.InstanceID
	relayAt      time.Duration

	// watchedRevision is the revision that an operator waits for. Queries stop
	// at watchUntil.
	watchedRevision coltsfootward.Revision
	watchUntil      time.Duration
	nextQuery       time.Duration
	// unanswered counts the queries to each failure domain since its last
	// reply.
	unanswered map[coltsfootward.FailureDomain]int
	replies    map[coltsfootward.FailureDomain]message.DomainConfirmation
}

func newConfirmationComponent(n *Node) *confirmationComponent {
	return &confirmationComponent{
		node:         n,
		confirmed:    make(map[coltsfootward.InstanceID]coltsfootward.Revision),
		pendingRelay: make(map[coltsfootward.Revision][]coltsfootward.InstanceID),
		unanswered:   make(map[coltsfootward.FailureDomain]int),
		replies:      make(map[coltsfootward.FailureDomain]message.DomainConfirmation),
	}
}

// forgetMember drops the confirmation of an earlier run of an instance, because
// a restarted instance begins without a configuration.
func (p *confirmationComponent) forgetMember(id coltsfootward.InstanceID) {
	delete(p.confirmed, id)
}

// scheduleConfirmation schedules the confirmation of a new revision.
func (p *confirmationComponent) scheduleConfirmation() {
	if p.confirmAt == 0 {
		p.confirmAt = p.node.now.Monotonic + time.Duration(p.node.source.Int64N(int64(maxConfirmDelay)))
	}
}

func (p *confirmationComponent) tick() {
	now := p.node.now.Monotonic
	if p.confirmAt != 0 && now >= p.confirmAt {
		p.confirmAt = 0
		p.confirm()
	}
	if len(p.pendingRelay) > 0 && now >= p.relayAt {
		p.relay()
	}
	if now < p.watchUntil && now >= p.nextQuery {
		p.nextQuery = now + queryInterval
		p.sendQueries()
	}
}

func (p *confirmationComponent) confirm() {
	to, ok := p.confirmTo()
	if ok && to.ID != p.node.options.Self.ID {
		p.node.act(Send{To: to, Message: &message.Confirmation{Revision: p.node.configuration.current.Revision()}})
	}
}

// confirmTo returns the instance to send confirmations to: the collector, or
// this node's relay in a large failure domain.
func (p *confirmationComponent) confirmTo() (coltsfootward.Instance, bool) {
	self := p.node.options.Self
	first := p.node.membership.machine.FirstAlive(self.Domain, relayThreshold)
	if len(first) == 0 {
		return coltsfootward.Instance{}, false
	}
	if len(first) < relayThreshold {
		return first[0], true
	}
	return first[1+xxhash.Sum64String(string(self.ID))%relayCount], true
}

// confirmationReceived records confirmations. A relay forwards them once.
func (p *confirmationComponent) confirmationReceived(from coltsfootward.InstanceID, m message.Confirmation) {
	members := m.Members
	if len(members) == 0 {
		members = []coltsfootward.InstanceID{from}
	}
	for _, id := range members {
		p.confirmed[id] = max(p.confirmed[id], m.Revision)
	}
	if len(m.Members) > 0 || p.collector(p.node.options.Self.Domain, 0).ID == p.node.options.Self.ID {
		return
	}
	if len(p.pendingRelay) == 0 {
		p.relayAt = p.node.now.Monotonic + relayDelay
	}
	p.pendingRelay[m.Revision] = append(p.pendingRelay[m.Revision], from)
}

func (p *confirmationComponent) relay() {
	to := p.collector(p.node.options.Self.Domain, 0)
	for _, revision := range slices.Sorted(maps.Keys(p.pendingRelay)) {
		if to.ID != "" {
			p.node.act(Send{To: to, Message: &message.Confirmation{Revision: revision, Members: p.pendingRelay[revision]}})
		}
	}
	clear(p.pendingRelay)
}

// collector returns the failure domain's member at the given position in the
// common order; position 0 is the collector. The instance is empty if there is
// no such member.
func (p *confirmationComponent) collector(domain coltsfootward.FailureDomain, position int) coltsfootward.Instance {
	first := p.node.membership.machine.FirstAlive(domain, position+1)
	if len(first) <= position {
		return coltsfootward.Instance{}
	}
	return first[position]
}

// queryReceived replies to a query about the whole failure domain or about this
// node alone.
func (p *confirmationComponent) queryReceived(from coltsfootward.InstanceID, m message.ConfirmationQuery) {
	if m.Domain == "" {
		p.node.configuration.send(from, &message.Confirmation{Revision: p.node.configuration.current.Revision()})
		return
	}
	if m.Domain != p.node.options.Self.Domain {
		return
	}
	reply := p.collect(m.Revision)
	p.node.configuration.send(from, &reply)
}

// collect returns the confirmation state of the own failure domain and requests
// confirmations from outdated members. Members that are gone do not count: they
// serve no requests, and when they return they adopt the highest revision that
// their peers hold.
func (p *confirmationComponent) collect(queried coltsfootward.Revision) message.DomainConfirmation {
	self := p.node.options.Self
	reply := message.DomainConfirmation{Domain: self.Domain, Queried: queried, Revision: p.node.configuration.current.Revision()}
	reminded := 0
	for _, member := range p.node.membership.roster(self.Domain) {
		id := member.Announcement.Instance.ID
		revision := p.confirmed[id]
		if id == self.ID {
			revision = p.node.configuration.current.Revision()
		}
		if member.State == message.MemberGone {
			continue
		}
		reply.Members++
		reply.Revision = min(reply.Revision, revision)
		if revision >= queried {
			continue
		}
		if len(reply.Behind) < maxNamedMembers {
			reply.Behind = append(reply.Behind, id)
		}
		if reminded < maxReminders && id != self.ID {
			reminded++
			p.node.act(Send{To: member.Announcement.Instance, Message: &message.ConfirmationQuery{Revision: queried}})
		}
	}
	return reply
}

// sendQueries queries the collector of each failure domain that has not
// confirmed the watched revision yet.
func (p *confirmationComponent) sendQueries() {
	for _, domain := range p.domains() {
		if p.replies[domain].Revision >= p.watchedRevision {
			continue
		}
		p.unanswered[domain]++
		position := 0
		if p.unanswered[domain] > maxUnansweredQueries {
			position = p.unanswered[domain] % 2
		}
		to := p.collector(domain, position)
		if to.ID == p.node.options.Self.ID {
			p.replyReceived(p.collect(p.watchedRevision))
			continue
		}
		if to.ID != "" {
			p.node.act(Send{To: to, Message: &message.ConfirmationQuery{Revision: p.watchedRevision, Domain: domain}})
		}
	}
}

// domains lists the failure domains that must confirm. These are the domains
// with members, and those with contacts in the table as last read by this node,
// because a domain may have been unreachable since before this node started.
// Domains whose members have all left or failed are excluded.
func (p *confirmationComponent) domains() []coltsfootward.FailureDomain {
	m := p.node.membership
	all := slices.Concat(m.machine.Domains(), m.contactDomains)
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(domain coltsfootward.FailureDomain) bool {
		known := slices.Contains(m.machine.Domains(), domain)
		return known && len(m.machine.FirstAlive(domain, 1)) == 0
	})
}

// replyReceived stores a failure domain's reply unless an earlier one is
// higher: a domain's revision never decreases.
func (p *confirmationComponent) replyReceived(m message.DomainConfirmation) {
	if m.Members < p.runningCount(m.Domain) {
		return
	}
	p.unanswered[m.Domain] = 0
	old, ok := p.replies[m.Domain]
	if ok && m.Revision < old.Revision {
		return
	}
	p.replies[m.Domain] = m
}

func (p *confirmationComponent) runningCount(domain coltsfootward.FailureDomain) int {
	count := 0
	for _, member := range p.node.membership.roster(domain) {
		if member.State != message.MemberGone {
			count++
		}
	}
	return count
}

// DomainRevision is the revision in force in a failure domain.
type DomainRevision struct {
	Domain coltsfootward.FailureDomain
	// Revision is the lowest revision among the domain's running instances, or
	// zero if the domain has not replied yet.
	Revision coltsfootward.Revision
	// Behind lists some of the instances that have not confirmed the requested
	// revision.
	Behind []coltsfootward.InstanceID
}

// WatchRevision returns the last known state of revision r in each failure
// domain, and makes the node query the domains. Call it again for newer
// results. An unreachable failure domain remains unconfirmed. An instance that
// its own failure domain considers gone does not delay the confirmation.
func (n *Node) WatchRevision(r coltsfootward.Revision) []DomainRevision {
	p := n.confirmation
	if r > p.watchedRevision {
		p.watchedRevision = r
		p.nextQuery = 0
	}
	p.watchUntil = n.now.Monotonic + watchTimeout
	var revisions []DomainRevision
	for _, domain := range p.domains() {
		reply := p.replies[domain]
		d := DomainRevision{Domain: domain, Revision: reply.Revision}
		if reply.Revision < r {
			d.Behind = p.behind(domain, reply)
		}
		revisions = append(revisions, d)
	}
	return revisions
}

// behind lists instances that a failure domain waits for. For a domain that has
// not replied these are its first members.
func (p *confirmationComponent) behind(domain coltsfootward.FailureDomain, reply message.DomainConfirmation) []coltsfootward.InstanceID {
	if len(reply.Behind) > 0 {
		return reply.Behind
	}
	var named []coltsfootward.InstanceID
	for _, instance := range p.node.membership.machine.FirstAlive(domain, maxNamedMembers) {
		named = append(named, instance.ID)
	}
	return named
}
