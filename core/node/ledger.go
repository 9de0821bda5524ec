package node

import (
	"coltsfootward"
	"coltsfootward/core/attempt"
)

// ledgerComponent keeps track of the attempts that each request in service may
// still use. It runs on the same node as the backend server that makes the
// child calls, so the bound on the attempts of the whole chain needs no state
// shared between nodes.
type ledgerComponent struct {
	node     *Node
	requests map[CallToken]*upstreamCall
	forecast attempt.Forecast
}

func newLedgerComponent(n *Node) *ledgerComponent {
	return &ledgerComponent{node: n, requests: make(map[CallToken]*upstreamCall)}
}

func (p *ledgerComponent) open(call *upstreamCall) { p.requests[call.token] = call }

// close invalidates the call's token for further child calls.
func (p *ledgerComponent) close(call *upstreamCall) {
	delete(p.requests, call.token)
	p.forecast.RecordCalls(call.budget)
}

// parent returns the request in service that the token belongs to.
func (p *ledgerComponent) parent(token CallToken) (*upstreamCall, bool) {
	call, ok := p.requests[token]
	return call, ok
}

// allocate takes up to want attempts from the parent's remaining attempts for a
// child call.
func (p *ledgerComponent) allocate(parent *upstreamCall, service coltsfootward.ServiceName, want int) int {
	return parent.budget.Allocate(service, want, &p.forecast)
}

// topUp moves attempts from the parent to a child call that failed, up to the
// number that another attempt needs. Both are processed by this node, so no
// message is needed and the total stays exact.
func (p *ledgerComponent) topUp(child *entryCall) {
	missing := p.forecast.Need(child.head.Service) - (child.budget - child.attempts)
	parent, ok := p.requests[child.parent]
	if !ok || missing <= 0 {
		return
	}
	child.budget += parent.budget.TopUp(missing, &p.forecast)
}

// nextAllocation returns how many of the call's attempts are allocated to its
// next attempt. Only entry nodes keep a reserve: if every layer did, the
// reserves would add up to the whole budget.
func (p *ledgerComponent) nextAllocation(call *entryCall) int {
	if call.routed {
		return 1
	}
	remaining := call.budget - call.attempts
	if call.parent != "" || !call.retryAllowed || call.head.Unrepeatable {
		return remaining
	}
	return p.forecast.NextAllocation(call.head.Service, remaining)
}

// hasEnough reports whether the call has enough attempts left for another try.
// An attempt sent with fewer than the service needs would fail deeper in the
// chain, after work has been spent on it.
func (p *ledgerComponent) hasEnough(call *entryCall) bool {
	return call.budget-call.attempts >= p.forecast.Need(call.head.Service)
}

// recordNeed updates the forecast from a call whose complete response arrived.
func (p *ledgerComponent) recordNeed(call *entryCall, needed int) {
	p.forecast.RecordNeed(call.head.Service, needed)
	if parent, ok := p.requests[call.parent]; ok {
		parent.budget.RecordNeed(needed)
	}
}

// release returns the unused attempts of a child call to its parent. If the
// parent has already ended, nothing can use them any more.
func (p *ledgerComponent) release(token CallToken, unused int) {
	if call, ok := p.requests[token]; ok {
		call.budget.Release(unused)
	}
}
