package pressure

import (
	"maps"
	"math"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/demand"
	"coltsfootward/core/fairshare"
	"coltsfootward/core/message"
)

const (
	// gateInterval is the time between two updates of a gate's limit.
	gateInterval = 100 * time.Millisecond
	// excessWeight is the minimum EWMA weight of the newest report in a gate's
	// excess. The reports of each server are already smooth; averaging evens out the
	// differences between the servers of a service.
	excessWeight = 0.2
	// excessTimeConstant is the time constant with which a report's EWMA weight grows
	// with the time since the previous report. A report that arrives long after the
	// previous one thus replaces most of the average. An entry node that receives two
	// reports per second about a service follows it as quickly as a node that receives
	// 30.
	excessTimeConstant = 250 * time.Millisecond
	// reportLifetime is the time for which a report is valid. Without a newer report,
	// the admitted fraction grows by the factor staleGrowth per interval.
	reportLifetime = time.Second
	staleGrowth    = 1.12
	// demandDecay is the factor by which the demand's counts decay per interval, so
	// that they cover about the last two seconds.
	demandDecay = 0.95
	// needWeight is the EWMA weight of the newest response in the share of responses
	// that report a service. A class needs a service if the share is at least
	// needThreshold. A service is dropped when the share falls below dropThreshold. A
	// service that is reported for the first time starts at initialShare, so that a
	// few more responses decide.
	needWeight    = 0.1
	needThreshold = 0.5
	dropThreshold = 0.05
	initialShare  = 0.45
	// costWeight is the EWMA weight of the newest response in the cost of a request.
	costWeight = 0.1
	// rankBits is the number of bits in a shed rank, and bucketBits is the number of
	// leading bits that select a bucket of the demand.
	rankBits   = 30
	bucketBits = 9
	buckets    = 1 << bucketBits
)

// Gates holds the gates of an entry node for all services. The zero value is ready
// for use. Gates is not safe for concurrent use.
type Gates struct {
	gates map[Key]*gate
	// needs holds, for each class of requests, the services that it needs.
	needs map[coltsfootward.RouteName]map[Key]need
	next  time.Duration
}

// need describes how a class of requests depends on a service, as reported in
// responses.
type need struct {
	// share is the moving average of the fraction of responses that report the
	// service as needed.
	share float64
	// cost is the slot time in seconds that one request takes at the service, or zero
	// if it is unknown.
	cost float64
	// recent holds the reports of the cost, of which typical is the median.
	recent  recentCosts
	typical float64
}

// withReport returns the need after a response that reported the service.
func (n need) withReport(cost float64) need {
	n.share += needWeight
	if cost <= 0 {
		return n
	}
	if n.cost == 0 {
		n.cost = cost
	}
	n.cost += costWeight * (cost - n.cost)
	n.recent = n.recent.with(cost)
	n.typical = n.recent.median()
	return n
}

// gate holds the state of one service's gate.
type gate struct {
	// excess is the fraction of the demand to refuse, as reported by the servers of
	// the service.
	excess     float64
	reportedAt time.Duration
	hasReport  bool
	// minRefused is the minimum fraction of the demand to refuse, whatever the
	// servers report.
	minRefused float64
	// admitted is the fraction of the demand that is admitted.
	admitted float64
	// demand is the recent demand by rank, in slot time. It decays.
	demand [buckets]float64
	costs  bandCosts
	// limits are the ranks above which requests of each band are refused.
	limits [bands]uint32
	// lastReturned is the admitted fraction when Moved last returned the gate.
	lastReturned float64
	// summary is the demand of the fleet if it is known, weights are those of the
	// organisations, and division is derived from both.
	summary  demand.Summary
	weights  fairshare.Weights
	division division
	aging    fairshare.Aging
}

// State describes how far a gate is closed.
type State struct {
	Service  coltsfootward.ServiceName
	Resource message.Resource
	// Excess is the fraction of the demand that the servers of the service want
	// refused, and Age is the age of that report.
	Excess float64
	Age    time.Duration
	// Admitted is the admitted fraction of the demand.
	Admitted float64
	// limits are the ranks above which requests of each band are refused.
	limits [bands]uint32
}

// Limit returns the rank above which requests of the importance of a rank are refused.
func (s State) Limit(rank uint32) uint32 { return s.limits[bandOf(rank)] }

func (g *gate) state(now time.Duration, key Key) State {
	return State{Service: key.Service, Resource: key.Resource, Excess: g.excess, Age: now - g.reportedAt, Admitted: g.admitted, limits: g.limits}
}

// State returns the state of the gate for a service's slots.
func (g *Gates) State(now time.Duration, service coltsfootward.ServiceName) State {
	return g.StateOf(now, Key{Service: service})
}

// movedStep is the change of the admitted fraction from which Moved returns a gate.
const movedStep = 0.1

