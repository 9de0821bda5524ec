package node

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/record"
)

// ChangePrefix is where the table keeps the accepted changes. The key's number
// has a fixed width, so that rows sort by revision.
const ChangePrefix = "change/"

// RevisionKey is the table's row that counts accepted changes.
const RevisionKey = "revision"

// ChangeKey returns the key of the row that holds the change.
func ChangeKey(r coltsfootward.Revision) string {
	return fmt.Sprintf("%s%020d", ChangePrefix, uint64(r))
}

const (
	// scanLimit bounds the rows of one scan.
	scanLimit = 500
	// readers is how many nodes of a failure domain read the table. Three are
	// seldom lost together, and 18 domains of them read 54 times a second.
	readers = 3
	// historyLimit is how many changes a node keeps for others, and so how far
	// behind a node may be without needing a whole configuration: at 12,000
	// changes a day, four hours.
	historyLimit = 2000
	// pushLimit is how many changes are worth sending unasked. More are an
	// older node catching up, and the others have them.
	pushLimit = 16
	// pushTargets is how many members of the own domain get a change unasked
	// from each node that learns it. All but about 2 in 100 then have it within
	// a few hops; the others see a higher revision in the next probe.
	pushTargets = 4
	// pullInterval is how long a node waits for changes that it asked for
	// before it asks another peer.
	pullInterval = 300 * time.Millisecond
	// marksLimit bounds the withdrawn keys that travel with one digest.
	marksLimit = 16
)

// configurationPart holds what is in force here. Its revision never goes down.
type configurationPart struct {
	node    *Node
	current coltsfootward.Configuration
	// history holds the latest changes up to current's revision, consecutive.
	history  []coltsfootward.Change
	poll     time.Duration
	scanning bool
	asked    bool
	pulled   time.Duration
	marks    keyMarks
	contact  contactAge
	pages    pageCollector
	served   servedSnapshot
}

func newConfigurationPart(n *Node) *configurationPart {
	p := &configurationPart{node: n, pulled: n.now.Monotonic - pullInterval}
	p.contact.began(n.now, n.options.KeyGrace)
	return p
}

func (p *configurationPart) tick() {
	p.checkContact()
	if p.scanning || p.node.now.Monotonic < p.poll {
		return
	}
	p.poll = p.node.now.Monotonic + p.node.options.PollInterval
	if p.asked || p.reads() {
		p.refresh()
	}
}

// reads reports whether this node is to read the table now. Besides the domain's
// readers, one other node of the domain a second does so while the readers
// bring no news of the table: their own way to it may be cut.
func (p *configurationPart) reads() bool {
	m := p.node.membership.machine
	if m.Rank(readers) >= 0 {
		return true
	}
	if p.contact.tableAge(p.node.now) < 5*p.node.options.PollInterval {
		return false
	}
	return p.node.source.IntN(max(m.Size(), 1)) == 0
}

func (p *configurationPart) refresh() {
	p.scanning = true
	p.asked = false
	began := p.node.now.Expiry
	after := ChangeKey(p.current.Revision())
	p.node.table.scan(ChangePrefix, after, scanLimit, func(rows []coltsfootward.Row, err error) {
		p.scanning = false
		if err != nil {
			return
		}
		p.contact.table(began)
		changes := decodeChanges(rows)
		p.apply(changes)
		if len(changes) > 0 && changes[0].Revision > p.current.Revision()+1 {
			p.restore()
			return
		}
		if len(rows) == scanLimit {
			p.poll = 0
			p.asked = true
		}
	})
}

func decodeChanges(rows []coltsfootward.Row) []coltsfootward.Change {
	var changes []coltsfootward.Change
	for _, row := range rows {
		var change coltsfootward.Change
		if json.Unmarshal(row.Value, &change) != nil {
			break
		}
		changes = append(changes, change)
	}
	return changes
}

// apply puts consecutive changes in force. A change that leaves a gap waits
// for the missing ones: skipping one would lose it for good. The keys that it
// withdraws stop at once all the same.
func (p *configurationPart) apply(changes []coltsfootward.Change) {
	next := p.current.Revision()
	var applied []coltsfootward.Change
	for _, change := range changes {
		if change.Key != nil && change.Key.Withdrawn {
			p.mark(change.Key.Digest)
		}
		if change.Revision == next+1 {
			next++
			applied = append(applied, change)
		}
	}
	if len(applied) == 0 {
		return
	}
	p.current = p.current.Apply(applied...)
	p.history = append(p.history, applied...)
	if extra := len(p.history) - historyLimit; extra > 0 {
		p.history = slices.Clone(p.history[extra:])
	}
	p.inForce(applied)
	p.push(applied)
}

