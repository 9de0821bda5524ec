package pressure_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/pressure"
)

// Three classes run side by side: one makes one call, one makes four calls to the
// same route, and one makes none. The calls do not name their parent request. If the
// third class were taken for a caller, it would be refused whenever the called
// service is saturated, although it could be served.
func TestCalleesDistinguishClasses(t *testing.T) {
	for seed := range uint64(8) {
		checkClassesDistinguished(t, rand.New(rand.NewPCG(seed, 2)))
	}
}

func checkClassesDistinguished(t *testing.T, source *rand.Rand) {
	t.Helper()
	var c pressure.Callees
	callsPerRequest := map[coltsfootward.RouteName]int{"one": 1, "four": 4, "none": 0}
	type job struct {
		class coltsfootward.RouteName
		calls int
		began time.Duration
	}
	var running []job
	now := time.Duration(0)
	for range 8000 {
		now += 10 * time.Millisecond
		if len(running) < 8 && source.IntN(3) > 0 {
			class := []coltsfootward.RouteName{"one", "four", "none"}[source.IntN(3)]
			running = append(running, job{class: class, calls: callsPerRequest[class], began: now})
			continue
		}
		if len(running) == 0 {
			continue
		}
		i := source.IntN(len(running))
		if running[i].calls > 0 {
			running[i].calls--
			c.CallStarted(now, "deep")
			continue
		}
		c.RequestEnded(now, running[i].began, running[i].class, false)
		running = append(running[:i], running[i+1:]...)
	}
	if got := c.Of(now, "four"); len(got) != 1 {
		t.Errorf("four: got %v, want deep", got)
	}
	if got := c.Of(now, "one"); len(got) != 1 {
		t.Errorf("one: got %v, want deep", got)
	}
	if got := c.Of(now, "none"); len(got) != 0 {
		t.Errorf("none: got %v, want nothing", got)
	}
}

// Two classes always run side by side, so the calls cannot be attributed by timing.
// Then the calls begin to fail, and requests of only one class fail with them. The
// other class does not need the called service.
func TestCalleesAttributeCallsByFailures(t *testing.T) {
	var c pressure.Callees
	now := time.Duration(0)
	for i := range 400 {
		now += 50 * time.Millisecond
		failing := i >= 200 && i%3 == 0
		began := now
		c.CallStarted(now, "deep")
		now += 50 * time.Millisecond
		c.CallEnded("deep", 50*time.Millisecond, failing)
		c.RequestEnded(now, began, "calls", failing)
		c.RequestEnded(now, began, "files", false)
	}
	if got := c.Of(now, "calls"); len(got) != 1 {
		t.Errorf("calls: got %v, want deep", got)
	}
	if got := c.Of(now, "files"); len(got) != 0 {
		t.Errorf("files: got %v, want nothing", got)
	}
}

// Guards against route names of old configurations that use up all classes.
// A node that had run for a long time then did not know which services the current
// classes need, and under overload the least important requests were admitted.
func TestCalleesReplaceOldRouteNames(t *testing.T) {
	var c pressure.Callees
	now := time.Duration(0)
	for generation := range 40 {
		calls := coltsfootward.RouteName(fmt.Sprintf("calls-%d", generation))
		deep := coltsfootward.RouteName(fmt.Sprintf("deep-%d", generation))
		for range 200 {
			began := now
			c.CallStarted(now, deep)
			now += 50 * time.Millisecond
			c.CallEnded(deep, 25*time.Millisecond, false)
			c.RequestEnded(now, began, calls, false)
		}
		if got := c.Of(now, calls); len(got) != 1 || got[0].Route != deep {
			t.Fatalf("generation %d: got %v, want %s", generation, got, deep)
		}
	}
}

// Two classes always run side by side, so the calls cannot be attributed by timing.
// Then the called service saturates: its calls take four times as long, and so do the
// requests that make them. Nodes that confused the two classes had the most important
// requests refused instead of the least important ones.
func TestCalleesAttributeCallsByDelays(t *testing.T) {
	var c pressure.Callees
	now := time.Duration(0)
	for i := range 400 {
		delay := time.Duration(0)
		if i >= 200 {
			delay = 75 * time.Millisecond
		}
		began := now
		c.CallStarted(now, "deep")
		now += 25*time.Millisecond + delay
		c.CallEnded("deep", 25*time.Millisecond+delay, false)
		now += 25 * time.Millisecond
		c.RequestEnded(now, began, "calls", false)
		c.RequestEnded(now, now-50*time.Millisecond, "files", false)
	}
	if got := c.Of(now, "calls"); len(got) != 1 {
		t.Errorf("calls: got %v, want deep", got)
	}
	if got := c.Of(now, "files"); len(got) != 0 {
		t.Errorf("files: got %v, want nothing", got)
	}
}

