package placement

import (
	"time"

	"coltsfootward"
)

const (
	// acceptAllLevel is a shed level above every shed rank: no request is shed.
	acceptAllLevel = 1 << 30
	// levelRisePerSecond is how far a shed level rises per second without a new
	// report. A node that sheds everything receives no more reports from the
	// servers, and without the rise would shed for ever.
	levelRisePerSecond = acceptAllLevel
	// levelHold is how long a level stays constant before it rises. A node
	// receives a few reports per second for one kind of request. If levels rose at
	// once, most of an overload would be admitted between two reports.
	levelHold = 300 * time.Millisecond
	// levelFallFactor is the fraction of the distance to a lower reported level by
	// which one report lowers a level. A single saturated server must not make a
	// node shed requests that other servers would serve.
	levelFallFactor = 0.8
	// levelLifetime is the time within which a level without reports rises to
	// acceptAllLevel from any value, and the interval at which such levels are
	// removed.
	levelLifetime = 2 * time.Second
)

// RequestKind identifies the requests that a shed level applies to: those of one
// class from one organisation.
type RequestKind struct {
	Organisation coltsfootward.OrganisationName
	Class        string
}

// shedLevels are the shed levels that a service's servers report with their
// responses, one for each kind of request. A report that raises a level is
// applied in full, and a report that lowers it only in part, so that the level
// follows the servers that still have spare capacity.
type shedLevels struct {
	byKind    map[RequestKind]shedLevel
	lastSweep time.Duration
}

type shedLevel struct {
	rank       float64
	reportedAt time.Duration
}

// effective returns the level at now, raised by the time without reports.
func (l shedLevel) effective(now time.Duration) float64 {
	return l.rank + levelRisePerSecond*max(now-l.reportedAt-levelHold, 0).Seconds()
}

// observe applies the shed level reported with a response. Zero means that the
// server accepts all requests.
func (l *shedLevels) observe(now time.Duration, kind RequestKind, rank uint32) {
	l.sweep(now)
	reported := float64(rank)
	if rank == 0 {
		reported = acceptAllLevel
	}
	previous, ok := l.byKind[kind]
	current := float64(acceptAllLevel)
	if ok {
		current = min(previous.effective(now), acceptAllLevel)
	}
	if reported < current {
		reported = current + levelFallFactor*(reported-current)
	}
	if reported >= acceptAllLevel {
		delete(l.byKind, kind)
		return
	}
	if l.byKind == nil {
		l.byKind = make(map[RequestKind]shedLevel)
	}
	l.byKind[kind] = shedLevel{rank: reported, reportedAt: now}
}

// sweep periodically removes the levels that have risen to acceptAllLevel.
func (l *shedLevels) sweep(now time.Duration) {
	if now-l.lastSweep < levelLifetime {
		return
	}
	l.lastSweep = now
	for kind, level := range l.byKind {
		if level.effective(now) >= acceptAllLevel {
			delete(l.byKind, kind)
		}
	}
}

func (l *shedLevels) sheds(now time.Duration, kind RequestKind, rank uint32) bool {
	level, ok := l.byKind[kind]
	return ok && float64(rank) > level.effective(now)
}
