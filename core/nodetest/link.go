package nodetest

import (
	"cmp"
	"maps"
	"slices"

	"coltsfootward"
	"coltsfootward/core/claim"
	"coltsfootward/core/node"
)

func sortedIDs[K cmp.Ordered, V any](entries map[K]V) []K {
	return slices.Sorted(maps.Keys(entries))
}

// perform carries out one action of the node's machine.
func (m *Member) perform(action node.Action) {
	switch a := action.(type) {
	case node.Forward:
		m.forward(a)
	case node.Refuse:
		m.refuse(a)
	case node.CancelAttempt:
		if e, ok := m.entries[a.Call]; ok && e.target != nil {
			m.leaveRemote(e)
		}
	case node.Dispatch:
		m.Backend.start(a)
	case node.Replay:
		m.replay(a)
	case node.EndResponse:
		m.answered(a)
	case node.CancelDispatch:
		m.Backend.cancel(a.Call)
	case node.Send:
		m.send(a)
	case node.CheckBackend:
		m.rig.After(breakDelay, func() {
			m.event(func() node.Event { return node.BackendChecked{Cold: m.Backend.Cold()} })
		})
	case node.Report:
		m.Records = append(m.Records, a.Record)
	case node.Drained:
		m.Drained = true
	default:
		m.rig.Table.perform(m, action)
	}
}

func (m *Member) send(a node.Send) {
	to, ok := m.rig.members[a.To.ID]
	if !ok || !m.rig.connected(m.Instance.ID, a.To.ID) {
		return
	}
	if m.rig.DropMessage != nil && m.rig.DropMessage(m.Instance, to.Instance) {
		return
	}
	sent := m.rig.now
	m.rig.After(m.rig.delay(m.Instance, to.Instance), func() {
		to.event(func() node.Event {
			return node.MessageArrived{From: m.Instance.ID, Message: a.Message, Age: m.rig.now - sent}
		})
	})
}

// forward carries a call to its target's node.
func (m *Member) forward(a node.Forward) {
	e, ok := m.entries[a.Call]
	if !ok {
		return
	}
	e.attempt++
	e.outcome.Attempts++
	attempt := e.attempt
	to := m.rig.members[a.To.ID]
	if to == nil || !to.alive {
		m.later(to, func() { m.attemptEnded(a.Call, attempt, node.AttemptEnded{Kind: node.AttemptUnsent}) })
		return
	}
	if !m.rig.connected(m.Instance.ID, to.Instance.ID) {
		m.rig.After(breakDelay, func() { m.attemptEnded(a.Call, attempt, node.AttemptEnded{Kind: node.AttemptLost}) })
		return
	}
	to.nextID++
	e.target = to
	e.remote = to.nextID
	s := &served{origin: m, call: a.Call, attempt: attempt, status: statusOK}
	to.serving[e.remote] = s
	sent := m.rig.now
	remote := e.remote
	m.later(to, func() {
		to.event(func() node.Event {
			s.head = node.PeerCallArrived{Call: remote, From: m.Instance.ID, Head: a.Head, Age: m.rig.now - sent}
			return s.head
		})
	})
}

// later runs f after the link's delay; a nil member counts as reached at once.
func (m *Member) later(to *Member, f func()) {
	if to == nil {
		m.rig.After(DefaultDelay, f)
		return
	}
	m.rig.After(m.rig.delay(m.Instance, to.Instance), f)
}

// back runs f at the call's origin after the link's delay. If the link is cut,
// the origin sees the connection break instead.
func (m *Member) back(s *served, f func()) {
	if !m.rig.connected(m.Instance.ID, s.origin.Instance.ID) {
		m.breakCall(s)
		return
	}
	m.later(s.origin, f)
}

func (m *Member) breakCall(s *served) {
	m.rig.After(breakDelay, func() {
		s.origin.attemptEnded(s.call, s.attempt, node.AttemptEnded{Kind: node.AttemptLost})
	})
}

func (m *Member) attemptEnded(call node.CallID, attempt int, ended node.AttemptEnded) {
	e, ok := m.entries[call]
	if !ok || e.attempt != attempt {
		return
	}
	e.target = nil
	ended.Call = call
	m.event(func() node.Event { return ended })
}

// refuse carries a refusal to the caller or back to the entry node.
func (m *Member) refuse(a node.Refuse) {
	if e, ok := m.entries[a.Call]; ok {
		delete(m.entries, a.Call)
		m.endOutcome(e.outcome, func(o *Outcome) {
			o.Done = true
			refusal := a.Refusal
			o.Refusal = &refusal
		})
		return
	}
	s, ok := m.serving[a.Call]
	if !ok {
		return
	}
	delete(m.serving, a.Call)
	m.back(s, func() {
		s.origin.attemptEnded(s.call, s.attempt, node.AttemptEnded{
			Kind: node.AttemptRefused, Refusal: a.Refusal, Load: a.Load, Attempts: a.Attempts,
		})
	})
}

// replay brings a kept answer to the caller.
func (m *Member) replay(a node.Replay) {
	e, ok := m.entries[a.Call]
	if !ok {
		return
	}
	delete(m.entries, a.Call)
	m.endOutcome(e.outcome, func(o *Outcome) {
		o.Done = true
		o.Answered = true
		o.Replayed = true
		o.By = coltsfootward.InstanceID(a.Answer.Body)
	})
}

// answered carries a whole answer back to the caller.
func (m *Member) answered(a node.EndResponse) {
	s, ok := m.serving[a.Call]
	if !ok {
		return
	}
	delete(m.serving, a.Call)
	load := m.machine.LoadFor(s.head.Head)
	m.back(s, func() { s.origin.delivered(s, m.Instance.ID, load, a) })
}

func (m *Member) delivered(s *served, by coltsfootward.InstanceID, load messageLoad, end node.EndResponse) {
	e, ok := m.entries[s.call]
	if !ok || e.attempt != s.attempt || !m.alive {
		return
	}
	delete(m.entries, s.call)
	m.event(func() node.Event {
		return node.AttemptEnded{Call: s.call, Kind: node.AttemptAnswered, Load: load, Status: s.status}
	})
	m.event(func() node.Event {
		return node.CallDone{Call: s.call, Attempts: end.Attempts, Needed: end.Needed, Complete: true,
			Answer: &claim.Answer{Status: s.status, Body: []byte(by)}}
	})
	m.endOutcome(e.outcome, func(o *Outcome) {
		o.Done = true
		o.Answered = true
		o.Status = s.status
		o.By = by
	})
}

// leaveRemote tells the target's node that nobody waits for the call any more.
func (m *Member) leaveRemote(e *entry) {
	to, remote := e.target, e.remote
	e.target = nil
	if !m.rig.connected(m.Instance.ID, to.Instance.ID) {
		m.rig.After(breakDelay, func() { to.event(func() node.Event { return node.CallerLeft{Call: remote} }) })
		return
	}
	m.later(to, func() { to.event(func() node.Event { return node.CallerLeft{Call: remote} }) })
}
