package pressure

import (
	"maps"
	"math"
	"slices"
	"time"

	"coltsfootward"
)

const (
	// gateInterval is the time between two settings of a gate's limit.
	gateInterval = 100 * time.Millisecond
	// excessWeight is the weight of the newest report in what a gate refuses. The
	// reports are steady by themselves; what is evened out is that the servers of
	// a service do not say the same.
	excessWeight = 0.2
	// excessTime is the time after which a report that comes alone replaces most of
	// the earlier ones: an entry node that hears of a service twice a second must not
	// take as many reports to follow it as one that hears of it thirty times.
	excessTime = 250 * time.Millisecond
	// reportLife is how long a report counts. Without newer ones more and more is
	// let pass, by staleRise in each interval.
	reportLife = time.Second
	staleRise  = 1.12
	// demandFade is what remains of the demand's counts from one interval to the
	// next: they reach back two seconds.
	demandFade = 0.95
	// reachWeight is the weight of the newest answer in the share of answers that
	// name a service. A class needs a service that reachLeast of them name; one that
	// reachForget or fewer name is forgotten. A service named for the first time
	// starts at reachFirst, so that a few more answers decide.
	reachWeight = 0.1
	reachLeast  = 0.5
	reachForget = 0.05
	reachFirst  = 0.45
	// costWeight is the weight of the newest answer in what a request costs.
	costWeight = 0.1
	// rankBits is how many bits a shed rank has, bucketBits how many of them
	// choose a bucket of the demand.
	rankBits   = 30
	bucketBits = 9
	buckets    = 1 << bucketBits
)

// Gates are an entry node's gates for all services. The zero value is ready. It
// is not safe for concurrent use.
type Gates struct {
	gates map[coltsfootward.ServiceName]*gate
	// reach says how much requests of a class need a service.
	reach map[coltsfootward.RouteName]map[coltsfootward.ServiceName]need
	next  time.Duration
}

// need is what answers told of a class and a service.
type need struct {
	// share is the part of the answers that name the service as needed.
	share float64
	// cost is the slot time in seconds that one request takes there; zero if that
	// is not known.
	cost float64
}

// told returns the need after an answer that named the service.
func (n need) told(cost float64) need {
	n.share += reachWeight
	if cost <= 0 {
		return n
	}
	if n.cost == 0 {
		n.cost = cost
	}
	n.cost += costWeight * (cost - n.cost)
	return n
}

// gate is what is known of one service.
type gate struct {
	// excess is the part of the demand to refuse, as the service's servers say.
	excess float64
	heard  time.Duration
	known  bool
	// withheld is a part of the demand that is refused besides, whatever the
	// servers report.
	withheld float64
	// passed is the part that is let pass.
	passed float64
	// demand is the slot time that requests of each rank have asked for of late.
	demand [buckets]float64
	prices prices
	// limit is the rank above which requests are refused.
	limit uint32
	// told is the part that was let pass when the gate was last told of.
	told float64
}

// State is how far a gate is closed.
type State struct {
	Service coltsfootward.ServiceName
	// Excess is the part of the demand that the service's servers want refused,
	// and Age how old that is.
	Excess float64
	Age    time.Duration
	// Passed is the part of the demand that is let pass, Limit the rank above
	// which requests are refused.
	Passed float64
	Limit  uint32
}

func (g *gate) state(now time.Duration, service coltsfootward.ServiceName) State {
	return State{Service: service, Excess: g.excess, Age: now - g.heard, Passed: g.passed, Limit: g.limit}
}

// State returns how far the gate of a service is closed.
func (g *Gates) State(now time.Duration, service coltsfootward.ServiceName) State {
	return g.gate(service).state(now, service)
}

// toldStep is by how much a gate must have moved to be told of.
const toldStep = 0.1

// Moved returns the gates that have moved much since they were last told of, in
// the order of their services.
func (g *Gates) Moved(now time.Duration) []State {
	var moved []State
	for _, service := range slices.Sorted(maps.Keys(g.gates)) {
		known := g.gates[service]
		step := math.Abs(known.passed - known.told)
		if step < toldStep && (known.passed < 1 || step == 0) {
			continue
		}
		known.told = known.passed
		moved = append(moved, known.state(now, service))
	}
	return moved
}

func (g *Gates) gate(service coltsfootward.ServiceName) *gate {
	if g.gates == nil {
		g.gates = make(map[coltsfootward.ServiceName]*gate)
	}
	known, ok := g.gates[service]
	if !ok {
		known = &gate{passed: 1, told: 1, limit: math.MaxUint32}
		g.gates[service] = known
	}
	return known
}

// Answered takes in what an answer to a request of the class told: what is to be
// refused for the services that such requests need. The nodes of a service learn
// by themselves what is needed, and not all at once; what most answers name counts.
func (g *Gates) Answered(now time.Duration, class coltsfootward.RouteName, told []Reported) {
	if g.reach == nil {
		g.reach = make(map[coltsfootward.RouteName]map[coltsfootward.ServiceName]need)
	}
	needs, ok := g.reach[class]
	if !ok {
		needs = make(map[coltsfootward.ServiceName]need)
		g.reach[class] = needs
	}
	for service, known := range needs {
		known.share *= 1 - reachWeight
		needs[service] = known
	}
	for _, r := range told {
		if _, known := needs[r.Service]; !known {
			needs[r.Service] = need{share: reachFirst}
		}
		needs[r.Service] = needs[r.Service].told(r.Cost)
		if !r.Cold {
			g.gate(r.Service).report(now, r.Excess)
		}
	}
	maps.DeleteFunc(needs, func(_ coltsfootward.ServiceName, known need) bool { return known.share < reachForget })
}

