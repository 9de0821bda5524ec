package node

// ledgerPart holds the attempts that each request in service may still use. It
// sits beside the backend server that makes the further calls, so the bound on
// the chain's attempts needs no state shared between nodes.
type ledgerPart struct {
	node     *Node
	requests map[CallToken]*upstreamCall
}

func newLedgerPart(n *Node) *ledgerPart {
	return &ledgerPart{node: n, requests: make(map[CallToken]*upstreamCall)}
}

func (p *ledgerPart) open(call *upstreamCall) { p.requests[call.token] = call }

func (p *ledgerPart) close(call *upstreamCall) { delete(p.requests, call.token) }

// parent returns the request in service that the token belongs to.
func (p *ledgerPart) parent(token CallToken) (*upstreamCall, bool) {
	call, ok := p.requests[token]
	return call, ok
}

// slice takes up to want attempts out of the parent's remainder.
func (p *ledgerPart) slice(parent *upstreamCall, want int) int {
	taken := min(want, parent.remaining)
	parent.remaining -= taken
	return taken
}

// giveBack returns what a child did not use. After the parent has ended there
// is nobody left to use it.
func (p *ledgerPart) giveBack(token CallToken, unused int) {
	if call, ok := p.requests[token]; ok {
		call.remaining += unused
	}
}
