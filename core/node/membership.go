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

// ContactPrefix is the key prefix under which a few nodes of each failure
// domain store their addresses, so that starting nodes can find them.
const ContactPrefix = "contact/"

const (
	// contactsPerDomain is the number of nodes of a failure domain that store
	// their addresses. Four nodes are unlikely to be replaced all at once,
	// before one of them notices that the others are gone.
	contactsPerDomain = 4
	// contactScanLimit is the maximum number of rows in one scan.
	contactScanLimit = 1000
	// contactInterval is the time between two reads of the contacts by the
	// nodes that maintain them. An outdated row remains for at most this long.
	contactInterval = time.Minute
	// rankSettleTime is how long a node's rank in its failure domain must be
	// stable before the node acts on it. The rank of a starting node changes
	// repeatedly while it learns of the other nodes.
	rankSettleTime = 2 * time.Second
	// initialScanDelay is the interval over which nodes that start together
	// spread their first read of the contacts. maxScanDelay is the longest
	// delay between two reads while the platform does not answer.
	initialScanDelay = 300 * time.Millisecond
	maxScanDelay     = 2 * time.Second
	// contactTimeout is how long a node that reaches none of its failure
	// domain's contacts waits before it replaces them.
	contactTimeout = 5 * time.Second
)

// membershipComponent tracks the other nodes and the backend servers that they
// announce.
type membershipComponent struct {
	node    *Node
	machine *membership.Machine
	// local is this node's own announcement.
	local message.Announcement
	// nextScan is when the contacts are read next. scanBackoff is the delay
	// after a failed read.
	nextScan    time.Duration
	scanBackoff time.Duration
	// contactsRead is set once the contacts have been read. scanning is set
	// while a read is in progress.
	contactsRead, scanning bool
	started                time.Duration
	// jitter is this node's fixed position, 0 to 1, within the intervals over
	// which nodes that start together spread their actions.
	jitter float64
	// rank is this node's rank among its failure domain's contacts, and
	// rankSince when it got that rank. rowRank is the rank whose row in the
	// table the node maintains.
	rank, rowRank int
	rankSince     time.Duration
	// contactRows holds the contacts by their keys in the table, as last read.
	contactRows map[string]coltsfootward.Instance
	// contactDomains are the failure domains that have contacts in the table.
	contactDomains []coltsfootward.FailureDomain
}

func newMembershipComponent(n *Node) *membershipComponent {
	p := &membershipComponent{node: n, started: n.now.Monotonic, rank: noRank, rowRank: noRank}
	p.machine = membership.New(membership.Options{
		Self:        n.options.Self,
		Send:        func(to coltsfootward.Instance, m message.Message) { n.act(Send{To: to, Message: m}) },
		Digest:      n.configuration.ownDigest,
		OnChange:    p.memberChanged,
		OnReachable: p.reachabilityChanged,
	}, n.source, n.now)
	p.local = p.machine.Local()
	p.jitter = float64(xxhash.Sum64String(string(n.options.Self.ID))) / math.MaxUint64
	p.nextScan = n.now.Monotonic + time.Duration(n.source.Int64N(int64(min(initialScanDelay, n.options.PollInterval))))
	p.scanBackoff = initialScanDelay
	return p
}

// jittered returns a duration between shortest and twice shortest that differs
// from node to node.
func (p *membershipComponent) jittered(shortest time.Duration) time.Duration {
	return shortest + time.Duration(p.jitter*float64(shortest))
}

// roster returns the members of a failure domain that have not left, with the
// time when each was last seen, in an order that all nodes share. It includes
// this node and the members that are gone, which have that state.
func (p *membershipComponent) roster(domain coltsfootward.FailureDomain) []membership.Member {
	return p.machine.Roster(domain)
}

// instance returns the instance of a member.
func (p *membershipComponent) instance(id coltsfootward.InstanceID) (coltsfootward.Instance, bool) {
	member, ok := p.machine.Member(id)
	return member.Announcement.Instance, ok
}

func (p *membershipComponent) messageReceived(e MessageArrived) {
	p.machine.Receive(p.node.now, e.From, e.Message, e.Age)
	p.local = p.machine.Local()
}

