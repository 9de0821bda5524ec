// Package attempt decides how the attempt budget of a request is divided among the
// calls in its call chain. No state is shared between nodes: each node keeps the
// budgets of the requests that its own backend server is serving.
package attempt

import "coltsfootward"

// Budget is the attempt budget of one request in service and of all calls below it.
// Create it with NewEscrow. It is not safe for concurrent use.
//
// Every attempt is either used, in the remainder, or allocated to one child call.
// The sum over the call chain therefore never exceeds the entry node's budget, in
// whatever order child calls begin, end or are lost.
type Budget struct {
	total      int
	remaining  int
	needed     int
	childCalls map[coltsfootward.ServiceName]int
}

// NewBudget returns the budget of a request that arrived with the given number of
// attempts, at least 1. The request's own dispatch has used one of them.
func NewBudget(budget int) *Budget {
	return &Budget{total: budget, remaining: budget - 1, needed: 1}
}

// Allocate allocates attempts from the remainder to a child call, at most want, and
// returns their number. Zero means that the remainder is used up.
//
// A backend server may make its calls concurrently. If the first child were given
// the whole remainder, its siblings would be refused while it returns most of its
// allocation unused. Each child therefore gets a part in proportion to its need.
// If the surplus is large enough, the need of one more attempt of this child stays
// in the remainder for whichever child fails first. The rest is allocated down the
// chain, where another attempt costs least.
func (e *Budget) Allocate(service coltsfootward.ServiceName, want int, f *Forecast) int {
	need := f.Need(service)
	totalNeed := max(f.upcomingNeed(e.childCalls, service), need)
	if e.childCalls == nil {
		e.childCalls = make(map[coltsfootward.ServiceName]int)
	}
	e.childCalls[service]++
	share := (e.remaining*need + totalNeed - 1) / totalNeed
	if surplus := e.remaining - totalNeed; surplus >= need && f.HasObservation(service) {
		share = need + (surplus-need)*need/totalNeed
	}
	return e.withdraw(min(want, share))
}

// TopUp allocates up to want further attempts to a child call that failed and
// returns their number. The expected need of later child calls stays in the
// remainder.
func (e *Budget) TopUp(want int, f *Forecast) int {
	return e.withdraw(min(want, e.remaining-f.expectedNeed(e.childCalls)))
}

func (e *Budget) withdraw(count int) int {
	taken := max(count, 0)
	e.remaining -= taken
	return taken
}

// Release adds attempts that a child call certainly did not use back to the
// remainder.
func (e *Budget) Release(unused int) { e.remaining += unused }

// RecordNeed records the number of attempts that a successful child call needed,
// without failed attempts.
func (e *Budget) RecordNeed(needed int) { e.needed += needed }

// Needed returns the number of attempts that the request would have used so far if
// none below it had failed.
func (e *Budget) Needed() int { return e.needed }

// Used returns the number of attempts that the request and all calls below it have
// used or may still use.
func (e *Budget) Used() int { return e.total - e.remaining }
