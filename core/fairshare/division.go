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
// organisation. Bands before the contended one are admitted whole, the others in part. The
// zero value admits nothing; use Divide. A Division is immutable.
type Division struct {
	contended int
	// least is the admitted fraction of a band without demand in the summary.
	least float64
	// bands holds the bands that are admitted in part.
	bands [demand.Bands]*BandDivision
}

// BandDivision is what the organisations get of one band that is admitted in part. A
// BandDivision is immutable.
type BandDivision struct {
	// level is the capacity that an organisation of weight 1 may use of the band.
	level float64
	// total is the band as a whole, and others the organisations that the summary does
	// not name.
	total, others Share
	shares        map[coltsfootward.OrganisationName]Share
}

// Divide returns the division of a service's capacity, which is the part of the
// summary's demand that is not to be refused. Refused is a fraction, 0 to 1, and level that
// of an Aging.
//
// Bands are admitted as AdmitBands says. In a band that is admitted in part, each
// organisation gets the smaller of its demand and its weight times a common level
// (weighted max-min fairness). The organisations that are not named count as equal ones
// of weight 1.
func Divide(s demand.Summary, refused, level float64, weights Weights) Division {
	admitted, least := AdmitBands(s.Total, refused, level)
	d := Division{contended: demand.Bands, least: least}
	// Without a tolerance, rounding makes a band contended although nothing is to be
	// refused.
	tolerance := 1e-9 * s.Total.Total()
	for band, asked := range s.Total {
		if asked > admitted[band]+tolerance {
			d.contended = min(d.contended, band)
			d.bands[band] = divideBand(s, band, admitted[band], weights)
		}
	}
	return d
}

func divideBand(s demand.Summary, band int, capacity float64, weights Weights) *BandDivision {
	d := &BandDivision{
		total:  Share{Demand: s.Total[band], Admitted: capacity},
		shares: make(map[coltsfootward.OrganisationName]Share, len(s.Organisations)),
	}
	var claims []Claim
	var asked []float64
	for _, o := range s.Organisations {
		if o.Demand[band] > 0 {
			asked = append(asked, o.Demand[band])
			claims = append(claims, Claim{Demand: o.Demand[band], Weight: weights.Of(o.Name)})
		}
	}
	group := Claim{Demand: s.Others[band], Weight: max(float64(s.OtherCount), leastCount(asked, s.Others[band]), 1)}
	d.level = Level(append(claims, group), capacity)
	for _, o := range s.Organisations {
		if asked := o.Demand[band]; asked > 0 {
			d.shares[o.Name] = Share{Organisation: o.Name, Demand: asked, Admitted: min(asked, weights.Of(o.Name)*d.level)}
		}
	}
	d.others = Share{Demand: group.Demand, Admitted: min(group.Demand, group.Weight*d.level)}
	return d
}

// leastCount returns the least number of organisations that are not named and ask for
// others together, given the demand of those that are named. The count that the summary
// states is too low if different organisations enter at different nodes. An organisation
// that is not named asks for no more than the last of those named for the band. If fewer
// are named, the median takes its place: the smallest may be named because of another
// band.
func leastCount(named []float64, others float64) float64 {
	if len(named) == 0 {
		return 0
	}
	slices.Sort(named)
	bound := named[len(named)/2]
	if len(named) >= demand.BandOrganisations {
		bound = named[len(named)-demand.BandOrganisations]
	}
	return others / bound
}

// Claim is the demand of an organisation, or of a group of them, and its weight.
type Claim struct{ Demand, Weight float64 }

// Level returns the level at which the claims together get the capacity, where each gets
// the smaller of its demand and its weight times the level. It is infinite if they ask
// for less.
func Level(claims []Claim, capacity float64) float64 {
	byNeed := slices.SortedFunc(slices.Values(claims), func(a, b Claim) int {
		return cmp.Compare(a.Demand/a.Weight, b.Demand/b.Weight)
	})
	// weights[i] is the weight of the claims from i on. Subtraction from the sum would
	// leave nothing but rounding errors if one weight is much larger than the others.
	weights := make([]float64, len(byNeed)+1)
	for i := len(byNeed) - 1; i >= 0; i-- {
		weights[i] = weights[i+1] + byNeed[i].Weight
	}
	for i, c := range byNeed {
		if c.Demand*weights[i] > capacity*c.Weight {
			return capacity / weights[i]
		}
		capacity = max(capacity-c.Demand, 0)
	}
	return math.Inf(1)
}

// Contended returns the most important band that is not admitted whole, or demand.Bands if
// all are.
func (d Division) Contended() int { return d.contended }

// Band returns the division of a band. It returns false if the band is admitted whole, or
// has no demand in the summary.
func (d Division) Band(band int) (*BandDivision, bool) {
	if band < 0 || band >= demand.Bands || d.bands[band] == nil {
		return nil, false
	}
	return d.bands[band], true
}

// Fraction returns the fraction of an organisation's requests of a band that are
// admitted.
func (d Division) Fraction(band int, name coltsfootward.OrganisationName) float64 {
	divided, ok := d.Band(band)
	switch {
	case ok:
		share, _ := divided.Share(name)
		return share.Fraction()
	case band < d.contended:
		return 1
	default:
		return d.least
	}
}

// Level returns the capacity, in slot seconds per second, that an organisation of weight
// 1 may use of the band. It is infinite if no organisation is held back.
func (d *BandDivision) Level() float64 { return d.level }

// Share returns the share of an organisation in the band. named is false if the summary
// does not name the organisation; the share is then that of all such organisations
// together.
func (d *BandDivision) Share(name coltsfootward.OrganisationName) (share Share, named bool) {
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
func (d *BandDivision) Others() Share { return d.others }

// Shares returns the shares of the named organisations, most demand first.
func (d *BandDivision) Shares() []Share {
	shares := make([]Share, 0, len(d.shares))
	for _, s := range d.shares {
		shares = append(shares, s)
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Organisation, b.Organisation))
	})
	return shares
}
