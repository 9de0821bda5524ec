package scenario

import (
	"time"

	"coltsfootward"
)

// The phases of every scenario, in order. The first two are not measured: the
// nodes of a new deployment first share out among themselves who keeps what,
// and then callers come. What a deployment does while it forms is no overload.
const (
	formation = 40 * time.Second
	warmUp    = 8 * time.Second
	before    = 3 * time.Second
	trouble   = 4 * time.Second
	after     = 8 * time.Second
	warm      = formation + warmUp
	began     = warm + before
	relieved  = began + trouble
	whole     = relieved + after
)

// Scenario is one kind of overload.
type Scenario struct {
	// Name names the scenario in snake case.
	Name string
	// Demand is the demand in calm, in parts of the focus service's capacity.
	Demand float64
	// Surge multiplies the demand during the trouble; zero means 1.
	Surge float64
	// SurgeFor is how long the surge lasts; zero means the whole trouble.
	SurgeFor time.Duration
	// Greedy multiplies the demand of the second organisation alone; zero means 1.
	Greedy float64
	// Rate is each organisation's rate in multiples of its calm demand.
	Rate float64
	// Slow multiplies the service time of slowed backend servers; zero means 1.
	Slow float64
	// SlowAll slows every backend server of the focus service, not only the first.
	SlowAll bool
	// Long is the part of requests that take LongFactor times the mean of the others.
	Long float64
	// Chain sends requests to the top of the call chain, not to the focus service.
	Chain bool
	// Hard makes callers repeat at once, often, and whatever they were told.
	Hard bool
	// Lie multiplies the slots that the first backend server announces; zero means 1.
	Lie int
	// ColdStart kills half of the backend servers and starts them anew, cold.
	ColdStart bool
	// Cut cuts the first failure domain off.
	Cut bool
}

// longFactor is how much longer long work takes than short.
const longFactor = 5

// All returns every scenario.
func All() []Scenario {
	return []Scenario{
		{Name: "near_capacity", Demand: 0.97, Rate: 4},
		{Name: "burst", Demand: 0.6, Surge: 5, SurgeFor: time.Second, Rate: 8},
		{Name: "greedy_organisation", Demand: 0.8, Greedy: 6, Rate: 1.2},
		{Name: "flood_inside_rate", Demand: 0.6, Greedy: 8, Rate: 10},
		{Name: "slow_server", Demand: 0.65, Slow: 10, Rate: 4},
		{Name: "mixed_work", Demand: 0.7, Surge: 1.8, Long: 0.1, Rate: 4},
		{Name: "saturation", Demand: 0.7, Surge: 2 / 0.7, Rate: 8},
		{Name: "deep_metastable", Demand: 0.7, Surge: 1.5, Slow: 4, SlowAll: true, Chain: true, Hard: true, Rate: 8},
		{Name: "lying_load", Demand: 0.7, Surge: 2, Lie: 20, Rate: 4},
		{Name: "cold_start", Demand: 0.5, ColdStart: true, Rate: 4},
		{Name: "domain_cut", Demand: 0.6, Surge: 2, Cut: true, Rate: 4},
	}
}

// Named returns the scenario of that name.
func Named(name string) (Scenario, bool) {
	for _, s := range All() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// troubled reports whether t lies in the trouble.
func troubled(t time.Duration) bool { return t >= began && t < relieved }

// demand returns the requests per second of an organisation at time t.
func (s Scenario) demand(d Deployment, o int, t time.Duration) float64 {
	perSecond := s.calm(d, o)
	if !troubled(t) {
		return perSecond
	}
	if s.Surge > 0 && (s.SurgeFor == 0 || t < began+s.SurgeFor) {
		perSecond *= s.Surge
	}
	if s.Greedy > 0 && o == greedyOrganisation {
		perSecond *= s.Greedy
	}
	return perSecond
}

// greedyOrganisation is the index of the organisation that Greedy concerns.
const greedyOrganisation = 1

func (s Scenario) calm(d Deployment, o int) float64 {
	return s.Demand * d.Service(d.Focus).Capacity() * d.Organisations[o].Weight
}

// rate returns the rate and burst of an organisation. The burst holds a second.
func (s Scenario) rate(d Deployment, o int) coltsfootward.Rate {
	perSecond := s.calm(d, o) * s.Rate
	return coltsfootward.Rate{PerSecond: perSecond, Burst: int64(perSecond) + 1}
}

// slowness returns how many times longer than usual the i-th backend server of
// a service takes at time t.
func (s Scenario) slowness(d Deployment, service coltsfootward.ServiceName, i int, t time.Duration) float64 {
	if service != d.Focus || !troubled(t) {
		return 1
	}
	if s.Slow > 0 && (s.SlowAll || i == 0) {
		return s.Slow
	}
	if s.ColdStart && isColdStarted(i) {
		return 1 + coldSlowness*(1-(t-began).Seconds()/trouble.Seconds())
	}
	return 1
}

const (
	// coldSlowness is how much longer a request takes just after a cold start.
	coldSlowness = 6
	// restartAfter is how long a killed instance is away.
	restartAfter = 500 * time.Millisecond
)

// isColdStarted reports whether the i-th backend server is among the half that
// starts anew.
func isColdStarted(i int) bool { return i%2 == 0 }

// top returns the service that callers ask for.
func (s Scenario) top(d Deployment) coltsfootward.ServiceName {
	if s.Chain {
		return d.Top
	}
	return d.Focus
}