// Halfway through the run, the called services become five times slower, so the class
// that calls them takes five times as long for the same calls. Another class, which
// makes no calls, keeps its service time. When calls were fitted to the classes' time
// in service, some were attributed to the second class, and half of its requests were
// refused for lack of capacity at a service that it does not need.
func TestCalleesWhenOneClassSlowsDown(t *testing.T) {
	for seed := range uint64(8) {
		source := rand.New(rand.NewPCG(seed, 11))
		var c pressure.Callees
		at := make(map[int][]func(time.Duration))
		for step := range 6000 {
			now := time.Duration(step) * 10 * time.Millisecond
			for _, f := range at[step] {
				f(now)
			}
			delete(at, step)
			span := 12
			if step > 3000 {
				span = 60
			}
			if source.IntN(4) == 0 {
				for call := range 4 {
					at[step+1+call*span/4] = append(at[step+1+call*span/4], func(now time.Duration) { c.CallStarted(now, "deep") })
				}
				at[step+span] = append(at[step+span], func(ended time.Duration) { c.RequestEnded(ended, now, "calls", false) })
			}
			if source.IntN(6) == 0 {
				at[step+5] = append(at[step+5], func(ended time.Duration) { c.RequestEnded(ended, now, "files", false) })
			}
			if step < 500 || step%100 > 0 {
				continue
			}
			if got := c.Of(now, "calls"); len(got) != 1 {
				t.Fatalf("seed %d at %v: calls: got %v, want deep", seed, now, got)
			}
			if got := c.Of(now, "files"); len(got) != 0 {
				t.Fatalf("seed %d at %v: files: got %v, want nothing", seed, now, got)
			}
		}
	}
}

// simulation is a service at the end of a call chain. The load that its gate admits
// shows at the service with a delay.
type simulation struct {
	throttle pressure.Throttle
	gates    pressure.Gates
	source   *rand.Rand
	now      time.Duration
	// admitted holds the admitted load in multiples of the capacity, with one entry
	// per 10 ms.
	admitted []float64
}

const simulationStep = 10 * time.Millisecond

// run offers demand, in multiples of the capacity, for d. It returns the average load
// that reached the service in the last second, in the same unit.
func (s *simulation) run(demand float64, d time.Duration) float64 {
	const perStep, lag = 20, 60
	for range int(d / simulationStep) {
		s.now += simulationStep
		admitted := 0
		for range perStep {
			rank := uint32(1)<<28 | uint32(s.source.IntN(3))<<26 | s.source.Uint32N(1<<26)
			if _, ok := s.gates.Admit("quotes", rank); ok {
				admitted++
			}
		}
		s.gates.Tick(s.now)
		s.admitted = append(s.admitted, demand*float64(admitted)/perStep)
		if len(s.admitted) > lag {
			s.throttle.Observe(s.now, s.admitted[len(s.admitted)-lag])
			s.gates.ObserveResponse(s.now, "quotes", []pressure.Report{{Service: "deep", Excess: s.throttle.Excess()}})
		}
	}
	sum := 0.0
	last := s.admitted[len(s.admitted)-100:]
	for _, x := range last {
		sum += x
	}
	return sum / float64(len(last))
}

// A burst offers twice the capacity of a service, and the admitted load shows there
// 0.6 s later. A gate that corrects the same overload again and again until the
// effect shows oscillates between closed and open, and serves little more than half.
func TestGateSettlesAtCapacity(t *testing.T) {
	p := &simulation{source: rand.New(rand.NewPCG(3, 4))}
	if got := p.run(0.5, 3*time.Second); got < 0.49 {
		t.Fatalf("calm: %.2f of the capacity reached the service, want all of the demand, 0.5", got)
	}
	p.run(2, 3*time.Second)
	for second := range 5 {
		got := p.run(2, time.Second)
		if math.Abs(got-1) > 0.25 {
			t.Errorf("second %d of the burst: %.2f of the capacity reached the service, want about 1", 3+second, got)
		}
	}
	if got := p.run(0.5, 4*time.Second); got < 0.48 {
		t.Errorf("after the burst: %.2f of the capacity reached the service, want 0.5", got)
	}
}

