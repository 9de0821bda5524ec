package node

import (
	"encoding/json"
	"fmt"
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

// scanLimit bounds the rows of one scan.
const scanLimit = 500

// configurationPart holds what is in force here. Its revision never goes down.
type configurationPart struct {
	node     *Node
	current  coltsfootward.Configuration
	history  []coltsfootward.Change
	poll     time.Duration
	scanning bool
	// confirmed holds the revision that each peer last said it has in force.
	confirmed map[coltsfootward.InstanceID]coltsfootward.Revision
}

func newConfigurationPart(n *Node) *configurationPart {
	return &configurationPart{node: n, confirmed: make(map[coltsfootward.InstanceID]coltsfootward.Revision)}
}

func (p *configurationPart) tick() {
	if p.scanning || p.node.now.Monotonic < p.poll {
		return
	}
	p.refresh()
}

func (p *configurationPart) refresh() {
	p.scanning = true
	after := ChangeKey(p.current.Revision())
	p.node.table.scan(ChangePrefix, after, scanLimit, func(rows []coltsfootward.Row, err error) {
		p.scanning = false
		p.poll = p.node.now.Monotonic + p.node.options.PollInterval
		if err != nil {
			return
		}
		p.apply(decodeChanges(rows))
		if len(rows) == scanLimit {
			p.poll = 0
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
// for the missing ones: skipping one would lose it for good.
func (p *configurationPart) apply(changes []coltsfootward.Change) {
	before := p.current.Revision()
	for _, change := range changes {
		if change.Revision != p.current.Revision()+1 {
			continue
		}
		p.current = p.current.Apply(change)
		p.history = append(p.history, change)
		if change.Key != nil && change.Key.Withdrawn {
			p.node.report(record.KeyWithdrawn, field("key", change.Key.ID))
		}
	}
	if p.current.Revision() == before {
		return
	}
	p.node.report(record.RevisionInForce, field("revision", p.current.Revision().String()))
	p.node.membership.spread()
}

func (p *configurationPart) digest(from coltsfootward.InstanceID, m message.ConfigurationDigest) {
	p.confirmed[from] = max(p.confirmed[from], m.Revision)
	peer, ok := p.node.membership.peers[from]
	if !ok || m.Revision <= p.current.Revision() {
		return
	}
	p.node.act(Send{To: peer, Message: &message.ConfigurationPull{After: p.current.Revision()}})
}

func (p *configurationPart) pull(from coltsfootward.InstanceID, m message.ConfigurationPull) {
	peer, ok := p.node.membership.peers[from]
	if !ok || m.After >= p.current.Revision() {
		return
	}
	newer := p.history[m.After:]
	newer = newer[:min(len(newer), scanLimit)]
	p.node.act(Send{To: peer, Message: &message.ConfigurationChanges{Changes: newer}})
}

func (p *configurationPart) changes(m message.ConfigurationChanges) {
	p.apply(m.Changes)
}

// Configuration returns what is in force at this node.
func (n *Node) Configuration() coltsfootward.Configuration {
	return n.configuration.current
}

// Refresh reads the configuration at the next tick instead of at the next poll.
func (n *Node) Refresh() {
	n.configuration.poll = 0
}
