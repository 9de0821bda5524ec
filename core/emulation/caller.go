package emulation

import (
	"math"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/nodetest"
)

const (
	// callerRetries is how often a caller retries a request that was not
	// served.
	callerRetries = 1
	// callerBackoff is the wait before a retry, unless a refusal contains a
	// different one.
	callerBackoff = 100 * time.Millisecond
	// A caller waits for at most 1/maxWaitDivisor of its remaining time before
	// a retry.
	maxWaitDivisor = 3
)

// callerRequest is one request of a caller with all its retries.
type callerRequest struct {
	class Class
	// organisation is the index of the caller's organisation.
	organisation int
	entry        int
	arrived      time.Duration
	// retries is how many retries remain.
	retries int
}

// kind returns what a request's outcome is counted by.
func (r *callerRequest) kind() requestKind {
	return requestKind{Class: r.class, organisation: r.organisation}
}

// scheduleArrival draws the next arrival of a class by thinning: candidates
// arrive at the peak rate, and each is accepted with the ratio of the present
// rate to the peak rate.
func (w *world) scheduleArrival(c Class) {
	peak := c.PerSecond * max(w.disturbance.Burst, 1)
	wait := time.Duration(w.source.ExpFloat64() / peak * float64(time.Second))
	draw := w.source.Float64()
	w.rig.After(wait, func() {
		now := w.now()
		if now >= w.length {
			return
		}
		rate := c.PerSecond
		if w.inBurst(c, now) {
			rate *= w.disturbance.Burst
		}
		if draw < rate/peak {
			w.arrive(c, now)
		}
		w.scheduleArrival(c)
	})
}

// inBurst reports whether callers send more requests of a class than usual.
func (w *world) inBurst(c Class, now time.Duration) bool {
	d := w.disturbance
	return d.Burst > 0 && d.BurstSpan.contains(now) && (d.BurstClass == "" || d.BurstClass == c.Name)
}

func (w *world) arrive(c Class, now time.Duration) {
	req := &callerRequest{class: c, arrived: now, retries: callerRetries}
	req.organisation, req.entry = w.drawCaller(now)
	w.outcome.addRequest(req.kind(), now)
	w.send(req)
}

// drawCaller returns the organisation of a caller and the instance at which it enters.
func (w *world) drawCaller(now time.Duration) (organisation, entry int) {
	organisations := w.deployment.Organisations
	if len(organisations) == 0 {
		return 0, w.chooseEntry(now)
	}
	total := 0.0
	for _, o := range organisations {
		total += o.Demand
	}
	drawn := w.source.Float64() * total
	for organisation < len(organisations)-1 && drawn >= organisations[organisation].Demand {
		drawn -= organisations[organisation].Demand
		organisation++
	}
	entries := w.entries[organisation]
	return organisation, entries[w.source.IntN(len(entries))]
}

// chooseEntry draws the member at which a request enters.
func (w *world) chooseEntry(now time.Duration) int {
	entry := w.source.IntN(len(w.members))
	if w.disturbance.Wave == 0 {
		return entry
	}
	for w.source.Float64() > w.waveAt(now, w.members[entry].Instance.Domain)/(1+w.disturbance.Wave) {
		entry = w.source.IntN(len(w.members))
	}
	return entry
}

// waveAt returns the demand that enters in a domain as a multiple of its mean.
func (w *world) waveAt(now time.Duration, domain coltsfootward.FailureDomain) float64 {
	delay := float64(slices.Index(w.deployment.Domains, domain)) / float64(len(w.deployment.Domains))
	phase := now.Seconds()/w.disturbance.WavePeriod.Seconds() - delay
	return 1 + w.disturbance.Wave*math.Sin(2*math.Pi*phase)
}

// firstRunning returns the first running member at or after the given index.
// Callers of an instance that is down go to another one.
func (w *world) firstRunning(from int) *nodetest.Member {
	for i := range w.members {
		if m := w.members[(from+i)%len(w.members)]; m.Alive() {
			return m
		}
	}
	return w.members[from]
}

func (w *world) send(req *callerRequest) {
	remaining := req.class.Deadline - (w.now() - req.arrived)
	o := w.firstRunning(req.entry).Send(nodetest.Request{Key: w.key(req.organisation), Host: host, Path: pathOf(req.class), Timeout: remaining})
	o.OnDone(func() { w.finish(req, o) })
}

func (w *world) finish(req *callerRequest, o *nodetest.Outcome) {
	took := w.now() - req.arrived
	if o.Succeeded() {
		w.outcome.addServed(req.kind(), req.arrived, took)
		return
	}
	remaining := req.class.Deadline - took
	wait := callerBackoff
	notRun := false
	if o.Refusal != nil {
		notRun = o.Refusal.Execution == coltsfootward.ExecutionNotRun
		if o.Refusal.RetryAfter > 0 {
			wait = o.Refusal.RetryAfter
		}
	}
	wait = min(wait, remaining/maxWaitDivisor)
	if req.retries == 0 || remaining <= 0 || req.class.Unrepeatable && !notRun {
		w.outcome.addUnserved(req.kind(), req.arrived, notRun)
		return
	}
	req.retries--
	w.rig.After(wait, func() { w.send(req) })
}
