package crossing_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/crossing"

	_ "coltsfootward/core/internal/testseed"

	"pgregory.net/rapid"
)

const (
	step   = 100 * time.Millisecond
	margin = 0.1
)

func domain(name coltsfootward.FailureDomain, demand, capacity float64) crossing.Domain {
	return crossing.Domain{Name: name, Demand: demand, Admitted: demand, Capacity: capacity}
}

// settle updates a plan for the given time and returns the time after it.
func settle(p *crossing.Plan, now, length time.Duration, self coltsfootward.FailureDomain, domains ...crossing.Domain) time.Duration {
	for end := now + length; now < end; now += step {
		p.Update(now, self, domains, margin)
	}
	return now
}

func ExamplePlan() {
	domains := []crossing.Domain{
		{Name: "hill", Demand: 80, Admitted: 80, Capacity: 120},
		{Name: "lake", Demand: 110, Admitted: 110, Capacity: 120},
		{Name: "shore", Demand: 72, Admitted: 72, Capacity: 60},
	}
	var plan crossing.Plan
	for now := time.Duration(0); now < 2*time.Second; now += 100 * time.Millisecond {
		plan.Update(now, "shore", domains, crossing.DefaultMargin)
	}
	for _, f := range plan.Fractions() {
		fmt.Printf("%.2f of shore's demand crosses to %s\n", f.Value, f.To)
	}
	// Output:
	// 0.26 of shore's demand crosses to hill
	// 0.03 of shore's demand crosses to lake
}

func drawDomains(t *rapid.T) []crossing.Domain {
	var domains []crossing.Domain
	for i := range rapid.IntRange(1, 6).Draw(t, "domains") {
		capacity := rapid.SampledFrom([]float64{0, 20, 60, 120}).Draw(t, "capacity")
		d := domain(coltsfootward.FailureDomain(fmt.Sprint("d", i)), rapid.Float64Range(0, 200).Draw(t, "demand"), capacity)
		d.Admitted *= rapid.Float64Range(0.3, 1).Draw(t, "admitted")
		domains = append(domains, d)
	}
	return domains
}

// Guards against the faults of placement by occupancy: requests that leave a domain with
// room, cross although no domain has room, or together exceed the room that they cross
// to. Every node computes for its own domain; together the nodes must not exceed the room.
func TestOnlySurplusCrosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := drawDomains(t)
		inflow := make(map[coltsfootward.FailureDomain]float64)
		for _, self := range domains {
			var p crossing.Plan
			settle(&p, 0, 5*time.Second, self.Name, domains...)
			if p.Total() > 0 && (self.Demand <= 0.85*self.Capacity || self.Admitted <= 0.8*self.Capacity) {
				t.Fatalf("%.3f of the demand of %+v crosses, which has room", p.Total(), self)
			}
			for _, f := range p.Fractions() {
				inflow[f.To] += f.Value * self.Admitted
			}
		}
		for _, d := range domains {
			if room := max(0.95*d.Capacity-max(d.Demand, d.Admitted), 0); inflow[d.Name] > room+1e-6 {
				t.Fatalf("%.3f slots cross to %+v, which has room for %.3f", inflow[d.Name], d, room)
			}
		}
	})
}

// Guards against fractions that jump with every summary, and against requests that go on
// crossing after a wave: from any state crossing has to end within two seconds.
func TestChangesAreLimitedAndEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p crossing.Plan
		now, before := time.Duration(0), make(map[coltsfootward.FailureDomain]float64)
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			domains := drawDomains(t)
			for range rapid.IntRange(1, 10).Draw(t, "updates") {
				now += step
				p.Update(now, "d0", domains, margin)
				after := make(map[coltsfootward.FailureDomain]float64)
				for _, f := range p.Fractions() {
					after[f.To] = f.Value
					if f.Value-before[f.To] > 0.05+1e-9 || f.Value > 1 {
						t.Fatalf("the fraction to %s rises from %.3f to %.3f in 100 ms", f.To, before[f.To], f.Value)
					}
				}
				before = after
			}
		}
		settle(&p, now, 2*time.Second, "d0", domain("d0", 50, 100), domain("d1", 10, 100))
		if p.Total() != 0 {
			t.Fatalf("%.3f of the demand crosses 2 s after the demand has fallen", p.Total())
		}
	})
}

// Guards against crossing that begins and ends with every small change of the demand.
func TestCrossingHasHysteresis(t *testing.T) {
	var p crossing.Plan
	other := domain("south", 20, 100)
	now := settle(&p, 0, time.Second, "north", domain("north", 94, 100), other)
	if p.Total() != 0 {
		t.Errorf("%.3f crosses at an occupancy of 0.94, want none before 0.95", p.Total())
	}
	now = settle(&p, now, time.Second, "north", domain("north", 97, 100), other)
	settle(&p, now, time.Second, "north", domain("north", 93, 100), other)
	if p.Total() == 0 {
		t.Error("nothing crosses at an occupancy of 0.93 after one of 0.97, want crossing until 0.85")
	}
}

