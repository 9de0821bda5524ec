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
	// maximumUnnamed bounds the organisations that a band tells apart although the
	// summary does not name them.
	maximumUnnamed = 256
	// minimumUnnamed is the demand, in slot time, below which an organisation that is
	// not named is forgotten.
	minimumUnnamed = 1e-4
	// maximumHistograms bounds the histograms of a band, and so the memory of a gate. Further
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
	weights fairshare.Weights
	// bands holds the recent demand at this node in the bands that are admitted in part.
	bands [bands]*bandDemand
}

// bandDemand is the recent demand at this node in a band that is admitted in part.
type bandDemand struct {
	divided *fairshare.BandDivision
	// ranks holds the recent ranks of the organisations that the summary names. The
	// empty name stands for all others.
	ranks map[coltsfootward.OrganisationName]*rankHistogram
	// unnamed holds the recent demand of organisations that the summary does not name,
	// in slot time. unnamedLevel is what each of them gets, for a weight of 1.
	unnamed      map[coltsfootward.OrganisationName]float64
	unnamedLevel float64
}

// rankHistogram holds the recent demand of an organisation in a band by rank, in slot
// time. It decays.
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
func (d *division) update(s demand.Summary, admitted, level float64, weights fairshare.Weights) {
	d.valid, d.weights = true, weights
	d.current = fairshare.Divide(s, 1-admitted, level, weights)
	for band := range d.bands {
		divided, ok := d.current.Band(band)
		switch {
		case !ok:
			d.bands[band] = nil
			continue
		case d.bands[band] == nil:
			d.bands[band] = &bandDemand{}
		}
		d.bands[band].update(divided, weights)
	}
}

func (b *bandDemand) update(divided *fairshare.BandDivision, weights fairshare.Weights) {
	b.divided = divided
	maps.DeleteFunc(b.ranks, func(name coltsfootward.OrganisationName, _ *rankHistogram) bool {
		_, named := divided.Share(name)
		return name != "" && !named
	})
	for _, h := range b.ranks {
		h.decay()
	}
	b.updateUnnamed(weights)
}

// updateUnnamed divides what this node may admit of the organisations that the summary
// does not name between them. Those that ask for little are admitted whole.
func (b *bandDemand) updateUnnamed(weights fairshare.Weights) {
	for name := range b.unnamed {
		b.unnamed[name] *= demandDecay
	}
	maps.DeleteFunc(b.unnamed, func(_ coltsfootward.OrganisationName, asked float64) bool { return asked < minimumUnnamed })
	var claims []fairshare.Claim
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(b.unnamed)) {
		claims = append(claims, fairshare.Claim{Demand: b.unnamed[name], Weight: weights.Of(name)})
		total += b.unnamed[name]
	}
	share, _ := b.divided.Share("")
	b.unnamedLevel = fairshare.Level(claims, share.Fraction()*total)
}

// fraction returns the fraction of an organisation's requests in the band that are
// admitted.
func (b *bandDemand) fraction(organisation coltsfootward.OrganisationName, weights fairshare.Weights) float64 {
	share, named := b.divided.Share(organisation)
	asked, known := b.unnamed[organisation]
	if named || !known || asked <= 0 {
		return share.Fraction()
	}
	return min(weights.Of(organisation)*b.unnamedLevel/asked, 1)
}

// observeUnnamed counts a request of an organisation that the summary does not name.
func (b *bandDemand) observeUnnamed(organisation coltsfootward.OrganisationName, cost float64) {
	if b.unnamed == nil {
		b.unnamed = make(map[coltsfootward.OrganisationName]float64)
	}
	if _, known := b.unnamed[organisation]; known || len(b.unnamed) < maximumUnnamed {
		b.unnamed[organisation] += cost
	}
}

// admits counts a request and reports whether it is admitted.
func (d *division) admits(rank uint32, cost float64, organisation coltsfootward.OrganisationName) bool {
	band := bandOf(rank)
	b := d.bands[band]
	if b == nil {
		return positionOf(rank, false) < d.current.Fraction(band, organisation)/2
	}
	fraction := b.fraction(organisation, d.weights)
	if _, named := b.divided.Share(organisation); !named {
		b.observeUnnamed(organisation, cost)
	}
	h := b.histogram(organisation)
	// The request itself is not counted in the limit: among few others it would move the
	// limit below its own position.
	limit := h.limit(fraction)
	position := h.observe(rank, cost)
	return fraction >= 1 || position < limit
}

// histogram returns the histogram that a request of the organisation counts in.
func (b *bandDemand) histogram(organisation coltsfootward.OrganisationName) *rankHistogram {
	if _, named := b.divided.Share(organisation); !named {
		organisation = ""
	}
	if h, ok := b.ranks[organisation]; ok {
		return h
	}
	if len(b.ranks) >= maximumHistograms && organisation != "" {
		return b.histogram("")
	}
	if b.ranks == nil {
		b.ranks = make(map[coltsfootward.OrganisationName]*rankHistogram)
	}
	h := &rankHistogram{}
	b.ranks[organisation] = h
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