func (p *configurationPart) inForce(applied []coltsfootward.Change) {
	p.node.rate.applied(applied)
	for _, change := range applied {
		if change.Key != nil && change.Key.Withdrawn {
			p.node.report(record.KeyWithdrawn, field("key", change.Key.ID))
		}
	}
	p.marks.settle(p.current)
	p.node.report(record.RevisionInForce, field("revision", p.current.Revision().String()))
	p.node.confirmation.advanced()
}

// push sends changes on to a few members, one of them in another domain,
// whose readers may be cut off from the table.
func (p *configurationPart) push(changes []coltsfootward.Change) {
	if len(changes) > pushLimit {
		return
	}
	for _, to := range p.pushTargets() {
		p.node.act(Send{To: to, Message: &message.ConfigurationChanges{Changes: changes}})
	}
}

func (p *configurationPart) pushTargets() []coltsfootward.Instance {
	m := p.node.membership.machine
	targets := m.Near(p.node.options.Self.Domain, pushTargets)
	domains := m.Domains()
	foreign := domains[p.node.source.IntN(len(domains))]
	if foreign != p.node.options.Self.Domain {
		targets = append(targets, m.Near(foreign, 1)...)
	}
	return targets
}

// own returns the digest that travels with this node's gossip.
func (p *configurationPart) own() message.ConfigurationDigest {
	return message.ConfigurationDigest{
		Revision:  p.current.Revision(),
		Withdrawn: p.marks.list(marksLimit),
		TableAge:  p.contact.tableAge(p.node.now),

		OutOfService: p.node.domains.current,
	}
}

// digest takes in how far a peer is.
func (p *configurationPart) digest(e MessageArrived, m message.ConfigurationDigest) {
	p.contact.table(p.node.now.Expiry - e.Age - max(m.TableAge, 0))
	p.node.domains.adopt(m.OutOfService)
	for _, digest := range m.Withdrawn {
		p.mark(digest)
	}
	if m.Revision > p.current.Revision() {
		p.pullFrom(e.From)
	}
}

func (p *configurationPart) pullFrom(peer coltsfootward.InstanceID) {
	now := p.node.now.Monotonic
	if now-p.pulled < pullInterval {
		return
	}
	p.pulled = now
	p.send(peer, &message.ConfigurationPull{After: p.current.Revision()})
}

func (p *configurationPart) send(to coltsfootward.InstanceID, m message.Message) {
	if instance, ok := p.node.membership.instance(to); ok {
		p.node.act(Send{To: instance, Message: m})
	}
}

func (p *configurationPart) pull(from coltsfootward.InstanceID, m message.ConfigurationPull) {
	if m.After >= p.current.Revision() {
		return
	}
	if p.node.options.Routed {
		p.send(from, message.NewConfigurationWhole(p.current, p.node.domains.current))
		return
	}
	oldest := p.current.Revision() - coltsfootward.Revision(len(p.history))
	if m.Snapshot != 0 || m.After < oldest {
		p.servePage(from, m)
		return
	}
	newer := p.history[m.After-oldest:]
	p.send(from, &message.ConfigurationChanges{Changes: boundedChanges(newer)})
}

func (p *configurationPart) changes(from coltsfootward.InstanceID, m message.ConfigurationChanges) {
	before := p.current.Revision()
	p.apply(m.Changes)
	if len(m.Changes) == 0 {
		return
	}
	last := m.Changes[len(m.Changes)-1].Revision
	if last > p.current.Revision() || p.current.Revision() > before && len(m.Changes) > pushLimit {
		p.pulled = p.node.now.Monotonic - pullInterval
		p.pullFrom(from)
	}
}

// Configuration returns what is in force at this node.
func (n *Node) Configuration() coltsfootward.Configuration {
	return n.configuration.current
}

// Refresh reads the configuration at the next tick instead of at the next poll.
func (n *Node) Refresh() {
	n.configuration.poll = 0
	n.configuration.asked = true
}
