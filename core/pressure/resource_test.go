package pressure_test

import (
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/pressure"
)

// shortGates returns gates that have heard for two seconds that the service deep is short
// of retries, from one of every answers responses, and what they admitted in the second
// after that.
func shortGates(answers int, cost float64) (*pressure.Gates, float64) {
	var g pressure.Gates
	admitted, all := 0, 0
	for step := range 300 {
		now := time.Duration(step) * 10 * time.Millisecond
		reports := []pressure.Report{{Service: "deep", Cost: 0.01}}
		if step%answers == 0 {
			reports = append(reports, pressure.Report{Service: "deep", Resource: message.ResourceRetries, Excess: 0.6, Cost: cost})
		}
		g.ObserveResponse(now, "order", reports)
		for i := range uint32(16) {
			// Multiples of the golden ratio fill the ranks evenly.
			_, ok := g.Admit("order", (uint32(step)*16+i)*0x9e3779b9>>2)
			if step >= 200 {
				all++
				if ok {
					admitted++
				}
			}
		}
		g.Tick(now)
	}
	return &g, float64(admitted) / float64(all)
}

// Guards against requests that are admitted although the retries cannot carry them,
// against a single server that closes the gates for the whole service, and against the
// refusal of requests that hardly need a retry.
func TestGateForRetries(t *testing.T) {
	for _, test := range []struct {
		name        string
		answers     int
		cost        float64
		least, most float64
	}{
		{"all servers are short", 1, 8, 0.35, 0.45},
		{"one server of eight is short", 8, 8, 0.8, 1},
		{"a single call", 1, 1.2, 1, 1},
	} {
		if _, got := shortGates(test.answers, test.cost); got < test.least || got > test.most {
			t.Errorf("%s: admitted %.2f, want %.2f to %.2f", test.name, got, test.least, test.most)
		}
	}
}

// Guards against nodes above that do not learn of the shortage, and against a report of
// retries where there is no shortage, which nodes of an older version do not understand.
func TestShortageIsReportedWithSlots(t *testing.T) {
	calls := []pressure.Callee{{Route: "order", CallsPerRequest: 2}}
	g, _ := shortGates(1, 8)
	got := g.ReportsFor(3*time.Second, calls)
	if len(got) != 2 || got[1].Resource != message.ResourceRetries || got[1].Cost < 15 || got[1].Cost > 17 {
		t.Errorf("got %+v, want reports of slots, and of retries with a cost of 16", got)
	}
	for step := range 200 {
		g.ObserveResponse(3*time.Second+time.Duration(step)*10*time.Millisecond, "order", []pressure.Report{{Service: coltsfootward.ServiceName("deep"), Cost: 0.01}})
	}
	if got := g.ReportsFor(5*time.Second, calls); len(got) != 1 {
		t.Errorf("got %+v two seconds after the shortage, want a report of slots only", got)
	}
}
