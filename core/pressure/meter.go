package pressure

import (
	"math"
	"time"
)

const (
	// meterTime is the time constant of a Meter: long against the few
	// milliseconds in which a queue swings, short against a burst of seconds.
	meterTime = 300 * time.Millisecond
	// queueWeight is what a waiting request counts against one in service. A
	// queue shows that more is offered than served, but it is drained within one
	// service time; counted in full, it would shut the entry for that long. Of 0.5
	// and 0.25 the latter earned 0.004 more of the worth over the emulated days.
	queueWeight = 0.25
	// targetMargin and lowestTarget: a server with s slots is full, for requests
	// that come at random, when margin/√s of them are free on average. With 12
	// slots that is 0.83 of them, with 133 it is 0.95.
	targetMargin = 0.6
	lowestTarget = 0.6
	// highestRatio bounds the ratio. A queue that is fed by requests which have
	// begun above says more than there is: with a bound of 4 entry nodes refused
	// nearly everything a second later, and the server stood a third empty.
	highestRatio = 2.0
)

// Meter measures how much is offered to one backend server, in proportion to
// what it serves well. The zero value is ready. It is not safe for concurrent use.
type Meter struct {
	occupied float64
	refused  float64
	at       time.Duration
	started  bool
}

// Observe takes in how many requests are in service and waiting. It is called at
// each tick.
func (m *Meter) Observe(now time.Duration, running, waiting int) {
	if !m.started {
		m.started = true
		m.at = now
		return
	}
	weight := m.advance(now)
	occupied := float64(running) + queueWeight*float64(waiting)
	m.occupied += weight * (occupied - m.occupied)
	m.refused -= weight * m.refused
}

func (m *Meter) advance(now time.Duration) float64 {
	passed := now - m.at
	m.at = now
	return 1 - math.Exp(-passed.Seconds()/meterTime.Seconds())
}

// Refused counts a request that was refused for want of room and would have
// taken that long: it is offered load that occupancy does not show.
func (m *Meter) Refused(slotTime time.Duration) {
	m.refused += slotTime.Seconds() / meterTime.Seconds()
}

// Ratio returns the offered load in proportion to what a server of that many
// slots serves well: above 1 it is overloaded.
func (m *Meter) Ratio(slots int) float64 {
	if slots < 1 {
		return 0
	}
	capacity := float64(slots) * target(slots)
	return min((m.occupied+m.refused)/capacity, highestRatio)
}

// target is the proportion of its slots up to which a server serves well.
func target(slots int) float64 {
	return max(1-targetMargin/math.Sqrt(float64(slots)), lowestTarget)
}
