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
	// VerdictStale means that a later heartbeat of the same start was accepted
	// before, that the start has announced its end, or that the heartbeat
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

// Tracker determines the state of the backend server beside one node from the
// server's heartbeats. The zero value has accepted no heartbeat and accepts any.
// It is not safe for concurrent use.
//
// A Tracker rejects heartbeats that were delayed on their way or come from
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
func (t *Tracker) Current() (coltsfootward.Heartbeat, bool) { return t.current, t.known }

// Apply checks a heartbeat and applies it if it is accepted.
func (t *Tracker) Apply(h coltsfootward.Heartbeat) Verdict {
	if h.State == coltsfootward.BackendGone {
		return t.applyEnd(h)
	}
	if !t.matches(h) {
		return VerdictForeign
	}
	if t.isFromEndedStart(h) {
		return VerdictStale
	}
	if t.fromHealthCheck {
		t.fromHealthCheck = false
		t.known = false
	}
	if t.known && t.isSameStart(h) {
		return t.applyNext(h)
	}
	if t.known && !t.isLaterStart(h) {
		return VerdictForeign
	}
	t.current = h
	t.known = true
	return VerdictAccepted
}

func (t *Tracker) matches(h coltsfootward.Heartbeat) bool {
	return (t.Service == "" || h.Service == t.Service) && (t.Address == "" || h.Address == t.Address)
}

func (t *Tracker) isSameStart(h coltsfootward.Heartbeat) bool {
	return h.ID == t.current.ID && h.StartedAt.Equal(t.current.StartedAt)
}

// isLaterStart reports whether a heartbeat belongs to a later start than the
// current one.
func (t *Tracker) isLaterStart(h coltsfootward.Heartbeat) bool {
	if h.StartedAt.IsZero() || t.current.StartedAt.IsZero() {
		return h.ID != t.current.ID
	}
	return h.StartedAt.After(t.current.StartedAt.Add(-startSkew)) && (h.ID != t.current.ID || h.StartedAt.After(t.current.StartedAt))
}

// applyNext applies a further heartbeat of the current start. A server that has
// announced that it leaves never becomes ready again within the same start, so
// a later "ready" is a delayed heartbeat.
func (t *Tracker) applyNext(h coltsfootward.Heartbeat) Verdict {
	if h.Sequence <= t.current.Sequence || t.current.State != coltsfootward.BackendReady && h.State == coltsfootward.BackendReady {
		return VerdictStale
	}
	if t.current.State == coltsfootward.BackendGone {
		return VerdictStale
	}
	t.current = h
	return VerdictAccepted
}

// isFromEndedStart reports whether a heartbeat belongs to a start that has
// announced its end, or to one well before it, and so was delayed on its way.
// The current state is not enough to detect this: after a health check, which
// reports no start time, any heartbeat would be accepted as that of a new
// start, and requests would go to a server whose end has been acknowledged.
func (t *Tracker) isFromEndedStart(h coltsfootward.Heartbeat) bool {
	if h.StartedAt.IsZero() || t.lastEnded.StartedAt.IsZero() {
		return false
	}
	if h.ID == t.lastEnded.ID {
		return !h.StartedAt.After(t.lastEnded.StartedAt)
	}
	return h.StartedAt.Before(t.lastEnded.StartedAt.Add(-startSkew))
}

// applyEnd processes a heartbeat by which a backend server announces its end.
// The end of a server other than the current one does not change the state,
// unless that server is known to have started later: then the current one has
// ended, too.
func (t *Tracker) applyEnd(h coltsfootward.Heartbeat) Verdict {
	if !h.StartedAt.Before(t.lastEnded.StartedAt) {
		t.lastEnded = h
	}
	if !t.known {
		t.current = h
		t.known = true
		return VerdictAccepted
	}
	current := t.current.StartedAt
	newer := !h.StartedAt.IsZero() && !current.IsZero() && h.StartedAt.After(current)
	if !newer && (h.ID != t.current.ID || !h.StartedAt.IsZero() && h.StartedAt.Before(current)) {
		return VerdictStale
	}
	t.fromHealthCheck = false
	t.current.ID = h.ID
	t.current.State = coltsfootward.BackendGone
	if !h.StartedAt.IsZero() {
		t.current.StartedAt = h.StartedAt
	}
	return VerdictAccepted
}

// Recover applies the result of a health check after a node's start: the
// backend server's name, and whether it accepts requests. It is ignored and
// returns false once a heartbeat or a health check has been accepted, or if the
// service or address does not match.
func (t *Tracker) Recover(h coltsfootward.Heartbeat) bool {
	if t.known || !t.matches(h) {
		return false
	}
	t.current = h
	t.known = true
	t.fromHealthCheck = true
	return true
}