func (g *gate) report(now time.Duration, excess float64) {
	weight := max(excessWeight, 1-math.Exp(-(now-g.heard).Seconds()/excessTime.Seconds()))
	if !g.known || now-g.heard > reportLife {
		weight = 1
	}
	g.known = true
	g.heard = now
	g.excess += weight * (excess - g.excess)
}

// Forget drops the classes that keep does not hold. A configuration that names its
// routes anew would else leave a class behind with each change.
func (g *Gates) Forget(keep func(coltsfootward.RouteName) bool) {
	maps.DeleteFunc(g.reach, func(class coltsfootward.RouteName, _ map[coltsfootward.ServiceName]need) bool {
		return !keep(class)
	})
}

// Classes returns how many classes of requests are known.
func (g *Gates) Classes() int { return len(g.reach) }

// Reported is what part of the demand for a service is to be refused.
type Reported struct {
	Service coltsfootward.ServiceName
	Excess  float64
	// Cost is the slot time in seconds that one request of the class takes there;
	// zero if that is not known.
	Cost float64
	// Cold is set if the server that tells is cold: what it is asked for beyond the
	// little that it bears says nothing of the service.
	Cold bool
}

// Below returns what is to be refused of the demand for the services that
// the calls need, for an answer to tell.
func (g *Gates) Below(now time.Duration, calls []Callee) []Reported {
	var found []Reported
	place := make(map[coltsfootward.ServiceName]int)
	for _, call := range calls {
		needs := g.reach[call.Route]
		for _, service := range slices.Sorted(maps.Keys(needs)) {
			if needs[service].share < reachLeast {
				continue
			}
			i, seen := place[service]
			if !seen {
				i = len(found)
				place[service] = i
				found = append(found, Reported{Service: service, Excess: g.gate(service).current(now)})
			}
			found[i].Cost += call.PerRequest * needs[service].cost
		}
	}
	return found
}

func (g *gate) current(now time.Duration) float64 {
	if !g.known || now-g.heard > reportLife {
		return 0
	}
	return g.excess
}

// Needs returns how many services a class of requests needs, the one that it goes
// to included, as far as answers have told.
func (g *Gates) Needs(class coltsfootward.RouteName) int {
	needed := 0
	for _, known := range g.reach[class] {
		if known.share >= reachLeast {
			needed++
		}
	}
	return needed
}

// Admit counts a request and reports whether it is to be let pass; if not, it
// names the service that has no room for it.
func (g *Gates) Admit(class coltsfootward.RouteName, rank uint32) (coltsfootward.ServiceName, bool) {
	var full coltsfootward.ServiceName
	for service, needed := range g.reach[class] {
		if needed.share < reachLeast {
			continue
		}
		known := g.gate(service)
		cost := known.prices.cost(needed.cost)
		place := known.prices.place(rank, cost)
		known.prices.count(rank, cost)
		known.demand[bucketOf(place)] += cost
		if place > known.limit {
			full = service
		}
	}
	return full, full == ""
}

func bucketOf(rank uint32) int {
	return int(min(rank>>(rankBits-bucketBits), buckets-1))
}

// Withhold has at least that part of the demand for a service refused, 0 to 1, until
// it is called again. It is for what is known beforehand, such as cold servers: the
// servers' reports come only after the load has reached them.
func (g *Gates) Withhold(service coltsfootward.ServiceName, part float64) {
	if part > 0 || g.gates[service] != nil {
		g.gate(service).withheld = part
	}
}

// Tick sets the gates anew at the end of each interval.
func (g *Gates) Tick(now time.Duration) {
	if now < g.next {
		return
	}
	g.next = max(g.next+gateInterval, now)
	for _, known := range g.gates {
		known.set(now)
	}
}

// set takes over what part of the demand is to pass, and finds the rank up to
// which the demand is that part.
func (g *gate) set(now time.Duration) {
	if !g.known || now-g.heard > reportLife {
		g.passed = min(1, g.passed*staleRise)
	} else {
		g.passed = 1 - g.excess
	}
	g.passed = min(g.passed, 1-g.withheld)
	g.limit = g.rankAt(g.passed)
	for i := range g.demand {
		g.demand[i] *= demandFade
	}
	g.prices.fade()
}

// rankAt returns the rank below which the given part of the demand lies.
func (g *gate) rankAt(part float64) uint32 {
	if part >= 1 {
		return math.MaxUint32
	}
	total := 0.0
	for _, n := range g.demand {
		total += n
	}
	wanted := part * total
	for i, n := range g.demand {
		if n > wanted {
			width := float64(uint32(1) << (rankBits - bucketBits))
			return uint32((float64(i) + wanted/n) * width)
		}
		wanted -= n
	}
	return math.MaxUint32
}
