// Package attempt decides how the attempts of one request are shared out down
// the call chain. It holds plain values and no state shared between nodes: each
// node keeps the escrow of the requests that its own backend server serves.
package attempt

import "coltsfootward"

// Escrow holds the attempts that one request in service, and all calls below
// it, may still use. Create it with NewEscrow. It is not safe for concurrent use.
//
// Every attempt is in exactly one place: used, in the remainder, or in the
// slice of a child. So the sum over the chain never exceeds what the entry
// node gave out, whatever order children begin, end or get lost in.
type Escrow struct {
	budget    int
	remaining int
	needed    int
	begun     map[coltsfootward.ServiceName]int
}

// NewEscrow returns the escrow of a request that came with a budget of at
// least 1. The request's own dispatch has used one attempt of it.
func NewEscrow(budget int) *Escrow {
	return &Escrow{budget: budget, remaining: budget - 1, needed: 1}
}

// Take moves the slice of a child out of the remainder, at most want. Zero means
// that the remainder is used up.
//
// A backend server may make its calls all at once. Were the first child given
// the whole remainder, its siblings would be refused while it returns most of
// its slice unused. So each gets its part by need. Of a surplus that is large
// enough, what one more attempt of the child needs stays for whichever child
// fails first; the rest goes down, where another attempt costs least.
func (e *Escrow) Take(service coltsfootward.ServiceName, want int, f *Forecast) int {
	need := f.Need(service)
	ahead := max(f.ahead(e.begun, service), need)
	if e.begun == nil {
		e.begun = make(map[coltsfootward.ServiceName]int)
	}
	e.begun[service]++
	share := (e.remaining*need + ahead - 1) / ahead
	if surplus := e.remaining - ahead; surplus >= need && f.Knows(service) {
		share = need + (surplus-need)*need/ahead
	}
	return e.take(min(want, share))
}

// TopUp moves up to want further attempts to a child that failed. What the
// children still to come need stays.
func (e *Escrow) TopUp(want int, f *Forecast) int {
	return e.take(min(want, e.remaining-f.expected(e.begun)))
}

func (e *Escrow) take(count int) int {
	taken := max(count, 0)
	e.remaining -= taken
	return taken
}

// GiveBack returns what a child certainly did not use.
func (e *Escrow) GiveBack(unused int) { e.remaining += unused }

// Answered takes in that an answered child needed that many attempts, those
// that failed left out.
func (e *Escrow) Answered(needed int) { e.needed += needed }

// Needed returns how many attempts the request would have used so far, had none
// below it failed.
func (e *Escrow) Needed() int { return e.needed }

// Used returns how many attempts the request and all below it have used or may
// still use.
func (e *Escrow) Used() int { return e.budget - e.remaining }
