package admission

import (
	"time"

	"coltsfootward"
)

const (
	// shedInterval is the time between two settings of the shed levels: short
	// enough to follow a burst, long enough to see a few requests of each
	// organisation.
	shedInterval = 100 * time.Millisecond
	// shedBuckets divide the shed ranks: each priority into sixteen.
	shedBuckets = 64
	// shedShift takes a shed rank to its bucket.
	shedShift = 24
	// shedMargin lets a little more in than was served, so that a queue stays
	// and the server is not idle because of a level set too low.
	shedMargin = 1.1
	// shedFade is what remains of the counts from one interval to the next.
	shedFade = 0.7
	// shedForget is how long an organisation without requests is remembered.
	shedForget = 5 * time.Second
)

// Shedder sets each organisation's shed level: the highest shed rank that is
// worth sending. It goes back with every answer, and entry nodes refuse what
// lies above it before any work is done for it. Without it every doomed request
// would still cost a hop to the server and a refusal back, and under a long
// overload these crowd out the requests that can be answered.
//
// Levels are per organisation because a single one would shed all alike: an
// organisation inside its share would lose as much as the one that floods.
//
// A second level is kept for each class of an organisation's requests, and set
// by what services below refused. A request that a deep service will refuse is
// then refused before any service above has begun to work for it; other
// requests of the organisation, which do not need that service, go on.
type Shedder struct {
	states map[shedKey]*shedState
	next   time.Duration
}

// shedKey names what a level is for; the empty class stands for all of an
// organisation's requests.
type shedKey struct {
	organisation coltsfootward.OrganisationName
	class        string
}

func keys(r Request) [2]shedKey {
	return [2]shedKey{{organisation: r.Organisation}, {organisation: r.Organisation, class: r.Class}}
}

// shedState is the demand of late that one level is for: counts fade from one interval
// to the next, so that an organisation with few requests is judged by more than
// one interval's worth.
type shedState struct {
	arrivals [shedBuckets]float64
	served   float64
	// shed is how many were refused in the present interval.
	shed int
	// level is the first bucket that is shed; shedBuckets means none.
	level float64
	// step is how fast the level rises while nothing is shed.
	step float64
	last time.Duration
}

// NewShedder returns a shedder that lets everything pass.
func NewShedder() *Shedder {
	return &Shedder{states: make(map[shedKey]*shedState)}
}

// Arrived counts a request.
func (s *Shedder) Arrived(now time.Duration, r Request) {
	for _, key := range keys(r) {
		o, ok := s.states[key]
		if !ok {
			o = &shedState{level: shedBuckets}
			s.states[key] = o
		}
		o.arrivals[min(r.ShedRank>>shedShift, shedBuckets-1)]++
		o.last = now
	}
}

// Served counts a request that began its service.
func (s *Shedder) Served(r Request) {
	for _, key := range keys(r) {
		if o, ok := s.states[key]; ok {
			o.served++
		}
	}
}

// Shed counts a request that was refused for want of capacity here.
func (s *Shedder) Shed(r Request) {
	if o, ok := s.states[shedKey{organisation: r.Organisation}]; ok {
		o.shed++
	}
}

// ShedBelow counts a request that began its service here in vain, since a
// service that it needed refused it for want of capacity.
func (s *Shedder) ShedBelow(r Request) {
	if o, ok := s.states[shedKey{organisation: r.Organisation, class: r.Class}]; ok {
		o.shed++
		o.served = max(o.served-1, 0)
	}
}

// Tick sets the levels anew at the end of each interval.
func (s *Shedder) Tick(now time.Duration) {
	if now < s.next {
		return
	}
	s.next = now + shedInterval
	for key, o := range s.states {
		o.set()
		if now-o.last > shedForget {
			delete(s.states, key)
		}
	}
}

// Level returns the highest shed rank that is accepted of an organisation's
// requests of a class; zero means that all are.
func (s *Shedder) Level(organisation coltsfootward.OrganisationName, class string) uint32 {
	level := float64(shedBuckets)
	for _, key := range keys(Request{Organisation: organisation, Class: class}) {
		if o, ok := s.states[key]; ok {
			level = min(level, o.level)
		}
	}
	if level >= shedBuckets {
		return 0
	}
	return uint32(level*(1<<shedShift)) + 1
}

// set lowers the level to where the served part of the demand lay, or raises
// it in steps that double: recovery takes about a second whatever the depth.
func (o *shedState) set() {
	if o.shed > 0 {
		target := o.bucketOf(shedMargin * o.served)
		o.level = min(o.level, (o.level+target)/2)
		o.step = 1
	} else {
		o.level = min(shedBuckets, o.level+o.step)
		o.step = min(2*o.step, shedBuckets)
	}
	for i := range o.arrivals {
		o.arrivals[i] *= shedFade
	}
	o.served *= shedFade
	o.shed = 0
}

// bucketOf returns the position below which that many requests arrived.
func (o *shedState) bucketOf(count float64) float64 {
	for i, n := range o.arrivals {
		if n > count {
			return float64(i) + count/n
		}
		count -= n
	}
	return shedBuckets
}
