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

// ChangePrefix is the key prefix under which the table stores accepted changes.
// The revision in the key has a fixed width, so that rows sort by revision.
const ChangePrefix = "change/"

// RevisionKey is the key of the row that stores the revision of the last
// accepted change.
const RevisionKey = "revision"

// ChangeKey returns the key of the row that stores the change with revision r.
func ChangeKey(r coltsfootward.Revision) string {
	return fmt.Sprintf("%s%020d", ChangePrefix, uint64(r))
}

const (
	// scanLimit is the maximum number of rows in one scan.
	scanLimit = 500
	// tableReaders is the number of nodes of a failure domain that poll the
	// table. Three nodes rarely fail together, and in 18 failure domains they
	// cause 54 reads per second.
	tableReaders = 3
	// historyLimit is the number of changes that a node keeps for its peers. A
	// node that is further behind needs a full configuration. At 12,000 changes
	// a day, the history covers four hours.
	historyLimit = 2000
	// maxPushedChanges is the largest number of changes that are pushed to
	// other nodes. A larger batch means that this node was catching up, and the
	// others already have the changes.
	maxPushedChanges = 16
	// pushFanout is the number of members of the own failure domain to which
	// each node pushes a change that is new to it. All but about 2 in 100
	// members receive the change within a few hops, and the rest see the higher
	// revision in the next probe.
	pushFanout = 4
	// pullInterval is how long a node waits for the changes that it requested
	// before it asks another peer.
	pullInterval = 300 * time.Millisecond
	// maxDigestWithdrawn is the maximum number of withdrawn keys in one digest.
	maxDigestWithdrawn = 16
)

// configurationComponent holds the configuration in force at this node. Its
// revision never decreases.
type configurationComponent struct {
	node    *Node
	current coltsfootward.Configuration
	// history holds the latest changes, consecutive up to current's revision.
	history          []coltsfootward.Change
	nextPoll         time.Duration
	scanning         bool
	refreshRequested bool
	lastPull         time.Duration
	withdrawn        withdrawnKeys
	contact          contactState
	pages            pageCollector
	served           servedSnapshot
}

func newConfigurationComponent(n *Node) *configurationComponent {
	p := &configurationComponent{node: n, lastPull: n.now.Monotonic - pullInterval}
	p.contact.reset(n.now, n.options.KeyGrace)
	return p
}

func (p *configurationComponent) tick() {
	p.checkContact()
	if p.scanning || p.node.now.Monotonic < p.nextPoll {
		return
	}
	p.nextPoll = p.node.now.Monotonic + p.node.options.PollInterval
	if p.refreshRequested || p.shouldReadTable() {
		p.refresh()
	}
}

// shouldReadTable reports whether this node must read the table now. Besides
// the failure domain's readers, on average one of all running nodes reads it in
// each poll interval while the readers report no successful read, because their
// connection to the table may be broken.
func (p *configurationComponent) shouldReadTable() bool {
	m := p.node.membership.machine
	if m.Rank(tableReaders) >= 0 {
		return true
	}
	if p.contact.tableAge(p.node.now) < 5*p.node.options.PollInterval {
		return false
	}
	return p.node.source.IntN(max(m.Size(), 1)) == 0
}

// refresh reads the changes after the current revision from the table. If the
// next change has been deleted there, it restores the full configuration.
func (p *configurationComponent) refresh() {
	p.scanning = true
	p.refreshRequested = false
	began := p.node.now.Expiry
	after := ChangeKey(p.current.Revision())
	p.node.table.scan(ChangePrefix, after, scanLimit, func(rows []coltsfootward.Row, err error) {
		p.scanning = false
		if err != nil {
			return
		}
		p.contact.noteTableRead(began)
		changes := decodeChanges(rows)
		p.apply(changes)
		if len(changes) > 0 && changes[0].Revision > p.current.Revision()+1 {
			p.restore()
			return
		}
		if len(rows) == scanLimit {
			p.nextPoll = 0
			p.refreshRequested = true
		}
	})
}

// decodeChanges decodes the rows before the first one that is malformed.
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

