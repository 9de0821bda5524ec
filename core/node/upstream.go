package node

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/attempt"
	"coltsfootward/core/message"
)

// upstreamCall is a call for the local backend server.
type upstreamCall struct {
	id      CallID
	head    message.Call
	arrived time.Duration
	// deadline is when the caller's time ends, by Instant.Expiry.
	deadline time.Duration
	// startBy is when the call's admission ends, by Instant.Expiry; zero means never.
	startBy time.Duration
	// token is set once the call has been dispatched.
	token CallToken
	// escrow holds the attempts that the calls below may still use.
	escrow *attempt.Escrow
}

// upstreamPart stands before the local backend server: every request for it
// passes here, so what was never started is known for certain.
type upstreamPart struct {
	node    *Node
	calls   map[CallID]*upstreamCall
	waiting []*upstreamCall
	running int
}

func newUpstreamPart(n *Node) *upstreamPart {
	return &upstreamPart{node: n, calls: make(map[CallID]*upstreamCall)}
}

func (p *upstreamPart) count() int { return len(p.calls) }

func (p *upstreamPart) arrived(e PeerCallArrived) {
	now := p.node.now.Expiry
	call := &upstreamCall{
		id:       e.Call,
		head:     e.Head,
		arrived:  now,
		deadline: now + e.Head.Timeout - e.Age,
		escrow:   attempt.NewEscrow(e.Head.Budget),
	}
	if e.Head.StartWithin > 0 {
		call.startBy = now + e.Head.StartWithin - e.Age
	}
	p.calls[call.id] = call
	if r := p.check(call); r != nil {
		p.refuse(call, *r)
		return
	}
	p.waiting = append(p.waiting, call)
	p.start()
}

// check refuses what cannot be served here at all.
func (p *upstreamPart) check(call *upstreamCall) *coltsfootward.Refusal {
	local := p.node.membership.local
	if local.Service == "" || local.Service != call.head.Service {
		return refusal(coltsfootward.RefusalNoUpstream, fmt.Sprintf("no backend server of %q runs here", call.head.Service))
	}
	if local.Draining || p.node.draining {
		return refusal(coltsfootward.RefusalDraining, "the backend server takes no new work")
	}
	if call.head.Budget < 1 {
		return refusal(coltsfootward.RefusalAttempts, "the chain has used its attempts")
	}
	return p.checkTime(call)
}

func (p *upstreamPart) checkTime(call *upstreamCall) *coltsfootward.Refusal {
	now := p.node.now.Expiry
	if now >= call.deadline {
		return refusal(coltsfootward.RefusalTimeout, "the caller's time ran out before the request started")
	}
	// A node that was paused between admission and dispatch would start work
	// that the organisation's rate has long been charged for elsewhere. The
	// admission's short life ends that: what is older is not dispatched.
	if call.startBy != 0 && now >= call.startBy {
		return refusal(coltsfootward.RefusalStale, "the request waited longer than its admission lasts")
	}
	return nil
}

// start dispatches waiting calls while the backend server has room.
func (p *upstreamPart) start() {
	for len(p.waiting) > 0 && p.running < p.node.membership.local.Slots {
		call := p.waiting[0]
		p.waiting = p.waiting[1:]
		if r := p.checkTime(call); r != nil {
			p.refuse(call, *r)
			continue
		}
		p.dispatch(call)
	}
}

func (p *upstreamPart) dispatch(call *upstreamCall) {
	call.token = p.node.newCallToken()
	p.node.ledger.open(call)
	p.running++
	p.node.act(Dispatch{
		Call:         call.id,
		Token:        call.token,
		Deadline:     call.deadline,
		StartBy:      call.startBy,
		Unrepeatable: call.head.Unrepeatable,
	})
}

func (p *upstreamPart) headed(DispatchHeaded) {}

func (p *upstreamPart) ended(e DispatchEnded) {
	call, ok := p.calls[e.Call]
	if !ok {
		return
	}
	p.running--
	p.node.ledger.close(call)
	switch e.Kind {
	case DispatchUnsent:
		p.refuse(call, coltsfootward.NewRefusal(coltsfootward.RefusalConnectionLost, "the backend server could not be reached"))
	case DispatchFailed:
		p.refuse(call, coltsfootward.NewRefusal(coltsfootward.RefusalUpstreamFailed, "the backend server broke off").
			WithExecution(coltsfootward.ExecutionUnknown))
	case DispatchTimeout:
		p.refuse(call, coltsfootward.NewRefusal(coltsfootward.RefusalTimeout, "the caller's time ran out while the request ran").
			WithExecution(coltsfootward.ExecutionUnknown))
	case DispatchAnswered:
		delete(p.calls, call.id)
		p.node.act(EndAnswer{Call: call.id, Attempts: call.escrow.Used(), Needed: call.escrow.Needed()})
	default:
		delete(p.calls, call.id)
	}
	p.start()
}

func (p *upstreamPart) callerLeft(id CallID) {
	call, ok := p.calls[id]
	if !ok {
		return
	}
	if call.token != "" {
		p.node.act(CancelDispatch{Call: id})
		return
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(w *upstreamCall) bool { return w.id == id })
	p.refuse(call, coltsfootward.NewRefusal(coltsfootward.RefusalCancelled, "the caller left before the request started"))
}

func (p *upstreamPart) tick() {
	p.waiting = slices.DeleteFunc(p.waiting, func(call *upstreamCall) bool {
		r := p.checkTime(call)
		if r != nil {
			p.refuse(call, *r)
		}
		return r != nil
	})
}

// refuse answers the peer. Attempts counts what the call and all below it used:
// its own attempt only if it may have run.
func (p *upstreamPart) refuse(call *upstreamCall, r coltsfootward.Refusal) {
	delete(p.calls, call.id)
	used := 0
	if r.Execution != coltsfootward.ExecutionNotRun {
		used = call.escrow.Used()
	}
	p.node.act(Refuse{Call: call.id, Refusal: r, Load: p.load(), Attempts: used})
}

// load is what goes back with every answer.
func (p *upstreamPart) load() message.Load {
	return message.Load{
		Running: p.running,
		Queued:  len(p.waiting),
		Limit:   p.node.membership.local.Slots,
	}
}

// Load returns what the node would say of its upstream in an answer now.
func (n *Node) Load() message.Load {
	return n.upstream.load()
}

func (n *Node) newCallToken() CallToken {
	return CallToken(fmt.Sprintf("%016x%016x", n.source.Uint64(), n.source.Uint64()))
}

// sortedCalls returns the calls in the order of their numbers: the order of a
// map would differ between two runs of one seed.
func sortedCalls[V any](calls map[CallID]V) []CallID {
	return slices.Sorted(maps.Keys(calls))
}
