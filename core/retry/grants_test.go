package retry_test

import (
	"math"
	"testing"
	"time"

	_ "coltsfootward/core/internal/testseed"
	"coltsfootward/core/retry"

	"pgregory.net/rapid"
)

// fleet is a service with one node for each server, as far as the retry budget sees it.
// Each node is also an entry node.
type fleet struct {
	share, capacity float64
	grants          []retry.Grants
	budgets         []retry.Budget
	started         []time.Duration
	now             time.Duration
	// requests and retries hold the times at which they reached servers.
	requests, retries []time.Duration
}

func newFleet(nodes int, share, capacity float64) *fleet {
	f := &fleet{share: share, capacity: capacity, grants: make([]retry.Grants, nodes), budgets: make([]retry.Budget, nodes), started: make([]time.Duration, nodes)}
	for i := range f.grants {
		f.restart(i)
		f.started[i] = -retry.CapacityDelay
	}
	return f
}

func (f *fleet) restart(i int) {
	f.grants[i] = retry.Grants{Share: f.share * retry.GrantsPart}
	f.budgets[i] = retry.Budget{Share: f.share * retry.EntryPart, Burst: f.capacity * retry.EntryPart / float64(len(f.grants))}
	f.started[i] = f.now
}

// send sends a call from its entry node to a server, which rejects it if reject says so,
// or loses it if the link is cut. The call is attempted again as often as it may.
func (f *fleet) send(entry, server int, rank uint32, inherited bool, cut func(server int) bool, reject func() bool) bool {
	f.requests = append(f.requests, f.now)
	if inherited {
		f.retries = append(f.retries, f.now)
	}
	f.budgets[entry].RecordRequest(f.now, false)
	for sends := 0; ; sends++ {
		to := (server + sends) % len(f.grants)
		granted := false
		if cut(to) {
			granted = sends+1 < retry.MaximumSends && f.budgets[entry].Take(f.now, retry.KindCall)
		} else {
			g := &f.grants[to]
			if f.now-f.started[to] >= retry.CapacityDelay {
				g.Burst = f.capacity * retry.GrantsPart / float64(len(f.grants))
			}
			g.RecordDispatch(f.now, retry.Attempt{Sends: sends, Retry: inherited})
			rejected := reject()
			g.RecordEnd(f.now, rejected)
			if !rejected {
				return true
			}
			granted = g.Grant(f.now, retry.Ask{Sends: sends, Rank: rank, Attributed: true})
		}
		if !granted {
			return false
		}
		f.retries = append(f.retries, f.now)
	}
}

func between(times []time.Duration, from, to time.Duration) (n float64) {
	for i := len(times) - 1; i >= 0 && times[i] > from; i-- {
		if times[i] <= to {
			n++
		}
	}
	return n
}

// Guards against a service that gets more retries than its budget, when the nodes grant
// them without knowing of each other: demand that varies by node, in waves and by moves
// of callers; servers that reject; nodes that are killed and restart without state; nodes
// that are cut off; calls of retried requests.
func TestGrantsOfAllNodesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 6).Draw(t, "nodes")
		share := rapid.SampledFrom([]float64{0.1, 0.2, 0.4}).Draw(t, "share")
		f := newFleet(nodes, share, rapid.SampledFrom([]float64{0, 12, 48}).Draw(t, "capacity"))
		amplitude := rapid.Float64Range(0, 0.55).Draw(t, "amplitude")
		seed := rapid.Uint64().Draw(t, "seed")
		random := func() float64 {
			seed = seed*6364136223846793005 + 1442695040888963407
			return float64(seed>>33) / (1 << 31)
		}
		moved := make([]float64, nodes)
		cutOff, rejection, inherits := -1, 0.0, 0.0
		for step := range 1200 {
			f.now = time.Duration(step) * 50 * time.Millisecond
			if step%40 == 0 {
				rejection = rapid.SampledFrom([]float64{0, 0.1, 0.55, 0.95}).Draw(t, "rejection")
				if f.capacity > 0 {
					// Calls of retried requests are never refused. Without capacity, a
					// single one among the first requests exceeds the budget.
					inherits = rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "inherits")
				}
				cutOff = rapid.IntRange(-3, nodes-1).Draw(t, "cut off")
				if killed := rapid.IntRange(-3, nodes-1).Draw(t, "killed"); killed >= 0 {
					f.restart(killed)
				}
				from, to := rapid.IntRange(0, nodes-1).Draw(t, "from"), rapid.IntRange(0, nodes-1).Draw(t, "to")
				if step%400 == 0 && from != to {
					clear(moved)
					moved[from], moved[to] = -0.5, 0.5
				}
			}
			for i := range nodes {
				f.grants[i].Tick(f.now)
				wave := math.Sin(2 * math.Pi * (f.now.Seconds()/17 + float64(i)/float64(nodes)))
				for range int(4*(1+amplitude*wave)*(1+moved[i]) + random()) {
					entry := int(random() * float64(nodes))
					f.send(entry, i, uint32(random()*(1<<30)), random() < inherits,
						func(server int) bool { return server == cutOff != (entry == cutOff) },
						func() bool { return random() < rejection })
				}
			}
			if step%5 > 0 || len(f.retries) == 0 {
				continue
			}
			end := f.now
			requests := 0.0
			for _, back := range []time.Duration{0, 5 * time.Second, 10 * time.Second} {
				requests = max(requests, between(f.requests, end-back-10*time.Second, end-back))
			}
			if got, most := between(f.retries, end-10*time.Second, end), f.share*requests+f.capacity; got > most {
				t.Fatalf("got %.0f retries in the ten seconds up to %v, want at most %.1f (%.0f requests)", got, end, most, requests)
			}
		}
	})
}

