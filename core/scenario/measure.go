package scenario

import (
	"cmp"
	"slices"
	"time"

	"coltsfootward"
)

// Measures are the outcome of one run for its callers.
type Measures struct {
	// Offered counts the requests that callers wanted answered, Answered those
	// that were, whole and within the caller's patience.
	Offered, Answered int
	// TroubleAnswered counts those answered that arrived in the trouble.
	TroubleAnswered int
	// Begun counts the services that began at backend servers, Useful how many
	// the answered requests needed.
	Begun, Useful int
	// Runs is how many runs the counts are of; zero means one.
	Runs int
	// Critical counts the offered requests of the highest priority,
	// CriticalAnswered those of them that were answered.
	Critical, CriticalAnswered int
	// Recovery is how long after the trouble's end goodput stays below 95% of
	// its share before; Recovered is false if it was so until the end.
	Recovery  time.Duration
	Recovered bool
	// Organisations is how each organisation fared.
	Organisations []OrganisationShare
	// InRate counts requests inside their organisation's rate, InRateRefused
	// those that were refused or failed in spite of it.
	InRate, InRateRefused int
}

// OrganisationShare is how one organisation fared.
type OrganisationShare struct {
	Name coltsfootward.OrganisationName
	// InRate counts its requests inside its rate and burst, Answered all that
	// were answered.
	InRate, Answered int
}

// Share is the part of what the organisation may ask for that was answered.
func (o OrganisationShare) Share() float64 { return min(ratio(o.Answered, o.InRate), 1) }

// Worst returns the organisation that was served worst.
func (m Measures) Worst() OrganisationShare {
	return slices.MinFunc(m.Organisations, func(a, b OrganisationShare) int { return cmp.Compare(a.Share(), b.Share()) })
}

// CriticalShare is the part of the most important requests that was answered.
func (m Measures) CriticalShare() float64 { return ratio(m.CriticalAnswered, m.Critical) }

// WastedShare is the part of the backend servers' work that did not end in an
// answered request.
func (m Measures) WastedShare() float64 { return ratio(max(m.Begun-m.Useful, 0), m.Begun) }

// Share is the part of the offered requests that was answered.
func (m Measures) Share() float64 { return ratio(m.Answered, m.Offered) }

// InRateShare is the part of the in-rate requests that was refused or failed.
func (m Measures) InRateShare() float64 { return ratio(m.InRateRefused, m.InRate) }

func ratio(part, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(part) / float64(all)
}

// Goodput is answered requests per second during the trouble and after.
func (m Measures) Goodput() float64 {
	return float64(m.Answered) / (trouble + after).Seconds() / float64(max(m.Runs, 1))
}

// TroubleGoodput is answered requests per second that arrived in the trouble.
func (m Measures) TroubleGoodput() float64 {
	return float64(m.TroubleAnswered) / trouble.Seconds() / float64(max(m.Runs, 1))
}

// With adds another run's counts; of the recovery times the longer counts.
func (m Measures) With(other Measures) Measures {
	m.Runs = max(m.Runs, 1) + max(other.Runs, 1)
	m.Offered += other.Offered
	m.Answered += other.Answered
	m.TroubleAnswered += other.TroubleAnswered
	m.Critical += other.Critical
	m.CriticalAnswered += other.CriticalAnswered
	m.Begun += other.Begun
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

// RunSeeds runs a scenario once for each seed from the first one on and adds
// the runs up.
func RunSeeds(s Scenario, d Deployment, v Variant, first uint64, count int) Measures {
	m := Run(s, d, v, first)
	for i := 1; i < count; i++ {
		m = m.With(Run(s, d, v, first+uint64(i)))
	}
	return m
}

// Run runs a scenario and measures it from the trouble's beginning to the end.
func Run(s Scenario, d Deployment, v Variant, seed uint64) Measures {
	var w world
	if v == VariantNaive {
		w = newNaive(s, d, seed)
	} else {
		w = newMachines(s, d, seed)
	}
	c := newCallers(s, d, w, seed)
	w.run(began)
	w.begin()
	w.run(trouble)
	w.end()
	w.run(after + callerPatience + time.Second)
	return c.measure()
}

func (c *callers) measure() Measures {
	var m Measures
	m.Offered, m.Answered = c.count(began, whole, func(*wanted) bool { return true })
	_, m.TroubleAnswered = c.count(began, relieved, func(*wanted) bool { return true })
	m.Critical, m.CriticalAnswered = c.count(began, whole, func(w *wanted) bool { return w.critical })
	m.Begun = c.world.work()
	m.Useful = m.Answered * len(c.deployment.chain(c.scenario.top(c.deployment)))
	m.Recovery, m.Recovered = c.recovery()
	c.measureOrganisations(&m)
	return m
}

// count returns how many requests of a kind arrived in a span, and how many of
// them were answered.
func (c *callers) count(from, to time.Duration, kind func(*wanted) bool) (offered, answered int) {
	for _, w := range c.wanted {
		if w.arrived < from || w.arrived >= to || !kind(w) {
			continue
		}
		offered++
		if w.answered {
			answered++
		}
	}
	return offered, answered
}

// measureOrganisations compares for each organisation what was answered with
// what it offered inside its rate.
func (c *callers) measureOrganisations(m *Measures) {
	for o, organisation := range c.deployment.Organisations {
		of := func(w *wanted) bool { return w.organisation == o }
		share := OrganisationShare{Name: organisation.Name}
		share.InRate, _ = c.count(began, whole, func(w *wanted) bool { return of(w) && w.inRate })
		_, share.Answered = c.count(began, whole, of)
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

// recovery returns the end of the last window with too little goodput. Windows
// are by arrival: work on a backlog must not pass for goodput.
func (c *callers) recovery() (time.Duration, bool) {
	calm := c.share(warm, began-callerTimeout)
	last := time.Duration(0)
	for t := relieved; t+recoveryWindow <= whole; t += recoveryStep {
		if c.share(t, t+recoveryWindow) < recoveredShare*calm {
			last = t + recoveryStep - relieved
		}
	}
	return last, last < after-recoveryWindow
}

// share returns the part of the requests that arrived in a span that was answered.
func (c *callers) share(from, to time.Duration) float64 {
	offered, answered := c.count(from, to, func(*wanted) bool { return true })
	return ratio(answered, offered)
}
