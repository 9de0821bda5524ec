package pressure_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/demand"
	"coltsfootward/core/fairshare"
	"coltsfootward/core/pressure"

	"pgregory.net/rapid"
)

const normalBand = 10

// dividedGates returns gates that are to refuse a fraction of the demand for the service
// deep, which all classes need: one that costs 0.1 and one that costs 0.4.
func dividedGates(excess float64) *pressure.Gates {
	g := &pressure.Gates{}
	for range 30 {
		for class, cost := range map[coltsfootward.RouteName]float64{"cheap": 0.1, "dear": 0.4} {
			g.ObserveResponse(0, class, []pressure.Report{{Service: "deep", Excess: excess, Cost: cost}})
		}
	}
	return g
}

// Guards against an entry node that admits another part of an organisation's slot time
// than the fleet's demand gives it: because of the organisations or classes that enter
// there, or because few of its requests do.
func TestGateAdmitsTheShareOfEachOrganisation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		excess := rapid.Float64Range(0.1, 0.8).Draw(t, "excess")
		source := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		summary := demand.Summary{Service: "deep"}
		var dear []float64
		for i := range rapid.IntRange(1, 6).Draw(t, "organisations") {
			o := demand.Organisation{Name: coltsfootward.OrganisationName(fmt.Sprint(i))}
			o.Demand[normalBand] = rapid.Float64Range(1, 50).Draw(t, "demand")
			summary.Total[normalBand] += o.Demand[normalBand]
			summary.Organisations = append(summary.Organisations, o)
			dear = append(dear, rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "dear"))
		}
		d := fairshare.Divide(summary, excess, 1, fairshare.Weights{})
		g := dividedGates(excess)
		asked, admitted := make([]float64, len(dear)), make([]float64, len(dear))
		for step := range 400 {
			now := time.Duration(step) * 50 * time.Millisecond
			g.ObserveResponse(now, "cheap", []pressure.Report{{Service: "deep", Excess: excess, Cost: 0.1}})
			g.ObserveResponse(now, "dear", []pressure.Report{{Service: "deep", Excess: excess, Cost: 0.4}})
			summary.At = now
			g.SetDemand(now, summary, fairshare.Weights{})
			g.Tick(now)
			for i, o := range summary.Organisations {
				for range 4 {
					class, cost := coltsfootward.RouteName("cheap"), 0.1
					if source.Float64() < dear[i] {
						class, cost = "dear", 0.4
					}
					_, ok := g.AdmitFor(class, normalBand<<26|source.Uint32N(1<<26), o.Name)
					if step >= 100 {
						asked[i] += cost
						if ok {
							admitted[i] += cost
						}
					}
				}
			}
		}
		for i, o := range summary.Organisations {
			if got, want := admitted[i]/asked[i], d.Fraction(normalBand, o.Name); math.Abs(got-want) > 0.1 {
				t.Fatalf("organisation %d of %d with a part of %.1f expensive requests: %.3f admitted, want %.3f", i, len(dear), dear[i], got, want)
			}
		}
	})
}

// Guards against a gate that goes on refusing by a summary that is out of date. It must
// refuse a fraction of its own demand instead.
func TestGateWithoutSummaryRefusesItsOwnDemand(t *testing.T) {
	g := dividedGates(0.5)
	source := rand.New(rand.NewPCG(1, 1))
	summary := demand.Summary{Service: "deep", Total: demand.ByBand{0: 5, normalBand: 5}}
	g.SetDemand(0, summary, fairshare.Weights{})
	served := func(from, to time.Duration) float64 {
		ok, all := 0, 0
		for now := from; now < to; now += 10 * time.Millisecond {
			g.ObserveResponse(now, "cheap", []pressure.Report{{Service: "deep", Excess: 0.5, Cost: 0.1}})
			g.Tick(now)
			if _, admitted := g.AdmitFor("cheap", normalBand<<26|source.Uint32N(1<<26), "a"); admitted {
				ok++
			}
			all++
		}
		return float64(ok) / float64(all)
	}
	g.Tick(0)
	if got := served(200*time.Millisecond, 1900*time.Millisecond); got > 0.2 {
		t.Errorf("%.2f admitted of a band that does not fit, want at most the reserve of 0.2", got)
	}
	if got := served(3*time.Second, 8*time.Second); got < 0.4 || got > 0.6 {
		t.Errorf("%.2f admitted without a valid summary, want half", got)
	}
	if _, ok := g.Division("deep"); ok {
		t.Error("got a division without a valid summary")
	}
}

