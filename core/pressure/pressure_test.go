package pressure_test

import (
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
	}
	var running []job
	now := time.Duration(0)
	for range 8000 {
		now += 10 * time.Millisecond
		if len(running) < 8 && source.IntN(3) > 0 {
			class := []coltsfootward.RouteName{"one", "four", "none"}[source.IntN(3)]
			running = append(running, job{class: class, calls: perRun[class]})
			c.Began(now, class)
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
		c.Ended(now, running[i].class, false)
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
		c.Began(now, "calls")
		c.Began(now, "files")
		c.Called(now, "deep")
		now += 50 * time.Millisecond
		c.CallEnded(failing)
		c.Ended(now, "calls", failing)
		c.Ended(now, "files", false)
	}
	if got := c.Of(now, "calls"); len(got) != 1 {
		t.Errorf("calls: got %v, want deep", got)
	}
	if got := c.Of(now, "files"); len(got) != 0 {
		t.Errorf("files: got %v, want nothing", got)
	}
}

// plant is a deep service behind services that take lag to pass what the gate
// lets through.
type plant struct {
	gates  pressure.Gates
	source *rand.Rand
	now    time.Duration
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
			p.gates.Answered(p.now, "quotes", []pressure.Reported{{Service: "deep", Ratio: p.passed[len(p.passed)-lag]}})
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
	run := func(running, waiting int, refused time.Duration) float64 {
		var m pressure.Meter
		for now := time.Duration(0); now < 2*time.Second; now += plantStep {
			m.Observe(now, running, waiting)
			m.Refused(refused)
		}
		return m.Ratio(12)
	}
	if got := run(6, 0, 0); got < 0.5 || got > 0.7 {
		t.Errorf("half busy: got %.2f, want about 0.6", got)
	}
	if got := run(12, 12, 0); got < 1.3 {
		t.Errorf("busy with a queue: got %.2f, want well above 1", got)
	}
	// 10 ms of slot time refused in each 10 ms is one slot's worth.
	if got, without := run(12, 0, 10*time.Millisecond), run(12, 0, 0); got <= without {
		t.Errorf("with refused work: got %.2f, without %.2f, want more", got, without)
	}
}