func (p *membershipComponent) memberChanged(old, update message.MemberUpdate) {
	p.node.placement.memberChanged(old, update)
	instance := update.Announcement.Instance
	if old.Announcement.Instance.Incarnation != instance.Incarnation || update.State == message.MemberLeft {
		p.node.confirmation.forgetMember(instance.ID)
	}
	if instance.Domain != p.node.options.Self.Domain || old.State == update.State {
		return
	}
	codes := map[message.MemberState]record.Code{
		message.MemberSuspected: record.MemberSuspected,
		message.MemberGone:      record.MemberGone,
		message.MemberLeft:      record.MemberLeft,
	}
	if code, ok := codes[update.State]; ok {
		p.node.report(code, field("instance", string(instance.ID)))
	}
}

func (p *membershipComponent) reachabilityChanged(domain coltsfootward.FailureDomain, reachable bool) {
	code := record.DomainUnreachable
	if reachable {
		code = record.DomainReachable
	}
	p.node.report(code, field("domain", string(domain)))
}

func (p *membershipComponent) backendAnnounced(e BackendAnnounced) {
	p.node.upstream.condition.announced(e.Backend, e.Start)
	e.Draining = e.Draining || p.node.upstream.condition.leaving()
	changed := p.local.Service != e.Service || p.local.Slots != e.Slots || p.local.Draining != (e.Draining || p.local.Leaving)
	p.node.upstream.crashes.announced(e.Start)
	p.node.upstream.cold.announced(e.Cold)
	if !changed {
		return
	}
	p.machine.AnnounceCold(e.Service, e.Slots, e.Draining, p.node.upstream.cold.remaining())
	p.publishLocal()
	code := record.BackendAnnounced
	if e.Draining {
		code = record.BackendDraining
	}
	p.node.report(code, field("service", string(e.Service)), field("slots", number(e.Slots)))
	p.node.upstream.condition.checkAfterStart()
	p.node.upstream.dispatchQueued()
}

// backendLeaving withdraws the local backend server, which has said in a response that
// it leaves. Its heartbeats may still report that it is ready.
func (p *membershipComponent) backendLeaving() {
	if p.local.Service == "" || p.local.Draining {
		return
	}
	p.machine.AnnounceCold(p.local.Service, p.local.Slots, true, p.node.upstream.cold.remaining())
	p.publishLocal()
	p.node.report(record.BackendDraining, field("service", string(p.local.Service)), field("slots", number(p.local.Slots)), field("by", "answer"))
	p.node.upstream.dispatchQueued()
}

// coldChanged announces a changed remaining cold time of the local backend
// server.
func (p *membershipComponent) coldChanged() {
	if p.local.Service == "" {
		return
	}
	p.machine.AnnounceCold(p.local.Service, p.local.Slots, p.local.Draining, p.node.upstream.cold.remaining())
	p.publishLocal()
}

// backendLost withdraws the local backend server until it announces itself
// again. Nothing listens at its address, so every request placed on it would
// waste a hop.
func (p *membershipComponent) backendLost() {
	p.node.upstream.crashes.backendLost()
	p.node.upstream.condition.reset()
	if p.local.Service == "" {
		return
	}
	p.node.report(record.BackendLost, field("service", string(p.local.Service)))
	p.machine.Announce("", 0, p.local.Draining)
	p.publishLocal()
}

func (p *membershipComponent) drain() {
	p.machine.AnnounceLeaving()
	p.publishLocal()
}

// publishLocal applies a change of this node's own announcement.
func (p *membershipComponent) publishLocal() {
	old := message.MemberUpdate{Announcement: p.local, State: message.MemberAlive}
	p.local = p.machine.Local()
	p.node.placement.memberChanged(old, message.MemberUpdate{Announcement: p.local, State: message.MemberAlive})
}

func (p *membershipComponent) announceStop() { p.machine.AnnounceLeft() }

