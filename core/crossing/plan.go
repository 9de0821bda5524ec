package crossing

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"coltsfootward"
)

const (
	// beginUse is the part of its capacity above which the demand of a domain is a
	// surplus. While some of it crosses, the surplus is what exceeds endUse, so that a
	// demand that varies around one of them does not begin and end crossing all the
	// time. Servers can slow down when more than 0.95 of their slots are in use.
	// Other domains are filled to fillUse of their capacity. A domain whose entry nodes
	// admit less than keepUse of its capacity keeps all of it: a gate that has closed too
	// far would otherwise leave its own servers idle.
	beginUse = 0.95
	endUse   = 0.85
	fillUse  = 0.95
	keepUse  = 0.8
	// changePerSecond is how far a fraction may rise in a second, and fallPerSecond how
	// far it may fall. Summaries are up to a second old, and a fraction that follows
	// them at once would oscillate. Falling faster than rising protects the other
	// domains.
	changePerSecond = 0.5
	fallPerSecond   = 1.0
	// maxStep bounds the time that one update counts for, so that an update after a
	// long pause doesn't skip the limits.
	maxStep = 200 * time.Millisecond
)

// DefaultMargin is the default for by how much the occupancy of another domain has to be
// lower before requests cross to it.
const DefaultMargin = 0.1

// Domain is one failure domain as far as one service is concerned.
type Domain struct {
	Name coltsfootward.FailureDomain
	// Demand is the demand that enters in the domain and that the services have capacity
	// for, in slots: what exceeds the capacity of all domains is refused, not moved.
	Demand float64
	// Admitted is the demand that was not refused where it entered. It differs from Demand
	// where the entry nodes of a domain refuse more or less than those of the others.
	Admitted float64
	// Capacity is the number of slots of the domain's servers that can be used. It is
	// zero for a domain that has none, is out of service or cannot be reached.
	Capacity float64
}

// Flow is demand that enters in one domain and is served in another.
type Flow struct {
	From, To coltsfootward.FailureDomain
	// Slots is the amount.
	Slots float64
}

// Plan computes, on one entry node, the fraction of its domain's demand for a service
// that crosses to each other domain. The zero value is ready for use. Plan is not safe
// for concurrent use.
type Plan struct {
	// crossing holds the domains that have a surplus.
	crossing map[coltsfootward.FailureDomain]bool
	// receiving holds the domains that the surplus goes to.
	receiving map[coltsfootward.FailureDomain]bool
	// free is what each domain has below fillUse as of the last update.
	free map[coltsfootward.FailureDomain]float64
	// fractions are in force, and sorted by domain.
	fractions []Fraction
	updatedAt time.Duration
	// own is this node's domain as of the last update.
	own Domain
}

// Fraction is the part of a domain's demand that crosses to another domain.
type Fraction struct {
	To    coltsfootward.FailureDomain
	Value float64
}

// Update computes the fractions for a node in the domain self.
func (p *Plan) Update(now time.Duration, self coltsfootward.FailureDomain, domains []Domain, margin float64) {
	flows := p.flows(domains, margin)
	wanted := make(map[coltsfootward.FailureDomain]float64)
	usable := make(map[coltsfootward.FailureDomain]bool)
	p.own = Domain{Name: self}
	for _, d := range domains {
		usable[d.Name] = d.Capacity > 0
		if d.Name == self {
			p.own = d
		}
	}
	for _, f := range flows {
		if f.From == self && p.own.Admitted > 0 {
			wanted[f.To] = min(f.Slots/p.own.Admitted, 1)
		}
	}
	for _, f := range p.fractions {
		if _, ok := wanted[f.To]; !ok {
			wanted[f.To] = 0
		}
	}
	step := min(now-p.updatedAt, maxStep).Seconds()
	p.updatedAt = now
	before := p.fractions
	p.fractions = nil
	for to, target := range wanted {
		value := 0.0
		for _, f := range before {
			if f.To == to {
				value = f.Value
			}
		}
		value = min(max(target, value-fallPerSecond*step), value+changePerSecond*step)
		if usable[to] && value > 0 {
			p.fractions = append(p.fractions, Fraction{To: to, Value: value})
		}
	}
	slices.SortFunc(p.fractions, func(a, b Fraction) int { return cmp.Compare(a.To, b.To) })
}