// Two entry nodes receive reports of the same servers, one of them rarely. During an
// overload of several minutes, both should refuse the same fraction of their demand.
// When each node accumulated the reports in its own state, one refused nearly
// everything and the other nearly nothing for the whole overload.
func TestGatesOfTwoNodesAgree(t *testing.T) {
	var throttle pressure.Throttle
	var frequent, rare pressure.Gates
	source := rand.New(rand.NewPCG(13, 14))
	fractions := make(map[*pressure.Gates]float64)
	const perStep, demand = 20, 1.8
	for step := range 6000 {
		now := time.Duration(step) * simulationStep
		load := 0.0
		for _, g := range []*pressure.Gates{&frequent, &rare} {
			admitted := 0
			for range perStep {
				if _, ok := g.Admit("quotes", uint32(1)<<28|source.Uint32N(1<<28)); ok {
					admitted++
				}
			}
			g.Tick(now)
			load += demand / 2 * float64(admitted) / perStep
			fractions[g] += 0.01 * (float64(admitted)/perStep - fractions[g])
		}
		throttle.Observe(now, load)
		reports := []pressure.Report{{Service: "deep", Excess: throttle.Excess()}}
		frequent.ObserveResponse(now, "quotes", reports)
		if step%30 == 0 {
			rare.ObserveResponse(now, "quotes", reports)
		}
		if step > 1000 && math.Abs(fractions[&frequent]-fractions[&rare]) > 0.15 {
			t.Fatalf("at %v: one node admits %.2f of its demand and the other %.2f, want the same", now, fractions[&frequent], fractions[&rare])
		}
	}
}

// At twice the capacity, all of the most important third of the demand is served, and the
// least important third gets its least part and no more.
func TestGateRefusesLeastImportantFirst(t *testing.T) {
	p := &simulation{source: rand.New(rand.NewPCG(5, 6))}
	p.run(2, 8*time.Second)
	served := make(map[int]int)
	const tries = 300
	for class := range 3 {
		for range tries {
			if _, ok := p.gates.Admit("quotes", uint32(1)<<28|uint32(class)<<26|p.source.Uint32N(1<<26)); ok {
				served[class]++
			}
		}
	}
	if served[0] < tries*95/100 || served[2] > served[1] || served[2] > tries*30/100 || served[2] < tries*15/100 {
		t.Errorf("served %v of %d each, want nearly all of class 0, and a quarter of class 2", served, tries)
	}
}

// Requests that need no saturated service are admitted.
func TestGateAdmitsUnrelatedClasses(t *testing.T) {
	p := &simulation{source: rand.New(rand.NewPCG(7, 8))}
	p.run(3, 5*time.Second)
	if _, ok := p.gates.Admit("files", math.MaxUint32>>2); !ok {
		t.Error("a class that does not need the saturated service was refused")
	}
}

// Once a class is refused completely, no response reports the load of the service any
// more. Without reports the gate reopens.
func TestGateReopensWithoutReports(t *testing.T) {
	p := &simulation{source: rand.New(rand.NewPCG(9, 10))}
	p.run(4, 5*time.Second)
	for range 40 {
		p.now += 100 * time.Millisecond
		p.gates.Tick(p.now)
	}
	if _, ok := p.gates.Admit("quotes", 1<<30-1); !ok {
		t.Error("got a refusal 4 s after the last report, want none")
	}
}

// The ratio of a server with all slots busy and a queue is above 1, that of a
// half-busy server is well below 1, and refused work counts as offered.
func TestMeterRatio(t *testing.T) {
	run := func(running int, backlog, arriving time.Duration) float64 {
		var m pressure.Meter
		for now := time.Duration(0); now < 2*time.Second; now += simulationStep {
			m.Observe(now, running, backlog)
			m.Arrived(arriving)
		}
		return m.Ratio(12)
	}
	// 10 ms of slot time per 10 ms occupies one slot.
	if got := run(6, 0, 60*time.Millisecond); got < 0.5 || got > 0.7 {
		t.Errorf("half busy: got %.2f, want about 0.6", got)
	}
	if got := run(12, 500*time.Millisecond, 120*time.Millisecond); got < 1.3 {
		t.Errorf("busy with a queue: got %.2f, want well above 1", got)
	}
	if got, without := run(12, 0, 130*time.Millisecond), run(12, 0, 120*time.Millisecond); got <= without {
		t.Errorf("with refused work: got %.2f, without %.2f, want more", got, without)
	}
}

