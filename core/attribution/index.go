package attribution

import (
	"cmp"
	"math"
	"slices"
	"time"

	"coltsfootward"
)

const (
	// earliest and latest bound the time at which a call expires, measured when it
	// arrives, relative to the deadline that was stated with its parent. Deadlines are
	// cut to whole milliseconds in both directions, which makes calls expire up to 2 ms
	// early; transit makes them appear to expire later.
	earliest = -2 * time.Millisecond
	latest   = 500 * time.Microsecond
	// phase is the part of a millisecond beyond whole ones that remains until a stated
	// deadline when the request is dispatched. The backend server is told whole
	// milliseconds; with a random phase, the times at which calls expire would spread by
	// another millisecond. With nearly a whole one, delays have the most room: a call
	// expires almost 1 ms early without any delay and with whole milliseconds of its own,
	// and a request that is written late is told one millisecond less.
	phase = 990 * time.Microsecond
	// spacing is the least distance between two stated deadlines. It exceeds the width
	// of the window, so that windows do not overlap.
	spacing = 3 * time.Millisecond
	// maxShift and maxShiftFraction bound by how much a stated deadline is earlier than
	// the true one. The fraction keeps most of the time of a request that has little.
	maxShift         = 150 * time.Millisecond
	maxShiftFraction = 8
	// capMargin is the distance of a capped deadline from the limit of the calls. It
	// exceeds the inaccuracy of the limit that is learned.
	capMargin = spacing
	// uncappedInterval is the interval, in requests of a capped class, at which one is
	// not capped. The calls of these requests show if the limit has changed.
	uncappedInterval = 64
	// idleTimeout is the time without a child call after which stated deadlines are no
	// longer spaced. A server that makes no calls needs no spacing.
	idleTimeout = time.Minute
)

// Outcome is the outcome of the attribution of one call.
type Outcome string

// The outcomes.
const (
	// OutcomeUnique means that all candidates belong to one root request.
	OutcomeUnique Outcome = "unique"
	// OutcomeAmbiguous means that there are candidates of several root requests.
	OutcomeAmbiguous Outcome = "ambiguous"
	// OutcomeNone means that no request in service can have made the call.
	OutcomeNone Outcome = "none"
)

// Counts are the numbers of calls with each outcome.
type Counts struct {
	Unique    int `json:"unique"`
	Ambiguous int `json:"ambiguous"`
	None      int `json:"none"`
}

// RequestID identifies a request in service within an Index.
type RequestID uint64

// Root identifies a root request. Calls that it leads to carry the same values at every
// depth.
type Root struct {
	Account  coltsfootward.OrganisationName
	ShedRank uint32
}

// Request is a request that is sent to the backend server. All times are on one clock.
type Request struct {
	ID RequestID
	// Class is the route of the request. Requests of one class make similar calls.
	Class coltsfootward.RouteName
	Root  Root
	// Start is when the request was sent; Deadline is when its caller stops waiting.
	Start, Deadline time.Duration
	// Usual is how long a request of the class usually takes; zero if it is unknown.
	Usual time.Duration
}

// entry is a request in service.
type entry struct {
	Request
	// stated is the deadline that was stated to the backend server.
	stated time.Duration
}

// Index holds the requests in service, in the order of their stated deadlines. It holds
// at most as many as the backend server has slots, so a decision compares a call with
// each of them. Create it with NewIndex. It is not safe for concurrent use.
type Index struct {
	entries  []entry
	counts   Counts
	limits   limits
	lastCall time.Duration
	called   bool
}

// NewIndex returns an index without requests.
func NewIndex() *Index { return &Index{limits: newLimits()} }

// Len returns the number of requests in service.
func (x *Index) Len() int { return len(x.entries) }

// Counts returns the number of calls with each outcome so far.
func (x *Index) Counts() Counts { return x.counts }

// Begin adds a request and returns the deadline to state to the backend server. It is
// never later than the request's deadline.
func (x *Index) Begin(r Request) time.Duration {
	wanted := r.Deadline
	if limit, ok := x.limits.cap(r); ok {
		wanted = min(wanted, r.Start+limit)
	}
	stated := wanted
	if x.called && r.Start-x.lastCall < idleTimeout {
		stated = x.space(r.Start, wanted)
	}
	x.insert(entry{Request: r, stated: stated})
	return stated
}

// space returns the latest time up to wanted that is at least spacing away from all
// stated deadlines and at the phase from start. If there is none within the longest
// shift, it returns wanted: an earlier time would be taken from the request without
// making its calls unique.
func (x *Index) space(start, wanted time.Duration) time.Duration {
	earliestStated := wanted - min(maxShift, (wanted-start)/maxShiftFraction)
	stated := atPhase(start, wanted)
	for i := len(x.entries) - 1; i >= 0 && stated >= earliestStated; i-- {
		other := x.entries[i].stated
		if other <= stated-spacing {
			break
		}
		if other < stated+spacing {
			stated = atPhase(start, other-spacing)
		}
	}
	if stated < earliestStated {
		return wanted
	}
	return stated
}

// atPhase returns the latest time up to t whose distance from start is a number of whole
// milliseconds and the phase.
func atPhase(start, t time.Duration) time.Duration {
	if t < start+phase {
		return start + phase - time.Millisecond
	}
	return start + (t - start - phase).Truncate(time.Millisecond) + phase
}

func (x *Index) insert(e entry) {
	i, _ := slices.BinarySearchFunc(x.entries, e.stated, func(a entry, stated time.Duration) int { return cmp.Compare(a.stated, stated) })
	x.entries = slices.Insert(x.entries, i, e)
}

// End removes a request whose service has ended.
func (x *Index) End(id RequestID) {
	x.entries = slices.DeleteFunc(x.entries, func(e entry) bool { return e.ID == id })
}

// Parent returns the request in service that made a call of the given route. The call
// arrived at now and expires at the given time. The ID is valid only if the outcome is
// OutcomeUnique.
func (x *Index) Parent(now time.Duration, route coltsfootward.RouteName, expires time.Duration) (RequestID, Outcome) {
	x.called, x.lastCall = true, now
	limit, limited := x.limits.of(route)
	var found *entry
	distance := time.Duration(math.MaxInt64)
	for i := range x.entries {
		e := &x.entries[i]
		predicted := e.stated
		if limited {
			predicted = min(predicted, e.Start+limit)
		}
		difference := expires - predicted
		if difference < earliest || difference > latest {
			continue
		}
		if found != nil && found.Root != e.Root {
			x.counts.Ambiguous++
			return 0, OutcomeAmbiguous
		}
		// The middle of the window is the likeliest difference.
		if d := (difference - (earliest+latest)/2).Abs(); d < distance {
			found, distance = e, d
		}
	}
	if found == nil {
		x.counts.None++
		x.limits.unmatched(now, route, expires, x.entries)
		return 0, OutcomeNone
	}
	x.counts.Unique++
	x.limits.matched(now, route, found)
	return found.ID, OutcomeUnique
}