// flows updates the surplus and the room of each domain, and returns the flows between
// them.
func (p *Plan) flows(domains []Domain, margin float64) []Flow {
	surplus := make(map[coltsfootward.FailureDomain]float64)
	crossing := make(map[coltsfootward.FailureDomain]bool)
	highest := 0.0
	for _, d := range domains {
		use := beginUse
		if p.crossing[d.Name] {
			use = endUse
		}
		if d.Demand > use*d.Capacity {
			crossing[d.Name] = true
			// What crosses is limited by what is admitted beyond keepUse. If crossing relieves
			// the domain's servers, its gates open and more is admitted.
			surplus[d.Name] = max(min(d.Demand-endUse*d.Capacity, d.Admitted-keepUse*d.Capacity), 0)
			highest = max(highest, d.occupancy())
		}
	}
	p.crossing = crossing
	p.free = make(map[coltsfootward.FailureDomain]float64)
	rooms := make(map[coltsfootward.FailureDomain]float64)
	receiving := make(map[coltsfootward.FailureDomain]bool)
	for _, d := range domains {
		free := fillUse*d.Capacity - max(d.Demand, d.Admitted)
		if crossing[d.Name] || free <= 0 {
			continue
		}
		p.free[d.Name] = free
		if len(crossing) > 0 && (p.receiving[d.Name] || d.occupancy() <= highest-margin) {
			rooms[d.Name] = free
			receiving[d.Name] = true
		}
	}
	p.receiving = receiving
	return fill(domains, surplus, rooms)
}

// occupancy returns the demand as a multiple of the capacity.
func (d Domain) occupancy() float64 {
	if d.Capacity <= 0 {
		return math.Inf(1)
	}
	return d.Demand / d.Capacity
}

// fill spreads the surplus of the domains over the room of the others. If the room does
// not suffice, every surplus is scaled down alike; and the room of all domains is filled
// to the same degree.
func fill(domains []Domain, surplus, rooms map[coltsfootward.FailureDomain]float64) []Flow {
	allSurplus, allRoom := 0.0, 0.0
	for _, d := range domains {
		allSurplus += surplus[d.Name]
		allRoom += rooms[d.Name]
	}
	if allSurplus == 0 || allRoom == 0 {
		return nil
	}
	scale := min(allRoom/allSurplus, 1) / allRoom
	var flows []Flow
	for _, from := range domains {
		for _, to := range domains {
			if slots := surplus[from.Name] * rooms[to.Name] * scale; slots > 0 {
				flows = append(flows, Flow{From: from.Name, To: to.Name, Slots: slots})
			}
		}
	}
	return flows
}

// Fractions returns the fractions in force, sorted by domain.
func (p *Plan) Fractions() []Fraction { return p.fractions }

// Total returns the fraction of the domain's demand that crosses.
func (p *Plan) Total() float64 {
	total := 0.0
	for _, f := range p.fractions {
		total += f.Value
	}
	return min(total, 1)
}

// Own returns the demand and the capacity of the node's domain as of the last update.
func (p *Plan) Own() Domain { return p.own }

// freeShare returns the part of the free slots of all domains that a domain has.
func (p *Plan) freeShare(domain coltsfootward.FailureDomain) float64 {
	if p.free[domain] == 0 {
		return 0
	}
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(p.free)) {
		total += p.free[name]
	}
	return p.free[domain] / total
}

// Choose returns one of the domains that demand crosses to. They are chosen in
// proportion to their fractions, reduced where a domain has less room for another
// service that the request needs; others are the plans of these. draw is a random
// number, 0 to 1. It returns false if no domain has room for all of them.
func (p *Plan) Choose(draw float64, others []*Plan) (coltsfootward.FailureDomain, bool) {
	weights := make([]float64, len(p.fractions))
	total := 0.0
	for i, f := range p.fractions {
		weights[i] = f.Value / p.Total()
		for _, other := range others {
			weights[i] = min(weights[i], other.freeShare(f.To))
		}
		total += weights[i]
	}
	draw *= total
	for i, f := range p.fractions {
		if weights[i] > 0 && draw <= weights[i] {
			return f.To, true
		}
		draw -= weights[i]
	}
	return "", false
}