// Guards against retries that are spread over the calls of all requests, so that hardly
// any request with eight calls completes. A server rejects 55 in 100 for six seconds.
// With a budget that is spent call by call, about as many requests complete as the first
// second's retries carry.
func TestGrantsCompleteWholeRequests(t *testing.T) {
	const calls, perStep = 8, 2
	completed := func(attempt func(now time.Duration, rank uint32, random func() float64) bool, tick func(time.Duration)) int {
		seed, n := uint64(1), 0
		random := func() float64 {
			seed = seed*6364136223846793005 + 1442695040888963407
			return float64(seed>>33) / (1 << 31)
		}
		for step := range 1600 {
			now := time.Duration(step) * 10 * time.Millisecond
			tick(now)
			for range perStep {
				rank, served := uint32(random()*(1<<30)), 0
				for served < calls && attempt(now, rank, random) {
					served++
				}
				if served == calls && now >= 11*time.Second {
					n++
				}
			}
		}
		return n
	}
	rejects := func(now time.Duration, random func() float64) bool { return now >= 10*time.Second && random() < 0.55 }
	b := retry.Budget{Share: 0.2}
	without := completed(func(now time.Duration, _ uint32, random func() float64) bool {
		b.RecordRequest(now, false)
		for rejects(now, random) {
			if !b.Take(now, retry.KindCall) {
				return false
			}
		}
		return true
	}, func(time.Duration) {})
	g := retry.Grants{Share: 0.2}
	with := completed(func(now time.Duration, rank uint32, random func() float64) bool {
		for sends := 0; ; sends++ {
			g.RecordDispatch(now, retry.Attempt{Sends: sends})
			rejected := rejects(now, random)
			g.RecordEnd(now, rejected)
			if !rejected {
				return true
			}
			if !g.Grant(now, retry.Ask{Sends: sends, Rank: rank, Attributed: true}) {
				return false
			}
		}
	}, g.Tick)
	t.Logf("%d requests complete with grants, %d without", with, without)
	if 2*with < 3*without || with < 100 {
		t.Errorf("got %d complete requests with grants and %d without, want at least 100 and half as many again", with, without)
	}
}

// Guards against direct requests that stay counted although none of their bytes reached the
// server. With more direct requests than first attempts, the shortage was negative.
func TestUnsentDirectRequestsAreTakenBack(t *testing.T) {
	g := retry.Grants{Share: 1}
	for range 20 {
		g.RecordDispatch(0, retry.Attempt{Direct: true})
		g.RecordUnsent(0, retry.Attempt{Direct: true})
	}
	for range 10 {
		g.RecordDispatch(0, retry.Attempt{})
		g.RecordEnd(0, true)
	}
	g.Tick(0)
	if got := g.State().Shortage; got <= 0 {
		t.Errorf("got shortage %v with ten rejected calls and no direct requests, want more than 0", got)
	}
}