// apply puts consecutive changes in force. Changes after a gap wait for the
// missing ones, since a skipped change would be lost for good. Keys that they
// withdraw are rejected immediately nevertheless.
func (p *configurationComponent) apply(changes []coltsfootward.Change) {
	next := p.current.Revision()
	var applied []coltsfootward.Change
	for _, change := range changes {
		if change.Key != nil && change.Key.Withdrawn {
			p.markWithdrawn(change.Key.Digest)
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
	p.configurationChanged(applied)
	p.push(applied)
}

// configurationChanged notifies the components that depend on the
// configuration. The applied changes are nil after a full configuration.
func (p *configurationComponent) configurationChanged(applied []coltsfootward.Change) {
	p.node.rate.applyChanges(applied)
	for _, change := range applied {
		if change.Key != nil && change.Key.Withdrawn {
			p.node.report(record.KeyWithdrawn, field("key", change.Key.ID))
		}
	}
	p.withdrawn.prune(p.current)
	p.node.report(record.RevisionInForce, field("revision", p.current.Revision().String()))
	p.node.confirmation.scheduleConfirmation()
}

// push sends changes to a few members. One of them is in another failure
// domain, whose readers may be unable to reach the table.
func (p *configurationComponent) push(changes []coltsfootward.Change) {
	if len(changes) > maxPushedChanges {
		return
	}
	for _, to := range p.pushTargets() {
		p.node.act(Send{To: to, Message: &message.ConfigurationChanges{Changes: changes}})
	}
}

// pushTargets returns the members to which changes are pushed: pushFanout
// members of the own failure domain, and at most one of another, randomly
// chosen one.
func (p *configurationComponent) pushTargets() []coltsfootward.Instance {
	m := p.node.membership.machine
	targets := m.Neighbours(p.node.options.Self.Domain, pushFanout)
	domains := m.Domains()
	remote := domains[p.node.source.IntN(len(domains))]
	if remote != p.node.options.Self.Domain {
		targets = append(targets, m.Neighbours(remote, 1)...)
	}
	return targets
}

// ownDigest returns the digest that this node sends with its gossip.
func (p *configurationComponent) ownDigest() message.ConfigurationDigest {
	return message.ConfigurationDigest{
		Revision:  p.current.Revision(),
		Withdrawn: p.withdrawn.list(maxDigestWithdrawn),
		TableAge:  p.contact.tableAge(p.node.now),

		OutOfService:  p.node.domains.current,
		Crashes:       p.node.quarantine.register.Digest(),
		DomainMembers: p.node.assigned.share.known,
	}
}

// digestReceived processes a peer's digest.
func (p *configurationComponent) digestReceived(e MessageArrived, m message.ConfigurationDigest) {
	p.node.assigned.share.sizeStated(e.From, m.DomainMembers)
	p.node.domains.adopt(m.OutOfService)
	p.node.quarantine.reconcile(e.From, m.Crashes)
	for _, digest := range m.Withdrawn {
		p.markWithdrawn(digest)
	}
	if m.Revision > p.current.Revision() {
		p.pullFrom(e.From)
		return
	}
	p.contact.noteTableRead(p.node.now.Expiry - e.Age - max(m.TableAge, 0))
}

// pullFrom requests newer changes from a peer, at most once per pullInterval.
func (p *configurationComponent) pullFrom(peer coltsfootward.InstanceID) {
	now := p.node.now.Monotonic
	if now-p.lastPull < pullInterval {
		return
	}
	p.lastPull = now
	p.send(peer, &message.ConfigurationPull{After: p.current.Revision()})
}

func (p *configurationComponent) send(to coltsfootward.InstanceID, m message.Message) {
	if instance, ok := p.node.membership.instance(to); ok {
		p.node.act(Send{To: instance, Message: m})
	}
}

// pullReceived answers a peer's request with changes. It sends a full
// configuration instead if the history does not reach back far enough, and
// always in a routed deployment.
func (p *configurationComponent) pullReceived(from coltsfootward.InstanceID, m message.ConfigurationPull) {
	if m.After >= p.current.Revision() {
		return
	}
	if p.node.options.Routed {
		p.send(from, message.NewFullConfiguration(p.current, p.node.domains.current))
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

// changesReceived applies a peer's changes. If more may follow, it requests
// them from the same peer immediately.
func (p *configurationComponent) changesReceived(from coltsfootward.InstanceID, m message.ConfigurationChanges) {
	before := p.current.Revision()
	p.apply(m.Changes)
	if len(m.Changes) == 0 {
		return
	}
	last := m.Changes[len(m.Changes)-1].Revision
	if last > p.current.Revision() || p.current.Revision() > before && len(m.Changes) > maxPushedChanges {
		p.lastPull = p.node.now.Monotonic - pullInterval
		p.pullFrom(from)
	}
}

// Configuration returns the configuration in force at this node.
func (n *Node) Configuration() coltsfootward.Configuration {
	return n.configuration.current
}

// Refresh makes the node read configuration changes at the next tick instead of
// at the next poll.
func (n *Node) Refresh() {
	n.configuration.nextPoll = 0
	n.configuration.refreshRequested = true
}
