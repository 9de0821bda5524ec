package node

import (
	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/record"
)

// documentReaders is how many nodes of a failure domain watch the platform for
// a new document. The others are told by them; eight are seldom turned away
// together, and at 18 domains their long polls are five calls a second.
const documentReaders = 8

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
		p.node.act(Send{To: to, Message: message.NewConfigurationWhole(c)})
	}
}

// WatchesDocument reports whether this node is to watch the platform for a new
// document. A node that knows none yet does so wherever it stands.
func (n *Node) WatchesDocument() bool {
	return n.configuration.current.Revision() == 0 || n.membership.machine.Rank(documentReaders) >= 0
}
