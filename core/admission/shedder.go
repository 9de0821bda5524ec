package admission

import (
	"time"

	"coltsfootward"
)

const (
	// shedInterval is the time between two updates of the shed levels: short enough
	// to follow a burst, and long enough for a few requests of each organisation.
	shedInterval = 100 * time.Millisecond
	// shedBuckets is the number of buckets for shed ranks: sixteen for each priority.
	shedBuckets = 64
	// shedShift is the shift from a shed rank to its bucket.
	shedShift = 24
	// shedMargin admits slightly more than was served, so that there is always a
	// queue and the server is not idle because of a level that is too low.
	shedMargin = 1.1
	// shedDecay is the factor by which the counts decay per interval.
	shedDecay = 0.7
	// shedIdleTimeout is the time after which an organisation without requests is
	// forgotten.
	shedIdleTimeout = 5 * time.Second
)

// Shedder computes each organisation's shed level: the highest shed rank that is
// worth sending. The level is returned with every response, and entry nodes refuse
// requests with a higher rank before any work is done for them. Without levels, every
// request that is bound to be refused would still cost a hop to the server and a
// refusal back, and under a long overload this traffic crowds out the requests that
// can be served.
//
// Levels are per organisation because a single level would shed all organisations
// alike: an organisation within its share would lose as much as one that floods the
// service.
//
// A second level is kept for each class of an organisation's requests, and depends on
// refusals of child calls. A request whose child call would be refused is then
// refused before any service up the call chain has started work for it. Other
// requests of the organisation, which do not need the called service, are admitted.
type Shedder struct {
	states map[shedKey]*shedState
	next   time.Duration
}

// shedKey identifies a level. The empty class stands for all requests of an
// organisation.
type shedKey struct {
	organisation coltsfootward.OrganisationName
	class        string
}

func levelKeys(r Request) [2]shedKey {
	return [2]shedKey{{organisation: r.Organisation}, {organisation: r.Organisation, class: r.Class}}
}

// shedState holds the recent demand that a level applies to. The counts decay from
// one interval to the next, so that an organisation with few requests is judged by
// more than one interval.
type shedState struct {
	arrivals [shedBuckets]float64
	served   float64
	// shed is the number of requests refused in the current interval.
	shed int
	// level is the first bucket that is shed; shedBuckets means none.
	level float64
	// step is the next increase of the level while nothing is shed.
	step        float64
	lastArrival time.Duration
}

// NewShedder returns a shedder that sheds nothing.
func NewShedder() *Shedder {
	return &Shedder{states: make(map[shedKey]*shedState)}
}

// Arrived counts a request.
func (s *Shedder) Arrived(now time.Duration, r Request) {
	for _, key := range levelKeys(r) {
		state, ok := s.states[key]
		if !ok {
			state = &shedState{level: shedBuckets}
			s.states[key] = state
		}
		state.arrivals[min(r.ShedRank>>shedShift, shedBuckets-1)]++
		state.lastArrival = now
	}
}

// Served counts a request whose service began.
func (s *Shedder) Served(r Request) {
	for _, key := range levelKeys(r) {
		if state, ok := s.states[key]; ok {
			state.served++
		}
	}
}

// Shed counts a request that was refused here for lack of capacity.
func (s *Shedder) Shed(r Request) {
	if state, ok := s.states[shedKey{organisation: r.Organisation}]; ok {
		state.shed++
	}
}

// ChildShed counts a request whose service here was in vain because a child call was
// refused for lack of capacity.
func (s *Shedder) ChildShed(r Request) {
	if state, ok := s.states[shedKey{organisation: r.Organisation, class: r.Class}]; ok {
		state.shed++
		state.served = max(state.served-1, 0)
	}
}

// Tick updates the levels once per interval.
func (s *Shedder) Tick(now time.Duration) {
	if now < s.next {
		return
	}
	s.next = now + shedInterval
	for key, state := range s.states {
		state.update()
		if now-state.lastArrival > shedIdleTimeout {
			delete(s.states, key)
		}
	}
}

// Level returns the highest shed rank that is accepted for an organisation's requests
// of a class; zero means that all are accepted.
func (s *Shedder) Level(organisation coltsfootward.OrganisationName, class string) uint32 {
	level := float64(shedBuckets)
	for _, key := range levelKeys(Request{Organisation: organisation, Class: class}) {
		if state, ok := s.states[key]; ok {
			level = min(level, state.level)
		}
	}
	if level >= shedBuckets {
		return 0
	}
	return uint32(level*(1<<shedShift)) + 1
}

// update lowers the level towards the rank up to which the demand was served, or
// raises it in steps that double, so that recovery takes about a second from any
// level.
func (s *shedState) update() {
	if s.shed > 0 {
		target := s.bucketAt(shedMargin * s.served)
		s.level = min(s.level, (s.level+target)/2)
		s.step = 1
	} else {
		s.level = min(shedBuckets, s.level+s.step)
		s.step = min(2*s.step, shedBuckets)
	}
	for i := range s.arrivals {
		s.arrivals[i] *= shedDecay
	}
	s.served *= shedDecay
	s.shed = 0
}

// bucketAt returns the position, in buckets, below which the given number of requests
// arrived.
func (s *shedState) bucketAt(count float64) float64 {
	for i, n := range s.arrivals {
		if n > count {
			return float64(i) + count/n
		}
		count -= n
	}
	return shedBuckets
}