// Guards against a domain without servers, or out of service, whose demand stays.
func TestDomainWithoutServersSendsAll(t *testing.T) {
	var p crossing.Plan
	settle(&p, 0, 3*time.Second, "north", domain("north", 30, 0), domain("south", 20, 100))
	if p.Total() < 0.999 {
		t.Errorf("%.3f of the demand of a domain without servers crosses, want all", p.Total())
	}
	settle(&p, 3*time.Second, step, "north", domain("north", 30, 0), domain("south", 0, 0))
	if p.Total() != 0 {
		t.Errorf("%.3f crosses to a domain that cannot be reached, want none at once", p.Total())
	}
}

// Guards against a request that crosses for one service to a domain which is full for
// another service that it needs.
func TestChooseRespectsOtherServices(t *testing.T) {
	var front, deep crossing.Plan
	settle(&deep, 0, 2*time.Second, "a", domain("a", 120, 100), domain("b", 20, 100), domain("c", 20, 100))
	settle(&front, 0, 2*time.Second, "a", domain("a", 50, 100), domain("b", 99, 100), domain("c", 50, 100))
	for i := range 20 {
		if to, ok := deep.Choose(float64(i)/20, []*crossing.Plan{&front}); !ok || to != "c" {
			t.Errorf("got %q, want c: b is full at the first service", to)
		}
	}
}

// Guards against routes with many bytes that cross before those with few, and against
// shares that do not add up to the fraction.
func TestRoutesWithFewBytesCrossFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r crossing.Routes
		bytes := make(map[coltsfootward.RouteName]float64)
		demand := make(map[coltsfootward.RouteName]float64)
		total := 0.0
		for i := range rapid.IntRange(1, 5).Draw(t, "routes") {
			route := coltsfootward.RouteName(fmt.Sprint(i))
			bytes[route] = rapid.Float64Range(1, 1e6).Draw(t, "bytes")
			demand[route] = rapid.Float64Range(0.1, 10).Draw(t, "demand")
			r.Record(0, route, demand[route])
			total += demand[route]
		}
		fraction := rapid.Float64Range(0, 1).Draw(t, "fraction")
		crossed := 0.0
		share := func(route coltsfootward.RouteName) float64 {
			return r.Share(0, route, fraction, func(n coltsfootward.RouteName) float64 { return bytes[n] })
		}
		for a := range demand {
			crossed += share(a) * demand[a] / total
			for b := range demand {
				if bytes[a] < bytes[b] && share(b) > 0 && share(a) < 1-1e-9 {
					t.Fatalf("%.3f of the route with %.0f bytes crosses, but only %.3f of the one with %.0f", share(b), bytes[b], share(a), bytes[a])
				}
			}
		}
		if math.Abs(crossed-fraction) > 1e-6 {
			t.Fatalf("%.4f of the demand crosses, want %.4f", crossed, fraction)
		}
	})
}

// Guards against demand that is lost while nothing crosses: without an order of the routes,
// those with many bytes would cross like the others when crossing begins.
func TestRoutesAreOrderedWhenCrossingBegins(t *testing.T) {
	var r crossing.Routes
	now := time.Hour
	for range 100 {
		now += step
		r.Record(now, "small", 0.01)
		r.Record(now, "large", 0.01)
	}
	bytes := map[coltsfootward.RouteName]float64{"small": 1, "large": 1000}
	share := r.Share(now, "large", 0.4, func(n coltsfootward.RouteName) float64 { return bytes[n] })
	if share != 0 {
		t.Errorf("%.2f of the route with many bytes crosses, want none before all of the other one", share)
	}
}

// Guards against nodes without a summary that send requests away without a clear
// difference, or that send more than two requests a second to learn of one.
func TestLocalObservations(t *testing.T) {
	var l crossing.Local
	if l.Wanted(0.94) || !l.Wanted(0.96) || !l.Wanted(0.9) || l.Wanted(0.85) {
		t.Error("want crossing from above 0.95 until 0.85")
	}
	if crosses, _ := l.Crosses(0, 1, crossing.Candidate{Domain: "south", Occupancy: 0.95, Fresh: true}, margin); crosses {
		t.Error("a request crosses for a difference of 0.05")
	}
	if crosses, probe := l.Crosses(0, 1, crossing.Candidate{Domain: "south", Occupancy: 0.85, Fresh: true}, margin); !crosses || probe {
		t.Error("no request crosses for a difference of 0.15")
	}
	probes := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		if _, probe := l.Crosses(now, 1, crossing.Candidate{Domain: "south"}, margin); probe {
			probes++
		}
	}
	if probes != 20 {
		t.Errorf("got %d requests for a report in 10 s, want 20", probes)
	}
}
