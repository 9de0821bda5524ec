package emulation_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/emulation"
)

// shortBureau returns Bureau as a hosted deployment with twelve organisations.
func shortBureau() emulation.Deployment {
	d := emulation.Bureau().Hosted()
	for i := range 12 {
		d.Organisations = append(d.Organisations, emulation.Organisation{Name: coltsfootward.OrganisationName(fmt.Sprint("organisation ", i)), Demand: 1})
	}
	return d
}

// Guards against a route that is starved by more important ones while the deepest service
// is short of servers.
func TestLeastImportantRouteIsNotStarved(t *testing.T) {
	const from, to, seeds = 6, 16, 2
	for lost := 1; lost <= 3; lost++ {
		var outcomes [seeds]*emulation.Outcome
		var wait sync.WaitGroup
		for seed := range seeds {
			wait.Go(func() {
				outcomes[seed] = emulation.Run(shortBureau(), emulation.Disturbance{
					Service: "advances", LostServers: lost, LostAt: 4 * time.Second, StatesLoad: true,
				}, to*time.Second, uint64(seed)+1)
			})
		}
		wait.Wait()
		served := make(map[coltsfootward.RouteName]float64)
		for _, o := range outcomes {
			served[""] += share(o.Between(from, to)) / seeds
			for _, class := range []coltsfootward.RouteName{"payslip", "deduction"} {
				served[class] += share(o.ClassBetween(class, from, to)) / seeds
			}
		}
		t.Logf("%d servers lost: %.3f of all served, payslip %.3f, deduction %.3f", lost, served[""], served["payslip"], served["deduction"])
		if served["deduction"] < served[""]/4 {
			t.Errorf("%d servers lost: %.3f of the deductions are served and %.3f of all requests, want at least a quarter of that", lost, served["deduction"], served[""])
		}
		if served["payslip"] < served["deduction"] {
			t.Errorf("%d servers lost: %.3f of the payslips are served and %.3f of the deductions, which are less important", lost, served["payslip"], served["deduction"])
		}
	}
}

// share returns the fraction of the requests that were served.
func share(c emulation.Counts) float64 {
	return float64(c.OnTime+c.Late) / float64(max(c.Requests, 1))
}
