// Package backend decides which heartbeats of the local backend server a node
// accepts. It reads no clock and does no I/O.
package backend

import (
	"time"

	"coltsfootward"
)

// Verdict is the outcome of checking a heartbeat.
type Verdict string

// The verdicts.
const (
	// VerdictAccepted means that the heartbeat is the newest one of the backend
	// server and now determines its state.
	VerdictAccepted Verdict = "taken"
	// VerdictStale means that the heartbeat is stale: a later one of the same
	// start was accepted before, its start has announced its end, or it
	// announces the end of a server that is not the current one.
	VerdictStale Verdict = "old"
	// VerdictForeign means that the heartbeat belongs to a backend server other
	// than the one beside this node, or to an earlier start.
	VerdictForeign Verdict = "foreign"
)

// startSkew is how much earlier a new start time may be than the previous one.
// Both are read from a wall clock that may have been set back in between; such
// steps are a few seconds.
const startSkew = 10 * time.Second

// Tracker tracks the state of the backend server beside one node by its
// heartbeats. The zero value has accepted no heartbeat and accepts any. It is
// not safe for concurrent use.
//
// Tracker rejects heartbeats that were delayed on their way or come from
// another server. Accepting one would route requests to a server that has
// ended, or stop requests to a healthy one.
type Tracker struct {
	// Service and Address must match those in a heartbeat; an empty value
	// matches any.
	Service coltsfootward.ServiceName
	Address string

	current coltsfootward.Heartbeat
	known   bool
	// fromHealthCheck is set while the current state comes only from a health
	// check, which does not report when the backend server started.
	fromHealthCheck bool
	// lastEnded identifies the latest start that has announced its end.
	lastEnded coltsfootward.Heartbeat
}

// Current returns the state of the backend server, or false if none is known.
func (m *Tracker) Current() (coltsfootward.Heartbeat, bool) { return m.current, m.known }

// Apply checks a heartbeat and applies it if it is accepted.
func (m *Tracker) Apply(h coltsfootward.Heartbeat) Verdict {
	if h.State == coltsfootward.BackendGone {
		return m.applyEnd(h)
	}
	if !m.matches(h) {
		return VerdictForeign
	}
	if m.isFromEndedStart(h) {
		return VerdictStale
	}
	if m.fromHealthCheck {
		m.fromHealthCheck = false
		m.known = false
	}
	if m.known && m.isSameStart(h) {
		return m.applyNext(h)
	}
	if m.known && !m.isLaterStart(h) {
		return VerdictForeign
	}
	m.current = h
	m.known = true
	return VerdictAccepted
}

func (m *Tracker) matches(h coltsfootward.Heartbeat) bool {
	return (m.Service == "" || h.Service == m.Service) && (m.Address == "" || h.Address == m.Address)
}

func (m *Tracker) isSameStart(h coltsfootward.Heartbeat) bool {
	return h.ID == m.current.ID && h.StartedAt.Equal(m.current.StartedAt)
}

// isLaterStart reports whether a heartbeat belongs to a later start than the
// current one.
func (m *Tracker) isLaterStart(h coltsfootward.Heartbeat) bool {
	if h.StartedAt.IsZero() || m.current.StartedAt.IsZero() {
		return h.ID != m.current.ID
	}
	return h.StartedAt.After(m.current.StartedAt.Add(-startSkew)) && (h.ID != m.current.ID || h.StartedAt.After(m.current.StartedAt))
}

// applyNext applies a further heartbeat of the current start. A server that has
// announced that it leaves never becomes ready again within the same start, so
// a later "ready" is a delayed heartbeat.
func (m *Tracker) applyNext(h coltsfootward.Heartbeat) Verdict {
	if h.Sequence <= m.current.Sequence || m.current.State != coltsfootward.BackendReady && h.State == coltsfootward.BackendReady {
		return VerdictStale
	}
	if m.current.State == coltsfootward.BackendGone {
		return VerdictStale
	}
	m.current = h
	return VerdictAccepted
}

// isFromEndedStart reports whether a heartbeat belongs to a start that has
// announced its end, or to one well before it, and so was delayed on its way.
// The current state is not enough to detect this: after a health check, which
// reports no start time, any heartbeat would be accepted as that of a new
// start, and requests would go to a server whose end has been acknowledged.
func (m *Tracker) isFromEndedStart(h coltsfootward.Heartbeat) bool {
	if h.StartedAt.IsZero() || m.lastEnded.StartedAt.IsZero() {
		return false
	}
	if h.ID == m.lastEnded.ID {
		return !h.StartedAt.After(m.lastEnded.StartedAt)
	}
	return h.StartedAt.Before(m.lastEnded.StartedAt.Add(-startSkew))
}

// applyEnd processes a heartbeat by which a backend server announces its end.
// The end of another server than the current one changes nothing, unless that
// server is known to have started later: then the current one has ended, too.
func (m *Tracker) applyEnd(h coltsfootward.Heartbeat) Verdict {
	if !h.StartedAt.Before(m.lastEnded.StartedAt) {
		m.lastEnded = h
	}
	if !m.known {
		m.current = h
		m.known = true
		return VerdictAccepted
	}
	current := m.current.StartedAt
	newer := !h.StartedAt.IsZero() && !current.IsZero() && h.StartedAt.After(current)
	if !newer && (h.ID != m.current.ID || !h.StartedAt.IsZero() && h.StartedAt.Before(current)) {
		return VerdictStale
	}
	m.fromHealthCheck = false
	m.current.ID = h.ID
	m.current.State = coltsfootward.BackendGone
	if !h.StartedAt.IsZero() {
		m.current.StartedAt = h.StartedAt
	}
	return VerdictAccepted
}

// Recover applies the result of a health check after a node's start: the
// backend server's name, and whether it accepts requests. It is ignored and
// returns false once a heartbeat or a health check has been accepted, or if the
// service or address does not match.
func (m *Tracker) Recover(h coltsfootward.Heartbeat) bool {
	if m.known || !m.matches(h) {
		return false
	}
	m.current = h
	m.known = true
	m.fromHealthCheck = true
	return true
}
