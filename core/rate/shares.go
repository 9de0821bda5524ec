package rate

import (
	"maps"
	"slices"
	"time"

	"coltsfootward"
)

const (
	// unknownDemand is the weight of a node that has not reported its demand yet.
	unknownDemand = 1.0
	// minDemand is the demand, in requests per second, from which a node keeps its share
	// although it sends no request, as at a share of one request in many seconds.
	minDemand = 0.05
)

// Shares divides a rate among the nodes that use it, in proportion to their demand.
// Create it with NewShares. It is not safe for concurrent use.
type Shares struct {
	lifetime time.Duration
	nodes    map[coltsfootward.InstanceID]*shareDemand
	sum      float64
}

// shareDemand is the demand of one node.
type shareDemand struct {
	perSecond float64
	usedAt    time.Duration
}

// NewShares returns shares without nodes. A node that has not used the rate for
// lifetime loses its share.
func NewShares(lifetime time.Duration) *Shares {
	return &Shares{lifetime: lifetime, nodes: make(map[coltsfootward.InstanceID]*shareDemand)}
}

// Use records that a node uses the rate. It reports whether the node had no share.
func (s *Shares) Use(now time.Duration, id coltsfootward.InstanceID) bool {
	n, ok := s.nodes[id]
	if !ok {
		n = &shareDemand{perSecond: unknownDemand}
		s.nodes[id] = n
		s.sum += n.perSecond
	}
	n.usedAt = now
	return !ok
}

// SetDemand records a node's demand. It is ignored for a node without a share.
func (s *Shares) SetDemand(now time.Duration, id coltsfootward.InstanceID, perSecond float64) {
	n, ok := s.nodes[id]
	if !ok || !(perSecond >= 0) {
		return
	}
	s.sum += perSecond - n.perSecond
	n.perSecond = perSecond
	if perSecond >= minDemand {
		n.usedAt = now
	}
}

// Expire drops the nodes that have not used the rate of late and returns the others,
// sorted.
func (s *Shares) Expire(now time.Duration) []coltsfootward.InstanceID {
	maps.DeleteFunc(s.nodes, func(_ coltsfootward.InstanceID, n *shareDemand) bool { return now-n.usedAt > s.lifetime })
	ids := slices.Sorted(maps.Keys(s.nodes))
	s.sum = 0
	for _, id := range ids {
		s.sum += s.nodes[id].perSecond
	}
	return ids
}

// Fraction returns the fraction of the rate that a node may use.
func (s *Shares) Fraction(id coltsfootward.InstanceID) float64 {
	n, ok := s.nodes[id]
	switch {
	case !ok:
		return 0
	case s.sum <= 0:
		return 1 / float64(len(s.nodes))
	default:
		return n.perSecond / s.sum
	}
}

// Clear drops all nodes.
func (s *Shares) Clear() {
	clear(s.nodes)
	s.sum = 0
}
