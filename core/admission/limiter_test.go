package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootward/core/admission"
)

// runAtLimit keeps the server of a limiter busy at its limit until the given number
// of requests has completed. latency returns the class and duration of a request at
// that concurrency.
func runAtLimit(l *admission.Limiter, now *time.Duration, ends int, latency func(running int) (string, time.Duration)) {
	for range ends {
		running := l.Limit()
		class, d := latency(running)
		*now += d / time.Duration(running)
		l.Observe(admission.Sample{Class: class, Began: *now - d, Ended: *now, Running: running})
	}
}

// jittered returns a time that is uniformly distributed between 0.5 and 1.5 times
// mean.
func jittered(source *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + source.Float64()))
}

// A server announces 200 slots and has 10. Requests beyond these wait inside it, in
// order of arrival, until their deadlines pass. From latency alone, the limit must
// approach the concurrency that the server can sustain.
func TestLimitApproachesTrueCapacity(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 1))
	l := admission.NewLimiter(10)
	now := time.Hour
	quick := func(running int) (string, time.Duration) {
		return "GET /quotes", jittered(source, 60*time.Millisecond) * time.Duration(max(running, 10)) / 10
	}
	runAtLimit(l, &now, 200, quick)
	l.SetSlots(200)
	runAtLimit(l, &now, 2000, quick)
	if got := l.Limit(); got < 8 || got > 30 {
		t.Errorf("got limit %d, want about 10 to 20", got)
	}
}

// A server becomes four times slower for a reason unrelated to concurrency. A lower
// limit would cost capacity as well, so it must be restored after the trial.
func TestLimitRestoredAfterUnrelatedSlowdown(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 1))
	l := admission.NewLimiter(30)
	now := time.Hour
	mean := 100 * time.Millisecond
	serve := func(int) (string, time.Duration) { return "GET /sections", jittered(source, mean) }
	runAtLimit(l, &now, 500, serve)
	mean *= 4
	runAtLimit(l, &now, 500, serve)
	if got := l.Limit(); got != 30 {
		t.Errorf("got limit %d after the trial, want 30", got)
	}
}

// One request in ten takes a hundred times longer than the others. When nine in ten
// do, mean latency rises about eightfold without a fault. A limit that mistook long
// requests for slowness would collapse.
func TestLimitUnaffectedByMixedWork(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 1))
	l := admission.NewLimiter(20)
	now := time.Hour
	long := 0.1
	serve := func(int) (string, time.Duration) {
		if source.Float64() < long {
			return "GET /archive", jittered(source, time.Second)
		}
		return "GET /quote", jittered(source, 10*time.Millisecond)
	}
	runAtLimit(l, &now, 2000, serve)
	long = 0.9
	for range 50 {
		runAtLimit(l, &now, 40, serve)
		if got := l.Limit(); got != 20 {
			t.Fatalf("got limit %d, want 20", got)
		}
	}
}
