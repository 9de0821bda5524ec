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

// perform carries out one action of the node's state machine.
func (m *Member) perform(action node.Action) {
	switch a := action.(type) {
	case node.Forward:
		m.forward(a)
	case node.Refuse:
		m.refuse(a)
	case node.CancelAttempt:
		if e, ok := m.entryRequests[a.Call]; ok && e.target != nil {
			m.cancelRemote(e)
		}
	case node.Dispatch:
		m.Backend.start(a)
	case node.Replay:
		m.replay(a)
	case node.EndResponse:
		m.respond(a)
	case node.CancelDispatch:
		m.Backend.cancel(a.Call)
	case node.Send:
		m.send(a)
	case node.CheckDocument:
		m.rig.Documents.check(m)
	case node.CheckBackend:
		m.rig.After(breakDetectionDelay, m.checkBackend)
	case node.Report:
		m.Records = append(m.Records, a.Record)
	case node.Drained:
		m.Drained = true
	default:
		m.rig.Table.perform(m, action)
	}
}

// checkBackend delivers the result of a health check.
func (m *Member) checkBackend() {
	if m.Backend.down {
		m.deliver(func() node.Event { return node.BackendLost{} })
		return
	}
	m.Backend.Checked = append(m.Backend.Checked, m.rig.Now())
	if m.Backend.IgnoresChecks {
		return
	}
	m.deliver(func() node.Event {
		return node.BackendChecked{Cold: m.Backend.Cold(), Condition: m.Backend.Condition, Load: m.Backend.load()}
	})
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
		to.deliver(func() node.Event {
			return node.MessageArrived{From: m.Instance.ID, Message: a.Message, Age: m.rig.now - sent}
		})
	})
}

// forward starts an attempt: it sends a call to the node of its target.
func (m *Member) forward(a node.Forward) {
	e, ok := m.entryRequests[a.Call]
	if !ok {
		return
	}
	e.attempt++
	e.outcome.Attempts++
	attempt := e.attempt
	to := m.rig.members[a.To.ID]
	if to == nil || !to.alive {
		m.afterLinkDelay(to, func() { m.attemptEnded(a.Call, attempt, node.AttemptEnded{Kind: node.AttemptUnsent}) })
		return
	}
	if !m.rig.connected(m.Instance.ID, to.Instance.ID) {
		m.rig.After(breakDetectionDelay, func() { m.attemptEnded(a.Call, attempt, node.AttemptEnded{Kind: node.AttemptLost}) })
		return
	}
	to.nextID++
	e.target = to
	e.remoteCall = to.nextID
	p := &peerCall{origin: m, call: a.Call, attempt: attempt, status: statusOK}
	to.peerCalls[e.remoteCall] = p
	sent := m.rig.now
	remote := e.remoteCall
	m.afterLinkDelay(to, func() {
		to.deliver(func() node.Event {
			p.head = node.PeerCallArrived{Call: remote, From: m.Instance.ID, Head: a.Head, Body: e.body, Age: m.rig.now - sent}
			return p.head
		})
	})
}

// afterLinkDelay runs f after the one-way delay of the link to the given member,
// or after DefaultDelay if the member is nil.
func (m *Member) afterLinkDelay(to *Member, f func()) {
	if to == nil {
		m.rig.After(DefaultDelay, f)
		return
	}
	m.rig.After(m.rig.delay(m.Instance, to.Instance), f)
}

// sendBack runs f after the delay of the link to the call's origin. If the link
// is partitioned, the origin observes a broken connection instead.
func (m *Member) sendBack(p *peerCall, f func()) {
	if !m.rig.connected(m.Instance.ID, p.origin.Instance.ID) {
		m.breakConnection(p)
		return
	}
	m.afterLinkDelay(p.origin, f)
}

func (m *Member) breakConnection(p *peerCall) {
	m.rig.After(breakDetectionDelay, func() {
		p.origin.attemptEnded(p.call, p.attempt, node.AttemptEnded{Kind: node.AttemptLost})
	})
}

func (m *Member) attemptEnded(call node.CallID, attempt int, ended node.AttemptEnded) {
	e, ok := m.entryRequests[call]
	if !ok || e.attempt != attempt {
		return
	}
	e.target = nil
	ended.Call = call
	m.deliver(func() node.Event { return ended })
}

// refuse delivers a refusal to the caller, or to the entry node if a peer sent
// the call.
func (m *Member) refuse(a node.Refuse) {
	if e, ok := m.entryRequests[a.Call]; ok {
		delete(m.entryRequests, a.Call)
		m.endOutcome(e.outcome, func(o *Outcome) {
			o.Done = true
			refusal := a.Refusal
			o.Refusal = &refusal
		})
		return
	}
	p, ok := m.peerCalls[a.Call]
	if !ok {
		return
	}
	delete(m.peerCalls, a.Call)
	m.sendBack(p, func() {
		p.origin.attemptEnded(p.call, p.attempt, node.AttemptEnded{
			Kind: node.AttemptRefused, Refusal: a.Refusal, Load: a.Load, Attempts: a.Attempts, RetryGranted: a.RetryGranted,
		})
	})
}

// replay delivers a retained response to the caller.
func (m *Member) replay(a node.Replay) {
	e, ok := m.entryRequests[a.Call]
	if !ok {
		return
	}
	delete(m.entryRequests, a.Call)
	m.endOutcome(e.outcome, func(o *Outcome) {
		o.Done = true
		o.Answered = true
		o.Replayed = true
		o.By = coltsfootward.InstanceID(a.Response.Body)
	})
}

// respond sends a complete response back to the entry node and its caller.
func (m *Member) respond(a node.EndResponse) {
	p, ok := m.peerCalls[a.Call]
	if !ok {
		return
	}
	delete(m.peerCalls, a.Call)
	load := m.machine.LoadFor(p.head.Head)
	if m.Backend.Size != nil {
		p.size = m.Backend.Size(p.head.Head)
	}
	m.sendBack(p, func() { p.origin.receiveResponse(p, m.Instance.ID, load, a) })
}

func (m *Member) receiveResponse(p *peerCall, by coltsfootward.InstanceID, load messageLoad, end node.EndResponse) {
	e, ok := m.entryRequests[p.call]
	if !ok || e.attempt != p.attempt || !m.alive {
		return
	}
	delete(m.entryRequests, p.call)
	m.deliver(func() node.Event {
		return node.AttemptEnded{Call: p.call, Kind: node.AttemptAnswered, Load: load, Status: p.status}
	})
	m.deliver(func() node.Event {
		return node.CallDone{Call: p.call, Attempts: end.Attempts, Needed: end.Needed, Complete: true, Size: p.size,
			Response: &claim.RetainedResponse{Status: p.status, Body: []byte(by)}}
	})
	m.endOutcome(e.outcome, func(o *Outcome) {
		o.Done = true
		o.Answered = true
		o.Status = p.status
		o.By = by
	})
}

// cancelRemote notifies the target's node that nobody waits for the call any more.
func (m *Member) cancelRemote(e *entryRequest) {
	to, remote := e.target, e.remoteCall
	e.target = nil
	if !m.rig.connected(m.Instance.ID, to.Instance.ID) {
		m.rig.After(breakDetectionDelay, func() { to.deliver(func() node.Event { return node.CallCancelled{Call: remote} }) })
		return
	}
	m.afterLinkDelay(to, func() { to.deliver(func() node.Event { return node.CallCancelled{Call: remote} }) })
}
