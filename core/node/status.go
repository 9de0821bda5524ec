package node

import (
	"maps"
	"slices"

	"coltsfootward"
	"coltsfootward/core/message"
)

// DomainRevision says how far the configuration is in force in a failure domain.
type DomainRevision struct {
	Domain coltsfootward.FailureDomain
	// Revision is the lowest that an instance of the domain has confirmed.
	Revision coltsfootward.Revision
	// Behind names the instances below the revision asked for.
	Behind []coltsfootward.InstanceID
}

// InForce returns for each failure domain how far it has confirmed revision r.
func (n *Node) InForce(r coltsfootward.Revision) []DomainRevision {
	lowest := make(map[coltsfootward.FailureDomain]*DomainRevision)
	note := func(instance coltsfootward.Instance, revision coltsfootward.Revision) {
		d, ok := lowest[instance.Domain]
		if !ok {
			d = &DomainRevision{Domain: instance.Domain, Revision: revision}
			lowest[instance.Domain] = d
		}
		d.Revision = min(d.Revision, revision)
		if revision < r {
			d.Behind = append(d.Behind, instance.ID)
		}
	}
	note(n.options.Self, n.configuration.current.Revision())
	for _, id := range slices.Sorted(maps.Keys(n.membership.peers)) {
		note(n.membership.peers[id], n.configuration.confirmed[id])
	}
	var domains []DomainRevision
	for _, name := range slices.Sorted(maps.Keys(lowest)) {
		domains = append(domains, *lowest[name])
	}
	return domains
}

// UpstreamStatus is a backend server as this node knows it.
type UpstreamStatus struct {
	Announcement message.Announcement
	Load         message.Load
}

// Status is what a node says of itself to operators.
type Status struct {
	Self              coltsfootward.Instance
	Revision          coltsfootward.Revision
	Draining          bool
	PlatformAvailable bool
	Upstreams         []UpstreamStatus
	Peers             []coltsfootward.Instance
}

// Status returns the node's state for operators.
func (n *Node) Status() Status {
	s := Status{
		Self:              n.options.Self,
		Revision:          n.configuration.current.Revision(),
		Draining:          n.draining,
		PlatformAvailable: !n.table.away,
	}
	for _, id := range slices.Sorted(maps.Keys(n.membership.announced)) {
		status := UpstreamStatus{Announcement: n.membership.announced[id], Load: n.placement.load(id)}
		if id == n.options.Self.ID {
			status.Load = n.Load()
		}
		s.Upstreams = append(s.Upstreams, status)
	}
	for _, id := range slices.Sorted(maps.Keys(n.membership.peers)) {
		s.Peers = append(s.Peers, n.membership.peers[id])
	}
	return s
}
