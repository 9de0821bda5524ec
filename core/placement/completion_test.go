package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/placement"
)

// sharesOf returns the shares of count placements that each server of the pool gets. Requests take
// no time, and loads are not reported again.
func sharesOf(p *placement.Pool, now time.Duration, count int) map[coltsfootward.InstanceID]float64 {
	source := rand.New(rand.NewPCG(3, 4))
	shares := make(map[coltsfootward.InstanceID]float64)
	for range count {
		to, _ := p.Choose(now, source, placement.Request{Class: "read"})
		shares[to.ID] += 1 / float64(count)
	}
	return shares
}

func observe(p *placement.Pool, now time.Duration, id coltsfootward.InstanceID, load message.Load) {
	load.Limit, load.Cost = 10, 0.1
	p.ObserveLoad(now, id, placement.RequestKind{Class: "read"}, load)
}

// Guards against a server that gets next to nothing because its stated slowdown is stuck, and against
// one that is not avoided although it is slow. The others have more requests in service.
func TestStuckSlowdownLeavesATenthOfTheShare(t *testing.T) {
	for _, slowdown := range []float64{2.5, 100} {
		p := newLimitedPool(8)
		now := time.Hour
		for i := range 8 {
			observe(p, now, serverID(i), message.Load{Slowdown: 1, Running: 7})
		}
		observe(p, now, serverID(3), message.Load{Slowdown: slowdown, Running: 1})
		if got := sharesOf(p, now, 20000)[serverID(3)]; got < 0.1/8 || got > 0.3/8 {
			t.Errorf("slowdown %g: got a share of %.4f, want 0.1 to 0.3 of an eighth", slowdown, got)
		}
	}
}

// Guards against herding: one server that states to be fast is a candidate in a quarter of the
// placements among eight, so it gets no more of them, whatever it states.
func TestFastServerGetsABoundedShare(t *testing.T) {
	p := newLimitedPool(8)
	now := time.Hour
	for i := range 8 {
		observe(p, now, serverID(i), message.Load{Slowdown: 1})
	}
	observe(p, now, serverID(5), message.Load{Slowdown: 0.1})
	if got := sharesOf(p, now, 20000)[serverID(5)]; got > 0.26 {
		t.Errorf("got a share of %.3f, want at most about a quarter", got)
	}
}

// Guards against an old notice that replaces a newer report, and against a lost connection, or a
// restart, after which the old statement counts on.
func TestNoticeAndLostConnection(t *testing.T) {
	p := newLimitedPool(2)
	now := time.Hour
	observe(p, now, serverID(0), message.Load{Slowdown: 1})
	if p.ObserveNotice(now-time.Millisecond, serverID(0), message.Load{Slowdown: 4}) {
		t.Error("an older notice replaced a newer report")
	}
	if !p.ObserveNotice(now, serverID(0), message.Load{Slowdown: 4, Limit: 10}) || p.Servers(now)[0].Slowdown != 4 {
		t.Errorf("got %+v, want the slowdown of the notice", p.Servers(now)[0])
	}
	p.ConnectionLost(serverID(0))
	if got := p.Servers(now)[0]; got.Slowdown != 0 {
		t.Errorf("got %+v after the connection was lost, want no slowdown", got)
	}
}

// Guards against cold servers that get requests while a warm one has room. Nobody waits at an idle
// cold server, so requests are expected to complete there as soon as elsewhere, but its rate of
// requests is limited.
func TestColdServersAreNotPreferredByCompletion(t *testing.T) {
	for _, slowdown := range []float64{0, 1} {
		p := newLimitedPool(3)
		p.SetColdLimited(true)
		now := time.Hour
		observe(p, now, serverID(0), message.Load{Slowdown: slowdown, Running: 5})
		for _, cold := range []int{1, 2} {
			observe(p, now, serverID(cold), message.Load{Slowdown: slowdown, Cold: 10 * time.Second})
		}
		if got := sharesOf(p, now, 20000)[serverID(0)]; got < 0.6 {
			t.Errorf("slowdown %g: got a share of %.3f for the warm server, want it chosen in the two thirds of the placements in which it is a candidate", slowdown, got)
		}
	}
}
