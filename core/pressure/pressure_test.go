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

// A class that makes one call and another that makes four, to the same route, run
// side by side, and a third one makes none. The calls name no parent. Taken for
// one that needs the deep service, the third would be refused whenever that one
// is full, though it could be served.
func TestCalleesTellClassesApart(t *testing.T) {
	for seed := range uint64(8) {
		testCallees(t, rand.New(rand.NewPCG(seed, 2)))
	}
}

func testCallees(t *testing.T, source *rand.Rand) {
	t.Helper()
	var c pressure.Callees
	perRun := map[coltsfootward.RouteName]int{"one": 1, "four": 4, "none": 0}
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
			running = append(running, job{class: class, calls: perRun[class], began: now})
			continue
		}
		if len(running) == 0 {
			continue
		}
		i := source.IntN(len(running))
		if running[i].calls > 0 {
			running[i].calls--
			c.Called(now, "deep")
			continue
		}
		c.Ended(now, running[i].began, running[i].class, false)
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

// Two classes always run side by side, so that nothing but chance tells which of
// them makes the calls. Then the calls begin to fail, and with them the requests of
// one class only: the other one does not need the deep service.
func TestFailuresTellWhoNeedsTheDeepService(t *testing.T) {
	var c pressure.Callees
	now := time.Duration(0)
	for i := range 400 {
		now += 50 * time.Millisecond
		failing := i >= 200 && i%3 == 0
		began := now
		c.Called(now, "deep")
		now += 50 * time.Millisecond
		c.CallEnded("deep", 50*time.Millisecond, failing)
		c.Ended(now, began, "calls", failing)
		c.Ended(now, began, "files", false)
	}
	if got := c.Of(now, "calls"); len(got) != 1 {
		t.Errorf("calls: got %v, want deep", got)
	}
	if got := c.Of(now, "files"); len(got) != 0 {
		t.Errorf("files: got %v, want nothing", got)
	}
}

// Configurations give routes new names again and again. The names of old ones kept
// all places for classes, and a node that had run for long knew of no present class
// which services it needs: under overload the least important requests passed.
func TestCalleesForgetOldNames(t *testing.T) {
	var c pressure.Callees
	now := time.Duration(0)
	for generation := range 40 {
		calls := coltsfootward.RouteName(fmt.Sprintf("calls-%d", generation))
		deep := coltsfootward.RouteName(fmt.Sprintf("deep-%d", generation))
		for range 200 {
			began := now
			c.Called(now, deep)
			now += 50 * time.Millisecond
			c.CallEnded(deep, 25*time.Millisecond, false)
			c.Ended(now, began, calls, false)
		}
		if got := c.Of(now, calls); len(got) != 1 || got[0].Route != deep {
			t.Fatalf("generation %d: got %v, want %s", generation, got, deep)
		}
	}
}

// Two classes always run side by side, so that nothing but chance tells which of
// them makes the calls. Then the deep service fills up: its calls take four times
// as long, and so do the requests that make them. Nodes that took one class for the
// other had the most important requests refused in place of the least important.
func TestDelaysTellWhoNeedsTheDeepService(t *testing.T) {
	var c pressure.Callees
	now := time.Duration(0)
	for i := range 400 {
		delay := time.Duration(0)
		if i >= 200 {
			delay = 75 * time.Millisecond
		}
		began := now
		c.Called(now, "deep")
		now += 25*time.Millisecond + delay
		c.CallEnded("deep", 25*time.Millisecond+delay, false)
		now += 25 * time.Millisecond
		c.Ended(now, began, "calls", false)
		c.Ended(now, now-50*time.Millisecond, "files", false)
	}
	if got := c.Of(now, "calls"); len(got) != 1 {
		t.Errorf("calls: got %v, want deep", got)
	}
	if got := c.Of(now, "files"); len(got) != 0 {
		t.Errorf("files: got %v, want nothing", got)
	}
}

