package node

import (
	"cmp"
	"strings"
	"time"

	"coltsfootward"
	"coltsfootward/core/quarantine"
	"coltsfootward/core/record"

	"github.com/cespare/xxhash/v2"
)

// trialDelay is how long after its last crash a request that was suspected together
// with others is tried again, and the time between two trials.
const trialDelay = 10 * time.Second

// trialDue reports whether a request may be tried: it is withheld only because it
// was in service together with another one whenever servers crashed.
func (p *quarantineComponent) trialDue(f quarantine.Fingerprint, verdict quarantine.Verdict) bool {
	last := max(verdict.LastCrash(), p.trials[f])
	return verdict.Shared && p.node.now.Monotonic-last >= trialDelay
}

// startTrial reports whether a withheld request is dispatched as a trial. One node
// among those whose servers can run it makes the trials, so that a request that
// does crash servers crashes one more. The crash then counts against this request
// alone, and the others that were suspected with it are released.
func (p *quarantineComponent) startTrial(call *upstreamCall) bool {
	f := call.fingerprint
	verdict, ok := p.register.Withheld(p.node.now.Monotonic, f)
	if !ok || !p.trialDue(f, verdict) || p.trialNode(f, call.head.Service) != p.node.options.Self.ID {
		return false
	}
	p.trials[f] = p.node.now.Monotonic
	p.node.report(record.RequestTried, field("fingerprint", f.String()), field("request", string(call.head.Request)))
	return true
}

// trialNode returns the node that makes the trials of a request.
func (p *quarantineComponent) trialNode(f quarantine.Fingerprint, service coltsfootward.ServiceName) coltsfootward.InstanceID {
	rank := func(id coltsfootward.InstanceID) uint64 { return xxhash.Sum64String(f.String() + string(id)) }
	best := p.node.options.Self.ID
	for id, s := range p.node.placement.serviceOf {
		if s == service && cmp.Or(cmp.Compare(rank(id), rank(best)), strings.Compare(string(id), string(best))) < 0 {
			best = id
		}
	}
	return best
}
