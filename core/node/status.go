package node

import (
	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/placement"
)

// UpstreamStatus is the state of a backend server as seen by this node.
type UpstreamStatus struct {
	Announcement message.Announcement
	State        message.MemberState
	Load         message.Load
	// View holds the speed, the stated slowdown and the share of this node's requests.
	View placement.ServerView
}

// Status is the node's state as reported to operators.
type Status struct {
	Self              coltsfootward.Instance
	Revision          coltsfootward.Revision
	Draining          bool
	PlatformAvailable bool
	// KeysStopped is set while the node rejects all keys because it has been
	// isolated for longer than KeyGrace.
	KeysStopped bool
	Upstreams   []UpstreamStatus
	// Peers are the other nodes that this node considers running.
	Peers []coltsfootward.Instance
}

// Status returns the node's state for operators. Its cost grows with the number
// of nodes.
func (n *Node) Status() Status {
	s := Status{
		Self:              n.options.Self,
		Revision:          n.configuration.current.Revision(),
		Draining:          n.draining,
		PlatformAvailable: !n.table.unavailable,
		KeysStopped:       n.configuration.contact.stopped,
	}
	views := n.serverViews()
	for _, member := range n.membership.machine.All() {
		instance := member.Announcement.Instance
		if member.Announcement.Service != "" {
			s.Upstreams = append(s.Upstreams, UpstreamStatus{
				Announcement: member.Announcement,
				State:        member.State,
				Load:         n.loadOf(instance.ID),
				View:         views[instance.ID],
			})
		}
		running := member.State == message.MemberAlive || member.State == message.MemberSuspected
		if running && instance.ID != n.options.Self.ID {
			s.Peers = append(s.Peers, instance)
		}
	}
	return s
}

// Members returns the number of nodes that this node considers running, itself
// included.
func (n *Node) Members() int { return n.membership.machine.Size() }

func (n *Node) loadOf(id coltsfootward.InstanceID) message.Load {
	if id == n.options.Self.ID {
		return n.Load()
	}
	return n.placement.load(id)
}
