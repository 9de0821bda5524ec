package node

import (
	"slices"

	"coltsfootward"
	"coltsfootward/core/message"
)

// placementPart chooses the upstream for each attempt.
type placementPart struct {
	node  *Node
	loads map[coltsfootward.InstanceID]message.Load
}

func newPlacementPart(n *Node) *placementPart {
	return &placementPart{node: n, loads: make(map[coltsfootward.InstanceID]message.Load)}
}

// choose returns the less occupied of two upstreams picked at random among
// those that the call has not tried, its own domain's first.
func (p *placementPart) choose(call *entryCall) (coltsfootward.Instance, bool) {
	candidates := p.candidates(call)
	if len(candidates) == 0 {
		return coltsfootward.Instance{}, false
	}
	first := candidates[p.node.source.IntN(len(candidates))]
	second := candidates[p.node.source.IntN(len(candidates))]
	if p.occupancy(second.Instance.ID) < p.occupancy(first.Instance.ID) {
		return second.Instance, true
	}
	return first.Instance, true
}

func (p *placementPart) candidates(call *entryCall) []message.Announcement {
	upstreams := p.node.membership.upstreams(call.head.Service)
	upstreams = slices.DeleteFunc(upstreams, func(a message.Announcement) bool {
		return call.tried[a.Instance.ID]
	})
	own := slices.DeleteFunc(slices.Clone(upstreams), func(a message.Announcement) bool {
		return a.Instance.Domain != p.node.options.Self.Domain
	})
	if len(own) > 0 {
		return own
	}
	return upstreams
}

func (p *placementPart) occupancy(id coltsfootward.InstanceID) float64 {
	load := p.loads[id]
	return float64(load.Running+load.Queued) / float64(max(load.Limit, 1))
}

// shed reports whether every upstream of the service sheds the rank.
func (p *placementPart) shed(service coltsfootward.ServiceName, rank uint32) bool {
	upstreams := p.node.membership.upstreams(service)
	for _, a := range upstreams {
		level := p.loads[a.Instance.ID].ShedLevel
		if level == 0 || rank <= level {
			return false
		}
	}
	return len(upstreams) > 0
}

func (p *placementPart) observe(call *entryCall, e AttemptEnded) {
	if e.Kind == AttemptAnswered || e.Kind == AttemptRefused {
		p.loads[call.target] = e.Load
	}
}

func (p *placementPart) peerLost(id coltsfootward.InstanceID) {
	delete(p.loads, id)
}
