package admission

import "time"

const (
	// windowSamples is the number of completed requests in an evaluation window. With
	// fewer, the scatter of service times would be mistaken for a trend.
	windowSamples = 32
	// windowTime is the shortest duration of an evaluation window. A busy machine pauses
	// its processes for 5 to 30 ms, during which requests pile up; most of a shorter window
	// may consist of requests that one pause has delayed.
	windowTime = 250 * time.Millisecond
	// fastRaiseSamples is the number of completed requests that suffice to raise a
	// lowered limit. A full window may have begun while the server was slow, and
	// would keep the limit low for a second after the server has recovered.
	fastRaiseSamples = 8
	// slowRatio is the ratio of latency to baseline above which the limit is lowered.
	// The baseline is the lowest mean of a window, so normal scatter reaches about
	// 1.5.
	slowRatio = 2.0
	// normalRatio is the ratio of latency to baseline below which a lowered limit is
	// raised again.
	normalRatio = 1.5
	// firstTrialFactor is the factor by which the first evaluation lowers the limit.
	// The step is small because a server that is slow for another reason loses this
	// part of its capacity during the trial. minTrialFactor is the minimum factor of
	// the steps that follow a successful trial.
	firstTrialFactor = 0.7
	minTrialFactor   = 0.3
	// raiseFraction is the fraction by which one evaluation raises the limit.
	raiseFraction = 0.5
	// busyFraction is the fraction of the limit that must have been in service on average
	// for the limit to be lowered. With fewer, a slow server is not slow because of its
	// concurrency, and a limit just below that would refuse every burst.
	busyFraction = 0.1
	// reducedConcurrency is the factor to which concurrency must have fallen before a
	// trial is evaluated, and reducedLatency the factor to which latency must have
	// fallen for the trial to be successful.
	reducedConcurrency = 0.8
	reducedLatency     = 0.85
	// baselineDrift is the fraction by which a baseline rises with each window that
	// is above it, so that a server that has become slightly slower for good gets a
	// new baseline. If the baseline rose by a fraction of the difference, it would
	// follow a server that queues internally within seconds and hide the queueing.
	baselineDrift = 0.001
	// estimateWeight is the EWMA weight of the newest sample in the estimate of a
	// class.
	estimateWeight = 0.1
	// maximumClasses bounds the memory for classes; further classes share otherClass.
	maximumClasses = 64
	otherClass     = "other"
)

// Limiter finds the number of requests that a backend server handles concurrently
// without slowing down. The announced slots are its ceiling.
//
// It is made for servers that announce more slots than they have, or that share their
// machine: beyond some concurrency such a server only queues requests internally,
// where neither priorities nor deadlines apply. Latency is compared within a class of
// requests, so that a mix of long and short requests is not mistaken for slowness.
// Lowering the limit is a trial. If latency does not fall with concurrency, the
// server is slow for another reason, and lower concurrency would only waste its
// slots. The limit is then restored and the baseline raised instead.
type Limiter struct {
	// fixed keeps the limit at the ceiling, or just below the server's knee.
	fixed   bool
	knee    knee
	slots   int
	limit   float64
	classes map[string]*class
	// limitChanged is the time when the limit last changed. Requests that started
	// earlier are not counted.
	limitChanged time.Duration
	// The begin and the sums of the current window.
	windowBegan    time.Duration
	samples        int
	ratioSum       float64
	concurrencySum float64
	// The sums of the latest few samples.
	latestSamples  int
	latestRatioSum float64
	// The state before the current trial; the ratio is zero when there is no trial.
	priorRatio, priorConcurrency, priorLimit float64
}

// class holds the latencies, in seconds, of one class of requests.
type class struct {
	baseline   float64
	estimate   float64
	samples    int
	latencySum float64
}

// NewLimiter returns a limiter that starts at its ceiling.
func NewLimiter(slots int) *Limiter {
	return &Limiter{slots: slots, limit: float64(slots), classes: make(map[string]*class)}
}

// SetSlots changes the ceiling. A limit at the old ceiling moves with it.
func (l *Limiter) SetSlots(slots int) {
	if int(l.limit) >= l.slots || l.limit > float64(slots) {
		l.limit = float64(slots)
	}
	l.slots = slots
}

// Limit returns the current limit. It is at least 1 unless there are no slots.
func (l *Limiter) Limit() int {
	if l.fixed {
		return l.knee.limit(l.slots)
	}
	return min(max(int(l.limit), 1), l.slots)
}

// Estimate returns how long a request of a class is expected to take, or zero without
// any samples.
func (l *Limiter) Estimate(name string) time.Duration {
	return time.Duration(l.class(name).estimate * float64(time.Second))
}

func (l *Limiter) class(name string) *class {
	if c, ok := l.classes[name]; ok {
		return c
	}
	if len(l.classes) >= maximumClasses && name != otherClass {
		return l.class(otherClass)
	}
	c := &class{}
	l.classes[name] = c
	return c
}

