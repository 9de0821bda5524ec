package scenario

import (
	"cmp"
	"slices"
	"time"

	"coltsfootward"
)

// Measures holds the outcome of one run, or of several together, for the callers.
type Measures struct {
	// Offered counts callers' requests, Answered those that were answered
	// completely and within requestTimeout.
	Offered, Answered int
	// DisturbanceAnswered counts the answered requests that arrived during the
	// disturbance.
	DisturbanceAnswered int
	// Started counts the executions that started at backend servers, Useful the
	// executions that the answered requests needed.
	Started, Useful int
	// Runs is the number of runs that were added up; zero means one.
	Runs int
	// Critical counts the offered requests of the highest priority,
	// CriticalAnswered those of them that were answered.
	Critical, CriticalAnswered int
	// Recovery is how long after the end of the disturbance the goodput, as a
	// share of the demand, stays below 95% of its value before the disturbance.
	// Recovered is false if it stays below until the end of the run.
	Recovery  time.Duration
	Recovered bool
	// Organisations is the outcome for each organisation.
	Organisations []OrganisationShare
	// InRate counts requests within their organisation's rate, InRateRefused
	// those that were refused or failed nevertheless.
	InRate, InRateRefused int
}

// OrganisationShare is the outcome for one organisation.
type OrganisationShare struct {
	Name coltsfootward.OrganisationName
	// InRate counts the organisation's requests within its rate and burst,
	// Answered all its answered requests.
	InRate, Answered int
}

// Share is the ratio of answered requests to those within the rate, at most 1.
func (o OrganisationShare) Share() float64 { return min(ratio(o.Answered, o.InRate), 1) }

// WorstServed returns the organisation with the lowest share.
func (m Measures) WorstServed() OrganisationShare {
	return slices.MinFunc(m.Organisations, func(a, b OrganisationShare) int { return cmp.Compare(a.Share(), b.Share()) })
}

// CriticalShare is the fraction of requests of the highest priority that were
// answered.
func (m Measures) CriticalShare() float64 { return ratio(m.CriticalAnswered, m.Critical) }

// WastedShare is the fraction of the backend servers' executions that did not
// contribute to an answered request.
func (m Measures) WastedShare() float64 { return ratio(max(m.Started-m.Useful, 0), m.Started) }

// AnsweredShare is the fraction of the offered requests that were answered.
func (m Measures) AnsweredShare() float64 { return ratio(m.Answered, m.Offered) }

// InRateRefusedShare is the fraction of requests within the rate that were
// refused or failed.
func (m Measures) InRateRefusedShare() float64 { return ratio(m.InRateRefused, m.InRate) }

func ratio(part, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(part) / float64(all)
}

// Goodput is the number of answered requests per second that arrived during the
// disturbance or the recovery time.
func (m Measures) Goodput() float64 {
	return float64(m.Answered) / (disturbanceTime + recoveryTime).Seconds() / float64(max(m.Runs, 1))
}

// DisturbanceGoodput is the number of answered requests per second that arrived
// during the disturbance.
func (m Measures) DisturbanceGoodput() float64 {
	return float64(m.DisturbanceAnswered) / disturbanceTime.Seconds() / float64(max(m.Runs, 1))
}

// Add adds another run's counts and keeps the longer of the recovery times.
func (m Measures) Add(other Measures) Measures {
	m.Runs = max(m.Runs, 1) + max(other.Runs, 1)
	m.Offered += other.Offered
	m.Answered += other.Answered
	m.DisturbanceAnswered += other.DisturbanceAnswered
	m.Critical += other.Critical
	m.CriticalAnswered += other.CriticalAnswered
	m.Started += other.Started
	m.Useful += other.Useful
	m.InRate += other.InRate
	m.InRateRefused += other.InRateRefused
	m.Recovery = max(m.Recovery, other.Recovery)
	m.Recovered = m.Recovered && other.Recovered
	m.Organisations = slices.Clone(m.Organisations)
	for i, o := range other.Organisations {
		m.Organisations[i].InRate += o.InRate
		m.Organisations[i].Answered += o.Answered
	}
	return m
}

