package emulation

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/nodetest"
)

const (
	// callerRepeats is how often a caller repeats a request that was not served.
	callerRepeats = 1
	// callerBackoff is the wait before a repeat that nobody told a time for.
	callerBackoff = 100 * time.Millisecond
	// returnPart is the part of its remaining time, one in so many, for which a
	// caller stays away at most.
	returnPart = 3
)

// wanted is what a caller wants: one answer, however often it asks.
type wanted struct {
	class   Class
	entry   int
	arrived time.Duration
	// repeats is how often it may still ask again.
	repeats int
}

// schedule draws the next arrival of a class by thinning: candidates come at the
// highest rate and are kept in proportion to the present one.
func (w *world) schedule(c Class) {
	peak := c.PerSecond * max(w.trouble.Burst, 1)
	wait := time.Duration(w.source.ExpFloat64() / peak * float64(time.Second))
	keep := w.source.Float64()
	w.rig.After(wait, func() {
		now := w.now()
		if now >= w.length {
			return
		}
		rate := c.PerSecond
		if w.trouble.Burst > 0 && w.trouble.BurstSpan.holds(now) {
			rate *= w.trouble.Burst
		}
		if keep < rate/peak {
			w.arrive(c, now)
		}
		w.schedule(c)
	})
}

func (w *world) arrive(c Class, now time.Duration) {
	a := &wanted{class: c, entry: w.source.IntN(len(w.members)), arrived: now, repeats: callerRepeats}
	w.outcome.asked(c, now)
	w.ask(a)
}

// alive returns the first member from the caller's own on that runs: callers of
// an instance that is gone go to another one.
func (w *world) alive(from int) *nodetest.Member {
	for i := range w.members {
		if m := w.members[(from+i)%len(w.members)]; m.Alive() {
			return m
		}
	}
	return w.members[from]
}

func (w *world) ask(a *wanted) {
	left := a.class.Deadline - (w.now() - a.arrived)
	o := w.alive(a.entry).Send(nodetest.Request{Key: key, Host: host, Path: pathOf(a.class), Timeout: left})
	o.OnDone(func() { w.ended(a, o) })
}

func (w *world) ended(a *wanted, o *nodetest.Outcome) {
	took := w.now() - a.arrived
	if o.Served() {
		w.outcome.served(a.class, a.arrived, took)
		return
	}
	left := a.class.Deadline - took
	wait := callerBackoff
	notRun := false
	if o.Refusal != nil {
		notRun = o.Refusal.Execution == coltsfootward.ExecutionNotRun
		if o.Refusal.RetryAfter > 0 {
			wait = o.Refusal.RetryAfter
		}
	}
	wait = min(wait, left/returnPart)
	if a.repeats == 0 || left <= 0 || a.class.Unrepeatable && !notRun {
		w.outcome.lost(a.class, a.arrived, notRun)
		return
	}
	a.repeats--
	w.rig.After(wait, func() { w.ask(a) })
}