// A service is offered three times its capacity, and most of it is refused in the
// queue. When the load was measured by the running and waiting requests, every demand
// above the slots looked the same, and the gates closed by half each second while
// requests that had already started failed. The ratio must distinguish a demand of 3
// from one of 1.5.
func TestMeterRatioFollowsDemandAboveCapacity(t *testing.T) {
	ratio := func(demand float64) float64 {
		var m pressure.Meter
		const slots = 40
		for now := time.Duration(0); now < time.Second; now += simulationStep {
			m.Observe(now, slots, 0)
			m.Arrived(time.Duration(demand * slots * float64(simulationStep)))
		}
		return m.Ratio(slots)
	}
	for _, demand := range []float64{1.5, 3} {
		if got := ratio(demand); math.Abs(got-demand) > 0.2*demand {
			t.Errorf("demand %.1f: got ratio %.2f", demand, got)
		}
	}
}

// A faulty server rejects half of its requests at any load, and the rejected requests
// are retried. When the retries counted as offered load, entry nodes refused callers
// while half of the server's slots were free.
func TestMeterExcludesRejectedRequests(t *testing.T) {
	var m pressure.Meter
	for now := time.Duration(0); now < 2*time.Second; now += simulationStep {
		m.Observe(now, 6, 0)
		m.Arrived(120 * time.Millisecond)
		m.Rejected(60 * time.Millisecond)
	}
	if got := m.Ratio(12); got > 0.75 {
		t.Errorf("got ratio %.2f of a server that is half busy", got)
	}
}

// A service is offered twice its capacity by two classes of equal importance, one of
// which takes four times the slot time of the other. When requests were refused at
// random, half of all callers gave up. Nearly all cheap requests must be served, and
// a share of the expensive ones in proportion to the share of the others, so that a
// longer overload starves no class.
func TestExpensiveRequestsAreRefusedFirst(t *testing.T) {
	for _, test := range []struct {
		excess                 float64
		minCheap, minExpensive float64
		maxExpensive           float64
	}{
		{excess: 0.3, minCheap: 0.95, minExpensive: 0.3, maxExpensive: 0.7},
		{excess: 0.8, minCheap: 0.2, minExpensive: 0.05, maxExpensive: 0.25},
	} {
		source := rand.New(rand.NewPCG(19, 20))
		var g pressure.Gates
		served := make(map[coltsfootward.RouteName]float64)
		const steps, kinds = 2000, 4
		for step := range steps {
			now := time.Duration(step) * simulationStep
			for kind := range kinds {
				class, cost := coltsfootward.RouteName("cheap"), 0.12
				if kind == 0 {
					class, cost = "expensive", 0.48
				}
				rank := uint32(6)<<26 | source.Uint32N(1<<26)
				if _, ok := g.Admit(class, rank); ok && step >= steps/2 {
					served[class]++
				}
				g.ObserveResponse(now, class, []pressure.Report{{Service: "fittings", Excess: test.excess, Cost: cost}})
			}
			g.Tick(now)
		}
		cheap, expensive := served["cheap"]/(steps/2*(kinds-1)), served["expensive"]/(steps/2)
		if cheap < test.minCheap || expensive < test.minExpensive || expensive > test.maxExpensive {
			t.Errorf("excess %.1f: served %.2f of the cheap and %.2f of the expensive requests", test.excess, cheap, expensive)
		}
		if work := (cheap*0.12*(kinds-1) + expensive*0.48) / (0.12*(kinds-1) + 0.48); math.Abs(work-(1-test.excess)) > 0.1 {
			t.Errorf("excess %.1f: %.2f of the work was admitted", test.excess, work)
		}
	}
}