// RunSeeds runs a scenario for count consecutive seeds from first on and adds
// up the results.
func RunSeeds(s Scenario, d Deployment, v Variant, first uint64, count int) Measures {
	m := Run(s, d, v, first)
	for i := 1; i < count; i++ {
		m = m.Add(Run(s, d, v, first+uint64(i)))
	}
	return m
}

// Run runs a scenario and measures it from the start of the disturbance to the
// end of the run.
func Run(s Scenario, d Deployment, v Variant, seed uint64) Measures {
	var sys system
	if v == VariantNaive {
		sys = newNaive(s, d, seed)
	} else {
		sys = newMesh(s, d, seed)
	}
	c := newCallers(s, d, sys, seed)
	sys.run(disturbanceStart)
	sys.startDisturbance()
	sys.run(disturbanceTime)
	sys.endDisturbance()
	sys.run(recoveryTime + requestTimeout + time.Second)
	return c.measure()
}

func (c *callers) measure() Measures {
	var m Measures
	m.Offered, m.Answered = c.count(disturbanceStart, runEnd, func(*callerRequest) bool { return true })
	_, m.DisturbanceAnswered = c.count(disturbanceStart, disturbanceEnd, func(*callerRequest) bool { return true })
	m.Critical, m.CriticalAnswered = c.count(disturbanceStart, runEnd, func(req *callerRequest) bool { return req.critical })
	m.Started = c.system.executionsStarted()
	m.Useful = m.Answered * len(c.deployment.chain(c.scenario.entryService(c.deployment)))
	m.Recovery, m.Recovered = c.recovery()
	c.measureOrganisations(&m)
	return m
}

// count returns how many requests that match the filter arrived in a time span,
// and how many of them were answered.
func (c *callers) count(from, to time.Duration, filter func(*callerRequest) bool) (offered, answered int) {
	for _, req := range c.requests {
		if req.arrived < from || req.arrived >= to || !filter(req) {
			continue
		}
		offered++
		if req.answered {
			answered++
		}
	}
	return offered, answered
}

// measureOrganisations compares, for each organisation, the answered requests
// with those that it offered within its rate.
func (c *callers) measureOrganisations(m *Measures) {
	for o, organisation := range c.deployment.Organisations {
		isOwn := func(req *callerRequest) bool { return req.organisation == o }
		share := OrganisationShare{Name: organisation.Name}
		share.InRate, _ = c.count(disturbanceStart, runEnd, func(req *callerRequest) bool { return isOwn(req) && req.inRate })
		_, share.Answered = c.count(disturbanceStart, runEnd, isOwn)
		m.Organisations = append(m.Organisations, share)
		m.InRate += share.InRate
		m.InRateRefused += max(share.InRate-share.Answered, 0)
	}
}

const (
	recoveryWindow = time.Second
	recoveryStep   = 100 * time.Millisecond
	recoveredShare = 0.95
)

// recovery returns the end of the last window with too little goodput, and
// whether goodput recovered. Windows are by arrival time, so that work on a
// backlog does not count as goodput.
func (c *callers) recovery() (time.Duration, bool) {
	baseline := c.share(warmUpEnd, disturbanceStart-attemptTimeout)
	last := time.Duration(0)
	for t := disturbanceEnd; t+recoveryWindow <= runEnd; t += recoveryStep {
		if c.share(t, t+recoveryWindow) < recoveredShare*baseline {
			last = t + recoveryStep - disturbanceEnd
		}
	}
	return last, last < recoveryTime-recoveryWindow
}

// share returns the fraction of the requests that arrived in a time span that
// were answered.
func (c *callers) share(from, to time.Duration) float64 {
	offered, answered := c.count(from, to, func(*callerRequest) bool { return true })
	return ratio(answered, offered)
}
