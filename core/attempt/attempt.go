// Package attempt decides how the attempt budget of a request is divided among the
// calls in its call chain. No state is shared between nodes: each node keeps the
// budgets of the requests that its own backend server is serving.
package attempt

import "coltsfootward"

// Budget is the attempt budget of one request in service and of all calls down its
// call chain. Create it with NewBudget. It is not safe for concurrent use.
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
func NewBudget(attempts int) *Budget {
	return &Budget{total: attempts, remaining: attempts - 1, needed: 1}
}

// Allocate allocates attempts from the remainder to a child call, at most want, and
// returns their number. Zero means that the remainder is used up.
//
// A backend server may make its calls concurrently. If the first child were given
// the whole remainder, its siblings would be refused while it returns most of its
// allocation unused. Each child therefore gets attempts in proportion to its need.
// If the surplus is large enough, the remainder keeps as much as one more attempt at
// this child call needs, for whichever child fails first. The rest of the surplus is
// allocated down the call chain, where another attempt costs least.
func (b *Budget) Allocate(service coltsfootward.ServiceName, want int, f *Forecast) int {
	need := f.Need(service)
	totalNeed := max(f.upcomingNeed(b.childCalls, service), need)
	if b.childCalls == nil {
		b.childCalls = make(map[coltsfootward.ServiceName]int)
	}
	b.childCalls[service]++
	share := (b.remaining*need + totalNeed - 1) / totalNeed
	if surplus := b.remaining - totalNeed; surplus >= need && f.HasObservation(service) {
		share = need + (surplus-need)*need/totalNeed
	}
	return b.withdraw(min(want, share))
}

// TopUp allocates up to want further attempts to a child call that failed and
// returns their number. The expected need of later child calls stays in the
// remainder.
func (b *Budget) TopUp(want int, f *Forecast) int {
	return b.withdraw(min(want, b.remaining-f.expectedNeed(b.childCalls)))
}

func (b *Budget) withdraw(count int) int {
	taken := max(count, 0)
	b.remaining -= taken
	return taken
}

// Release adds attempts that a child call certainly did not use back to the
// remainder.
func (b *Budget) Release(unused int) { b.remaining += unused }

// RecordNeed records the number of attempts that a successful child call needed,
// without failed attempts.
func (b *Budget) RecordNeed(needed int) { b.needed += needed }

// Needed returns the number of attempts that the request would have used so far if
// no attempt down its call chain had failed.
func (b *Budget) Needed() int { return b.needed }

// Used returns the number of attempts that the request and all calls down its call
// chain have used or may still use.
func (b *Budget) Used() int { return b.total - b.remaining }
