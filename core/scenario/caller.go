package scenario

import (
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// attemptTimeout is how long a caller waits for the response to each
	// attempt.
	attemptTimeout = time.Second
	// requestTimeout is the time after its arrival within which a request must
	// be answered, over all attempts.
	requestTimeout = 4 * time.Second
	// callerAttempts and aggressiveAttempts are the attempts of a caller per
	// request, the first included.
	callerAttempts     = 3
	aggressiveAttempts = 5
	// callerBackoff is the wait before the first retry; it doubles with each
	// retry, and a refusal may ask for a longer one. aggressiveBackoff does not
	// double.
	callerBackoff     = 100 * time.Millisecond
	aggressiveBackoff = 30 * time.Millisecond
	// cancelMargin is how long after its timeout a caller cancels an attempt.
	cancelMargin = 20 * time.Millisecond
)

// callerRequest is one request of a caller with all its attempts.
type callerRequest struct {
	organisation int
	arrived      time.Duration
	inRate       bool
	critical     bool
	answered     bool
}

// callers send requests at random times that do not depend on the responses, so
// that a slow system does not reduce its own demand.
type callers struct {
	scenario   Scenario
	deployment Deployment
	system     system
	source     *rand.Rand
	requests   []*callerRequest
	buckets    []bucket
}

// bucket is the token bucket that determines whether a request is within its
// organisation's rate and burst.
type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

func newCallers(s Scenario, d Deployment, sys system, seed uint64) *callers {
	c := &callers{scenario: s, deployment: d, system: sys, source: rand.New(rand.NewPCG(seed, 1))}
	for o := range d.Organisations {
		c.buckets = append(c.buckets, bucket{tokens: float64(s.rate(d, o).Burst)})
		sys.after(formationTime, func() { c.scheduleArrival(o) })
	}
	return c
}

// scheduleArrival draws the next arrival of an organisation by thinning:
// candidates arrive at the peak rate, and each is accepted with the ratio of
// the present rate to the peak rate.
func (c *callers) scheduleArrival(o int) {
	peak := c.scenario.undisturbedDemand(c.deployment, o) * max(c.scenario.SurgeFactor, 1) * max(c.scenario.GreedyFactor, 1)
	wait := time.Duration(c.source.ExpFloat64() / peak * float64(time.Second))
	draw := c.source.Float64()
	c.system.after(wait, func() {
		now := c.system.now()
		if now >= runEnd {
			return
		}
		if draw < c.scenario.demand(c.deployment, o, now)/peak {
			c.arrive(o, now)
		}
		c.scheduleArrival(o)
	})
}

func (c *callers) arrive(o int, now time.Duration) {
	req := &callerRequest{organisation: o, arrived: now, inRate: c.takeToken(o, now)}
	c.requests = append(c.requests, req)
	r := request{
		organisation: c.deployment.Organisations[o],
		service:      c.scenario.entryService(c.deployment),
		path:         c.scenario.randomPath(c.source),
		timeout:      attemptTimeout,
	}
	req.critical = strings.HasPrefix(r.path, pathCritical)
	c.sendAttempt(req, r)
}

func (c *callers) takeToken(o int, now time.Duration) bool {
	rate := c.scenario.rate(c.deployment, o)
	b := &c.buckets[o]
	b.tokens = min(float64(rate.Burst), b.tokens+rate.PerSecond*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// sendAttempt sends the request and afterwards decides whether to retry it.
func (c *callers) sendAttempt(req *callerRequest, r request) {
	r.attempt++
	ended := false
	end := func(got reply) {
		if ended {
			return
		}
		ended = true
		if got.answered {
			req.answered = true
			return
		}
		c.retry(req, r, got)
	}
	cancel := c.system.send(c.source.IntN(c.system.entryCount()), r, end)
	c.system.after(r.timeout+cancelMargin, func() {
		if !ended {
			cancel()
			end(reply{})
		}
	})
}

func (c *callers) retry(req *callerRequest, r request, got reply) {
	attempts, wait := callerAttempts, callerBackoff<<(r.attempt-1)
	if c.scenario.AggressiveRetries {
		attempts, wait = aggressiveAttempts, aggressiveBackoff
	} else {
		wait = max(wait, got.retryAfter)
	}
	wait += time.Duration(c.source.Float64() * float64(wait) / 2)
	retryAt := c.system.now() + wait
	if r.attempt >= attempts || retryAt >= req.arrived+requestTimeout {
		return
	}
	c.system.after(wait, func() { c.sendAttempt(req, r) })
}
