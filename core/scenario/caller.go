package scenario

import (
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// callerTimeout is how long a caller waits for each try.
	callerTimeout = time.Second
	// callerPatience is how long a caller wants its request answered at all.
	callerPatience = 4 * time.Second
	// callerTries and hardTries are how often a caller tries in all.
	callerTries = 3
	hardTries   = 5
	// callerBackoff is the wait before the first repeat of a caller that was
	// not told when to come back; it doubles. hardBackoff does not.
	callerBackoff = 100 * time.Millisecond
	hardBackoff   = 30 * time.Millisecond
	// leaveMargin is how long past its timeout a caller still listens.
	leaveMargin = 20 * time.Millisecond
)

// wanted is what a caller wants: one request, however often it tries.
type wanted struct {
	organisation int
	arrived      time.Duration
	inRate       bool
	critical     bool
	answered     bool
}

// callers send requests at random times that do not depend on the answers, so
// that a slow system cannot slow its own demand.
type callers struct {
	scenario   Scenario
	deployment Deployment
	world      world
	source     *rand.Rand
	wanted     []*wanted
	buckets    []bucket
}

// bucket tells which requests are inside their organisation's rate and burst.
type bucket struct {
	tokens float64
	filled time.Duration
}

func newCallers(s Scenario, d Deployment, w world, seed uint64) *callers {
	c := &callers{scenario: s, deployment: d, world: w, source: rand.New(rand.NewPCG(seed, 1))}
	for o := range d.Organisations {
		c.buckets = append(c.buckets, bucket{tokens: float64(s.rate(d, o).Burst)})
		w.after(formation, func() { c.schedule(o) })
	}
	return c
}

// schedule draws the next arrival of an organisation by thinning: candidates
// come at the highest rate and are kept in proportion to the present one.
func (c *callers) schedule(o int) {
	peak := c.scenario.calm(c.deployment, o) * max(c.scenario.Surge, 1) * max(c.scenario.Greedy, 1)
	wait := time.Duration(c.source.ExpFloat64() / peak * float64(time.Second))
	keep := c.source.Float64()
	c.world.after(wait, func() {
		now := c.world.now()
		if now >= whole {
			return
		}
		if keep < c.scenario.demand(c.deployment, o, now)/peak {
			c.arrive(o, now)
		}
		c.schedule(o)
	})
}

func (c *callers) arrive(o int, now time.Duration) {
	w := &wanted{organisation: o, arrived: now, inRate: c.inRate(o, now)}
	c.wanted = append(c.wanted, w)
	r := request{
		organisation: c.deployment.Organisations[o],
		service:      c.scenario.top(c.deployment),
		path:         c.scenario.path(c.source),
		timeout:      callerTimeout,
	}
	w.critical = strings.HasPrefix(r.path, pathCritical)
	c.try(w, r)
}

func (c *callers) inRate(o int, now time.Duration) bool {
	rate := c.scenario.rate(c.deployment, o)
	b := &c.buckets[o]
	b.tokens = min(float64(rate.Burst), b.tokens+rate.PerSecond*(now-b.filled).Seconds())
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// try sends the request once more and decides afterwards whether to repeat it.
func (c *callers) try(w *wanted, r request) {
	r.attempt++
	over := false
	end := func(got reply) {
		if over {
			return
		}
		over = true
		if got.answered {
			w.answered = true
			return
		}
		c.repeat(w, r, got)
	}
	leave := c.world.send(c.source.IntN(c.world.entries()), r, end)
	c.world.after(r.timeout+leaveMargin, func() {
		if !over {
			leave()
			end(reply{})
		}
	})
}

func (c *callers) repeat(w *wanted, r request, got reply) {
	tries, wait := callerTries, callerBackoff<<(r.attempt-1)
	if c.scenario.Hard {
		tries, wait = hardTries, hardBackoff
	} else {
		wait = max(wait, got.retryAfter)
	}
	wait += time.Duration(c.source.Float64() * float64(wait) / 2)
	back := c.world.now() + wait
	if r.attempt >= tries || back >= w.arrived+callerPatience {
		return
	}
	c.world.after(wait, func() { c.try(w, r) })
}
