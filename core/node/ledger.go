package node

import (
	"coltsfootward"
	"coltsfootward/core/attempt"
)

// ledgerPart holds the attempts that each request in service may still use. It
// sits beside the backend server that makes the further calls, so the bound on
// the chain's attempts needs no state shared between nodes.
type ledgerPart struct {
	node     *Node
	requests map[CallToken]*upstreamCall
	forecast attempt.Forecast
}

func newLedgerPart(n *Node) *ledgerPart {
	return &ledgerPart{node: n, requests: make(map[CallToken]*upstreamCall)}
}

func (p *ledgerPart) open(call *upstreamCall) { p.requests[call.token] = call }

// close ends the time in which the token is good for further calls.
func (p *ledgerPart) close(call *upstreamCall) {
	delete(p.requests, call.token)
	p.forecast.Ended(call.escrow)
}

// parent returns the request in service that the token belongs to.
func (p *ledgerPart) parent(token CallToken) (*upstreamCall, bool) {
	call, ok := p.requests[token]
	return call, ok
}

// slice takes up to want attempts out of the parent's remainder.
func (p *ledgerPart) slice(parent *upstreamCall, service coltsfootward.ServiceName, want int) int {
	return parent.escrow.Take(service, want, &p.forecast)
}

// topUp moves attempts from the parent to a child that failed, so that it has
// what another attempt needs. Both are in hand of this node, so no message is
// needed and the sum stays exact.
func (p *ledgerPart) topUp(child *entryCall) {
	missing := p.forecast.Need(child.head.Service) - (child.budget - child.attempts)
	parent, ok := p.requests[child.parent]
	if !ok || missing <= 0 {
		return
	}
	child.budget += parent.escrow.TopUp(missing, &p.forecast)
}

// carry returns how many of the call's attempts the next one takes along. Only
// entry nodes reserve: at every layer the reserves would add up to all there is.
func (p *ledgerPart) carry(call *entryCall) int {
	if call.ownAttempts {
		return 1
	}
	left := call.budget - call.attempts
	if call.parent != "" || !call.mayRetry || call.head.Unrepeatable {
		return left
	}
	return p.forecast.Carry(call.head.Service, left)
}

// enough reports whether the call's own attempts allow one more. An attempt
// that begins with less than the service needs fails deeper down, after work
// has been spent on it.
func (p *ledgerPart) enough(call *entryCall) bool {
	return call.budget-call.attempts >= p.forecast.Need(call.head.Service)
}

// answered learns from a call whose whole answer arrived.
func (p *ledgerPart) answered(call *entryCall, needed int) {
	p.forecast.Answered(call.head.Service, needed)
	if parent, ok := p.requests[call.parent]; ok {
		parent.escrow.Answered(needed)
	}
}

// giveBack returns what a child did not use. After the parent has ended there
// is nobody left to use it.
func (p *ledgerPart) giveBack(token CallToken, unused int) {
	if call, ok := p.requests[token]; ok {
		call.escrow.GiveBack(unused)
	}
}
