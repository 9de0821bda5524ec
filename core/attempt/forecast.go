package attempt

import "coltsfootward"

const (
	// decayFactor is the fraction of the distance to a smaller observation by which
	// a decaying maximum falls. One small request between large ones must not reduce
	// the allocations, and changed behaviour is followed within some dozens of
	// requests.
	decayFactor = 0.05
	// initialCalls is the number of calls to a service that are expected before
	// any request has ended. The first call gets half of the remainder.
	initialCalls = 2
)

// decayingMaximum rises to larger observations at once and falls slowly towards
// smaller ones.
type decayingMaximum struct {
	hasValue bool
	value    float64
}

func (m decayingMaximum) with(observed int) decayingMaximum {
	seen := float64(observed)
	if !m.hasValue || seen >= m.value {
		return decayingMaximum{hasValue: true, value: seen}
	}
	return decayingMaximum{hasValue: true, value: m.value - (m.value-seen)*decayFactor}
}

func (m decayingMaximum) rounded(fallback int) int {
	if !m.hasValue {
		return fallback
	}
	return int(m.value + 0.5)
}

// demand holds the observations of the calls to one service.
type demand struct {
	// calls is the number of calls to the service that one request makes.
	calls decayingMaximum
	// need is the number of attempts that a successful call uses.
	need decayingMaximum
	// failed is set once a call got no response.
	failed bool
}

// Forecast estimates, from the calls that a node has handled, the number of attempts
// that a call to each service uses and the number of such calls that a request at
// the local backend server makes. The estimates do not bound the attempts, they
// only improve their distribution. The zero value has no observations. It is not
// safe for concurrent use.
type Forecast struct {
	services map[coltsfootward.ServiceName]demand
}

// Need returns the estimated number of attempts that a call to the service uses if
// none fails, at least 1.
func (f *Forecast) Need(service coltsfootward.ServiceName) int {
	return max(f.services[service].need.rounded(1), 1)
}

// HasObservation reports whether a call to the service has succeeded.
func (f *Forecast) HasObservation(service coltsfootward.ServiceName) bool {
	return f.services[service].need.hasValue
}

// NextAllocation returns how many of a call's remaining attempts its next attempt
// gets, if another attempt may follow should this one be lost.
//
// A lost attempt counts as if it had used its whole allocation. Enough for one more
// complete attempt is therefore kept back, and half of the remaining attempts if
// they are plentiful. If they do not suffice for two complete attempts, the next
// attempt gets all of them. Before any call to the service has succeeded, a quarter
// is kept back until a call fails, since it may have failed for lack of this
// quarter.
func (f *Forecast) NextAllocation(service coltsfootward.ServiceName, remaining int) int {
	need := f.Need(service)
	switch {
	case !f.HasObservation(service) && f.services[service].failed:
		return remaining
	case !f.HasObservation(service):
		return remaining - remaining/4
	case remaining < 2*need:
		return remaining
	default:
		return min(remaining-need, max(2*need, (remaining+1)/2))
	}
}

// RecordFailure records that a call got no response.
func (f *Forecast) RecordFailure(service coltsfootward.ServiceName) {
	d := f.services[service]
	d.failed = true
	f.set(service, d)
}

// RecordNeed records the number of attempts that a successful call needed. Failed
// attempts are not included: the maximum would follow the calls with the most
// failures, and every call would seem too expensive to retry.
func (f *Forecast) RecordNeed(service coltsfootward.ServiceName, needed int) {
	d := f.services[service]
	d.need = d.need.with(needed)
	f.set(service, d)
}

// RecordCalls records the calls that a request made until it ended.
func (f *Forecast) RecordCalls(budget *Budget) {
	for service, d := range f.services {
		if _, ok := budget.childCalls[service]; !ok && d.calls.hasValue {
			d.calls = d.calls.with(0)
			f.services[service] = d
		}
	}
	for service, count := range budget.childCalls {
		d := f.services[service]
		d.calls = d.calls.with(count)
		f.set(service, d)
	}
}

func (f *Forecast) set(service coltsfootward.ServiceName, d demand) {
	if f.services == nil {
		f.services = make(map[coltsfootward.ServiceName]demand)
	}
	f.services[service] = d
}

// upcomingNeed returns the total need of the calls that are still expected,
// including the call to the service next that is about to begin.
func (f *Forecast) upcomingNeed(begun map[coltsfootward.ServiceName]int, next coltsfootward.ServiceName) int {
	total := f.expectedNeed(begun)
	d := f.services[next]
	switch {
	case !d.calls.hasValue:
		total += max(initialCalls-begun[next], 1) * f.Need(next)
	case d.calls.rounded(0) <= begun[next]:
		total += f.Need(next)
	}
	return total
}

// expectedNeed returns the total need of the calls that usually follow those begun
// so far.
func (f *Forecast) expectedNeed(begun map[coltsfootward.ServiceName]int) int {
	total := 0
	for service, d := range f.services {
		total += max(d.calls.rounded(0)-begun[service], 0) * f.Need(service)
	}
	return total
}