// In the middle of the run the services below become five times slower, so that a
// class takes as much longer for the same calls. Another one that makes none takes
// as long as ever. Fitted to their time in service, it seemed to make some of the
// calls, and half of it was refused for want of room at a service that it does not
// need.
func TestCalleesOfClassThatSlowsDown(t *testing.T) {
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
					at[step+1+call*span/4] = append(at[step+1+call*span/4], func(now time.Duration) { c.Called(now, "deep") })
				}
				at[step+span] = append(at[step+span], func(ended time.Duration) { c.Ended(ended, now, "calls", false) })
			}
			if source.IntN(6) == 0 {
				at[step+5] = append(at[step+5], func(ended time.Duration) { c.Ended(ended, now, "files", false) })
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

// plant is a deep service behind services that take lag to pass what the gate
// lets through.
type plant struct {
	throttle pressure.Throttle
	gates    pressure.Gates
	source   *rand.Rand
	now      time.Duration
	// passed holds how much was let through, a slot for each 10 ms.
	passed []float64
}

const plantStep = 10 * time.Millisecond

// run offers demand, in multiples of the capacity, for d and returns what reached
// the service on average over the last second, in the same unit.
func (p *plant) run(demand float64, d time.Duration) float64 {
	const perStep, lag = 20, 60
	for range int(d / plantStep) {
		p.now += plantStep
		admitted := 0
		for range perStep {
			rank := uint32(1)<<28 | uint32(p.source.IntN(3))<<26 | p.source.Uint32N(1<<26)
			if _, ok := p.gates.Admit("quotes", rank); ok {
				admitted++
			}
		}
		p.gates.Tick(p.now)
		p.passed = append(p.passed, demand*float64(admitted)/perStep)
		if len(p.passed) > lag {
			p.throttle.Observe(p.now, p.passed[len(p.passed)-lag])
			p.gates.Answered(p.now, "quotes", []pressure.Reported{{Service: "deep", Excess: p.throttle.Excess()}})
		}
	}
	sum := 0.0
	last := p.passed[len(p.passed)-100:]
	for _, x := range last {
		sum += x
	}
	return sum / float64(len(last))
}

// A burst asks twice of a deep service what it has, and what is let pass shows
// there 0.6 s later. A gate that answers the same overload again until it shows
// swings between shut and open and serves little more than half.
func TestGateSettlesAtCapacity(t *testing.T) {
	p := &plant{source: rand.New(rand.NewPCG(3, 4))}
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

// Two entry nodes hear of the same servers, one of them rarely. An overload lasts
// for minutes at which both should refuse the same part of their demand. When each
// summed up by itself what it had heard, one of them refused nearly everything and
// the other nearly nothing for as long as it lasted.
func TestGatesOfTwoNodesStayTogether(t *testing.T) {
	var throttle pressure.Throttle
	var often, rarely pressure.Gates
	source := rand.New(rand.NewPCG(13, 14))
	passed := make(map[*pressure.Gates]float64)
	const perStep, demand = 20, 1.8
	for step := range 6000 {
		now := time.Duration(step) * plantStep
		load := 0.0
		for _, g := range []*pressure.Gates{&often, &rarely} {
			admitted := 0
			for range perStep {
				if _, ok := g.Admit("quotes", uint32(1)<<28|source.Uint32N(1<<28)); ok {
					admitted++
				}
			}
			g.Tick(now)
			load += demand / 2 * float64(admitted) / perStep
			passed[g] += 0.01 * (float64(admitted)/perStep - passed[g])
		}
		throttle.Observe(now, load)
		told := []pressure.Reported{{Service: "deep", Excess: throttle.Excess()}}
		often.Answered(now, "quotes", told)
		if step%30 == 0 {
			rarely.Answered(now, "quotes", told)
		}
		if step > 1000 && math.Abs(passed[&often]-passed[&rarely]) > 0.15 {
			t.Fatalf("at %v: one node lets %.2f pass and the other %.2f, want the same", now, passed[&often], passed[&rarely])
		}
	}
}

// Under twice the capacity the least important third of the demand and half of
// the next go, and the most important is served whole.
func TestGateRefusesTheLeastImportant(t *testing.T) {
	p := &plant{source: rand.New(rand.NewPCG(5, 6))}
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
	if served[0] < tries*95/100 || served[2] > tries*5/100 {
		t.Errorf("served %v of %d each, want nearly all of class 0 and nearly none of class 2", served, tries)
	}
}

// Requests that need no full service go on.
func TestGateLeavesOtherClassesAlone(t *testing.T) {
	p := &plant{source: rand.New(rand.NewPCG(7, 8))}
	p.run(3, 5*time.Second)
	if _, ok := p.gates.Admit("files", math.MaxUint32>>2); !ok {
		t.Error("a class that does not need the full service was refused")
	}
}

// Once all of a class is refused, no answer tells any more how full the service
// is. Without news the gate opens by itself.
func TestGateOpensWithoutNews(t *testing.T) {
	p := &plant{source: rand.New(rand.NewPCG(9, 10))}
	p.run(4, 5*time.Second)
	for range 40 {
		p.now += 100 * time.Millisecond
		p.gates.Tick(p.now)
	}
	if _, ok := p.gates.Admit("quotes", 1<<30-1); !ok {
		t.Error("got a refusal 4 s after the last news, want none")
	}
}

// A server with all slots busy and a queue is over 1, one that is half busy is
// well below it, and work refused for want of room counts as offered.
func TestMeterRatio(t *testing.T) {
	run := func(running int, backlog, arriving time.Duration) float64 {
		var m pressure.Meter
		for now := time.Duration(0); now < 2*time.Second; now += plantStep {
			m.Observe(now, running, backlog)
			m.Arrived(arriving)
		}
		return m.Ratio(12)
	}
	// 10 ms of slot time arriving in each 10 ms is one slot's worth.
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

// A service is asked for three times what it has, and most of it is refused in the
// queue. Measured by what runs and waits, every demand above the slots looked the
// same, and the entries closed by half each second while requests that had begun
// failed. The ratio is to tell three times from one and a half.
func TestMeterTellsHowFarTheDemandLiesAbove(t *testing.T) {
	ratio := func(demand float64) float64 {
		var m pressure.Meter
		const slots = 40
		for now := time.Duration(0); now < time.Second; now += plantStep {
			m.Observe(now, slots, 0)
			m.Arrived(time.Duration(demand * slots * float64(plantStep)))
		}
		return m.Ratio(slots)
	}
	for _, demand := range []float64{1.5, 3} {
		if got := ratio(demand); math.Abs(got-demand) > 0.2*demand {
			t.Errorf("demand %.1f: got ratio %.2f", demand, got)
		}
	}
}

// A faulty server rejects half of what it gets, whatever its load, and what it
// rejects is sent again. Counted as offered, the repeats had entries refuse callers
// while the server stood half empty.
func TestMeterLeavesOutWhatAServerRejects(t *testing.T) {
	var m pressure.Meter
	for now := time.Duration(0); now < 2*time.Second; now += plantStep {
		m.Observe(now, 6, 0)
		m.Arrived(120 * time.Millisecond)
		m.Rejected(60 * time.Millisecond)
	}
	if got := m.Ratio(12); got > 0.75 {
		t.Errorf("got ratio %.2f of a server that is half busy", got)
	}
}

// A service is asked for twice what it has. Two kinds of request are equally
// important; one takes four times the other's slot time. Refused by chance alone,
// half of all callers went away. The cheap ones are to be served nearly whole, and
// of the dear ones a part that is in proportion to what is served of the others, so
// that a longer overload starves nobody.
func TestDearRequestsMakeRoom(t *testing.T) {
	for _, test := range []struct {
		excess            float64
		leastCheap, least float64
		mostDear          float64
	}{
		{excess: 0.3, leastCheap: 0.95, least: 0.3, mostDear: 0.7},
		{excess: 0.8, leastCheap: 0.2, least: 0.05, mostDear: 0.25},
	} {
		source := rand.New(rand.NewPCG(19, 20))
		var g pressure.Gates
		served := make(map[coltsfootward.RouteName]float64)
		const steps, kinds = 2000, 4
		for step := range steps {
			now := time.Duration(step) * plantStep
			for kind := range kinds {
				class, cost := coltsfootward.RouteName("cheap"), 0.12
				if kind == 0 {
					class, cost = "dear", 0.48
				}
				rank := uint32(6)<<26 | source.Uint32N(1<<26)
				if _, ok := g.Admit(class, rank); ok && step >= steps/2 {
					served[class]++
				}
				g.Answered(now, class, []pressure.Reported{{Service: "fittings", Excess: test.excess, Cost: cost}})
			}
			g.Tick(now)
		}
		cheap, dear := served["cheap"]/(steps/2*(kinds-1)), served["dear"]/(steps/2)
		if cheap < test.leastCheap || dear < test.least || dear > test.mostDear {
			t.Errorf("%.1f to refuse: served %.2f of the cheap and %.2f of the dear requests", test.excess, cheap, dear)
		}
		if work := (cheap*0.12*(kinds-1) + dear*0.48) / (0.12*(kinds-1) + 0.48); math.Abs(work-(1-test.excess)) > 0.1 {
			t.Errorf("%.1f to refuse: %.2f of the work was let pass", test.excess, work)
		}
	}
}

// On a server that is nearly full a class without any further calls takes longer,
// while the calls that others make from there do so too. Taken for a caller of the
// service that is called, it was refused whenever that one was full: a quarter of
// the requests that it could have served.
func TestSlowServerDoesNotMakeACaller(t *testing.T) {
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
				at[step+1+call*(4+slow)] = append(at[step+1+call*(4+slow)], func(now time.Duration) { c.Called(now, "deep") })
				took := time.Duration(4+slow) * 10 * time.Millisecond
				at[step+1+(call+1)*(4+slow)] = append(at[step+1+(call+1)*(4+slow)], func(time.Duration) { c.CallEnded("deep", took, false) })
			}
			at[step+18+4*slow] = append(at[step+18+4*slow], func(ended time.Duration) { c.Ended(ended, now, "calls", false) })
		}
		if source.IntN(4) == 0 {
			at[step+18+2*slow] = append(at[step+18+2*slow], func(ended time.Duration) { c.Ended(ended, now, "files", false) })
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

// Guards against a server's load that depends on how often its node looks at it: a
// node at rest looks seldom.
func TestMeterDoesNotDependOnHowOftenItIsAsked(t *testing.T) {
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
		t.Errorf("got a ratio of %.4f looked at each ms and %.4f each 50 ms, want the same", quick, slow)
	}
}

// Guards against an entry node that hears of a service twice a second and follows its
// overload seconds later than one that hears of it all the time.
func TestGateFollowsRareReportsAsSoonAsFrequentOnes(t *testing.T) {
	passed := func(every time.Duration) float64 {
		var g pressure.Gates
		now := time.Second
		g.Answered(now, "quotes", []pressure.Reported{{Service: "quotes", Excess: 0}})
		for ; now < 2*time.Second; now += every {
			g.Answered(now, "quotes", []pressure.Reported{{Service: "quotes", Excess: 0.8}})
			g.Tick(now)
		}
		return g.State(now, "quotes").Passed
	}
	if frequent, rare := passed(35*time.Millisecond), passed(400*time.Millisecond); rare > frequent+0.1 {
		t.Errorf("got %.2f let pass with a report each 400 ms and %.2f with one each 35 ms, want about the same", rare, frequent)
	}
}

// Guards against a server that stands part empty for seconds where what it says takes
// twice as long to show as the throttle takes into account.
func TestThrottleOpensWhileTheServerIsIdle(t *testing.T) {
	const lag = 2 * time.Second
	var throttle pressure.Throttle
	var history []float64
	idle := 0
	const step = 100 * time.Millisecond
	for now := time.Duration(0); now < 20*time.Second; now += step {
		passed := 1.0
		if i := len(history) - int(lag/step); i >= 0 {
			passed = history[i]
		}
		ratio := 1.5 * passed
		throttle.Observe(now, ratio)
		history = append(history, 1-throttle.Excess())
		if now >= 6*time.Second && ratio < 0.7 {
			idle++
		}
	}
	if limit := 4 * int(time.Second/step); idle > limit {
		t.Errorf("the server was more than 0.3 idle for %d of 140 steps, want at most %d", idle, limit)
	}
}