// Moved returns the gates whose admitted fraction has changed by at least movedStep
// since Moved last returned them, and those that have opened completely. They are
// sorted by service and resource.
func (g *Gates) Moved(now time.Duration) []State {
	var moved []State
	for _, key := range slices.SortedFunc(maps.Keys(g.gates), Key.compare) {
		gate := g.gates[key]
		step := math.Abs(gate.admitted - gate.lastReturned)
		if step < movedStep && (gate.admitted < 1 || step == 0) {
			continue
		}
		gate.lastReturned = gate.admitted
		moved = append(moved, gate.state(now, key))
	}
	return moved
}

func (g *Gates) gate(key Key) *gate {
	if g.gates == nil {
		g.gates = make(map[Key]*gate)
	}
	found, ok := g.gates[key]
	if !ok {
		found = &gate{admitted: 1, lastReturned: 1, limits: unlimited}
		g.gates[key] = found
	}
	return found
}

// ObserveResponse processes the reports in a response to a request of the class: the
// excess at each service that such requests need. The nodes of a service find out
// independently, and at different times, which services a class needs. A service
// counts as needed if most responses report it.
func (g *Gates) ObserveResponse(now time.Duration, class coltsfootward.RouteName, reports []Report) {
	if g.needs == nil {
		g.needs = make(map[coltsfootward.RouteName]map[Key]need)
	}
	needs, ok := g.needs[class]
	if !ok {
		needs = make(map[Key]need)
		g.needs[class] = needs
	}
	for key, n := range needs {
		n.share *= 1 - needWeight
		needs[key] = n
	}
	for _, r := range withoutShortage(reports, needs) {
		key := r.key()
		if _, seen := needs[key]; !seen {
			needs[key] = need{share: initialShare}
		}
		needs[key] = needs[key].withReport(r.Cost)
		if !r.Cold {
			g.gate(key).observeReport(now, r.Excess)
		}
	}
	maps.DeleteFunc(needs, func(_ Key, n need) bool { return n.share < dropThreshold })
}

func (g *gate) observeReport(now time.Duration, excess float64) {
	weight := max(excessWeight, 1-math.Exp(-(now-g.reportedAt).Seconds()/excessTimeConstant.Seconds()))
	if !g.hasReport || now-g.reportedAt > reportLifetime {
		weight = 1
	}
	g.hasReport = true
	g.reportedAt = now
	g.excess += weight * (excess - g.excess)
}

// Retain drops the classes for which keep returns false. Otherwise each configuration
// change that renames routes would leave unused classes behind.
func (g *Gates) Retain(keep func(coltsfootward.RouteName) bool) {
	maps.DeleteFunc(g.needs, func(class coltsfootward.RouteName, _ map[Key]need) bool {
		return !keep(class)
	})
}

// Classes returns the number of classes whose needs are known.
func (g *Gates) Classes() int { return len(g.needs) }

// Report is the excess of a service, as reported in a response.
type Report struct {
	Service coltsfootward.ServiceName
	// Resource is what the service is short of. For retries, Cost is the expected
	// number of retries.
	Resource message.Resource
	Excess   float64
	// Cost is the slot time in seconds that one request of the class takes at the
	// service, or zero if it is unknown.
	Cost float64
	// Cold is set if the reporting server is cold. Its excess is ignored, because
	// demand beyond the limited capacity of a cold server says nothing about the
	// service.
	Cold bool
}

// ReportsFor returns the excess of each service that the given calls need, to be
// reported in responses. The cost of a service is the sum over the calls that a request
// makes.
func (g *Gates) ReportsFor(now time.Duration, calls []Callee) []Report {
	var reports []Report
	index := make(map[Key]int)
	for _, call := range calls {
		needs := g.needs[call.Route]
		for _, key := range slices.SortedFunc(maps.Keys(needs), Key.compare) {
			excess := g.gate(key).currentExcess(now)
			if needs[key].share < needThreshold || key.Resource != message.ResourceSlots && excess < leastShortage {
				continue
			}
			i, seen := index[key]
			if !seen {
				i = len(reports)
				index[key] = i
				reports = append(reports, Report{Service: key.Service, Resource: key.Resource, Excess: excess})
			}
			reports[i].Cost += call.CallsPerRequest * needs[key].cost
		}
	}
	return reports
}

// currentExcess returns the excess, which is at least the minimum fraction to refuse.
// Without a valid report it is that minimum.
func (g *gate) currentExcess(now time.Duration) float64 {
	if !g.hasReport || now-g.reportedAt > reportLifetime {
		return g.minRefused
	}
	return max(g.excess, g.minRefused)
}

// Needs returns how many services requests of a class need, according to the
// responses. The service that the requests are sent to is included.
func (g *Gates) Needs(class coltsfootward.RouteName) int {
	needed := 0
	for key, n := range g.needs[class] {
		if n.share >= needThreshold && key.Resource == message.ResourceSlots {
			needed++
		}
	}
	return needed
}

// ForEachNeed calls do for each service that requests of a class need and whose cost, the
// slot time in seconds that one request takes there, is known.
func (g *Gates) ForEachNeed(class coltsfootward.RouteName, do func(service coltsfootward.ServiceName, cost float64)) {
	for key, n := range g.needs[class] {
		if n.share >= needThreshold && n.typical > 0 && key.Resource == message.ResourceSlots {
			do(key.Service, n.typical)
		}
	}
}

