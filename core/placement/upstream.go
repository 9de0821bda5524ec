package placement

import (
	"math"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
)

const (
	// loadLife is how fast a report of load loses its weight: after this long
	// it counts a third. Load changes within a few service times, and an old
	// report would send everybody to a server that was idle once.
	loadLife = 500 * time.Millisecond
	// slowStart is how long a server that has just joined takes to get its full
	// share. A cold server given a full share at once times out on all of it.
	slowStart = 3 * time.Second
	// slowStartShare is the share that it begins with.
	slowStartShare = 0.2
	// latencyWeight is the weight of the newest latency.
	latencyWeight = 0.1
	// ejectAfter is how many attempts in a row must fail to eject a server, and
	// ejectFor for how long at first; it doubles up to ejectLongest.
	ejectAfter   = 3
	ejectFor     = 500 * time.Millisecond
	ejectLongest = 8 * time.Second
)

// Outcome says how an attempt ended, as far as placement cares.
type Outcome string

// The outcomes.
const (
	// OutcomeAnswered means that the backend server answered.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused means that its node refused; that says nothing bad of the
	// server's health.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed means that the attempt was lost, broke off or timed out.
	OutcomeFailed Outcome = "failed"
	// OutcomeLeft means that the caller left first.
	OutcomeLeft Outcome = "left"
)

// upstream is what a node knows of one backend server.
type upstream struct {
	id       coltsfootward.InstanceID
	instance coltsfootward.Instance
	domain   coltsfootward.FailureDomain
	slots    int
	joined   time.Duration
	// coldUntil is when the server is warm by its own node's word; bounded is set if
	// it bears less than all until then.
	coldUntil time.Duration
	bounded   bool
	inFlight  int
	load      message.Load
	loadAt    time.Duration
	loaded    bool
	// latency is the smoothed time of its answers, in seconds.
	latency float64
	// failures counts attempts in a row that failed.
	failures int
	// ejectedUntil is when an ejected server gets its next trial request.
	ejectedUntil time.Duration
	ejected      bool
	trial        bool
	ejections    int
	suspected    bool
}

// coldLimit is how many requests at once a cold server counts as good for. It then
// gets work when the others are full, or are cold as well.
const coldLimit = 1.0

func (u *upstream) cold(now time.Duration) bool { return u.bounded && now < u.coldUntil }

func (u *upstream) limit(now time.Duration) float64 {
	if u.cold(now) {
		return coldLimit
	}
	if u.loaded && u.load.Limit > 0 {
		return float64(min(u.load.Limit, max(u.slots, 1)))
	}
	return float64(max(u.slots, 1))
}

// occupancy estimates how full the server is, the next request included: the
// larger of what it last said, fading with age, and of what this node alone
// has under way there.
func (u *upstream) occupancy(now time.Duration) float64 {
	reported := 0.0
	if u.loaded {
		fade := math.Exp(-float64(now-u.loadAt) / float64(loadLife))
		reported = float64(u.load.Running+u.load.Queued) * fade
	}
	return (max(reported, float64(u.inFlight)) + 1) / (u.limit(now) * u.warmth(now))
}

// warmth is the part of its share that a new server may have.
func (u *upstream) warmth(now time.Duration) float64 {
	age := now - u.joined
	if u.joined == 0 || age >= slowStart {
		return 1
	}
	return slowStartShare + (1-slowStartShare)*float64(age)/float64(slowStart)
}

// available reports whether the server may get a request: an ejected one gets
// a single trial at a time.
func (u *upstream) available(now time.Duration) bool {
	if u.suspected {
		return false
	}
	if !u.ejected {
		return true
	}
	return !u.trial && now >= u.ejectedUntil
}

func (u *upstream) sent() {
	u.inFlight++
	if u.ejected {
		u.trial = true
	}
}

func (u *upstream) ended(now time.Duration, outcome Outcome, latency time.Duration) {
	u.inFlight = max(u.inFlight-1, 0)
	trial := u.trial
	u.trial = false
	switch outcome {
	case OutcomeAnswered:
		u.failures = 0
		u.ejected = false
		u.ejections = 0
		u.observeLatency(latency.Seconds())
	case OutcomeFailed:
		u.failures++
		if trial || u.failures >= ejectAfter {
			u.eject(now)
		}
	case OutcomeRefused:
		u.failures = 0
		u.ejected = false
	}
}

func (u *upstream) observeLatency(seconds float64) {
	if u.latency == 0 {
		u.latency = seconds
	}
	u.latency += latencyWeight * (seconds - u.latency)
}

func (u *upstream) eject(now time.Duration) {
	wait := min(ejectFor<<min(u.ejections, 8), ejectLongest)
	u.ejections++
	u.ejected = true
	u.failures = 0
	u.ejectedUntil = now + wait
}

func (u *upstream) observeLoad(now time.Duration, load message.Load) {
	u.load, u.loadAt, u.loaded = load, now, true
	u.setCold(now, load.Cold)
}

// setCold takes in how much longer the server is cold.
func (u *upstream) setCold(now, left time.Duration) {
	u.coldUntil = 0
	if left > 0 {
		u.coldUntil = now + left
	}
}