func (p *membershipComponent) tick() {
	p.machine.Tick(p.node.now)
	p.updateRank()
	if p.scanning || p.node.now.Monotonic < p.nextScan {
		return
	}
	p.machine.Contact(p.node.now, p.node.options.Contacts...)
	if !p.isAlone() && p.rowRank == noRank {
		p.nextScan = p.node.now.Monotonic + contactInterval
		return
	}
	p.readContacts()
}

// updateRank tracks this node's rank among its failure domain's contacts. Once
// the rank has settled, the node makes sure that its row in the table is
// correct.
func (p *membershipComponent) updateRank() {
	if rank := p.machine.Rank(contactsPerDomain); rank != p.rank {
		p.rank, p.rankSince = rank, p.node.now.Monotonic
	}
	if p.rank == p.rowRank || p.isAlone() || !p.contactsRead || !p.rankSettled() {
		return
	}
	p.rowRank = p.rank
	if p.rowRank != noRank {
		p.ensureRow()
	}
}

// rankSettled reports whether this node's rank has been stable for
// rankSettleTime.
func (p *membershipComponent) rankSettled() bool {
	return p.node.now.Monotonic-p.rankSince >= rankSettleTime
}

func (p *membershipComponent) readContacts() {
	p.scanning = true
	p.node.table.scan(ContactPrefix, "", contactScanLimit, func(rows []coltsfootward.Row, err error) {
		p.scanning = false
		if err != nil {
			p.nextScan = p.node.now.Monotonic + p.node.jitter(p.scanBackoff)
			p.scanBackoff = min(2*p.scanBackoff, maxScanDelay)
			return
		}
		p.contactsRead = true
		p.scanBackoff = initialScanDelay
		p.nextScan = p.node.now.Monotonic + p.scanInterval()
		p.processContacts(rows)
	})
}

// noRank is the rank of a node that is not among the contacts.
const noRank = -1

func (p *membershipComponent) isAlone() bool { return p.machine.Size() == 1 }

func (p *membershipComponent) scanInterval() time.Duration {
	if p.isAlone() {
		return p.node.options.PollInterval
	}
	return contactInterval
}

// processContacts contacts the instances listed in the table and makes sure
// that this node's own row is correct if it should have one. Nothing is written
// while the rows are correct, so a stable deployment causes no writes on the
// platform.
func (p *membershipComponent) processContacts(rows []coltsfootward.Row) {
	self := p.node.options.Self
	p.contactDomains = p.contactDomains[:0]
	p.contactRows = make(map[string]coltsfootward.Instance)
	domainKnown := false
	for _, row := range rows {
		var instance coltsfootward.Instance
		if json.Unmarshal(row.Value, &instance) != nil {
			continue
		}
		p.addContact(instance)
		p.contactRows[row.Key] = instance
		domainKnown = domainKnown || instance.Domain == self.Domain && instance.ID != self.ID
	}
	if p.isAlone() && domainKnown && p.node.now.Monotonic-p.started < contactTimeout {
		return
	}
	if p.isAlone() || p.rowRank != noRank {
		p.ensureRow()
	}
}

// ensureRow writes this node's row unless it is correct already. A row that
// differs only in the incarnation counts as correct, since its address still
// leads to this node.
func (p *membershipComponent) ensureRow() {
	self := p.node.options.Self
	key := ContactPrefix + string(self.Domain) + "/" + strconv.Itoa(max(p.rowRank, 0))
	row := p.contactRows[key]
	row.Incarnation = self.Incarnation
	if row == self {
		return
	}
	p.contactRows[key] = self
	p.writeContactRow(key)
}

func (p *membershipComponent) addContact(instance coltsfootward.Instance) {
	if !slices.Contains(p.contactDomains, instance.Domain) {
		p.contactDomains = append(p.contactDomains, instance.Domain)
	}
	p.machine.Contact(p.node.now, instance)
}

func (p *membershipComponent) writeContactRow(key string) {
	value, err := json.Marshal(p.node.options.Self)
	if err != nil {
		return
	}
	write := coltsfootward.Transaction{Writes: []coltsfootward.Write{{Key: key, Value: value}}}
	p.node.table.transact(write, func(error) {})
}
