package pressure

import (
	"maps"
	"time"

	"coltsfootward"
	"coltsfootward/core/demand"
	"coltsfootward/core/fairshare"
)

const (
	// rankPositions is the number of buckets that divide the ranks of a band.
	rankPositions = 32
	// priorRequests is the weight, in requests, of the assumption that ranks are
	// uniform. Within the memory of a histogram, an entry node of a large fleet gets
	// fewer requests of an organisation than that.
	priorRequests = 8.0
	// maximumHistograms bounds the histograms of a gate, and so its memory. Further
	// organisations share one.
	maximumHistograms = 64
)

// division is the part of a gate that refuses by the demand of the whole fleet instead
// of the entry node's own.
type division struct {
	// valid is set while there is a valid summary.
	valid bool
	// current is the division in force.
	current fairshare.Division
	// ranks holds the recent ranks of the organisations that the summary names. The
	// empty name stands for all others.
	ranks map[coltsfootward.OrganisationName]*rankHistogram
}

// rankHistogram holds the recent demand of an organisation in the contended band by rank,
// in slot time. It decays.
type rankHistogram struct {
	demand     [rankPositions]float64
	sum, count float64
	// limit is the position, 0 to 1, above which requests are refused.
	limit float64
}

// SetDemand makes the service's gate refuse by the demand of the whole fleet. Once s is
// no longer valid, the gate refuses a fraction of the entry node's own demand.
func (g *Gates) SetDemand(now time.Duration, s demand.Summary, weights fairshare.Weights) {
	if !s.Valid(now) || s.Total.Total() <= 0 {
		return
	}
	gate := g.gate(s.Service)
	gate.summary, gate.weights = s, weights
}

// Division returns the division in force at a service's gate. ok is false if the gate
// refuses by the entry node's own demand.
func (g *Gates) Division(service coltsfootward.ServiceName) (d fairshare.Division, ok bool) {
	gate, found := g.gates[service]
	if !found || !gate.division.valid {
		return fairshare.Division{}, false
	}
	return gate.division.current, true
}

// update computes the division that admits a fraction of the fleet's demand.
func (d *division) update(s demand.Summary, admitted float64, weights fairshare.Weights) {
	before := d.current.Contended()
	wasValid := d.valid
	d.valid = true
	d.current = fairshare.Divide(s, 1-admitted, weights)
	if !wasValid || before != d.current.Contended() {
		clear(d.ranks) // they describe another band
	}
	maps.DeleteFunc(d.ranks, func(name coltsfootward.OrganisationName, _ *rankHistogram) bool {
		_, named := d.current.Share(name)
		return name != "" && !named
	})
	for name, h := range d.ranks {
		share, _ := d.current.Share(name)
		h.update(share.Fraction())
	}
}

// admits counts a request and reports whether it is admitted.
func (d *division) admits(rank uint32, cost float64, organisation coltsfootward.OrganisationName) bool {
	band := bandOf(rank)
	fraction := d.current.Fraction(band, organisation)
	if band != d.current.Contended() {
		return fraction >= 1
	}
	h := d.histogram(organisation)
	position := h.observe(rank, cost)
	return fraction >= 1 || position < h.limit
}

// histogram returns the histogram that a request of the organisation counts in.
func (d *division) histogram(organisation coltsfootward.OrganisationName) *rankHistogram {
	share, named := d.current.Share(organisation)
	if !named {
		organisation = ""
	}
	if h, ok := d.ranks[organisation]; ok {
		return h
	}
	if len(d.ranks) >= maximumHistograms && organisation != "" {
		return d.histogram("")
	}
	if d.ranks == nil {
		d.ranks = make(map[coltsfootward.OrganisationName]*rankHistogram)
	}
	h := &rankHistogram{}
	h.update(share.Fraction())
	d.ranks[organisation] = h
	return h
}

// observe counts a request and returns its position among those of its organisation.
func (h *rankHistogram) observe(rank uint32, cost float64) float64 {
	position := positionOf(rank, h.count >= 1 && cost*h.count >= expensiveFactor*h.sum)
	h.demand[min(int(position*rankPositions), rankPositions-1)] += cost
	h.sum += cost
	h.count++
	return position
}

// update sets the limit that admits a fraction of the demand.
func (h *rankHistogram) update(fraction float64) {
	prior := priorRequests
	if h.count > 0 {
		prior *= h.sum / h.count
	}
	// Requests that are not expensive have positions in the first half.
	prior /= rankPositions / 2
	total := 0.0
	for i := range h.demand {
		total += h.at(i, prior)
	}
	wanted := fraction * total
	h.limit = 1
	for i := range h.demand {
		if n := h.at(i, prior); n > wanted {
			h.limit = (float64(i) + wanted/n) / rankPositions
			break
		}
		wanted -= h.at(i, prior)
	}
	for i := range h.demand {
		h.demand[i] *= demandDecay
	}
	h.sum *= demandDecay
	h.count *= demandDecay
}

func (h *rankHistogram) at(i int, prior float64) float64 {
	if i >= rankPositions/2 {
		prior = 0
	}
	return h.demand[i] + prior
}
