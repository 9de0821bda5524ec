package node

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"coltsfootward"
	"coltsfootward/core/membership"
	"coltsfootward/core/message"
	"coltsfootward/core/record"
)

// ContactPrefix is where a few nodes of each failure domain leave their
// addresses, for others to find the system at their start.
const ContactPrefix = "contact/"

const (
	// contactRows is how many nodes of a failure domain do so. Four are unlikely
	// to be replaced all together before one of them sees the others gone.
	contactRows = 4
	// contactLimit bounds the rows of one scan.
	contactLimit = 1000
	// contactInterval is the time between two reads of the contacts by those
	// who keep them. A stale row stands for at most this long.
	contactInterval = 10 * time.Second
	// contactPatience is how long a node that reaches none of its domain's
	// contacts waits before it takes their place.
	contactPatience = 5 * time.Second
)

// membershipPart knows the other nodes and what their backend servers offer.
type membershipPart struct {
	node    *Node
	machine *membership.Machine
	// local is this node's own announcement.
	local message.Announcement
	scan  time.Duration
	began time.Duration
	// contactDomains are the failure domains that the table names contacts of.
	contactDomains []coltsfootward.FailureDomain
}

func newMembershipPart(n *Node) *membershipPart {
	p := &membershipPart{node: n, began: n.now.Monotonic}
	p.machine = membership.New(membership.Options{
		Self:      n.options.Self,
		Send:      func(to coltsfootward.Instance, m message.Message) { n.act(Send{To: to, Message: m}) },
		Digest:    n.configuration.own,
		Changed:   p.changed,
		Reachable: p.reachable,
	}, n.source, n.now)
	p.local = p.machine.Local()
	p.scan = n.now.Monotonic + time.Duration(n.source.Int64N(int64(n.options.PollInterval)))
	return p
}

// roster returns the members of a failure domain that have not said that they
// leave, with when each was last heard, in an order that all nodes share. It
// includes those that are gone, with that state, and this node.
func (p *membershipPart) roster(domain coltsfootward.FailureDomain) []membership.Member {
	return p.machine.Roster(domain)
}

// instance returns where a member runs.
func (p *membershipPart) instance(id coltsfootward.InstanceID) (coltsfootward.Instance, bool) {
	member, ok := p.machine.Member(id)
	return member.Announcement.Instance, ok
}

func (p *membershipPart) received(e MessageArrived) {
	p.machine.Receive(p.node.now, e.From, e.Message, e.Age)
	p.local = p.machine.Local()
}

func (p *membershipPart) changed(old, news message.News) {
	p.node.placement.changed(old, news)
	instance := news.Announcement.Instance
	if old.Announcement.Instance.Incarnation != instance.Incarnation || news.State == message.MemberLeft {
		p.node.confirmation.forget(instance.ID)
	}
	if instance.Domain != p.node.options.Self.Domain || old.State == news.State {
		return
	}
	codes := map[message.MemberState]record.Code{
		message.MemberSuspected: record.MemberSuspected,
		message.MemberGone:      record.MemberGone,
		message.MemberLeft:      record.MemberLeft,
	}
	if code, ok := codes[news.State]; ok {
		p.node.report(code, field("instance", string(instance.ID)))
	}
}

func (p *membershipPart) reachable(domain coltsfootward.FailureDomain, reachable bool) {
	code := record.DomainUnreachable
	if reachable {
		code = record.DomainReachable
	}
	p.node.report(code, field("domain", string(domain)))
}

func (p *membershipPart) backendAnnounced(e BackendAnnounced) {
	changed := p.local.Service != e.Service || p.local.Slots != e.Slots || p.local.Draining != (e.Draining || p.local.Leaving)
	if !changed {
		return
	}
	p.machine.AnnounceCold(e.Service, e.Slots, e.Draining, e.Cold)
	p.publishLocal()
	code := record.BackendAnnounced
	if e.Draining {
		code = record.BackendDraining
	}
	p.node.report(code, field("service", string(e.Service)), field("slots", number(e.Slots)))
	p.node.upstream.start()
}

// backendLost takes the local backend server out until it announces itself
// again: nothing listens at its address, so every request placed on it would
// cost a hop for nothing.
func (p *membershipPart) backendLost() {
	if p.local.Service == "" {
		return
	}
	p.node.report(record.BackendLost, field("service", string(p.local.Service)))
	p.machine.Announce("", 0, p.local.Draining)
	p.publishLocal()
}

func (p *membershipPart) drain() {
	p.machine.Leave()
	p.publishLocal()
}

// publishLocal takes in what changed about the local backend server.
func (p *membershipPart) publishLocal() {
	old := message.News{Announcement: p.local, State: message.MemberAlive}
	p.local = p.machine.Local()
	p.node.placement.changed(old, message.News{Announcement: p.local, State: message.MemberAlive})
}

func (p *membershipPart) left() { p.machine.Left() }

func (p *membershipPart) tick() {
	p.machine.Tick(p.node.now)
	if p.node.now.Monotonic < p.scan {
		return
	}
	p.scan = p.node.now.Monotonic + p.scanInterval()
	p.machine.Contact(p.node.now, p.node.options.Contacts...)
	if p.lonely() || p.machine.Rank(contactRows) >= 0 {
		p.node.table.scan(ContactPrefix, "", contactLimit, func(rows []coltsfootward.Row, err error) {
			if err == nil {
				p.contacts(rows)
			}
		})
	}
}

func (p *membershipPart) lonely() bool { return p.machine.Size() == 1 }

func (p *membershipPart) scanInterval() time.Duration {
	if p.lonely() {
		return p.node.options.PollInterval
	}
	return contactInterval
}

// contacts gets in touch with those that the table names, and puts this node in
// its place among them. Nothing is written while the rows are right, so the
// platform has no work from a system at rest.
func (p *membershipPart) contacts(rows []coltsfootward.Row) {
	self := p.node.options.Self
	p.contactDomains = p.contactDomains[:0]
	var stored coltsfootward.Instance
	domainKnown := false
	key := p.contactKey()
	for _, row := range rows {
		var instance coltsfootward.Instance
		if json.Unmarshal(row.Value, &instance) != nil {
			continue
		}
		p.noteContact(instance)
		if row.Key == key {
			stored = instance
		}
		domainKnown = domainKnown || instance.Domain == self.Domain && instance.ID != self.ID
	}
	alone := p.lonely() && domainKnown && p.node.now.Monotonic-p.began < contactPatience
	if key != "" && stored != self && !alone {
		p.writeContact(key)
	}
}

// contactKey returns the row that is this node's to keep; empty if none is.
func (p *membershipPart) contactKey() string {
	rank := p.machine.Rank(contactRows)
	if rank < 0 {
		return ""
	}
	return strings.Join([]string{ContactPrefix + string(p.node.options.Self.Domain), strconv.Itoa(rank)}, "/")
}

func (p *membershipPart) noteContact(instance coltsfootward.Instance) {
	if !slices.Contains(p.contactDomains, instance.Domain) {
		p.contactDomains = append(p.contactDomains, instance.Domain)
	}
	p.machine.Contact(p.node.now, instance)
}

func (p *membershipPart) writeContact(key string) {
	value, err := json.Marshal(p.node.options.Self)
	if err != nil {
		return
	}
	write := coltsfootward.Transaction{Writes: []coltsfootward.Write{{Key: key, Value: value}}}
	p.node.table.transact(write, func(error) {})
}
