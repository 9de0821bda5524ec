package fairshare

import (
	"cmp"
	"math"
	"slices"

	"coltsfootward"
	"coltsfootward/core/demand"
)

// Share is what an organisation gets in the band that does not fit.
type Share struct {
	Organisation coltsfootward.OrganisationName
	// Demand and Admitted are in slot seconds per second.
	Demand, Admitted float64
}

// Fraction returns the admitted fraction of the demand.
func (s Share) Fraction() float64 {
	if s.Demand <= 0 {
		return 1
	}
	return min(s.Admitted/s.Demand, 1)
}

// Division is the admitted fraction of the demand for a service, by importance band and
// organisation. Bands before the contended one are admitted whole, bands after it are
// not admitted. The zero value admits nothing; use Divide. A Division is immutable.
type Division struct {
	contended int
	// level is the capacity that an organisation of weight 1 may use of the contended
	// band.
	level float64
	// total is the contended band as a whole, and others the organisations that the
	// summary does not name.
	total, others Share
	shares        map[coltsfootward.OrganisationName]Share
}

// Divide returns the division of a service's capacity, which is the part of the
// summary's demand that is not to be refused. Refused is a fraction, 0 to 1.
//
// Bands are admitted whole as long as they fit. In the band that does not fit, each
// organisation gets the smaller of its demand and its weight times a common level
// (weighted max-min fairness). The organisations that are not named count as equal ones
// of weight 1.
func Divide(s demand.Summary, refused float64, weights Weights) Division {
	capacity := (1 - min(max(refused, 0), 1)) * s.Total.Total()
	// Without a tolerance, rounding makes the last band contended although nothing is
	// to be refused.
	tolerance := 1e-9 * s.Total.Total()
	for band, asked := range s.Total {
		if asked > capacity+tolerance {
			return divideBand(s, band, capacity, weights)
		}
		capacity = max(capacity-asked, 0)
	}
	return Division{contended: demand.Bands, level: math.Inf(1)}
}

// claimant is an organisation, or the group of those that are not named, in the contended
// band.
type claimant struct {
	name           coltsfootward.OrganisationName
	demand, weight float64
}

func divideBand(s demand.Summary, band int, capacity float64, weights Weights) Division {
	d := Division{
		contended: band,
		total:     Share{Demand: s.Total[band], Admitted: capacity},
		shares:    make(map[coltsfootward.OrganisationName]Share, len(s.Organisations)),
	}
	var claimants []claimant
	for _, o := range s.Organisations {
		if o.Demand[band] > 0 {
			claimants = append(claimants, claimant{name: o.Name, demand: o.Demand[band], weight: weights.Of(o.Name)})
		}
	}
	group := claimant{demand: s.Others[band], weight: float64(max(s.OtherCount, 1))}
	d.level = levelOf(append(claimants, group), capacity)
	for _, c := range claimants {
		d.shares[c.name] = Share{Organisation: c.name, Demand: c.demand, Admitted: min(c.demand, c.weight*d.level)}
	}
	d.others = Share{Demand: group.demand, Admitted: min(group.demand, group.weight*d.level)}
	return d
}

// levelOf returns the level at which the claimants together get the capacity. It is
// infinite if they ask for less.
func levelOf(claimants []claimant, capacity float64) float64 {
	byNeed := slices.SortedFunc(slices.Values(claimants), func(a, b claimant) int {
		return cmp.Or(cmp.Compare(a.demand/a.weight, b.demand/b.weight), cmp.Compare(a.name, b.name))
	})
	weight := 0.0
	for _, c := range byNeed {
		weight += c.weight
	}
	for _, c := range byNeed {
		if c.demand*weight > capacity*c.weight {
			return capacity / weight
		}
		capacity -= c.demand
		weight -= c.weight
	}
	return math.Inf(1)
}

// Contended returns the band that does not fit, or demand.Bands if all fit.
func (d Division) Contended() int { return d.contended }

// Level returns the capacity, in slot seconds per second, that an organisation of weight
// 1 may use of the contended band. It is infinite if no organisation is held back.
func (d Division) Level() float64 { return d.level }

// Share returns the share of an organisation in the contended band. named is false if the
// summary does not name the organisation; the share is then that of all such
// organisations together.
func (d Division) Share(name coltsfootward.OrganisationName) (share Share, named bool) {
	if share, named = d.shares[name]; named {
		return share, true
	}
	if d.others.Demand > 0 {
		return d.others, false
	}
	// The organisation has appeared since the summary was made. Admitting all of its
	// requests would let one that appears at all entry nodes at once overload the
	// service until the next summary.
	return d.total, false
}

// Others returns the share of all organisations together that the summary does not name.
func (d Division) Others() Share { return d.others }

// Shares returns the shares of the named organisations, most demand first.
func (d Division) Shares() []Share {
	shares := make([]Share, 0, len(d.shares))
	for _, s := range d.shares {
		shares = append(shares, s)
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Organisation, b.Organisation))
	})
	return shares
}

// Fraction returns the fraction of an organisation's requests of a band that are
// admitted.
func (d Division) Fraction(band int, name coltsfootward.OrganisationName) float64 {
	switch {
	case band < d.contended:
		return 1
	case band > d.contended:
		return 0
	}
	share, _ := d.Share(name)
	return share.Fraction()
}
