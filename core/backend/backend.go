// Package backend decides which heartbeats a node believes of the backend
// server beside it. It reads no clock and does no I/O.
package backend

import (
	"time"

	"coltsfootward"
)

// Verdict says what becomes of a heartbeat.
type Verdict string

// The verdicts.
const (
	// VerdictTaken means that the heartbeat is the newest word of the backend
	// server and in force.
	VerdictTaken Verdict = "taken"
	// VerdictOld means that a later heartbeat of the same start was taken before.
	VerdictOld Verdict = "old"
	// VerdictForeign means that it is of another backend server than the one
	// beside this node, or of an earlier start.
	VerdictForeign Verdict = "foreign"
)

// startSkew is how much earlier a start may seem to be than the one before: the
// wall clock that both were read from may have been set back in between. Jumps
// are of a few seconds.
const startSkew = 10 * time.Second

// Machine follows the backend server beside one node. The zero value knows none
// and believes any. It is not safe for concurrent use.
//
// It guards against heartbeats that were held up on their way or come from
// somebody else: believed, one of them would have requests sent to a server
// that has ended, or take a sound one out.
type Machine struct {
	// Service and Address are what the backend server beside this node must
	// say; empty means that any will do.
	Service coltsfootward.ServiceName
	Address string

	current coltsfootward.Heartbeat
	known   bool
	// recovered is set while all that is known came from a health check, which
	// does not say when the backend server started.
	recovered bool
	// ended names the latest start that has announced its end.
	ended coltsfootward.Heartbeat
}

// Current returns what is in force; false if nothing is known.
func (m *Machine) Current() (coltsfootward.Heartbeat, bool) { return m.current, m.known }

// Take takes a heartbeat in.
func (m *Machine) Take(h coltsfootward.Heartbeat) Verdict {
	if h.State == coltsfootward.BackendGone {
		return m.takeEnd(h)
	}
	if !m.fits(h) {
		return VerdictForeign
	}
	if m.over(h) {
		return VerdictOld
	}
	if m.recovered {
		m.recovered = false
		m.known = false
	}
	if m.known && m.sameStart(h) {
		return m.takeNext(h)
	}
	if m.known && !m.later(h) {
		return VerdictForeign
	}
	m.current = h
	m.known = true
	return VerdictTaken
}

func (m *Machine) fits(h coltsfootward.Heartbeat) bool {
	return (m.Service == "" || h.Service == m.Service) && (m.Address == "" || h.Address == m.Address)
}

func (m *Machine) sameStart(h coltsfootward.Heartbeat) bool {
	return h.ID == m.current.ID && h.StartedAt.Equal(m.current.StartedAt)
}

// later reports whether a heartbeat is of a later start than the current one.
func (m *Machine) later(h coltsfootward.Heartbeat) bool {
	if h.StartedAt.IsZero() || m.current.StartedAt.IsZero() {
		return h.ID != m.current.ID
	}
	return h.StartedAt.After(m.current.StartedAt.Add(-startSkew)) && (h.ID != m.current.ID || h.StartedAt.After(m.current.StartedAt))
}

// takeNext takes a further heartbeat of the same start. One that has said that
// it leaves does not come back: a "ready" from then is a late one.
func (m *Machine) takeNext(h coltsfootward.Heartbeat) Verdict {
	if h.Sequence <= m.current.Sequence || m.current.State != coltsfootward.BackendReady && h.State == coltsfootward.BackendReady {
		return VerdictOld
	}
	if m.current.State == coltsfootward.BackendGone {
		return VerdictOld
	}
	m.current = h
	return VerdictTaken
}

// over reports whether a heartbeat is of a start that has announced its end, or
// of one long before it. Such a word was held up on its way. The current state
// alone does not tell: a health check says nothing of starts, so after one any
// heartbeat would pass for that of a new start, and requests would go to a server
// whose end has been acknowledged.
func (m *Machine) over(h coltsfootward.Heartbeat) bool {
	if h.StartedAt.IsZero() || m.ended.StartedAt.IsZero() {
		return false
	}
	if h.ID == m.ended.ID {
		return !h.StartedAt.After(m.ended.StartedAt)
	}
	return h.StartedAt.Before(m.ended.StartedAt.Add(-startSkew))
}

// takeEnd takes in that a backend server has announced its end. The end of
// another one than the current one changes nothing here, unless it is known to
// have started later: then the current one is gone, too.
func (m *Machine) takeEnd(h coltsfootward.Heartbeat) Verdict {
	if !h.StartedAt.Before(m.ended.StartedAt) {
		m.ended = h
	}
	if !m.known {
		m.current = h
		m.known = true
		return VerdictTaken
	}
	current := m.current.StartedAt
	newer := !h.StartedAt.IsZero() && !current.IsZero() && h.StartedAt.After(current)
	if !newer && (h.ID != m.current.ID || !h.StartedAt.IsZero() && h.StartedAt.Before(current)) {
		return VerdictOld
	}
	m.recovered = false
	m.current.ID = h.ID
	m.current.State = coltsfootward.BackendGone
	if !h.StartedAt.IsZero() {
		m.current.StartedAt = h.StartedAt
	}
	return VerdictTaken
}

// Recover takes in what a health check told a node that has just started: the
// backend server's name, and whether it takes work. It counts only while no
// heartbeat is known.
func (m *Machine) Recover(h coltsfootward.Heartbeat) bool {
	if m.known || !m.fits(h) {
		return false
	}
	m.current = h
	m.known = true
	m.recovered = true
	return true
}
