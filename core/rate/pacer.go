package rate

import "time"

// Pacer spaces events by a mean interval and allows short bursts (the generic cell rate
// algorithm). The zero value allows everything. It is not safe for concurrent use.
type Pacer struct {
	// interval is the mean time between two events; zero means no limit.
	interval time.Duration
	// due is when the next event would be due if all were evenly spaced.
	due time.Duration
}

// SetInterval sets the mean time between two events; zero removes the limit. A pacer
// that had no limit starts without a burst, because events before now are not known
// to it.
func (p *Pacer) SetInterval(now, interval time.Duration) {
	switch {
	case interval <= 0:
		p.due = 0
	case p.interval == 0:
		p.due = now + interval
	case interval < p.interval && p.due > now:
		p.due = now + time.Duration(float64(p.due-now)*float64(interval)/float64(p.interval))
	}
	p.interval = max(interval, 0)
}

// Interval returns the mean time between two events; zero means no limit.
func (p *Pacer) Interval() time.Duration { return p.interval }

// Limited reports whether there is a limit.
func (p *Pacer) Limited() bool { return p.interval > 0 }

// Wait returns the time until an event is allowed that may be early by tolerance.
func (p *Pacer) Wait(now, tolerance time.Duration) time.Duration {
	if !p.Limited() {
		return 0
	}
	return max(p.due-now-tolerance, 0)
}

// Charge records a number of past events. It may be a fraction, and negative to take
// events back.
func (p *Pacer) Charge(events float64) {
	p.due += time.Duration(events * float64(p.interval))
}

// Record records an event.
func (p *Pacer) Record(now time.Duration) {
	if p.Limited() {
		p.due = max(p.due, now) + p.interval
	}
}
