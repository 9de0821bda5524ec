package retry_test

import (
	"testing"
	"time"

	"coltsfootward/core/retry"
)

// Every request to a service fails, from callers and from calls of other
// services, and all would be repeated. The repeats of all nodes stay within the
// share of the requests in every window, which an overloaded service can bear.
func TestBudgetHoldsTheShare(t *testing.T) {
	const nodes, share, saved = 16, 0.2, 48
	budgets := make([]retry.Budget, nodes)
	requests, repeats := 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		for i := range budgets {
			b := &budgets[i]
			b.Share, b.Saved = share, float64(saved)/nodes
			for n := range 10 {
				kind := retry.KindCall
				if n == 0 {
					kind = retry.KindCaller
				}
				b.Requested(now, kind)
				requests++
				for b.Take(kind) {
					repeats++
				}
			}
		}
	}
	if most := share*float64(requests) + saved; float64(repeats) > most {
		t.Errorf("got %d repeats of %d requests, want at most %.0f", repeats, requests, most)
	}
}

// A server rejects half of what it gets. Callers' own requests are few among the
// calls, and get enough repeats that nearly all of them are served; shared out
// alike, they would fail as often as calls whose parents fail anyway.
func TestCallersGoFirst(t *testing.T) {
	b := retry.Budget{Share: 0.2, Saved: 3}
	var got [2]int
	const rounds = 1000
	for i := range rounds {
		now := time.Duration(i) * 10 * time.Millisecond
		b.Requested(now, retry.KindCaller)
		for range 9 {
			b.Requested(now, retry.KindCall)
		}
		if b.Take(retry.KindCaller) {
			got[0]++
		}
		if b.Take(retry.KindCall) {
			got[1]++
		}
	}
	if got[0] < rounds*55/100 {
		t.Errorf("callers got %d repeats for %d requests, want at least 55 in 100", got[0], rounds)
	}
	if calls := got[1]; calls > 9*rounds*6/100 {
		t.Errorf("calls got %d repeats for %d, want at most 6 in 100", calls, 9*rounds)
	}
}
