package retry

import "time"

// Kind says for whom a request is attempted again.
type Kind string

// The kinds of request, as far as repeats of them are concerned.
const (
	// KindCaller is a caller's request that needs no further service.
	KindCaller Kind = "caller"
	// KindCall is a backend server's call that needs none.
	KindCall Kind = "call"
	// KindCallerAbove is a caller's request that needs further services.
	KindCallerAbove Kind = "caller_above"
	// KindCallAbove is a call that does.
	KindCallAbove Kind = "call_above"
)

// The part of a service's share that all its repeats together may have reached
// for a request of the kind to be repeated. A repeat of a request that needs
// further services has their work repeated too, and counts at each of them, so
// those above stop sooner: with a chain of four services that all fail, a tenth
// of the requests at the top is repeated, and what that brings to the deepest one
// leaves it something of its own. The last tenth of the share is left for requests
// whose first attempt is still under way.
const (
	callerPart      = 0.90
	callPart        = 0.80
	callAbovePart   = 0.60
	callerAbovePart = 0.45
	// capacityPart is the part of the fleet's saved repeats that may be spent
	// beside the share, divided among the nodes.
	capacityPart = 0.4
	// budgetStep is how finely time is counted, and budgetSteps the time in which
	// repeats are held against requests: at least ten seconds with the newest step
	// only begun.
	budgetStep  = 500 * time.Millisecond
	budgetSteps = 21
)

// Budget bounds the repeats of one service's requests from one node, as a share
// of the requests that the node has for it in any ten seconds, so that the bound
// holds for all nodes together without any agreement. What one second does not
// need another may spend: servers that lose a quarter of their answers for four
// seconds are made up for whole, where an even stream of repeats would cover a
// third. The zero value allows nothing. It is not safe for concurrent use.
//
// Calls that a repeated request makes are repeats at the services called, and
// nobody can refuse them there; they are counted first. Callers' own requests go
// before calls, several of which one request needs: for what callers have lately
// wanted repeated, calls leave room.
type Budget struct {
	// Share is what repeats may be of the requests.
	Share float64
	// Saved is how many repeats this node may save up.
	Saved float64

	steps [budgetSteps]budgetCounts
	total budgetCounts
	// step numbers the newest step, counted from time zero.
	step int64
}

// budgetCounts is what was counted in one step, or in all.
type budgetCounts struct {
	// requests counts first attempts, inherited those of them that a repeated
	// request above made.
	requests, inherited int
	// wanted counts the repeats of callers' own requests that were asked for,
	// callers those that were allowed, calls the other repeats.
	wanted, callers, calls int
}

func (s *budgetCounts) add(o budgetCounts, times int) {
	s.requests += times * o.requests
	s.inherited += times * o.inherited
	s.wanted += times * o.wanted
	s.callers += times * o.callers
	s.calls += times * o.calls
}

// advance forgets what is too old.
func (b *Budget) advance(now time.Duration) *budgetCounts {
	number := int64(now / budgetStep)
	for b.step = max(b.step, number-budgetSteps); b.step < number; {
		b.step++
		old := &b.steps[b.step%budgetSteps]
		b.total.add(*old, -1)
		*old = budgetCounts{}
	}
	return &b.steps[b.step%budgetSteps]
}

// Requested counts a request's first attempt; inherited is set if it is a call
// that a repeated request makes.
func (b *Budget) Requested(now time.Duration, inherited bool) {
	counted := budgetCounts{requests: 1}
	if inherited {
		counted.inherited = 1
	}
	b.count(now, counted)
}

func (b *Budget) count(now time.Duration, counted budgetCounts) {
	b.advance(now).add(counted, 1)
	b.total.add(counted, 1)
}

// Take reports whether one more repeat is allowed, and counts it if so.
func (b *Budget) Take(now time.Duration, kind Kind) bool {
	if kind == KindCaller {
		b.count(now, budgetCounts{wanted: 1})
	} else {
		b.advance(now)
	}
	spent := b.total.inherited + b.total.calls
	if kind == KindCaller {
		spent += b.total.callers
	} else {
		spent += b.total.wanted
	}
	most := b.Share*partOf(kind)*float64(b.total.requests) + capacityPart*b.Saved
	if float64(spent+1) > most {
		return false
	}
	if kind == KindCaller {
		b.count(now, budgetCounts{callers: 1})
	} else {
		b.count(now, budgetCounts{calls: 1})
	}
	return true
}

func partOf(kind Kind) float64 {
	switch kind {
	case KindCaller:
		return callerPart
	case KindCall:
		return callPart
	case KindCallerAbove:
		return callerAbovePart
	default:
		return callAbovePart
	}
}
