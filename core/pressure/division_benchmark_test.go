package pressure_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/demand"
	"coltsfootward/core/fairshare"
	"coltsfootward/core/pressure"
)

// heaviestSummary returns a summary with as many organisations as a collector names.
func heaviestSummary(at time.Duration) demand.Summary {
	s := demand.Summary{Service: "deep", At: at, OtherCount: 3000, Others: demand.ByBand{normalBand: 40}}
	s.Total = s.Others
	for i := range 48 {
		o := demand.Organisation{Name: coltsfootward.OrganisationName(fmt.Sprint(i)), Demand: demand.ByBand{normalBand: float64(1 + i)}}
		s.Total[normalBand] += o.Demand[normalBand]
		s.Organisations = append(s.Organisations, o)
	}
	return s
}

// BenchmarkDividedTick measures one update of a gate that divides, ten a second.
func BenchmarkDividedTick(b *testing.B) {
	g := dividedGates(0.5)
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		now += 100 * time.Millisecond
		g.ObserveResponse(now, "cheap", []pressure.Report{{Service: "deep", Excess: 0.5, Cost: 0.1}})
		g.SetDemand(now, heaviestSummary(now), fairshare.Weights{})
		g.Tick(now)
	}
}

// BenchmarkDividedAdmit measures the decision about one request.
func BenchmarkDividedAdmit(b *testing.B) {
	g := dividedGates(0.5)
	g.SetDemand(0, heaviestSummary(0), fairshare.Weights{})
	g.Tick(0)
	source := rand.New(rand.NewPCG(1, 1))
	names := make([]coltsfootward.OrganisationName, 400)
	for i := range names {
		names[i] = coltsfootward.OrganisationName(fmt.Sprint(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		g.AdmitFor("cheap", normalBand<<26|source.Uint32N(1<<26), names[i%len(names)])
	}
}
