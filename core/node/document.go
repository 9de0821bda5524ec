package node

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/record"
)

// DocumentTask is what a node must currently do about the configuration
// document that operators store on the platform.
type DocumentTask string

// The values of DocumentTask.
const (
	// DocumentNone means that the node does not read the document; its peers
	// send it each new version.
	DocumentNone DocumentTask = "none"
	// DocumentAwaited means that the node has no document yet and expects it
	// from its peers.
	DocumentAwaited DocumentTask = "awaited"
	// DocumentRead means that the node must read the document once, because no
	// peer has sent it.
	DocumentRead DocumentTask = "read"
	// DocumentFollow means that the node must watch the document for changes.
	DocumentFollow DocumentTask = "follow"
)

const (
	// documentReaders is the number of nodes of a failure domain that watch the
	// document. The other nodes receive it from them. If the platform refuses
	// all readers of a failure domain, its nodes receive the document from the
	// readers of other domains.
	documentReaders = 3
	// documentTimeout is how long a node with peers waits for the document
	// before it reads the document itself; soloDocumentTimeout applies to a
	// node without peers. Each node waits between once and twice that time, so
	// that among nodes that start together the first one to read the document
	// sends it to the others.
	documentTimeout     = 1500 * time.Millisecond
	soloDocumentTimeout = 100 * time.Millisecond
	// documentCheckInterval is the shortest time between two checks of the document by
	// the same node.
	documentCheckInterval = 500 * time.Millisecond
)

// documentComponent makes sure that changes of the document reach the nodes
// even if no long poll delivers them.
//
// A node that follows the document waits in a long poll, which shows nothing if
// the platform has lost the call. The platform may lose the calls of all nodes
// at once, and silence then looks like a document that does not change. The
// followers therefore keep track of when the platform last confirmed the
// document to any of them. The first one for which that is too long ago checks
// the document and tells the others.
type documentComponent struct {
	node *Node
	// confirmedAt is the latest confirmation, by Instant.Expiry, for which
	// checkAge was drawn.
	confirmedAt time.Duration
	// checkAge is the age of the confirmation from which on the node checks the
	// document.
	checkAge  time.Duration
	nextCheck time.Duration
}

func (p *documentComponent) tick() {
	configuration := p.node.configuration
	now := p.node.now
	if configuration.current.Revision() == 0 || now.Monotonic < p.nextCheck {
		return
	}
	if at := configuration.contact.lastTableRead; at != p.confirmedAt || p.checkAge == 0 {
		p.confirmedAt = at
		p.checkAge = p.drawCheckAge()
	}
	if configuration.contact.tableAge(now) < p.checkAge {
		return
	}
	p.nextCheck = now.Monotonic + documentCheckInterval
	if p.node.DocumentTask() == DocumentFollow {
		p.node.act(CheckDocument{})
	}
}

// drawCheckAge returns a new checkAge. That of the first follower is the
// shortest, so that the others check the document only if its checks fail or do
// not reach them, and do so one after the other. The longest leaves a quarter
// of ConfigurationSpread for the check and for the changes that it finds.
func (p *documentComponent) drawCheckAge() time.Duration {
	spread := p.node.options.ConfigurationSpread
	if p.isFirstFollower() {
		return spread / 2
	}
	return spread*5/8 + time.Duration(p.node.source.Int64N(int64(spread/8)+1))
}

// isFirstFollower reports whether this node comes first among the followers of
// all failure domains.
func (p *documentComponent) isFirstFollower() bool {
	m := p.node.membership.machine
	for _, domain := range m.Domains() {
		if first := m.FirstAlive(domain, 1); len(first) > 0 {
			return first[0].ID == p.node.options.Self.ID
		}
	}
	return false
}

// confirmed records that the platform has confirmed the document, and tells the
// other followers.
func (p *documentComponent) confirmed(age time.Duration) {
	configuration := p.node.configuration
	configuration.contact.noteTableRead(p.node.now.Expiry - age)
	m := p.node.membership.machine
	for _, domain := range m.Domains() {
		for _, follower := range m.FirstAlive(domain, documentReaders) {
			if follower.ID != p.node.options.Self.ID {
				digest := configuration.ownDigest()
				p.node.act(Send{To: follower, Message: &digest})
			}
		}
	}
}

// adopt puts a full configuration in force if it is newer than the current one,
// and sends it to other nodes. An older one, from a late read or from an
// outdated peer, is ignored: the revision never decreases during a run.
func (p *configurationComponent) adopt(c coltsfootward.Configuration) {
	if c.Revision() <= p.current.Revision() {
		return
	}
	p.current = c
	p.node.rate.refresh()
	p.node.report(record.RevisionInForce, field("revision", c.Revision().String()))
	p.node.entry.forgetRoutes(c)
	p.node.shares.configurationChanged()
	p.node.act(ConfigurationInForce{Configuration: c})
	for _, to := range p.pushTargets() {
		p.node.act(Send{To: to, Message: message.NewFullConfiguration(c, p.node.domains.current)})
	}
}

// requestDocument requests the document from a peer that sent a message, as
// long as this node has none. A starting node obtains it from a peer sooner
// than from the platform.
func (p *configurationComponent) requestDocument(peer coltsfootward.InstanceID) {
	if p.node.options.Routed && p.current.Revision() == 0 {
		p.pullFrom(peer)
	}
}

// DocumentTask returns what this node must currently do about the document.
//
// Each call to the platform costs money, and if every node of a starting
// deployment read the document, there would be as many calls as nodes. A node
// that can obtain the document from its peers therefore does not call the
// platform. The document is also not requested from a platform that does not
// even return the contacts.
func (n *Node) DocumentTask() DocumentTask {
	m := n.membership
	waited := n.now.Monotonic - m.started
	reader := m.machine.Rank(documentReaders) >= 0
	missing := n.configuration.current.Revision() == 0
	switch {
	case missing && m.isAlone() && (!m.contactsRead || waited < m.jittered(soloDocumentTimeout)):
		return DocumentAwaited
	case reader && m.rankSettled():
		return DocumentFollow
	case missing && (reader || waited >= m.jittered(documentTimeout)):
		return DocumentRead
	case missing:
		return DocumentAwaited
	default:
		return DocumentNone
	}
}
