package crossing

import (
	"time"

	"coltsfootward"
)

const (
	// FreshReport is the age up to which a report tells the present room of a
	// server in another domain.
	FreshReport = time.Second
	// probeInterval is the mean time between two requests to a domain that are sent to
	// get a fresh report.
	probeInterval = 500 * time.Millisecond
)

// Local decides by a node's own observations whether a request crosses. It is for nodes
// that have no summary of the demand. The nodes of a domain find the same idle server
// independently and fill it together, so a clear difference is required. The zero value
// is ready for use. Local is not safe for concurrent use.
type Local struct {
	crossing bool
	probed   map[coltsfootward.FailureDomain]time.Duration
}

// Candidate is the server in another domain that a request could be sent to.
type Candidate struct {
	Domain coltsfootward.FailureDomain
	// Occupancy includes the request. It is valid only if Fresh is set: the server's last
	// report is at most FreshReport old.
	Occupancy float64
	Fresh     bool
}

// Wanted reports whether another domain is considered, given the occupancy of the
// server chosen in the node's own domain.
func (l *Local) Wanted(own float64) bool {
	switch {
	case own > beginUse:
		l.crossing = true
	case own <= endUse:
		l.crossing = false
	}
	return l.crossing
}

// Crosses reports whether a request is sent to the candidate instead of the server in
// the node's own domain. probe is set if it is only sent to get a report.
func (l *Local) Crosses(now time.Duration, own float64, other Candidate, margin float64) (crosses, probe bool) {
	if other.Fresh {
		return own-other.Occupancy >= margin, false
	}
	if last, ok := l.probed[other.Domain]; ok && now-last < probeInterval {
		return false, false
	}
	if l.probed == nil {
		l.probed = make(map[coltsfootward.FailureDomain]time.Duration)
	}
	l.probed[other.Domain] = now
	return true, true
}
