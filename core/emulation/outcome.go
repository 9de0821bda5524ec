package emulation

import (
	"fmt"
	"strings"
	"time"

	"coltsfootward"
)

// Counts are what became of requests.
type Counts struct {
	Asked, OnTime, Late, Refused, Failed int
	// Owed is the worth of all requests, Earned that of the answers.
	Owed, Earned float64
}

// Worth is the part of the worth owed that was earned; 1 if nothing was owed.
func (c Counts) Worth() float64 {
	if c.Owed == 0 {
		return 1
	}
	return c.Earned / c.Owed
}

// Outcome is what callers got in a run.
type Outcome struct {
	Deployment Deployment
	Classes    map[coltsfootward.RouteName]*Counts
	// Seconds counts the requests by the second in which they were first sent.
	Seconds []Counts

	arrivals map[coltsfootward.ServiceName]int
}

func newOutcome(d Deployment, length time.Duration) *Outcome {
	o := &Outcome{
		Deployment: d,
		Classes:    make(map[coltsfootward.RouteName]*Counts),
		Seconds:    make([]Counts, int(length.Seconds())+1),
		arrivals:   make(map[coltsfootward.ServiceName]int),
	}
	for _, c := range d.Classes {
		o.Classes[c.Name] = &Counts{}
	}
	return o
}

// each changes the counts that a request belongs to.
func (o *Outcome) each(c Class, arrived time.Duration, change func(*Counts)) {
	change(o.Classes[c.Name])
	change(&o.Seconds[min(int(arrived.Seconds()), len(o.Seconds)-1)])
}

func (o *Outcome) asked(c Class, arrived time.Duration) {
	o.each(c, arrived, func(n *Counts) { n.Asked++; n.Owed += c.Worth })
}

func (o *Outcome) served(c Class, arrived, took time.Duration) {
	o.each(c, arrived, func(n *Counts) {
		if took <= c.Objective {
			n.OnTime++
			n.Earned += c.Worth
			return
		}
		n.Late++
		n.Earned += c.LateWorth
	})
}

func (o *Outcome) lost(c Class, arrived time.Duration, notRun bool) {
	o.each(c, arrived, func(n *Counts) {
		if notRun {
			n.Refused++
			return
		}
		n.Failed++
	})
}

// Between adds up the counts of requests sent from one second to another.
func (o *Outcome) Between(from, to int) Counts {
	var sum Counts
	for _, n := range o.Seconds[max(from, 0):min(to, len(o.Seconds))] {
		sum.Asked += n.Asked
		sum.OnTime += n.OnTime
		sum.Late += n.Late
		sum.Refused += n.Refused
		sum.Failed += n.Failed
		sum.Owed += n.Owed
		sum.Earned += n.Earned
	}
	return sum
}

// Total adds up the counts of all requests.
func (o *Outcome) Total() Counts { return o.Between(0, len(o.Seconds)) }

// Arrivals returns how many requests reached a service's backend servers.
func (o *Outcome) Arrivals(service coltsfootward.ServiceName) int { return o.arrivals[service] }

// String returns a table of classes and one of every second second.
func (o *Outcome) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %6s %7s %5s %7s %6s %6s\n", "class", "asked", "on time", "late", "refused", "failed", "worth")
	for _, c := range o.Deployment.Classes {
		if c.PerSecond > 0 {
			row(&b, string(c.Name), *o.Classes[c.Name])
		}
	}
	row(&b, "all", o.Total())
	for s := 0; s+1 < len(o.Seconds); s += 2 {
		row(&b, fmt.Sprintf("second %d", s), o.Between(s, s+2))
	}
	return b.String()
}

func row(b *strings.Builder, name string, n Counts) {
	fmt.Fprintf(b, "%-12s %6d %7d %5d %7d %6d %6.3f\n", name, n.Asked, n.OnTime, n.Late, n.Refused, n.Failed, n.Worth())
}
