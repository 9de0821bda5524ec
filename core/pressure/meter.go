package pressure

import (
	"math"
	"time"
)

const (
	// meterTime is the time constant of a Meter: long against the few
	// milliseconds in which a queue swings, short against a burst of seconds.
	meterTime = 300 * time.Millisecond
	// targetMargin and lowestTarget: a server with s slots is full, for requests
	// that come at random, when margin/√s of them are free on average. With 12
	// slots that is 0.94 of them, with 133 it is 0.98.
	targetMargin = 0.2
	lowestTarget = 0.6
	// drainTime is the time in which what waits should have been served. A request
	// waits once for each of its calls, and holds slots of the services above for as
	// long: with a second, requests that don't need the full service found those
	// slots taken.
	drainTime = 100 * time.Millisecond
	// highestRatio bounds the ratio, and so how much one look closes the entries.
	highestRatio = 4.0
)

// Meter measures how much is offered to a backend server. The zero value is
// ready. It is not safe for concurrent use.
//
// Offered is the slot time of what arrives, whether it is served, waits or is
// refused: what runs and waits says nothing of how far the demand lies above the
// slots, and entry nodes would find that out in steps of a second each.
type Meter struct {
	// running and offered are in slots, backlog in slot seconds.
	running float64
	offered float64
	backlog float64
	at      time.Duration
	started bool
}

// Observe takes in how many requests are in service, and the slot time of those
// that wait.
func (m *Meter) Observe(now time.Duration, running int, backlog time.Duration) {
	if !m.started {
		m.started = true
		m.at = now
		return
	}
	weight := m.advance(now)
	m.running += weight * (float64(running) - m.running)
	m.backlog += weight * (backlog.Seconds() - m.backlog)
	m.offered -= weight * m.offered
}

// advance returns the weight of what is observed now.
func (m *Meter) advance(now time.Duration) float64 {
	passed := now - m.at
	m.at = now
	return 1 - math.Exp(-passed.Seconds()/meterTime.Seconds())
}

// Arrived takes in a request that takes so much slot time.
func (m *Meter) Arrived(slotTime time.Duration) {
	m.offered += slotTime.Seconds() / meterTime.Seconds()
}

// Rejected takes back a request that the server has rejected without running it. A
// server that rejects half of what it gets has the slots for the rest, however
// often that is sent to it.
func (m *Meter) Rejected(slotTime time.Duration) {
	m.offered = max(m.offered-slotTime.Seconds()/meterTime.Seconds(), 0)
}

// Ratio returns how much is offered, as a multiple of what a server with so many
// slots serves well.
func (m *Meter) Ratio(slots int) float64 {
	if slots < 1 {
		return 0
	}
	capacity := float64(slots) * target(slots)
	return min((max(m.running, m.offered)+m.backlog/drainTime.Seconds())/capacity, highestRatio)
}

// target is the proportion of its slots up to which a server serves well.
func target(slots int) float64 {
	return max(1-targetMargin/math.Sqrt(float64(slots)), lowestTarget)
}