// On a nearly saturated server, a class without child calls takes longer, and so do
// the calls that other classes make from there. When the class was taken for a
// caller, it was refused whenever the called service was saturated, which lost a
// quarter of the requests that could have been served.
func TestCalleesOnSlowServer(t *testing.T) {
	source := rand.New(rand.NewPCG(21, 22))
	var c pressure.Callees
	at := make(map[int][]func(time.Duration))
	for step := range 6000 {
		now := time.Duration(step) * 10 * time.Millisecond
		for _, f := range at[step] {
			f(now)
		}
		delete(at, step)
		slow := 0
		if step > 3000 {
			slow = 6
		}
		if source.IntN(4) == 0 {
			for call := range 4 {
				at[step+1+call*(4+slow)] = append(at[step+1+call*(4+slow)], func(now time.Duration) { c.CallStarted(now, "deep") })
				took := time.Duration(4+slow) * 10 * time.Millisecond
				at[step+1+(call+1)*(4+slow)] = append(at[step+1+(call+1)*(4+slow)], func(time.Duration) { c.CallEnded("deep", took, false) })
			}
			at[step+18+4*slow] = append(at[step+18+4*slow], func(ended time.Duration) { c.RequestEnded(ended, now, "calls", false) })
		}
		if source.IntN(4) == 0 {
			at[step+18+2*slow] = append(at[step+18+2*slow], func(ended time.Duration) { c.RequestEnded(ended, now, "files", false) })
		}
		if step < 1000 || step%100 > 0 {
			continue
		}
		if got := c.Of(now, "calls"); len(got) != 1 {
			t.Fatalf("at %v: calls: got %v, want deep", now, got)
		}
		if got := c.Of(now, "files"); len(got) != 0 {
			t.Fatalf("at %v: files: got %v, want nothing", now, got)
		}
	}
}

// Guards against a measured load that depends on how often the node observes the
// server: an idle node observes it rarely.
func TestMeterRatioIndependentOfObservationRate(t *testing.T) {
	ratio := func(tick time.Duration) float64 {
		var m pressure.Meter
		running := 0
		var now, next time.Duration
		for step := range 400 {
			now = time.Duration(step) * 7 * time.Millisecond
			for ; next < now; next += tick {
				m.Observe(next, running, 0)
			}
			m.Observe(now, running, 0)
			running = (step * 5) % 11
		}
		return m.Ratio(10)
	}
	quick, slow := ratio(time.Millisecond), ratio(50*time.Millisecond)
	if math.Abs(quick-slow) > 0.01*quick {
		t.Errorf("got a ratio of %.4f when observed each ms and %.4f each 50 ms, want the same", quick, slow)
	}
}

// Guards against an entry node that receives two reports per second about a service,
// and therefore follows its overload seconds later than a node that receives many.
func TestGateFollowsRareReports(t *testing.T) {
	admitted := func(every time.Duration) float64 {
		var g pressure.Gates
		now := time.Second
		g.ObserveResponse(now, "quotes", []pressure.Report{{Service: "quotes", Excess: 0}})
		for ; now < 2*time.Second; now += every {
			g.ObserveResponse(now, "quotes", []pressure.Report{{Service: "quotes", Excess: 0.8}})
			g.Tick(now)
		}
		return g.State(now, "quotes").Admitted
	}
	if frequent, rare := admitted(35*time.Millisecond), admitted(400*time.Millisecond); rare > frequent+0.1 {
		t.Errorf("got %.2f admitted with a report each 400 ms and %.2f with one each 35 ms, want about the same", rare, frequent)
	}
}

// Guards against a server that is partly idle for seconds when the effect of its
// reports shows after twice the time that the throttle assumes.
func TestThrottleRecoversWhileServerIsIdle(t *testing.T) {
	const lag = 2 * time.Second
	var throttle pressure.Throttle
	var history []float64
	idle := 0
	const step = 100 * time.Millisecond
	for now := time.Duration(0); now < 20*time.Second; now += step {
		admitted := 1.0
		if i := len(history) - int(lag/step); i >= 0 {
			admitted = history[i]
		}
		ratio := 1.5 * admitted
		throttle.Observe(now, ratio)
		history = append(history, 1-throttle.Excess())
		if now >= 6*time.Second && ratio < 0.7 {
			idle++
		}
	}
	if limit := 4 * int(time.Second/step); idle > limit {
		t.Errorf("the ratio was below 0.7 for %d of 140 steps, want at most %d", idle, limit)
	}
}
