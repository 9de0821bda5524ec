package rate

import (
	"math"
	"time"
)

// meterTime is the time constant of a Meter.
const meterTime = time.Second

// Meter estimates the rate of events as a moving average. The zero value is ready for
// use. It is not safe for concurrent use.
type Meter struct {
	perSecond  float64
	recordedAt time.Duration
}

// Record records an event.
func (m *Meter) Record(now time.Duration) {
	m.perSecond = m.PerSecond(now) + 1/meterTime.Seconds()
	m.recordedAt = now
}

// PerSecond returns the rate in events per second.
func (m *Meter) PerSecond(now time.Duration) float64 {
	return m.perSecond * math.Exp(-(now-m.recordedAt).Seconds()/meterTime.Seconds())
}
