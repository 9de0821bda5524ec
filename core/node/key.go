package node

import (
	"maps"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/record"
)

// domainPatience is how long a failure domain counts as heard after its last
// message. Each node probes each other domain about every 20 s at 18 of them.
const domainPatience = time.Minute

// keyMarks are keys that were withdrawn, known before the change is in force
// here. The set grows until the configuration says the same.
type keyMarks struct {
	digests map[coltsfootward.KeyDigest]bool
}

func (m *keyMarks) add(digest coltsfootward.KeyDigest) {
	if m.digests == nil {
		m.digests = make(map[coltsfootward.KeyDigest]bool)
	}
	m.digests[digest] = true
}

// settle drops the marks that the configuration has made good.
func (m *keyMarks) settle(c coltsfootward.Configuration) {
	maps.DeleteFunc(m.digests, func(digest coltsfootward.KeyDigest, _ bool) bool {
		key, ok := c.Key(digest)
		return ok && key.Withdrawn
	})
}

func (m *keyMarks) list(limit int) []coltsfootward.KeyDigest {
	if len(m.digests) == 0 {
		return nil
	}
	all := slices.Sorted(maps.Keys(m.digests))
	return all[:min(len(all), limit)]
}

// mark stops a key here and tells a few members at once. The change that
// withdraws it may still wait for a slow platform or for changes before it.
func (p *configurationPart) mark(digest coltsfootward.KeyDigest) {
	key, ok := p.current.Key(digest)
	if p.marks.digests[digest] || ok && key.Withdrawn {
		return
	}
	p.marks.add(digest)
	if p.node.membership == nil {
		return
	}
	own := p.own()
	own.Withdrawn = []coltsfootward.KeyDigest{digest}
	for _, to := range p.pushTargets() {
		p.node.act(Send{To: to, Message: &own})
	}
}

// WithdrawKey stops a key at once, here and at every node that can be reached,
// before the change that withdraws it is stored. It is not kept by the platform:
// without that change, nodes that start later honour the key.
func (n *Node) WithdrawKey(digest coltsfootward.KeyDigest) {
	n.configuration.mark(digest)
}

// key returns the key of that digest, or why it is not honoured.
func (p *configurationPart) key(digest coltsfootward.KeyDigest) (coltsfootward.Key, *coltsfootward.Refusal) {
	if p.current.Revision() == 0 {
		return coltsfootward.Key{}, refusal(coltsfootward.RefusalConfiguration, "no configuration has been read yet")
	}
	// A node that was paused may get a request before its next tick.
	p.checkContact()
	if p.contact.stopped {
		return coltsfootward.Key{}, refusal(coltsfootward.RefusalConfiguration, "this instance is cut off and cannot tell whether keys were withdrawn")
	}
	key, ok := p.current.Key(digest)
	if !ok || key.Withdrawn || p.marks.digests[digest] {
		return coltsfootward.Key{}, refusal(coltsfootward.RefusalUnauthenticated, "the key is unknown or withdrawn")
	}
	return key, nil
}

// contactAge says how old this node's evidence is that a withdrawn key would
// have come to its ears. All times are of Instant.Expiry, which is never behind:
// a node that was suspended must not take its old evidence for young.
type contactAge struct {
	// tableRead is when the table was last read by this node or by one that it
	// has heard of.
	tableRead time.Duration
	// majority is when most failure domains were last heard. While the platform
	// is away no change can be accepted, so whoever hears most domains misses
	// none; a side with fewer may be cut off from the platform alone.
	majority time.Duration
	checked  time.Duration
	stopped  bool
	// reported is set while operators have been told that keys are stopped.
	reported bool
}

// began leaves a node that starts without any evidence: else each restart behind
// a cut would begin the grace anew.
func (a *contactAge) began(now coltsfootward.Instant, grace time.Duration) {
	a.tableRead = now.Expiry - grace - 1
	a.majority = a.tableRead
	a.stopped = true
}

func (a *contactAge) table(at time.Duration) {
	a.tableRead = max(a.tableRead, at)
}

func (a *contactAge) tableAge(now coltsfootward.Instant) time.Duration {
	return max(now.Expiry-a.tableRead, 0)
}

// checkContact stops all keys at a node that has been cut off for too long.
// Without it a caller behind a cut could use a withdrawn key for as long as the
// cut lasts.
func (p *configurationPart) checkContact() {
	a := &p.contact
	now := p.node.now.Expiry
	// A node that is stopped looks again at once, so that it honours keys as soon
	// as it hears of anybody.
	if now-a.checked < time.Second && !a.stopped {
		return
	}
	a.checked = now
	if p.hearsMostDomains() {
		a.majority = now
	}
	stopped := now-max(a.tableRead, a.majority) > p.node.options.KeyGrace
	if stopped && !a.stopped {
		p.node.report(record.KeysStopped)
		a.reported = true
	}
	if !stopped && a.reported {
		p.node.report(record.KeysHonoured)
		a.reported = false
	}
	a.stopped = stopped
}

func (p *configurationPart) hearsMostDomains() bool {
	domains := slices.Concat(p.node.options.Domains, p.node.membership.machine.Domains())
	slices.Sort(domains)
	domains = slices.Compact(domains)
	heard := 0
	for _, domain := range domains {
		if p.hears(domain) {
			heard++
		}
	}
	return 2*heard > len(domains)
}

// hears counts the own domain as heard if no other node is known to run there.
func (p *configurationPart) hears(domain coltsfootward.FailureDomain) bool {
	m := p.node.membership.machine
	if domain == p.node.options.Self.Domain && len(m.Roster(domain)) <= 1 {
		return true
	}
	return m.HeardWithin(p.node.now, domain, domainPatience)
}
