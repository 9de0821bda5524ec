package node

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/record"
)

// DocumentDuty says what a node is to do about the operators' document now.
type DocumentDuty string

// The duties.
const (
	// DocumentNone leaves the document to others, who bring each new one.
	DocumentNone DocumentDuty = "none"
	// DocumentAwaited says that there is no document yet and that others are expected
	// to bring it.
	DocumentAwaited DocumentDuty = "awaited"
	// DocumentRead asks for one read: nobody has brought the document yet.
	DocumentRead DocumentDuty = "read"
	// DocumentFollow asks to follow its changes.
	DocumentFollow DocumentDuty = "follow"
)

const (
	// documentReaders is how many nodes of a failure domain follow the document.
	// The others are told by them or, should the platform turn all of them away,
	// by the readers of other domains.
	documentReaders = 3
	// documentPatience is how long a node that knows others waits for the
	// document before it reads it itself, and aloneDocumentPatience how long one
	// does that knows nobody. Both are spread by their own length, so that of
	// nodes that start together the first to read bring it to the others.
	documentPatience      = 1500 * time.Millisecond
	aloneDocumentPatience = 100 * time.Millisecond
)

// adopt puts a whole configuration in force if it is newer than the present
// one, and passes it on. An older one, read late or sent by a peer that is
// behind, changes nothing: the revision of a run never goes down.
func (p *configurationPart) adopt(c coltsfootward.Configuration) {
	if c.Revision() <= p.current.Revision() {
		return
	}
	p.current = c
	p.node.rate.refresh()
	p.node.report(record.RevisionInForce, field("revision", c.Revision().String()))
	p.node.entry.forgetRoutes(c)
	p.node.act(ConfigurationInForce{Configuration: c})
	for _, to := range p.pushTargets() {
		p.node.act(Send{To: to, Message: message.NewConfigurationWhole(c, p.node.domains.current)})
	}
}

// askFirst asks a peer that was heard for the document, as long as this node has
// none. A node that has just started has it sooner so than from the platform.
func (p *configurationPart) askFirst(peer coltsfootward.InstanceID) {
	if p.node.options.Routed && p.current.Revision() == 0 {
		p.pullFrom(peer)
	}
}

// DocumentDuty returns what this node is to do about the document.
//
// Each call to the platform is paid for, and a fleet that starts makes as many as
// it has nodes, so a node that can have the document from its peers leaves the
// platform alone. A platform that does not even tell the contacts is not asked
// for the document as well.
func (n *Node) DocumentDuty() DocumentDuty {
	m := n.membership
	waited := n.now.Monotonic - m.began
	reader := m.machine.Rank(documentReaders) >= 0
	missing := n.configuration.current.Revision() == 0
	switch {
	case missing && m.lonely() && (!m.scanned || waited < m.patience(aloneDocumentPatience)):
		return DocumentAwaited
	case reader && m.settled():
		return DocumentFollow
	case missing && (reader || waited >= m.patience(documentPatience)):
		return DocumentRead
	case missing:
		return DocumentAwaited
	default:
		return DocumentNone
	}
}
