package pressure

import (
	"math"
	"time"
)

const (
	// meterTimeConstant is the time constant of the averages of a Meter: long
	// compared with the few milliseconds in which a queue fluctuates, short compared
	// with a burst of several seconds.
	meterTimeConstant = 300 * time.Millisecond
	// With requests that arrive at random, a server with s slots is at capacity when
	// the fraction targetMargin/√s of its slots is free on average. The target
	// utilisation is then 0.94 with 12 slots and 0.98 with 133. minTarget is its
	// lower bound.
	targetMargin = 0.2
	minTarget    = 0.6
	// drainTime is the time in which the backlog should be served. A request waits
	// once for each of its calls and holds slots up the call chain meanwhile. With a
	// drain time of one second, these slots were not available to requests that do
	// not need the saturated service.
	drainTime = 100 * time.Millisecond
	// maxRatio bounds the ratio, and thereby how far a single observation closes the
	// gates.
	maxRatio = 4.0
)

// Meter measures the load offered to a backend server. The zero value is ready for
// use. Meter is not safe for concurrent use.
//
// The offered load is the slot time of all requests that arrive, whether they are
// served, wait or are refused. The numbers of running and waiting requests do not show
// by how much the demand exceeds the slots. With these numbers alone, entry nodes would
// have to find the excess in steps of one second each.
type Meter struct {
	// running and offered are moving averages in slots, and backlog is a moving
	// average in slot seconds.
	running    float64
	offered    float64
	backlog    float64
	observedAt time.Duration
	started    bool
	// queueAllowed is set by SetQueueAllowed. meanSlotTime is the mean slot time of the
	// requests that arrived, in seconds.
	queueAllowed bool
	meanSlotTime float64
}

// Observe updates the averages with the number of requests in service since the last
// call, and with the slot time of the waiting requests.
func (m *Meter) Observe(now time.Duration, running int, backlog time.Duration) {
	if !m.started {
		m.started = true
		m.observedAt = now
		return
	}
	weight := m.advance(now)
	m.running += weight * (float64(running) - m.running)
	m.backlog += weight * (backlog.Seconds() - m.backlog)
	m.offered -= weight * m.offered
}

// advance returns the weight of an observation at now.
func (m *Meter) advance(now time.Duration) float64 {
	elapsed := now - m.observedAt
	m.observedAt = now
	return 1 - math.Exp(-elapsed.Seconds()/meterTimeConstant.Seconds())
}

// Arrived adds a request that takes the given slot time to the offered load.
func (m *Meter) Arrived(slotTime time.Duration) {
	m.offered += slotTime.Seconds() / meterTimeConstant.Seconds()
	m.meanSlotTime += slotTimeWeight * (slotTime.Seconds() - m.meanSlotTime)
}

// Rejected subtracts a request that the server has rejected without running it. A
// server that rejects half of its requests has enough slots for the others, however
// often the rejected requests are retried.
func (m *Meter) Rejected(slotTime time.Duration) {
	m.offered = max(m.offered-slotTime.Seconds()/meterTimeConstant.Seconds(), 0)
}

// Ratio returns the offered load as a multiple of the capacity, which is the number
// of slots times the target utilisation. It is at most maxRatio.
func (m *Meter) Ratio(slots int) float64 {
	if slots < 1 {
		return 0
	}
	if m.queueAllowed {
		return m.queueRatio(float64(slots))
	}
	capacity := float64(slots) * targetUtilisation(slots)
	return min((max(m.running, m.offered)+m.backlog/drainTime.Seconds())/capacity, maxRatio)
}

// targetUtilisation returns the fraction of its slots in use, on average, at which a
// server counts as saturated.
func targetUtilisation(slots int) float64 {
	return max(1-targetMargin/math.Sqrt(float64(slots)), minTarget)
}
