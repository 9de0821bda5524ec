package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/placement"
)

func newCrossingPool(reachable func(coltsfootward.FailureDomain) bool) *placement.Pool {
	self := coltsfootward.Instance{ID: "north-1", Domain: "north"}
	pool := placement.NewPool(self, reachable)
	for _, i := range []coltsfootward.Instance{self, {ID: "north-2", Domain: "north"}, {ID: "south-1", Domain: "south"}} {
		pool.Set(0, i, 10, false)
	}
	return pool
}

func load(p *placement.Pool, now time.Duration, running int, ids ...coltsfootward.InstanceID) {
	for _, id := range ids {
		p.ObserveLoad(now, id, placement.RequestKind{}, message.Load{Running: running, Limit: 10})
	}
}

// Guards against calls that leave a full domain: only a domain without a server that can
// be chosen sends them away, and a tried server counts as none.
func TestChooseNearStaysInAFullDomain(t *testing.T) {
	const now = time.Second
	source := rand.New(rand.NewPCG(1, 1))
	pool := newCrossingPool(nil)
	load(pool, now, 20, "north-1", "north-2")
	load(pool, now, 0, "south-1")
	tried := map[coltsfootward.InstanceID]bool{}
	for _, want := range []struct {
		domain coltsfootward.FailureDomain
		reason placement.Reason
	}{{"north", ""}, {"north", ""}, {"south", placement.ReasonNoServer}} {
		got, reason, ok := pool.ChooseNear(now, source, placement.Request{Tried: tried}, placement.Crossing{})
		if !ok || got.Domain != want.domain || reason != want.reason {
			t.Errorf("got %s for %q, want %s for %q with %d tried", got.Domain, reason, want.domain, want.reason, len(tried))
		}
		tried[got.ID] = true
	}
	got, reason, _ := pool.ChooseNear(now, source, placement.Request{}, placement.Crossing{To: "south"})
	if got.Domain != "south" || reason != placement.ReasonSurplus {
		t.Errorf("got %s for %q, want the surplus to go south", got.Domain, reason)
	}
	got, reason, _ = pool.ChooseNear(now, source, placement.Request{}, placement.Crossing{Local: true, Margin: 0.1})
	if got.Domain != "south" || reason != placement.ReasonOccupancy {
		t.Errorf("got %s for %q, want the request to go south by observation", got.Domain, reason)
	}
}

// Guards against requests that cross between servers with equal reports: the request
// itself has to count at both servers. At few slots it is more than the margin.
func TestChooseNearStaysAtEqualOccupancy(t *testing.T) {
	const now = time.Second
	pool := newCrossingPool(nil)
	for _, id := range []coltsfootward.InstanceID{"north-1", "north-2", "south-1"} {
		pool.ObserveLoad(now, id, placement.RequestKind{}, message.Load{Running: 4, Limit: 5})
	}
	got, reason, ok := pool.ChooseNear(now, rand.New(rand.NewPCG(1, 1)), placement.Request{}, placement.Crossing{Local: true, Margin: 0.1})
	if !ok || got.Domain != "north" {
		t.Errorf("got %s for %q, want a server of the own domain", got.ID, reason)
	}
}

// Guards against requests that are sent to a domain which cannot be reached, and against
// counting its slots.
func TestChooseNearOfAnUnreachableDomain(t *testing.T) {
	pool := newCrossingPool(func(d coltsfootward.FailureDomain) bool { return d != "south" })
	got, reason, ok := pool.ChooseNear(0, rand.New(rand.NewPCG(1, 1)), placement.Request{}, placement.Crossing{To: "south"})
	if !ok || got.Domain != "north" || reason != "" {
		t.Errorf("got %s for %q, want the own domain", got.Domain, reason)
	}
	if c := pool.Capacity(0); c["north"] != 20 || c["south"] != 0 {
		t.Errorf("got capacities %v, want 20 in north and none in south", c)
	}
}
