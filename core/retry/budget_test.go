package retry_test

import (
	"testing"
	"time"

	_ "coltsfootward/core/internal/testseed"
	"coltsfootward/core/retry"

	"pgregory.net/rapid"
)

// Guards against a retry storm: all requests to a service fail, those of callers and
// those of other services, and every node would retry all of them. The retries of all
// nodes together must stay within the budget's share of the requests, which is as much
// extra load as an overloaded service can handle, plus the burst.
func TestRetriesStayWithinBudgetShare(t *testing.T) {
	const nodes, share, burst = 16, 0.2, 48
	budgets := make([]retry.Budget, nodes)
	requests, retries := 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		for i := range budgets {
			b := &budgets[i]
			b.Share, b.Burst = share, float64(burst)/nodes
			for n := range 10 {
				kind := retry.KindCall
				if n == 0 {
					kind = retry.KindCaller
				}
				b.RecordRequest(now, false)
				requests++
				for b.Take(now, kind) {
					retries++
				}
			}
		}
	}
	if most := share*float64(requests) + burst; float64(retries) > most {
		t.Errorf("got %d retries of %d requests, want at most %.0f", retries, requests, most)
	}
}

// Guards against retries spent on child calls while callers' requests fail. A server
// rejects half of its requests, and the budget does not suffice for all of them.
// Callers' requests are a tenth of all requests and must get enough retries that nearly
// all of them are served. If retries were distributed evenly, callers' requests
// would fail as often as child calls whose parent requests fail anyway.
func TestCallerRequestsAreRetriedFirst(t *testing.T) {
	b := retry.Budget{Share: 0.2, Burst: 3}
	var retries [2]int
	const rounds = 1000
	for i := range rounds {
		now := time.Duration(i) * 10 * time.Millisecond
		b.RecordRequest(now, false)
		for range 9 {
			b.RecordRequest(now, false)
		}
		if b.Take(now, retry.KindCaller) {
			retries[0]++
		}
		if b.Take(now, retry.KindCall) {
			retries[1]++
		}
	}
	if retries[0] < rounds*95/100 {
		t.Errorf("callers got %d retries for %d requests, want at least 95 in 100", retries[0], rounds)
	}
	if most := rounds * 10 * 20 / 100; retries[0]+retries[1] > most {
		t.Errorf("got %d retries in all for %d requests, want at most %d", retries[0]+retries[1], 10*rounds, most)
	}
}

// Guards against a service that fails all requests and gets twice the load through
// retries, instead of the fifth more that the budget's share allows. Callers' requests
// and child calls arrive and fail at random; some are made by retried requests. In any ten
// seconds that end with a retry, the retries must stay within the share. Windows
// that end between two retries are not checked: they contain the same retries, and
// the requests that allowed these came before.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	kinds := []retry.RequestKind{retry.KindCaller, retry.KindCall, retry.KindCallerNonLeaf, retry.KindCallNonLeaf}
	rapid.Check(t, func(t *rapid.T) {
		const share, burst = 0.2, 5.0
		b := retry.Budget{Share: share, Burst: burst}
		type counted struct {
			at                           time.Duration
			requests, inherited, retries int
		}
		var events []counted
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "phases") {
			step := rapid.SampledFrom([]time.Duration{time.Millisecond, 40 * time.Millisecond, 700 * time.Millisecond}).Draw(t, "step")
			failing := rapid.IntRange(0, 3).Draw(t, "failing")
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			inherits := rapid.IntRange(0, 20).Draw(t, "inherits") == 0
			for i := range rapid.IntRange(1, 40).Draw(t, "requests") {
				now += step
				e := counted{at: now, requests: 1}
				if inherits && i%8 == 0 {
					e.inherited = 1
				}
				b.RecordRequest(now, e.inherited > 0)
				for range failing {
					if b.Take(now, kind) {
						e.retries++
					}
				}
				events = append(events, e)
			}
		}
		for i := range events {
			var sum counted
			for j := i; j >= 0 && events[i].at-events[j].at <= 10*time.Second; j-- {
				sum.requests += events[j].requests
				sum.inherited += events[j].inherited
				sum.retries += events[j].retries
			}
			// Requests within the half second before the window may count too.
			for j := range events {
				if d := events[i].at - events[j].at; d > 10*time.Second && d <= 10500*time.Millisecond {
					sum.requests++
				}
			}
			most := share*float64(sum.requests) + burst
			if events[i].retries > 0 && float64(sum.retries) > most {
				t.Fatalf("%d retries for %d requests in the ten seconds up to %v, want at most %.1f", sum.retries, sum.requests, events[i].at, most)
			}
		}
	})
}

// Guards against calls that fail during a short fault although the budget is unspent.
// After eight seconds without failures, servers lose a quarter of their responses for
// four seconds. The requests of the first eight seconds allow a retry of each lost call.
// With a constant rate of retries, two thirds of the lost calls failed, and with them
// nearly every request that needs ten calls.
func TestShortFailureIsFullyRetried(t *testing.T) {
	b := retry.Budget{Share: 0.2}
	lostCalls, retries := 0, 0
	for i := range 1200 {
		now := time.Duration(i) * 10 * time.Millisecond
		b.RecordRequest(now, false)
		if i >= 800 && i%4 == 0 {
			lostCalls++
			if b.Take(now, retry.KindCall) {
				retries++
			}
		}
	}
	if retries < lostCalls {
		t.Errorf("got %d retries for %d lost calls, want all", retries, lostCalls)
	}
}
