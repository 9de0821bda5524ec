package scenario

import (
	"time"

	"coltsfootward"
)

// Measures are the outcome of one run for its callers.
type Measures struct {
	// Offered counts the requests that callers wanted answered, Answered those
	// that were, whole and within the caller's patience.
	Offered, Answered int
	// Goodput is answered requests per second during the trouble and after.
	Goodput float64
	// TroubleGoodput is answered requests per second that arrived in the trouble.
	TroubleGoodput float64
	// Recovery is how long after the trouble's end goodput stays below 95% of
	// its share before; Recovered is false if it was so until the end.
	Recovery  time.Duration
	Recovered bool
	// Worst is the organisation with the lowest part of its in-rate requests
	// answered, WorstShare that part.
	Worst      coltsfootward.OrganisationName
	WorstShare float64
	// InRate counts requests inside their organisation's rate, InRateRefused
	// those that were refused or failed in spite of it.
	InRate, InRateRefused int
}

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
	m := Measures{WorstShare: 2}
	troubleAnswered := 0
	for _, w := range c.wanted {
		if w.arrived < began {
			continue
		}
		m.Offered++
		if w.answered {
			m.Answered++
			if w.arrived < relieved {
				troubleAnswered++
			}
		}
	}
	m.Goodput = float64(m.Answered) / (trouble + after).Seconds()
	m.TroubleGoodput = float64(troubleAnswered) / trouble.Seconds()
	m.Recovery, m.Recovered = c.recovery()
	c.measureOrganisations(&m)
	return m
}

// measureOrganisations compares for each organisation what was answered with
// what it offered inside its rate.
func (c *callers) measureOrganisations(m *Measures) {
	for o, organisation := range c.deployment.Organisations {
		inRate, answered := 0, 0
		for _, w := range c.wanted {
			if w.organisation != o || w.arrived < began {
				continue
			}
			if w.inRate {
				inRate++
			}
			if w.answered {
				answered++
			}
		}
		m.InRate += inRate
		m.InRateRefused += max(inRate-answered, 0)
		if share := min(ratio(answered, inRate), 1); share < m.WorstShare {
			m.WorstShare = share
			m.Worst = organisation.Name
		}
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
	calm := c.share(warmUp+time.Second, began-callerTimeout)
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
	offered, answered := 0, 0
	for _, w := range c.wanted {
		if w.arrived < from || w.arrived >= to {
			continue
		}
		offered++
		if w.answered {
			answered++
		}
	}
	return ratio(answered, offered)
}
