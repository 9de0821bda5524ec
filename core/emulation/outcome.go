package emulation

import (
	"fmt"
	"strings"
	"time"

	"coltsfootward"
)

// Counts are the outcomes of a number of requests.
type Counts struct {
	Requests, OnTime, Late, Refused, Failed int
	// OfferedWorth is the worth of all requests, EarnedWorth that of the
	// responses.
	OfferedWorth, EarnedWorth float64
}

// Worth is the fraction of the offered worth that was earned; 1 if none was
// offered.
func (c Counts) Worth() float64 {
	if c.OfferedWorth == 0 {
		return 1
	}
	return c.EarnedWorth / c.OfferedWorth
}

// Outcome is the outcome of a run for its callers.
type Outcome struct {
	Deployment Deployment
	Classes    map[coltsfootward.RouteName]*Counts
	// Organisations counts the requests of the deployment's organisations.
	Organisations map[coltsfootward.OrganisationName]*Counts
	// Seconds counts the requests by the second of the run in which they were
	// first sent.
	Seconds []Counts

	// CrossedBytes is the number of bytes of requests and responses between domains.
	CrossedBytes int64

	// ClassSeconds counts the requests of each class like Seconds.
	ClassSeconds map[coltsfootward.RouteName][]Counts

	arrivals, crossed map[coltsfootward.ServiceName]int
	uses              map[coltsfootward.ServiceName][]Use
	// attributions counts the child calls that reached backend servers, by route.
	attributions map[coltsfootward.RouteName]Attributions
	// limitSpanRates holds, for each backend server of the disturbed service, the
	// requests per second that reached it while servers of the service named limits.
	limitSpanRates map[coltsfootward.InstanceID]float64
}

func newOutcome(d Deployment, length time.Duration) *Outcome {
	o := &Outcome{
		Deployment:    d,
		Classes:       make(map[coltsfootward.RouteName]*Counts),
		Seconds:       make([]Counts, int(length.Seconds())+1),
		Organisations: make(map[coltsfootward.OrganisationName]*Counts),
		ClassSeconds:  make(map[coltsfootward.RouteName][]Counts),
		arrivals:      make(map[coltsfootward.ServiceName]int),
		crossed:       make(map[coltsfootward.ServiceName]int),
		uses:          make(map[coltsfootward.ServiceName][]Use),

		attributions:   make(map[coltsfootward.RouteName]Attributions),
		limitSpanRates: make(map[coltsfootward.InstanceID]float64),
	}
	for _, c := range d.Classes {
		o.Classes[c.Name] = &Counts{}
		o.ClassSeconds[c.Name] = make([]Counts, len(o.Seconds))
	}
	for _, s := range d.Services {
		o.uses[s.Name] = make([]Use, len(o.Seconds))
	}
	for _, organisation := range d.Organisations {
		o.Organisations[organisation.Name] = &Counts{}
	}
	return o
}

// requestKind is what the outcome of a request is counted by.
type requestKind struct {
	Class
	organisation int
}

// update applies change to each of the counts that include a request.
func (o *Outcome) update(c requestKind, arrived time.Duration, change func(*Counts)) {
	change(o.Classes[c.Name])
	if organisations := o.Deployment.Organisations; len(organisations) > 0 {
		change(o.Organisations[organisations[c.organisation].Name])
	}
	second := min(int(arrived.Seconds()), len(o.Seconds)-1)
	change(&o.Seconds[second])
	change(&o.ClassSeconds[c.Name][second])
}

func (o *Outcome) addRequest(c requestKind, arrived time.Duration) {
	o.update(c, arrived, func(n *Counts) { n.Requests++; n.OfferedWorth += c.Worth })
}

func (o *Outcome) addServed(c requestKind, arrived, took time.Duration) {
	o.update(c, arrived, func(n *Counts) {
		if took <= c.Objective {
			n.OnTime++
			n.EarnedWorth += c.Worth
			return
		}
		n.Late++
		n.EarnedWorth += c.LateWorth
	})
}

func (o *Outcome) addUnserved(c requestKind, arrived time.Duration, notRun bool) {
	o.update(c, arrived, func(n *Counts) {
		if notRun {
			n.Refused++
			return
		}
		n.Failed++
	})
}

// Between sums the counts of the requests first sent in the seconds [from, to).
func (o *Outcome) Between(from, to int) Counts {
	return sumOf(o.Seconds[max(from, 0):min(to, len(o.Seconds))])
}

// ClassBetween is Between for the requests of one class.
func (o *Outcome) ClassBetween(class coltsfootward.RouteName, from, to int) Counts {
	return sumOf(o.ClassSeconds[class][max(from, 0):min(to, len(o.Seconds))])
}

func sumOf(seconds []Counts) Counts {
	var sum Counts
	for _, n := range seconds {
		sum.Requests += n.Requests
		sum.OnTime += n.OnTime
		sum.Late += n.Late
		sum.Refused += n.Refused
		sum.Failed += n.Failed
		sum.OfferedWorth += n.OfferedWorth
		sum.EarnedWorth += n.EarnedWorth
	}
	return sum
}

// Total sums the counts of all requests.
func (o *Outcome) Total() Counts { return o.Between(0, len(o.Seconds)) }

// Arrivals returns how many requests reached a service's backend servers.
func (o *Outcome) Arrivals(service coltsfootward.ServiceName) int { return o.arrivals[service] }

// Use is the slot time that the backend servers of a service spent within a second, in slot
// seconds.
type Use struct {
	// Available is the number of slots of the servers that run.
	Available float64
	// Busy is the slot time in use, Useful the part of it for callers' requests that
	// were answered with success in the end.
	Busy, Useful float64
}

// Uses returns the use of a service by the second of the run. Useful is known only if
// child calls expire with their parent.
func (o *Outcome) Uses(service coltsfootward.ServiceName) []Use { return o.uses[service] }

// Attributions counts child calls that reached backend servers. Right and Wrong are those
// that were attributed to a request of the right and of another root request.
type Attributions struct{ Calls, Right, Wrong int }

// Attributions returns the counts of the child calls of a route.
func (o *Outcome) Attributions(route coltsfootward.RouteName) Attributions {
	return o.attributions[route]
}

// Crossed returns how many of these requests came from another failure domain.
func (o *Outcome) Crossed(service coltsfootward.ServiceName) int { return o.crossed[service] }

// LimitedRates returns, for each backend server of the disturbed service, the requests
// per second that reached it during the disturbance's LimitSpan.
func (o *Outcome) LimitedRates() map[coltsfootward.InstanceID]float64 { return o.limitSpanRates }

// String returns a table with one row for each class and one for every two
// seconds.
func (o *Outcome) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %6s %7s %5s %7s %6s %6s\n", "class", "asked", "on time", "late", "refused", "failed", "worth")
	for _, c := range o.Deployment.Classes {
		if c.PerSecond > 0 {
			writeRow(&b, string(c.Name), *o.Classes[c.Name])
		}
	}
	writeRow(&b, "all", o.Total())
	for s := 0; s+1 < len(o.Seconds); s += 2 {
		writeRow(&b, fmt.Sprintf("second %d", s), o.Between(s, s+2))
	}
	return b.String()
}

func writeRow(b *strings.Builder, name string, n Counts) {
	fmt.Fprintf(b, "%-12s %6d %7d %5d %7d %6d %6.3f\n", name, n.Requests, n.OnTime, n.Late, n.Refused, n.Failed, n.Worth())
}
