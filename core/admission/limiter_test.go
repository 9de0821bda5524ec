package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootward/core/admission"
)

// load keeps a limiter's server busy at its limit for a number of ends of
// service; latency returns how long one takes at that concurrency.
func load(l *admission.Limiter, now *time.Duration, ends int, latency func(running int) (string, time.Duration)) {
	for range ends {
		running := l.Limit()
		class, d := latency(running)
		*now += d / time.Duration(running)
		l.Observe(admission.Sample{Class: class, Began: *now - d, Ended: *now, Running: running})
	}
}

// scattered returns a time spread evenly over half to one and a half of mean.
func scattered(source *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + source.Float64()))
}

// A server announces 200 slots and has 10. Whatever it gets beyond them waits
// inside it, first come first served, until deadlines pass. The limit has to
// find about what it truly runs at once, from latency alone.
func TestLimitFindsTrueSlots(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 1))
	l := admission.NewLimiter(10)
	now := time.Hour
	quick := func(running int) (string, time.Duration) {
		return "GET /quotes", scattered(source, 60*time.Millisecond) * time.Duration(max(running, 10)) / 10
	}
	load(l, &now, 200, quick)
	l.SetSlots(200)
	load(l, &now, 2000, quick)
	if got := l.Limit(); got < 8 || got > 30 {
		t.Errorf("got limit %d, want about 10 to 20", got)
	}
}

// A server becomes four times slower for a reason that has nothing to do with
// concurrency. Fewer requests at once would make it lose its capacity on top;
// the limit may try that out but has to come back.
func TestLimitStaysWhenSlowForAnotherReason(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 1))
	l := admission.NewLimiter(30)
	now := time.Hour
	mean := 100 * time.Millisecond
	serve := func(int) (string, time.Duration) { return "GET /sections", scattered(source, mean) }
	load(l, &now, 500, serve)
	mean *= 4
	load(l, &now, 500, serve)
	if got := l.Limit(); got != 30 {
		t.Errorf("got limit %d after the trial, want 30", got)
	}
}

// One request in ten takes a hundred times longer than the others. When more
// long ones come than usual, mean latency grows twentyfold and nothing is
// wrong: a limit that took length for slowness would collapse.
func TestLimitStaysOnMixedWork(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 1))
	l := admission.NewLimiter(20)
	now := time.Hour
	long := 0.1
	serve := func(int) (string, time.Duration) {
		if source.Float64() < long {
			return "GET /archive", scattered(source, time.Second)
		}
		return "GET /quote", scattered(source, 10*time.Millisecond)
	}
	load(l, &now, 2000, serve)
	long = 0.9
	for range 50 {
		load(l, &now, 40, serve)
		if got := l.Limit(); got != 20 {
			t.Fatalf("got limit %d, want 20", got)
		}
	}
}
