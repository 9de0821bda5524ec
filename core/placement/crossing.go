package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/crossing"
)

// Reason says why a request is sent to another failure domain. It is empty for a request
// that is not.
type Reason string

// The reasons.
const (
	// ReasonSurplus means that the demand of the domain exceeds its capacity.
	ReasonSurplus Reason = "surplus"
	// ReasonNoServer means that no server of the own domain can be chosen.
	ReasonNoServer Reason = "no_server"
	// ReasonOccupancy means that the server chosen in the own domain is full and one in
	// the other domain is clearly less loaded, as far as this node knows.
	ReasonOccupancy Reason = "occupancy"
	// ReasonProbe means that the request is sent to get a load report.
	ReasonProbe Reason = "probe"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{ReasonSurplus, ReasonNoServer, ReasonOccupancy, ReasonProbe}
}

// farPerDomain is the number of servers that a node uses in another domain of which its
// subset holds none. Two allow for a choice by load.
const farPerDomain = 2

// Crossing says how ChooseNear treats other failure domains.
type Crossing struct {
	// To is the domain to which the request is to be sent, if it has a server that can
	// be chosen; empty means the node's own domain.
	To coltsfootward.FailureDomain
	// Local is set if the request may cross by the node's own observations.
	Local bool
	// Margin is the difference in occupancy that is required to cross in this case.
	Margin float64
}

// ChooseNear returns the server for an attempt and, if it is in another failure domain,
// why. It stays in the node's own domain as long as that has a server that was not tried
// and can be chosen, however full; c names the exceptions.
func (p *Pool) ChooseNear(now time.Duration, source *rand.Rand, r Request, c Crossing) (coltsfootward.Instance, Reason, bool) {
	p.updateSubset()
	r.byCompletion = p.comparesCompletion(now, source)
	if c.To != "" && c.To != p.self.Domain {
		if u := p.bestOfTwo(now, source, p.far[c.To], r); u != nil {
			return u.instance, ReasonSurplus, true
		}
	}
	near := p.bestOfTwo(now, source, p.own, r)
	if near == nil {
		near = p.bestOfTwo(now, source, p.ownRest, r)
	}
	if near != nil {
		if u, reason := p.lessLoadedFar(now, source, r, near, c); u != nil {
			return u.instance, reason, true
		}
		return near.instance, "", true
	}
	if far := p.bestOfTwo(now, source, p.other, r); far != nil {
		return far.instance, ReasonNoServer, true
	}
	instance, ok := p.fallback(now, r)
	if instance.Domain == p.self.Domain {
		return instance, "", ok
	}
	return instance, ReasonNoServer, ok
}

// lessLoadedFar returns a server in another domain to use instead of near, by the node's
// own observations.
func (p *Pool) lessLoadedFar(now time.Duration, source *rand.Rand, r Request, near *upstream, c Crossing) (*upstream, Reason) {
	own := near.occupancy(now)
	if !c.Local || !p.local.Wanted(own) {
		return nil, ""
	}
	far := p.bestOfTwo(now, source, p.other, r)
	if far == nil {
		return nil, ""
	}
	candidate := crossing.Candidate{Domain: far.domain, Fresh: far.hasLoad && now-far.loadAt <= crossing.FreshReport}
	if candidate.Fresh {
		candidate.Occupancy = far.reportedOccupancy(now)
	}
	crosses, probe := p.local.Crosses(now, own, candidate, c.Margin)
	switch {
	case !crosses:
		return nil, ""
	case probe:
		return far, ReasonProbe
	default:
		return far, ReasonOccupancy
	}
}

// groupFar computes the servers to use in each other domain from the subset and the
// servers beyond it.
func (p *Pool) groupFar() {
	p.far = make(map[coltsfootward.FailureDomain][]*upstream)
	p.ownRest = nil
	for _, u := range p.other {
		p.far[u.domain] = append(p.far[u.domain], u)
	}
	for _, u := range p.rest {
		if u.domain == p.self.Domain {
			p.ownRest = append(p.ownRest, u)
		} else if len(p.far[u.domain]) < farPerDomain {
			p.far[u.domain] = append(p.far[u.domain], u)
		}
	}
}

// Capacity returns the number of slots of the servers in each failure domain that can be
// used. Servers that are cold, suspected or ejected, and those in domains that cannot be
// reached, count for less or nothing.
func (p *Pool) Capacity(now time.Duration) map[coltsfootward.FailureDomain]float64 {
	p.updateSubset()
	capacity := make(map[coltsfootward.FailureDomain]float64)
	for _, u := range slices.Concat(p.own, p.other, p.rest) {
		if _, known := capacity[u.domain]; !known {
			capacity[u.domain] = 0
		}
		switch {
		case !p.reachable(u.domain) || u.suspected || u.ejected:
		case u.cold(now):
			capacity[u.domain] += min(coldLimit, float64(u.slots))
		default:
			capacity[u.domain] += float64(u.slots) * u.slowStartFactor(now)
		}
	}
	return capacity
}
