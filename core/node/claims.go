package node

import "coltsfootward"

// claimsPart keeps repeats of one idempotency key apart. In this first form
// it knows only the calls of its own node.
type claimsPart struct {
	node *Node
	held map[string]bool
}

func newClaimsPart(n *Node) *claimsPart {
	return &claimsPart{node: n, held: make(map[string]bool)}
}

func (p *claimsPart) claim(call *entryCall) {
	key := claimKey(call)
	if p.held[key] {
		p.node.entry.finish(call, coltsfootward.NewRefusal(coltsfootward.RefusalAlreadyRun,
			"a request with this Idempotency-Key has been accepted").WithExecution(coltsfootward.ExecutionUnknown))
		return
	}
	p.held[key] = true
	call.claimed = true
	p.node.entry.claimed(call)
}

// ended frees the key of a request that certainly did not run.
func (p *claimsPart) ended(call *entryCall, execution coltsfootward.Execution) {
	call.claimed = false
	if execution == coltsfootward.ExecutionNotRun {
		delete(p.held, claimKey(call))
	}
}

func (p *claimsPart) tick() {}

func claimKey(call *entryCall) string {
	return string(call.head.Organisation) + "\x00" + call.head.IdempotencyKey
}