// Sample is one completed request.
type Sample struct {
	Class string
	// Began and Ended are the times when service began and ended.
	Began, Ended time.Duration
	// Running is the number of requests in service when this one began, itself
	// included.
	Running int
	// Aborted is set if service was ended early, so that the request would have taken
	// longer.
	Aborted bool
	// Slowdown is how many times as long as usual work took at the server, as it stated; zero
	// if it stated nothing.
	Slowdown float64
}

// usualDuration returns how long the request would have taken without the slowdown.
func (s Sample) usualDuration() time.Duration {
	took := s.Ended - s.Began
	if s.Slowdown <= 0 {
		return took
	}
	return time.Duration(float64(took) / s.Slowdown)
}

// Observe processes a completed request.
func (l *Limiter) Observe(s Sample) {
	c := l.class(s.Class)
	latency := s.usualDuration().Seconds()
	if s.Aborted && latency <= c.estimate {
		return
	}
	c.observe(latency)
	if l.fixed {
		l.knee.observe(s, l.slots)
		return
	}
	if c.baseline == 0 || s.Began < l.limitChanged {
		return
	}
	if s.Aborted {
		return
	}
	if l.samples == 0 {
		l.windowBegan = s.Began
	}
	l.samples++
	l.ratioSum += latency / c.baseline
	l.concurrencySum += float64(s.Running)
	l.latestSamples++
	l.latestRatioSum += latency / c.baseline
	switch {
	case l.samples >= windowSamples && s.Ended-l.windowBegan >= windowTime:
		l.evaluateWindow(s.Ended)
	case l.latestSamples >= fastRaiseSamples:
		l.evaluateLatest(s.Ended)
	}
}

// evaluateLatest raises a lowered limit as soon as a few completed requests show that
// the server is fast.
func (l *Limiter) evaluateLatest(now time.Duration) {
	ratio := l.latestRatioSum / float64(l.latestSamples)
	l.latestSamples, l.latestRatioSum = 0, 0
	if ratio >= normalRatio || l.limit >= float64(l.slots) {
		return
	}
	l.samples, l.ratioSum, l.concurrencySum = 0, 0, 0
	l.priorRatio = 0
	l.raise(now)
}

func (c *class) observe(latency float64) {
	if c.estimate == 0 {
		c.estimate = latency
	}
	c.estimate += estimateWeight * (latency - c.estimate)
	c.samples++
	c.latencySum += latency
	if c.samples < windowSamples {
		return
	}
	mean := c.latencySum / float64(c.samples)
	c.samples, c.latencySum = 0, 0
	if c.baseline == 0 || mean < c.baseline {
		c.baseline = mean
		return
	}
	c.baseline = min(mean, c.baseline*(1+baselineDrift))
}

// evaluateWindow adjusts the limit to the samples of the window.
func (l *Limiter) evaluateWindow(now time.Duration) {
	ratio := l.ratioSum / float64(l.samples)
	concurrency := l.concurrencySum / float64(l.samples)
	l.samples, l.ratioSum, l.concurrencySum = 0, 0, 0
	l.latestSamples, l.latestRatioSum = 0, 0
	switch {
	case ratio > slowRatio && concurrency > max(1, busyFraction*l.limit):
		l.lower(now, ratio, concurrency)
	case ratio < normalRatio:
		l.priorRatio = 0
		if concurrency >= reducedConcurrency*l.limit {
			l.raise(now)
		}
	}
}

// lower reduces the limit towards the concurrency that the server can sustain
// according to Little's law, or ends a trial that was not successful.
func (l *Limiter) lower(now time.Duration, ratio, concurrency float64) {
	factor := firstTrialFactor
	if l.priorRatio > 0 {
		if concurrency > reducedConcurrency*l.priorConcurrency {
			return
		}
		if ratio > reducedLatency*l.priorRatio {
			l.revertTrial(now, ratio)
			return
		}
		factor = max(minTrialFactor, normalRatio/ratio)
	}
	l.priorRatio, l.priorConcurrency, l.priorLimit = ratio, concurrency, l.limit
	l.limit = max(1, min(l.limit, concurrency*factor))
	l.limitChanged = now
}

// revertTrial restores the limit and makes the current latency the new baseline.
func (l *Limiter) revertTrial(now time.Duration, ratio float64) {
	l.limit = l.priorLimit
	l.priorRatio = 0
	l.limitChanged = now
	for _, c := range l.classes {
		c.baseline *= ratio
	}
}

func (l *Limiter) raise(now time.Duration) {
	if l.limit >= float64(l.slots) {
		return
	}
	l.limit = min(float64(l.slots), l.limit+max(1, raiseFraction*l.limit))
	l.limitChanged = now
}
