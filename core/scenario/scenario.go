package scenario

import (
	"time"

	"coltsfootward"
)

// The durations of the phases of every scenario, in order, and the times at which
// they end. The first two phases are not measured: the nodes of a new deployment
// first agree on which of them holds which state, and then callers begin to send
// requests. The behaviour of a deployment while it forms is not an effect of
// overload.
const (
	formationTime    = 40 * time.Second
	warmUpTime       = 8 * time.Second
	undisturbedTime  = 3 * time.Second
	disturbanceTime  = 4 * time.Second
	recoveryTime     = 8 * time.Second
	warmUpEnd        = formationTime + warmUpTime
	disturbanceStart = warmUpEnd + undisturbedTime
	disturbanceEnd   = disturbanceStart + disturbanceTime
	runEnd           = disturbanceEnd + recoveryTime
)

// Scenario is one kind of overload.
type Scenario struct {
	// Name is the name of the scenario in snake case.
	Name string
	// Demand is the demand without a disturbance, as a fraction of the
	// bottleneck service's capacity.
	Demand float64
	// SurgeFactor multiplies the demand during the disturbance; zero means 1.
	SurgeFactor float64
	// SurgeTime is how long the surge lasts; zero means the whole disturbance.
	SurgeTime time.Duration
	// GreedyFactor multiplies the demand of the second organisation alone; zero
	// means 1.
	GreedyFactor float64
	// RateFactor is the ratio of each organisation's rate limit to its
	// undisturbed demand.
	RateFactor float64
	// SlowFactor multiplies the service time of slowed backend servers; zero
	// means 1.
	SlowFactor float64
	// SlowAll slows every backend server of the bottleneck service, not only
	// the first.
	SlowAll bool
	// LongShare is the fraction of requests that take longFactor times as long
	// as the others on average.
	LongShare float64
	// Chain sends requests to the first service of the call chain instead of
	// the bottleneck service.
	Chain bool
	// AggressiveRetries makes callers retry more often, after a short wait, and
	// ignore the wait that a refusal asks for.
	AggressiveRetries bool
	// SlotsFactor multiplies the slots that the first backend server announces;
	// values up to 1 have no effect.
	SlotsFactor int
	// ColdStart kills half of the backend servers and restarts them cold.
	ColdStart bool
	// Partition separates the first failure domain from the others by a network
	// partition.
	Partition bool
}

// longFactor is the ratio of the service times of long and short requests.
const longFactor = 5

// All returns every scenario.
func All() []Scenario {
	return []Scenario{
		{Name: "near_capacity", Demand: 0.97, RateFactor: 4},
		{Name: "burst", Demand: 0.6, SurgeFactor: 5, SurgeTime: time.Second, RateFactor: 8},
		{Name: "greedy_organisation", Demand: 0.8, GreedyFactor: 6, RateFactor: 1.2},
		{Name: "flood_inside_rate", Demand: 0.6, GreedyFactor: 8, RateFactor: 10},
		{Name: "slow_server", Demand: 0.65, SlowFactor: 10, RateFactor: 4},
		{Name: "mixed_work", Demand: 0.7, SurgeFactor: 1.8, LongShare: 0.1, RateFactor: 4},
		{Name: "saturation", Demand: 0.7, SurgeFactor: 2 / 0.7, RateFactor: 8},
		{Name: "deep_metastable", Demand: 0.7, SurgeFactor: 1.5, SlowFactor: 4, SlowAll: true, Chain: true, AggressiveRetries: true, RateFactor: 8},
		{Name: "lying_load", Demand: 0.7, SurgeFactor: 2, SlotsFactor: 20, RateFactor: 4},
		{Name: "cold_start", Demand: 0.5, ColdStart: true, RateFactor: 4},
		{Name: "domain_cut", Demand: 0.6, SurgeFactor: 2, Partition: true, RateFactor: 4},
	}
}

// Named returns the scenario with the given name.
func Named(name string) (Scenario, bool) {
	for _, s := range All() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// isDisturbed reports whether the time t is within the disturbance.
func isDisturbed(t time.Duration) bool { return t >= disturbanceStart && t < disturbanceEnd }

// demand returns the demand of an organisation at time t in requests per
// second.
func (s Scenario) demand(d Deployment, o int, t time.Duration) float64 {
	perSecond := s.undisturbedDemand(d, o)
	if !isDisturbed(t) {
		return perSecond
	}
	if s.SurgeFactor > 0 && (s.SurgeTime == 0 || t < disturbanceStart+s.SurgeTime) {
		perSecond *= s.SurgeFactor
	}
	if s.GreedyFactor > 0 && o == greedyOrganisation {
		perSecond *= s.GreedyFactor
	}
	return perSecond
}

// greedyOrganisation is the index of the organisation that GreedyFactor applies
// to.
const greedyOrganisation = 1

func (s Scenario) undisturbedDemand(d Deployment, o int) float64 {
	return s.Demand * d.Service(d.Bottleneck).Capacity() * d.Organisations[o].Weight
}

// rate returns the rate limit of an organisation. The burst is the requests of
// one second.
func (s Scenario) rate(d Deployment, o int) coltsfootward.Rate {
	perSecond := s.undisturbedDemand(d, o) * s.RateFactor
	return coltsfootward.Rate{PerSecond: perSecond, Burst: int64(perSecond) + 1}
}

// slowdown returns the factor by which the i-th backend server of a service is
// slower than usual at time t.
func (s Scenario) slowdown(d Deployment, service coltsfootward.ServiceName, i int, t time.Duration) float64 {
	if service != d.Bottleneck || !isDisturbed(t) {
		return 1
	}
	if s.SlowFactor > 0 && (s.SlowAll || i == 0) {
		return s.SlowFactor
	}
	if s.ColdStart && isColdStarted(i) {
		return 1 + coldSlowdown*(1-(t-disturbanceStart).Seconds()/disturbanceTime.Seconds())
	}
	return 1
}

const (
	// coldSlowdown is added to the service time, as a multiple of it, just
	// after a cold start; it falls to zero over the disturbance.
	coldSlowdown = 6
	// restartDelay is how long a killed instance is down.
	restartDelay = 500 * time.Millisecond
)

// isColdStarted reports whether the i-th backend server is among the half that
// restarts.
func isColdStarted(i int) bool { return i%2 == 0 }

// entryService returns the service that callers send requests to.
func (s Scenario) entryService(d Deployment) coltsfootward.ServiceName {
	if s.Chain {
		return d.ChainHead
	}
	return d.Bottleneck
}