// Guards against small organisations that are refused because they are too many to be
// named: at 300 organisations that ask for 0.1 each, ten that ask for 1 and a large one,
// the fair rate is above 0.1 but below 1.
func TestSmallOrganisationsThatAreNotNamedAreAdmittedWhole(t *testing.T) {
	const medium, small = 10, 300
	summary := demand.Summary{Service: "deep", OtherCount: 20}
	large := demand.Organisation{Name: "large", Demand: demand.ByBand{normalBand: 40}}
	summary.Organisations = []demand.Organisation{large}
	summary.Others[normalBand] = medium + 0.1*small
	summary.Total[normalBand] = 40 + medium + 0.1*small
	g := dividedGates(0.6)
	source := rand.New(rand.NewPCG(1, 1))
	var asked, admitted [2]int
	for step := range 2000 {
		now := time.Duration(step) * 10 * time.Millisecond
		g.ObserveResponse(now, "cheap", []pressure.Report{{Service: "deep", Excess: 0.6, Cost: 0.1}})
		summary.At = now
		g.SetDemand(now, summary, fairshare.Weights{})
		g.Tick(now)
		for kind, count := range []int{medium, small} {
			perStep := []float64{0.1, 0.01}[kind]
			for i := range count {
				if source.Float64() >= perStep {
					continue
				}
				_, ok := g.AdmitFor("cheap", normalBand<<26|source.Uint32N(1<<26), coltsfootward.OrganisationName(fmt.Sprint(kind, "-", i)))
				if step >= 1000 {
					asked[kind]++
					if ok {
						admitted[kind]++
					}
				}
			}
		}
	}
	d, _ := g.Division("deep")
	divided, _ := d.Band(normalBand)
	t.Logf("level %.2f, admitted %v of %v", divided.Level(), admitted, asked)
	if got := float64(admitted[1]) / float64(asked[1]); got < 0.9 {
		t.Errorf("%.2f of the small organisations' requests admitted", got)
	}
}

// Guards against organisations that get less than their share because an entry node sees
// few of their requests.
func TestSparseOrganisationsGetTheirShare(t *testing.T) {
	const organisations, stepsPerSecond = 12, 100
	for _, excess := range []float64{0.7, 0.9} {
		g := dividedGates(excess)
		source := rand.New(rand.NewPCG(1, 1))
		summary := demand.Summary{Service: "deep", Total: demand.ByBand{normalBand: 1200}}
		for i := range organisations {
			summary.Organisations = append(summary.Organisations, demand.Organisation{
				Name: coltsfootward.OrganisationName(fmt.Sprint(i)), Demand: demand.ByBand{normalBand: 100},
			})
		}
		asked, admitted := 0, 0
		for step := range 600 * stepsPerSecond {
			now := time.Duration(step) * time.Second / stepsPerSecond
			g.ObserveResponse(now, "cheap", []pressure.Report{{Service: "deep", Excess: excess, Cost: 0.1}})
			summary.At = now
			g.SetDemand(now, summary, fairshare.Weights{})
			g.Tick(now)
			for i := range organisations {
				if source.Float64() >= 0.6/stepsPerSecond {
					continue
				}
				asked++
				if _, ok := g.AdmitFor("cheap", normalBand<<26|source.Uint32N(1<<26), coltsfootward.OrganisationName(fmt.Sprint(i))); ok {
					admitted++
				}
			}
		}
		if got, want := float64(admitted)/float64(asked), 1-excess; math.Abs(got-want) > 0.1*want {
			t.Errorf("%.3f of the requests admitted, want %.3f", got, want)
		}
	}
}
