package emulation_test

import (
	"sync"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/crossing"
	"coltsfootward/core/emulation"
	"coltsfootward/core/node"
)

const (
	runLength = 20 * time.Second
	seedCount = 4
)

func span(from, to time.Duration) emulation.Span { return emulation.Span{From: from, To: to} }

// meanWorths runs a deployment with several seeds and returns the mean worth by
// class, and under the empty name that of all requests.
func meanWorths(t *testing.T, d emulation.Deployment, disturbance emulation.Disturbance) map[coltsfootward.RouteName]float64 {
	t.Helper()
	outcomes := make([]*emulation.Outcome, seedCount)
	var wait sync.WaitGroup
	for i := range outcomes {
		wait.Go(func() { outcomes[i] = emulation.Run(d, disturbance, runLength, uint64(i)+1) })
	}
	wait.Wait()
	sums := make(map[coltsfootward.RouteName]float64)
	for i, o := range outcomes {
		t.Logf("%s, seed %d\n%s", d.Name, i+1, o)
		sums[""] += o.Total().Worth() / seedCount
		for name, n := range o.Classes {
			sums[name] += n.Worth() / seedCount
		}
	}
	return sums
}

func TestUndisturbedRunIsServed(t *testing.T) {
	for _, d := range []emulation.Deployment{emulation.Publisher(), emulation.Consortium()} {
		if got := meanWorths(t, d, emulation.Disturbance{})[""]; got < 0.99 {
			t.Errorf("%s: got %.3f of the worth, want at least 0.99", d.Name, got)
		}
	}
}

// Guards against idle slots at the deepest service under overload, both in
// small fleets and in ones whose nodes receive its load reports only twice a
// second, and against refusing the most important requests or those that do not
// need the service.
func TestBurstOnDeepestService(t *testing.T) {
	for _, test := range []struct {
		deployment  emulation.Deployment
		deep        coltsfootward.ServiceName
		least       float64
		important   coltsfootward.RouteName
		independent coltsfootward.RouteName
	}{
		{emulation.Consortium(), "sections", 0.69, "certificate", "run_log"},
		{emulation.Publisher(), "quotes", 0.66, "order", "file"},
		{emulation.Fleet(), "quotes", 0.70, "order", "file"},
	} {
		got := meanWorths(t, test.deployment, emulation.Disturbance{
			Burst: 1.7, BurstSpan: span(300*time.Millisecond, 16*time.Second),
			Service: test.deep, LostServers: 1, LostAt: time.Second,
		})
		name := test.deployment.Name
		if got[""] < test.least {
			t.Errorf("%s: got %.3f of the worth, want at least %.2f", name, got[""], test.least)
		}
		if got[test.important] < 0.85 {
			t.Errorf("%s: %s got %.3f of its worth, want at least 0.85", name, test.important, got[test.important])
		}
		if got[test.independent] < 0.85 {
			t.Errorf("%s: %s got %.3f of its worth, want at least 0.85", name, test.independent, got[test.independent])
		}
	}
}

// The deepest service loses a quarter of its responses for four seconds. A
// request needs up to ten of them. If only one in four lost calls is retried,
// nearly all those requests fail: the most important ones got 0.82 and 0.83 of
// their worth over the run.
func TestLostResponsesAreRetried(t *testing.T) {
	for _, test := range []struct {
		deployment emulation.Deployment
		deep       coltsfootward.ServiceName
		important  coltsfootward.RouteName
	}{
		{emulation.Consortium(), "sections", "certificate"},
		{emulation.Publisher(), "quotes", "order"},
	} {
		got := meanWorths(t, test.deployment, emulation.Disturbance{Service: test.deep, FailShare: 0.24, FailSpan: span(8*time.Second, 12*time.Second)})
		if got[test.important] < 0.89 {
			t.Errorf("%s: %s got %.3f of its worth, want at least 0.89", test.deployment.Name, test.important, got[test.important])
		}
	}
}

// For six seconds the deepest service rejects 55 in 100 requests, whatever its
// load, while callers send 1.7 times the usual rate. Requests that callers send
// directly to that service need one response only and are worth retrying first.
// Without that preference they got 0.85 and 0.78 of their worth over the run, and
// all requests together 0.62 and 0.56.
func TestRejectingServersPreferRootRequests(t *testing.T) {
	for _, test := range []struct {
		deployment emulation.Deployment
		deep       coltsfootward.ServiceName
		own        coltsfootward.RouteName
		least      float64
	}{
		{emulation.Consortium(), "sections", "status", 0.64},
		{emulation.Publisher(), "quotes", "quote", 0.60},
	} {
		got := meanWorths(t, test.deployment, emulation.Disturbance{
			Burst: 1.7, BurstSpan: span(300*time.Millisecond, 16*time.Second),
			Service: test.deep, RejectShare: 0.55, RejectSpan: span(8*time.Second, 14*time.Second),
		})
		if got[test.own] < 0.87 {
			t.Errorf("%s: %s got %.3f of its worth, want at least 0.87", test.deployment.Name, test.own, got[test.own])
		}
		if got[""] < test.least {
			t.Errorf("%s: got %.3f of the worth, want at least %.2f", test.deployment.Name, got[""], test.least)
		}
	}
}

// Guards against traffic between domains that gains nothing: with nearly full domains, a
// service that has one backend server in one of them, and more demand than capacity,
// placement by surplus has to send at most half of the bytes that placement by occupancy
// does, and to serve as much.
func TestSurplusCrossesLessAndServesAsMuch(t *testing.T) {
	play := func(rule node.Crossing) *emulation.Outcome {
		d := emulation.Payroll()
		d.Crossing, d.CrossingMargin = rule, crossing.DefaultMargin
		return emulation.Run(d, emulation.Disturbance{}, 10*time.Second, 1)
	}
	before, after := play(node.CrossingOccupancy), play(node.CrossingSurplus)
	t.Logf("worth %.3f and %.3f, %.1f and %.1f MB between domains", before.Total().Worth(), after.Total().Worth(),
		float64(before.CrossedBytes)/1e6, float64(after.CrossedBytes)/1e6)
	if after.CrossedBytes > before.CrossedBytes/2 {
		t.Errorf("%d bytes cross, want at most half of %d", after.CrossedBytes, before.CrossedBytes)
	}
	if after.Total().Worth() < before.Total().Worth()-0.02 {
		t.Errorf("got a worth of %.3f, want about %.3f", after.Total().Worth(), before.Total().Worth())
	}
}
