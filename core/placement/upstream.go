package placement

import (
	"math"
	"time"

	"coltsfootward"
	"coltsfootward/core/completion"
	"coltsfootward/core/message"
	"coltsfootward/core/rate"
)

const (
	// loadDecayTime is the time constant with which a load report loses weight:
	// after this time it counts about a third. Load changes within a few service
	// times, and old reports would make all nodes send requests to a server that
	// is no longer idle.
	loadDecayTime = 500 * time.Millisecond
	// slowStartDuration is the time in which a server that has just joined reaches
	// its full share. A cold server that gets its full share at once times out on
	// all requests.
	slowStartDuration = 3 * time.Second
	// slowStartShare is the fraction of its full share that a server starts with.
	slowStartShare = 0.2
	// latencyWeight is the EWMA weight of the newest sample in the smoothed latency.
	latencyWeight = 0.1
	// ejectAfterFailures is the number of consecutive failed attempts after which a
	// server is ejected. The first ejection lasts minimumEjection; the time doubles
	// with each further ejection up to maximumEjection.
	ejectAfterFailures = 3
	minimumEjection    = 500 * time.Millisecond
	maximumEjection    = 8 * time.Second
)

// Outcome is the result of an attempt as far as it matters for placement.
type Outcome string

// The outcomes.
const (
	// OutcomeAnswered means that the backend server responded.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused means that the server's node refused the attempt. This does
	// not count against the server's health.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed means that the attempt was lost, was aborted or timed out.
	OutcomeFailed Outcome = "failed"
	// OutcomeCancelled means that the attempt was cancelled before it ended.
	OutcomeCancelled Outcome = "left"
)

// upstream is the state that a node keeps about one backend server.
type upstream struct {
	id       coltsfootward.InstanceID
	instance coltsfootward.Instance
	domain   coltsfootward.FailureDomain
	slots    int
	// slowStartedAt is when the slow start of the server began; zero means that it
	// has its full share.
	slowStartedAt time.Duration
	// coldUntil is when the server will be warm, as reported by its node.
	// coldLimited is set if it has a limited capacity until then.
	coldUntil   time.Duration
	coldLimited bool
	// inFlight is the number of this node's attempts at the server.
	inFlight int
	// load is the last load report and loadAt its time; hasLoad is set if there is
	// one.
	load    message.Load
	loadAt  time.Duration
	hasLoad bool
	// share spaces this node's requests to a server that names a limit. It is valid
	// until shareExpires.
	share        rate.Pacer
	shareExpires time.Duration
	// completion is what the server stated about its speed, and sent the rate of this node's
	// requests for it.
	completion completion.Server
	sent       rate.Meter
	// namedLimit is the limit that the server names for all nodes together, in requests
	// per second.
	namedLimit float64
	// wantedAt is when the server was last considered for a request.
	wantedAt time.Duration
	// latency is the smoothed response time in seconds.
	latency float64
	// failures is the number of consecutive failed attempts.
	failures int
	// ejectedUntil is when an ejected server gets its next trial request.
	ejectedUntil time.Duration
	ejected      bool
	// trialInFlight is set while a trial request at an ejected server is in flight.
	trialInFlight bool
	// ejections is the number of ejections since the last response.
	ejections int
	suspected bool
}

// coldLimit is the concurrency limit assumed for a cold server with limited
// capacity. Such a server gets requests when the others are saturated or cold as
// well.
const coldLimit = 1.0

func (u *upstream) cold(now time.Duration) bool { return u.coldLimited && now < u.coldUntil }

// limit returns the server's concurrency limit: the reported one if there is a
// report, bounded by the server's slots.
func (u *upstream) limit(now time.Duration) float64 {
	if u.cold(now) {
		return coldLimit
	}
	if u.hasLoad && u.load.Limit > 0 {
		return float64(min(u.load.Limit, max(u.slots, 1)))
	}
	return float64(max(u.slots, 1))
}

// occupancy estimates the server's utilisation including the next request. It is
// based on the larger of the last reported load, which decays with its age, and
// this node's own requests in flight at the server.
func (u *upstream) occupancy(now time.Duration) float64 {
	if !u.hasLoad {
		return u.occupancyWith(now, 0)
	}
	decay := math.Exp(-float64(now-u.loadAt) / float64(loadDecayTime))
	return u.occupancyWith(now, float64(u.load.Running+u.load.Queued)*decay)
}

// reportedOccupancy is like occupancy, but the last report does not decay. It is valid
// only if there is a report.
func (u *upstream) reportedOccupancy(now time.Duration) float64 {
	return u.occupancyWith(now, float64(u.load.Running+u.load.Queued))
}

// occupancyWith returns the utilisation including the next request for the given load.
func (u *upstream) occupancyWith(now time.Duration, load float64) float64 {
	return (max(load, float64(u.inFlight)) + 1) / (u.limit(now) * u.slowStartFactor(now))
}

// slowStartFactor returns the fraction of its full share that the server may get.
func (u *upstream) slowStartFactor(now time.Duration) float64 {
	age := now - u.slowStartedAt
	if u.slowStartedAt == 0 || age >= slowStartDuration {
		return 1
	}
	return slowStartShare + (1-slowStartShare)*float64(age)/float64(slowStartDuration)
}

// available reports whether the server may get a request. An ejected server gets
// a single trial request at a time.
func (u *upstream) available(now time.Duration) bool {
	if u.suspected {
		return false
	}
	if !u.ejected {
		return true
	}
	return !u.trialInFlight && now >= u.ejectedUntil
}

func (u *upstream) attemptSent(now time.Duration) {
	u.inFlight++
	u.share.Record(now)
	u.sent.Record(now)
	if u.ejected {
		u.trialInFlight = true
	}
}

func (u *upstream) attemptEnded(now time.Duration, outcome Outcome, latency time.Duration) {
	u.inFlight = max(u.inFlight-1, 0)
	trial := u.trialInFlight
	u.trialInFlight = false
	switch outcome {
	case OutcomeAnswered:
		u.failures = 0
		u.ejected = false
		u.ejections = 0
		u.observeLatency(latency.Seconds())
	case OutcomeFailed:
		u.failures++
		if trial || u.failures >= ejectAfterFailures {
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
	wait := min(minimumEjection<<min(u.ejections, 8), maximumEjection)
	u.ejections++
	u.ejected = true
	u.failures = 0
	u.ejectedUntil = now + wait
}

func (u *upstream) observeLoad(now time.Duration, load message.Load) {
	u.load, u.loadAt, u.hasLoad = load, now, true
	u.setCold(now, load.Cold)
}

// setCold records how much longer the server is cold.
func (u *upstream) setCold(now, remaining time.Duration) {
	u.coldUntil = 0
	if remaining > 0 {
		u.coldUntil = now + remaining
	}
}