// Cost returns the slot time in seconds that one request of a class takes at a service;
// zero if it is not known.
func (g *Gates) Cost(class coltsfootward.RouteName, service coltsfootward.ServiceName) float64 {
	return g.needs[class][Key{Service: service}].typical
}

// Admit counts a request of no organisation; see AdmitFor.
func (g *Gates) Admit(class coltsfootward.RouteName, rank uint32) (coltsfootward.ServiceName, bool) {
	saturated, admitted := g.AdmitFor(class, rank, "")
	return saturated.Service, admitted
}

// AdmitFor counts a request of an organisation and reports whether it is admitted. If it
// is not, AdmitFor returns the service that has no capacity for it and the resource that
// the service is short of.
func (g *Gates) AdmitFor(class coltsfootward.RouteName, rank uint32, organisation coltsfootward.OrganisationName) (Key, bool) {
	var saturated Key
	for key, n := range g.needs[class] {
		if n.share < needThreshold || key.spares(n) {
			continue
		}
		gate := g.gate(key)
		cost := gate.costs.cost(n.cost)
		effective := gate.costs.effectiveRank(rank, cost)
		gate.costs.observe(rank, cost)
		gate.demand[bucketOf(effective)] += cost
		admitted := effective <= gate.limits[bandOf(rank)]
		if gate.division.valid {
			admitted = gate.division.admits(rank, cost, organisation)
		}
		if !admitted && (saturated == Key{} || key.compare(saturated) < 0) {
			saturated = key
		}
	}
	return saturated, saturated == Key{}
}

func bucketOf(rank uint32) int {
	return int(min(rank>>(rankBits-bucketBits), buckets-1))
}

// SetMinRefused sets the minimum fraction of the demand for a service to refuse, 0 to
// 1, until it is called again. It is for conditions that are known in advance, such as
// cold servers: the servers' reports arrive only after the load has reached them.
func (g *Gates) SetMinRefused(service coltsfootward.ServiceName, fraction float64) {
	if key := (Key{Service: service}); fraction > 0 || g.gates[key] != nil {
		g.gate(key).minRefused = fraction
	}
}

// Tick updates the gates once per interval.
func (g *Gates) Tick(now time.Duration) {
	if now < g.next {
		return
	}
	g.next = max(g.next+gateInterval, now)
	for _, gate := range g.gates {
		gate.update(now)
	}
}

// update computes the admitted fraction and the rank limit that admits this fraction
// of the demand.
func (g *gate) update(now time.Duration) {
	if !g.hasReport || now-g.reportedAt > reportLifetime {
		g.admitted = min(1, g.admitted*staleGrowth)
	} else {
		g.admitted = 1 - g.excess
	}
	g.admitted = min(g.admitted, 1-g.minRefused)
	if g.summary.Valid(now) {
		g.aging.Observe(gateInterval, g.summary.Total, 1-g.admitted)
		g.division.update(g.summary, g.admitted, g.aging.Level(), g.weights)
	} else {
		g.aging.Observe(gateInterval, g.ownDemand(), 1-g.admitted)
		g.division = division{}
	}
	g.limits = g.limitsAt(g.admitted)
	for i := range g.demand {
		g.demand[i] *= demandDecay
	}
	g.costs.decay()
}

// unlimited are the limits of a gate that refuses nothing.
var unlimited = func() (limits [bands]uint32) {
	for band := range limits {
		limits[band] = math.MaxUint32
	}
	return limits
}()

// bucketsPerBand is the number of buckets of the demand in a band.
const bucketsPerBand = buckets / bands

// limitsAt returns the ranks that admit the given fraction of the demand.
func (g *gate) limitsAt(fraction float64) [bands]uint32 {
	if fraction >= 1 {
		return unlimited
	}
	asked := g.ownDemand()
	limits := unlimited
	admitted, least := fairshare.AdmitBands(asked, 1-fraction, g.aging.Level())
	for band, slotTime := range admitted {
		switch {
		case asked[band] == 0:
			limits[band] = bandStart(band) + uint32(least*hashRange/2)
		case slotTime < asked[band]:
			limits[band] = g.rankAt(band, slotTime)
		}
	}
	return limits
}

// ownDemand returns the recent demand at this node.
func (g *gate) ownDemand() demand.ByBand {
	var asked demand.ByBand
	for i, n := range g.demand {
		asked[i/bucketsPerBand] += n
	}
	return asked
}

// bandStart returns the lowest rank of a band.
func bandStart(band int) uint32 { return uint32(band) << hashBits }

// rankAt returns the rank in a band below which the given part of its demand lies.
func (g *gate) rankAt(band int, wanted float64) uint32 {
	const width = hashRange / bucketsPerBand
	for i, n := range g.demand[band*bucketsPerBand : (band+1)*bucketsPerBand] {
		if n > wanted {
			return bandStart(band) + uint32((float64(i)+wanted/n)*width)
		}
		wanted -= n
	}
	return math.MaxUint32
}
