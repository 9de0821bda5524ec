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
	// relayCount is how many members of a large domain gather confirmations
	// for its collector, so that 1,333 of them reach it as 32 messages.
	relayCount = 32
	// directLimit is the size of a domain up to which confirmations go straight
	// to the collector.
	directLimit = 2 * relayCount
	// relayDelay is how long a relay gathers before it passes on.
	relayDelay = 500 * time.Millisecond
	// confirmDelay spreads the confirmations of one change.
	confirmDelay = 200 * time.Millisecond
	// queryInterval is the time between two questions about a change that an
	// operator waits for.
	queryInterval = 250 * time.Millisecond
	// queryPatience is how long a node goes on asking after the operator's last
	// question.
	queryPatience = 30 * time.Second
	// standInAfter is after how many questions without an answer the domain's
	// next member is asked in place of its collector.
	standInAfter = 4
	// namedLimit bounds the members that an answer names as behind.
	namedLimit = 10
	// reminders is how many members that are behind a collector asks at each
	// question, in case their confirmation was lost or it is new in its place.
	reminders = 64
)

// confirmationPart finds out where a revision is in force. Each failure domain
// has a collector, its first member in the order that all nodes share. Members
// confirm to it, and whichever node an operator asks puts its question there.
//
// A collector that has just started may know only a few of its domain, and would
// speak for those alone. So it says for how many it speaks, and an answer for
// fewer than the asker knows of does not count.
type confirmationPart struct {
	node *Node
	// confirmed holds what members of the own domain have in force.
	confirmed map[coltsfootward.InstanceID]coltsfootward.Revision
	// due is when this node confirms its own revision; zero means not at all.
	due time.Duration
	// relayed holds who confirmed which revision to this node as a relay.
	relayed  map[coltsfootward.Revision][]coltsfootward.InstanceID
	relayDue time.Duration

	// asked is what an operator waits for, until the time watching.
	asked    coltsfootward.Revision
	watching time.Duration
	next     time.Duration
	// attempts counts questions to each domain since its last answer.
	attempts map[coltsfootward.FailureDomain]int
	answers  map[coltsfootward.FailureDomain]message.DomainConfirmation
}

func newConfirmationPart(n *Node) *confirmationPart {
	return &confirmationPart{
		node:      n,
		confirmed: make(map[coltsfootward.InstanceID]coltsfootward.Revision),
		relayed:   make(map[coltsfootward.Revision][]coltsfootward.InstanceID),
		attempts:  make(map[coltsfootward.FailureDomain]int),
		answers:   make(map[coltsfootward.FailureDomain]message.DomainConfirmation),
	}
}

// forget drops what an earlier run of an instance confirmed: a later one starts
// with nothing.
func (p *confirmationPart) forget(id coltsfootward.InstanceID) {
	delete(p.confirmed, id)
}

// advanced notes that this node has a new revision in force.
func (p *confirmationPart) advanced() {
	if p.due == 0 {
		p.due = p.node.now.Monotonic + time.Duration(p.node.source.Int64N(int64(confirmDelay)))
	}
}

func (p *confirmationPart) tick() {
	now := p.node.now.Monotonic
	if p.due != 0 && now >= p.due {
		p.due = 0
		p.confirm()
	}
	if len(p.relayed) > 0 && now >= p.relayDue {
		p.relay()
	}
	if now < p.watching && now >= p.next {
		p.next = now + queryInterval
		p.ask()
	}
}

func (p *confirmationPart) confirm() {
	to, ok := p.confirmTo()
	if ok && to.ID != p.node.options.Self.ID {
		p.node.act(Send{To: to, Message: &message.Confirmation{Revision: p.node.configuration.current.Revision()}})
	}
}

// confirmTo returns the collector, or this node's relay in a large domain.
func (p *confirmationPart) confirmTo() (coltsfootward.Instance, bool) {
	self := p.node.options.Self
	first := p.node.membership.machine.First(self.Domain, directLimit)
	if len(first) == 0 {
		return coltsfootward.Instance{}, false
	}
	if len(first) < directLimit {
		return first[0], true
	}
	return first[1+xxhash.Sum64String(string(self.ID))%relayCount], true
}

// received takes in confirmations. A relay passes them on once.
func (p *confirmationPart) received(from coltsfootward.InstanceID, m message.Confirmation) {
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
	if len(p.relayed) == 0 {
		p.relayDue = p.node.now.Monotonic + relayDelay
	}
	p.relayed[m.Revision] = append(p.relayed[m.Revision], from)
}

func (p *confirmationPart) relay() {
	to := p.collector(p.node.options.Self.Domain, 0)
	for _, revision := range slices.Sorted(maps.Keys(p.relayed)) {
		if to.ID != "" {
			p.node.act(Send{To: to, Message: &message.Confirmation{Revision: revision, Members: p.relayed[revision]}})
		}
	}
	clear(p.relayed)
}

