package pressure

import (
	"maps"
	"slices"
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
	// maximumUnnamed bounds the organisations that a gate tells apart although the
	// summary does not name them.
	maximumUnnamed = 256
	// minimumUnnamed is the demand, in slot time, below which an organisation that is
	// not named is forgotten.
	minimumUnnamed = 1e-4
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
	// unnamed holds the recent demand at this node of organisations that the summary
	// does not name, in slot time. unnamedLevel is what each of them gets, for a weight
	// of 1.
	unnamed      map[coltsfootward.OrganisationName]float64
	unnamedLevel float64
	weights      fairshare.Weights
}

// rankHistogram holds the recent demand of an organisation in the contended band by rank,
// in slot time. It decays.
type rankHistogram struct {
	demand     [rankPositions]float64
	sum, count float64
}

// SetDemand makes the gate for the service's slots refuse by the demand of the whole
// fleet. Once s is no longer valid, the gate refuses a fraction of the entry node's own
// demand.
func (g *Gates) SetDemand(now time.Duration, s demand.Summary, weights fairshare.Weights) {
	if !s.Valid(now) || s.Total.Total() <= 0 {
		return
	}
	gate := g.gate(Key{Service: s.Service})
	gate.summary, gate.weights = s, weights
}

// Division returns the division in force at the gate for a service's slots. ok is false
// if the gate refuses by the entry node's own demand.
func (g *Gates) Division(service coltsfootward.ServiceName) (d fairshare.Division, ok bool) {
	gate, found := g.gates[Key{Service: service}]
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
		clear(d.unnamed)
	}
	maps.DeleteFunc(d.ranks, func(name coltsfootward.OrganisationName, _ *rankHistogram) bool {
		_, named := d.current.Share(name)
		return name != "" && !named
	})
	for _, h := range d.ranks {
		h.decay()
	}
	d.weights = weights
	d.updateUnnamed()
}

// updateUnnamed divides what this node may admit of the organisations that the summary
// does not name between them. Those that ask for little are admitted whole.
func (d *division) updateUnnamed() {
	for name := range d.unnamed {
		d.unnamed[name] *= demandDecay
	}
	maps.DeleteFunc(d.unnamed, func(_ coltsfootward.OrganisationName, asked float64) bool { return asked < minimumUnnamed })
	var claims []fairshare.Claim
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(d.unnamed)) {
		claims = append(claims, fairshare.Claim{Demand: d.unnamed[name], Weight: d.weights.Of(name)})
		total += d.unnamed[name]
	}
	share, _ := d.current.Share("")
	d.unnamedLevel = fairshare.Level(claims, share.Fraction()*total)
}

// fraction returns the fraction of an organisation's requests in the contended band that
// are admitted.
func (d *division) fraction(organisation coltsfootward.OrganisationName) float64 {
	share, named := d.current.Share(organisation)
	asked, known := d.unnamed[organisation]
	if named || !known || asked <= 0 {
		return share.Fraction()
	}
	return min(d.weights.Of(organisation)*d.unnamedLevel/asked, 1)
}

// observeUnnamed counts a request of an organisation that the summary does not name.
func (d *division) observeUnnamed(organisation coltsfootward.OrganisationName, cost float64) {
	if d.unnamed == nil {
		d.unnamed = make(map[coltsfootward.OrganisationName]float64)
	}
	if _, known := d.unnamed[organisation]; known || len(d.unnamed) < maximumUnnamed {
		d.unnamed[organisation] += cost
	}
}

// admits counts a request and reports whether it is admitted.
func (d *division) admits(rank uint32, cost float64, organisation coltsfootward.OrganisationName) bool {
	band := bandOf(rank)
	if band != d.current.Contended() {
		return band < d.current.Contended()
	}
	fraction := d.fraction(organisation)
	if _, named := d.current.Share(organisation); !named {
		d.observeUnnamed(organisation, cost)
	}
	h := d.histogram(organisation)
	// The request itself is not counted in the limit: among few others it would move the
	// limit below its own position.
	limit := h.limit(fraction)
	position := h.observe(rank, cost)
	return fraction >= 1 || position < limit
}

// histogram returns the histogram that a request of the organisation counts in.
func (d *division) histogram(organisation coltsfootward.OrganisationName) *rankHistogram {
	if _, named := d.current.Share(organisation); !named {
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

// limit returns the position, 0 to 1, below which a fraction of the demand lies.
func (h *rankHistogram) limit(fraction float64) float64 {
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
	for i := range h.demand {
		if n := h.at(i, prior); n > wanted {
			return (float64(i) + wanted/n) / rankPositions
		}
		wanted -= h.at(i, prior)
	}
	return 1
}

// decay reduces the weight of older requests.
func (h *rankHistogram) decay() {
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
