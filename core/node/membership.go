package node

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"time"

	"coltsfootward"
	"coltsfootward/core/membership"
	"coltsfootward/core/message"
	"coltsfootward/core/record"

	"github.com/cespare/xxhash/v2"
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
	contactInterval = time.Minute
	// settledRank is how long a node must have had its place in its domain to act
	// on it: a node that has just started takes many, as it hears of the others.
	settledRank = 2 * time.Second
	// firstScan is the time over which nodes that start together spread their
	// first read of the contacts, and longestScan what the pause between two reads
	// grows to while the platform does not answer.
	firstScan   = 300 * time.Millisecond
	longestScan = 2 * time.Second
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
	// scan is when to read the contacts next, scanPause the pause after a read
	// that brought nothing.
	scan      time.Duration
	scanPause time.Duration
	// scanned is set once the platform has told the contacts, scanning while it is
	// asked.
	scanned, scanning bool
	began             time.Duration
	// spread is this node's place, 0 to 1, in what nodes that start together
	// spread over time.
	spread float64
	// rank is this node's place among its domain's contacts, ranked since when it
	// has had it, and kept the place whose row it looks after.
	rank, kept int
	ranked     time.Duration
	// rows holds the contacts by their keys, as they were read last.
	rows map[string]coltsfootward.Instance
	// contactDomains are the failure domains that the table names contacts of.
	contactDomains []coltsfootward.FailureDomain
}

func newMembershipPart(n *Node) *membershipPart {
	p := &membershipPart{node: n, began: n.now.Monotonic, rank: noRank, kept: noRank}
	p.machine = membership.New(membership.Options{
		Self:      n.options.Self,
		Send:      func(to coltsfootward.Instance, m message.Message) { n.act(Send{To: to, Message: m}) },
		Digest:    n.configuration.own,
		Changed:   p.changed,
		Reachable: p.reachable,
	}, n.source, n.now)
	p.local = p.machine.Local()
	p.spread = float64(xxhash.Sum64String(string(n.options.Self.ID))) / math.MaxUint64
	p.scan = n.now.Monotonic + time.Duration(n.source.Int64N(int64(min(firstScan, n.options.PollInterval))))
	p.scanPause = firstScan
	return p
}

// patience returns a time that is spread over the nodes, from shortest to twice
// as long.
func (p *membershipPart) patience(shortest time.Duration) time.Duration {
	return shortest + time.Duration(p.spread*float64(shortest))
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
	p.node.upstream.cold.announced(e.Cold)
	if !changed {
		return
	}
	p.machine.AnnounceCold(e.Service, e.Slots, e.Draining, p.node.upstream.cold.left())
	p.publishLocal()
	code := record.BackendAnnounced
	if e.Draining {
		code = record.BackendDraining
	}
	p.node.report(code, field("service", string(e.Service)), field("slots", number(e.Slots)))
	p.node.upstream.start()
}

// coldChanged spreads that the local backend server is cold for another time than
// was told.
func (p *membershipPart) coldChanged() {
	if p.local.Service == "" {
		return
	}
	p.machine.AnnounceCold(p.local.Service, p.local.Slots, p.local.Draining, p.node.upstream.cold.left())
	p.publishLocal()
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
	p.noteRank()
	if p.scanning || p.node.now.Monotonic < p.scan {
		return
	}
	p.machine.Contact(p.node.now, p.node.options.Contacts...)
	if !p.lonely() && p.kept == noRank {
		p.scan = p.node.now.Monotonic + contactInterval
		return
	}
	p.readContacts()
}

// noteRank follows this node's place among its domain's contacts. Whoever has
// taken one for good makes its row right.
func (p *membershipPart) noteRank() {
	if rank := p.machine.Rank(contactRows); rank != p.rank {
		p.rank, p.ranked = rank, p.node.now.Monotonic
	}
	if p.rank == p.kept || p.lonely() || !p.scanned || !p.settled() {
		return
	}
	p.kept = p.rank
	if p.kept != noRank {
		p.keepRow()
	}
}

// settled reports whether this node has had its place for long enough to act on it.
func (p *membershipPart) settled() bool { return p.node.now.Monotonic-p.ranked >= settledRank }

func (p *membershipPart) readContacts() {
	p.scanning = true
	p.node.table.scan(ContactPrefix, "", contactLimit, func(rows []coltsfootward.Row, err error) {
		p.scanning = false
		if err != nil {
			p.scan = p.node.now.Monotonic + p.node.spread(p.scanPause)
			p.scanPause = min(2*p.scanPause, longestScan)
			return
		}
		p.scanned = true
		p.scanPause = firstScan
		p.scan = p.node.now.Monotonic + p.scanInterval()
		p.contacts(rows)
	})
}

// noRank is the place of a node that is not among the contacts.
const noRank = -1

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
	p.rows = make(map[string]coltsfootward.Instance)
	domainKnown := false
	for _, row := range rows {
		var instance coltsfootward.Instance
		if json.Unmarshal(row.Value, &instance) != nil {
			continue
		}
		p.noteContact(instance)
		p.rows[row.Key] = instance
		domainKnown = domainKnown || instance.Domain == self.Domain && instance.ID != self.ID
	}
	if p.lonely() && domainKnown && p.node.now.Monotonic-p.began < contactPatience {
		return
	}
	if p.lonely() || p.kept != noRank {
		p.keepRow()
	}
}

// keepRow writes this node's row unless it was found right. A row of an earlier run
// leads here as well.
func (p *membershipPart) keepRow() {
	self := p.node.options.Self
	key := ContactPrefix + string(self.Domain) + "/" + strconv.Itoa(max(p.kept, 0))
	found := p.rows[key]
	found.Incarnation = self.Incarnation
	if found == self {
		return
	}
	p.rows[key] = self
	p.writeContact(key)
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