// collector returns the domain's member of that place in the common order.
func (p *confirmationPart) collector(domain coltsfootward.FailureDomain, place int) coltsfootward.Instance {
	first := p.node.membership.machine.First(domain, place+1)
	if len(first) <= place {
		return coltsfootward.Instance{}
	}
	return first[place]
}

// query answers for the whole domain or for this node alone.
func (p *confirmationPart) query(from coltsfootward.InstanceID, m message.ConfirmationQuery) {
	if m.Domain == "" {
		p.node.configuration.send(from, &message.Confirmation{Revision: p.node.configuration.current.Revision()})
		return
	}
	if m.Domain != p.node.options.Self.Domain {
		return
	}
	answer := p.collect(m.Revision)
	p.node.configuration.send(from, &answer)
}

// collect returns how far the own domain is and reminds those that are behind.
// Members that are gone do not count: they serve nobody, and when they return
// they take the highest revision that their peers hold.
func (p *confirmationPart) collect(asked coltsfootward.Revision) message.DomainConfirmation {
	self := p.node.options.Self
	answer := message.DomainConfirmation{Domain: self.Domain, Asked: asked, Revision: p.node.configuration.current.Revision()}
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
		answer.Members++
		answer.Revision = min(answer.Revision, revision)
		if revision >= asked {
			continue
		}
		if len(answer.Behind) < namedLimit {
			answer.Behind = append(answer.Behind, id)
		}
		if reminded < reminders && id != self.ID {
			reminded++
			p.node.act(Send{To: member.Announcement.Instance, Message: &message.ConfirmationQuery{Revision: asked}})
		}
	}
	return answer
}

// ask puts the operator's question to the collector of each domain that has not
// confirmed yet.
func (p *confirmationPart) ask() {
	for _, domain := range p.domains() {
		if p.answers[domain].Revision >= p.asked {
			continue
		}
		p.attempts[domain]++
		place := 0
		if p.attempts[domain] > standInAfter {
			place = p.attempts[domain] % 2
		}
		to := p.collector(domain, place)
		if to.ID == p.node.options.Self.ID {
			p.answered(p.collect(p.asked))
			continue
		}
		if to.ID != "" {
			p.node.act(Send{To: to, Message: &message.ConfirmationQuery{Revision: p.asked, Domain: domain}})
		}
	}
}

// domains lists those that have members or, as far as this node has read the
// table, contacts: a domain that was cut off before this node ever heard of it
// still has to confirm. One whose members have all left or gone has not.
func (p *confirmationPart) domains() []coltsfootward.FailureDomain {
	m := p.node.membership
	all := slices.Concat(m.machine.Domains(), m.contactDomains)
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(domain coltsfootward.FailureDomain) bool {
		known := slices.Contains(m.machine.Domains(), domain)
		return known && len(m.machine.First(domain, 1)) == 0
	})
}

// answered keeps the highest answer: a domain never goes back.
func (p *confirmationPart) answered(m message.DomainConfirmation) {
	if m.Members < p.running(m.Domain) {
		return
	}
	p.attempts[m.Domain] = 0
	old, ok := p.answers[m.Domain]
	if ok && m.Revision < old.Revision {
		return
	}
	p.answers[m.Domain] = m
}

func (p *confirmationPart) running(domain coltsfootward.FailureDomain) int {
	count := 0
	for _, member := range p.node.membership.roster(domain) {
		if member.State != message.MemberGone {
			count++
		}
	}
	return count
}

// DomainRevision says how far the configuration is in force in a failure domain.
type DomainRevision struct {
	Domain coltsfootward.FailureDomain
	// Revision is the lowest that an instance of the domain has confirmed; zero
	// if nobody in the domain has answered yet.
	Revision coltsfootward.Revision
	// Behind names some of the instances below the revision asked for.
	Behind []coltsfootward.InstanceID
}

// InForce returns for each failure domain how far it has confirmed revision r,
// as far as this node has heard, and has the node ask. Ask again to learn more.
// A domain that cannot be reached stays behind; an instance that is gone, by
// the word of its own domain, holds nothing up.
func (n *Node) InForce(r coltsfootward.Revision) []DomainRevision {
	p := n.confirmation
	if r > p.asked {
		p.asked = r
		p.next = 0
	}
	p.watching = n.now.Monotonic + queryPatience
	var found []DomainRevision
	for _, domain := range p.domains() {
		answer := p.answers[domain]
		d := DomainRevision{Domain: domain, Revision: answer.Revision}
		if answer.Revision < r {
			d.Behind = p.behind(domain, answer)
		}
		found = append(found, d)
	}
	return found
}

// behind names those a domain waits for; of one that has not answered, its
// first members.
func (p *confirmationPart) behind(domain coltsfootward.FailureDomain, answer message.DomainConfirmation) []coltsfootward.InstanceID {
	if len(answer.Behind) > 0 {
		return answer.Behind
	}
	var named []coltsfootward.InstanceID
	for _, instance := range p.node.membership.machine.First(domain, namedLimit) {
		named = append(named, instance.ID)
	}
	return named
}
