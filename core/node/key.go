package node

import (
	"maps"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/record"
)

// domainContactTimeout is how long a failure domain counts as reachable after
// its last message. With 18 failure domains each node probes each of the others
// about every 20 s.
const domainContactTimeout = time.Minute

// withdrawnKeys are keys that are known to be withdrawn although the withdrawal
// is not in force here yet. A key stays in the set until the configuration
// contains its withdrawal.
type withdrawnKeys struct {
	digests map[coltsfootward.KeyDigest]bool
}

func (w *withdrawnKeys) add(digest coltsfootward.KeyDigest) {
	if w.digests == nil {
		w.digests = make(map[coltsfootward.KeyDigest]bool)
	}
	w.digests[digest] = true
}

// prune removes the keys whose withdrawal the configuration contains.
func (w *withdrawnKeys) prune(c coltsfootward.Configuration) {
	maps.DeleteFunc(w.digests, func(digest coltsfootward.KeyDigest, _ bool) bool {
		key, ok := c.Key(digest)
		return ok && key.Withdrawn
	})
}

func (w *withdrawnKeys) list(limit int) []coltsfootward.KeyDigest {
	if len(w.digests) == 0 {
		return nil
	}
	all := slices.Sorted(maps.Keys(w.digests))
	return all[:min(len(all), limit)]
}

// markWithdrawn rejects a key at this node from now on and notifies a few
// members. The change that withdraws the key may still be delayed by a slow
// platform or by earlier changes that are missing.
func (p *configurationComponent) markWithdrawn(digest coltsfootward.KeyDigest) {
	key, ok := p.current.Key(digest)
	if p.withdrawn.digests[digest] || ok && key.Withdrawn {
		return
	}
	p.withdrawn.add(digest)
	if p.node.membership == nil {
		return
	}
	own := p.ownDigest()
	own.Withdrawn = []coltsfootward.KeyDigest{digest}
	for _, to := range p.pushTargets() {
		p.node.act(Send{To: to, Message: &own})
	}
}

// WithdrawKey makes this node and every reachable node reject a key
// immediately, before the change that withdraws it is stored. The platform does
// not store this call: without the change, nodes that start later accept the
// key.
func (n *Node) WithdrawKey(digest coltsfootward.KeyDigest) {
	n.configuration.markWithdrawn(digest)
}

// key returns the key with the given digest, or a refusal if the key is not
// accepted.
func (p *configurationComponent) key(digest coltsfootward.KeyDigest) (coltsfootward.Key, *coltsfootward.Refusal) {
	if p.current.Revision() == 0 {
		return coltsfootward.Key{}, refusal(coltsfootward.RefusalConfiguration, "no configuration has been read yet")
	}
	// A node that was paused may receive a request before its next tick.
	p.checkContact()
	if p.contact.stopped {
		return coltsfootward.Key{}, refusal(coltsfootward.RefusalConfiguration, "this instance is cut off and cannot tell whether keys were withdrawn")
	}
	key, ok := p.current.Key(digest)
	if !ok || key.Withdrawn || p.withdrawn.digests[digest] {
		return coltsfootward.Key{}, refusal(coltsfootward.RefusalUnauthenticated, "the key is unknown or withdrawn")
	}
	return key, nil
}

// contactState tracks when this node last had contact through which it would
// have learned of a withdrawn key. All times are by Instant.Expiry, which never
// lags real time, so that a node that was suspended does not treat old contact
// as recent.
type contactState struct {
	// lastTableRead is the latest read of the table by this node or by a node
	// whose digest reached it.
	lastTableRead time.Duration
	// lastMajority is when most failure domains were last reachable. No change
	// can be accepted while the platform is unavailable, so a node that reaches
	// most failure domains misses none. A smaller side of a network partition
	// may be the only one that cannot reach the platform.
	lastMajority time.Duration
	lastCheck    time.Duration
	stopped      bool
	// reported is set while KeysStopped was the last of the two records
	// KeysStopped and KeysHonoured that the node reported.
	reported bool
}

// reset starts the state without any contact. Otherwise each restart within a
// network partition would start a new grace period.
func (s *contactState) reset(now coltsfootward.Instant, grace time.Duration) {
	s.lastTableRead = now.Expiry - grace - 1
	s.lastMajority = s.lastTableRead
	s.stopped = true
}

func (s *contactState) noteTableRead(at time.Duration) {
	s.lastTableRead = max(s.lastTableRead, at)
}

func (s *contactState) tableAge(now coltsfootward.Instant) time.Duration {
	return max(now.Expiry-s.lastTableRead, 0)
}

// checkContact makes the node reject all keys after it was isolated for too
// long. Otherwise a caller on the isolated side of a network partition could
// use a withdrawn key for as long as the partition lasts.
func (p *configurationComponent) checkContact() {
	contact := &p.contact
	now := p.node.now.Expiry
	// A node that rejects keys checks on every call, so that it accepts them
	// again as soon as it has contact.
	if now-contact.lastCheck < time.Second && !contact.stopped {
		return
	}
	contact.lastCheck = now
	if p.reachesMostDomains() {
		contact.lastMajority = now
	}
	stopped := now-max(contact.lastTableRead, contact.lastMajority) > p.node.options.KeyGrace
	if stopped && !contact.stopped {
		p.node.report(record.KeysStopped)
		contact.reported = true
	}
	if !stopped && contact.reported {
		p.node.report(record.KeysHonoured)
		contact.reported = false
	}
	contact.stopped = stopped
}

func (p *configurationComponent) reachesMostDomains() bool {
	domains := slices.Concat(p.node.options.Domains, p.node.membership.machine.Domains())
	slices.Sort(domains)
	domains = slices.Compact(domains)
	reached := 0
	for _, domain := range domains {
		if p.reaches(domain) {
			reached++
		}
	}
	return 2*reached > len(domains)
}

// reaches reports whether a failure domain is reachable. The own domain counts
// as reachable if no other node is known to run there.
func (p *configurationComponent) reaches(domain coltsfootward.FailureDomain) bool {
	m := p.node.membership.machine
	if domain == p.node.options.Self.Domain && len(m.Roster(domain)) <= 1 {
		return true
	}
	return m.SeenWithin(p.node.now, domain, domainContactTimeout)
}
