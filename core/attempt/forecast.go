package attempt

import "coltsfootward"

const (
	// forgetting is how much of the distance to a smaller figure a peak gives up
	// with each observation. One small request between large ones must not cut
	// the slices, and changed ways are followed within some dozens of requests.
	forgetting = 0.05
	// initialChildren is how many calls of a service are expected before any
	// request has ended: half of the remainder goes to the first.
	initialChildren = 2
)

// peak follows the largest of its observations at once and forgets it slowly.
type peak struct {
	learned bool
	value   float64
}

func (p peak) with(observed int) peak {
	seen := float64(observed)
	if !p.learned || seen >= p.value {
		return peak{learned: true, value: seen}
	}
	return peak{learned: true, value: p.value - (p.value-seen)*forgetting}
}

func (p peak) rounded(otherwise int) int {
	if !p.learned {
		return otherwise
	}
	return int(p.value + 0.5)
}

type demand struct {
	children peak
	need     peak
	// missed is set if a call failed before any was answered.
	missed bool
}

// Forecast is what a node has learned of the calls that pass it: how many
// attempts a call of each service uses, and how many such calls a request of
// the local backend server makes. It bounds nothing; it only shares out well.
// The zero value has learned nothing. It is not safe for concurrent use.
type Forecast struct {
	services map[coltsfootward.ServiceName]demand
}

// Need returns how many attempts a call of the service takes if none fails, at
// least 1.
func (f *Forecast) Need(service coltsfootward.ServiceName) int {
	return max(f.services[service].need.rounded(1), 1)
}

// Knows reports whether a call of the service has been answered.
func (f *Forecast) Knows(service coltsfootward.ServiceName) bool {
	return f.services[service].need.learned
}

// Carry returns how many of the left attempts of a call of the service its next
// attempt takes along if another attempt may follow a lost one.
//
// An attempt that is lost counts as if it had used all that it carried. So what
// lets a whole further attempt follow stays behind, and half of what is left if
// that is plenty; if there is too little for two, the attempt has all of it.
// Before anything is known a quarter stays behind, until a call has failed: it
// may have failed for want of that quarter.
func (f *Forecast) Carry(service coltsfootward.ServiceName, left int) int {
	need := f.Need(service)
	switch {
	case !f.Knows(service) && f.services[service].missed:
		return left
	case !f.Knows(service):
		return left - left/4
	case left < 2*need:
		return left
	default:
		return min(left-need, max(2*need, (left+1)/2))
	}
}

// Missed takes in that a call was not answered.
func (f *Forecast) Missed(service coltsfootward.ServiceName) {
	d := f.services[service]
	d.missed = true
	f.set(service, d)
}

// Answered takes in how many attempts an answered call needed. Those that
// failed are left out: the largest of many sums of failures would make every
// call look too dear for another attempt.
func (f *Forecast) Answered(service coltsfootward.ServiceName, needed int) {
	d := f.services[service]
	d.need = d.need.with(needed)
	f.set(service, d)
}

// Ended takes in which calls a request made by the time it ended.
func (f *Forecast) Ended(e *Escrow) {
	for service, d := range f.services {
		if _, ok := e.begun[service]; !ok && d.children.learned {
			d.children = d.children.with(0)
			f.services[service] = d
		}
	}
	for service, count := range e.begun {
		d := f.services[service]
		d.children = d.children.with(count)
		f.set(service, d)
	}
}

func (f *Forecast) set(service coltsfootward.ServiceName, d demand) {
	if f.services == nil {
		f.services = make(map[coltsfootward.ServiceName]demand)
	}
	f.services[service] = d
}

// ahead returns what the calls still expected need together, with the one of
// the service that is about to begin.
func (f *Forecast) ahead(begun map[coltsfootward.ServiceName]int, next coltsfootward.ServiceName) int {
	total := f.expected(begun)
	d := f.services[next]
	switch {
	case !d.children.learned:
		total += max(initialChildren-begun[next], 1) * f.Need(next)
	case d.children.rounded(0) <= begun[next]:
		total += f.Need(next)
	}
	return total
}

// expected returns what the calls that usually follow need together.
func (f *Forecast) expected(begun map[coltsfootward.ServiceName]int) int {
	total := 0
	for service, d := range f.services {
		total += max(d.children.rounded(0)-begun[service], 0) * f.Need(service)
	}
	return total
}
