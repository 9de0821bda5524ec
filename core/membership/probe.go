package membership

import (
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
)

// prober is the state of the failure detector. The pending probes are ordered from
// oldest to newest.
type prober struct {
	pending  []*probe
	sequence uint64
	next     time.Duration
	// cursor iterates over the successors in this node's domain, remoteCursor over
	// the remote domains.
	cursor       int
	remoteCursor int
	// unanswered counts the unanswered probes since the latest message of any member.
	unanswered int
}

// probe is a probe that waits for an answer.
type probe struct {
	sequence uint64
	target   coltsfootward.InstanceID
	sent     time.Duration
	// remote marks a probe of another failure domain.
	remote bool
	// indirect is set once indirect probes have been requested.
	indirect bool
	// requester is the member that requested this indirect probe; empty means that the
	// probe is direct.
	requester coltsfootward.InstanceID
	// requesterSequence is the sequence number of the requester's probe.
	requesterSequence uint64
}

func (m *Machine) isolated() bool { return m.probes.unanswered >= isolatedProbes }

// probeLocal probes the next of this node's successors in the ring, and occasionally
// a random member, which may be gone: such probes reunite a domain after a network
// partition has split it.
func (m *Machine) probeLocal() {
	m.probes.cursor++
	entry := m.successor(1 + m.probes.cursor%successors)
	if m.probes.cursor%randomProbePeriod == 0 || entry == nil {
		entry = m.randomNotLeft(m.options.Self.Domain)
	}
	if entry != nil {
		m.probe(entry, &probe{})
	}
}

// probeRemote probes a member of another domain. A domain whose last probe was
// unanswered goes first, with a random member, so that a network partition is
// detected within seconds. Otherwise the domains take turns and this node's
// counterpart there is probed.
func (m *Machine) probeRemote() {
	if len(m.remoteDomains) == 0 {
		return
	}
	if domain := m.unansweredDomain(); domain != "" {
		m.probeRandom(domain)
		return
	}
	m.probes.remoteCursor++
	domain := m.remoteDomains[m.probes.remoteCursor%len(m.remoteDomains)]
	entry := m.counterpart(domain)
	if m.source.IntN(randomProbePeriod) == 0 || entry == nil {
		m.probeRandom(domain)
		return
	}
	m.probe(entry, &probe{remote: true})
}

func (m *Machine) probeRandom(domain coltsfootward.FailureDomain) {
	entry := m.randomPresent(domain)
	if entry == nil {
		entry = m.randomNotLeft(domain)
	}
	if entry != nil {
		m.probe(entry, &probe{remote: true})
	}
}

func (m *Machine) unansweredDomain() coltsfootward.FailureDomain {
	for _, domain := range m.remoteDomains {
		if state := m.domainState(domain); state.unanswered > 0 && !state.unreachable {
			return domain
		}
	}
	return ""
}

func (m *Machine) probe(entry *member, p *probe) {
	m.probes.sequence++
	p.sequence = m.probes.sequence
	p.target = entry.id()
	p.sent = m.now.Monotonic
	m.probes.pending = append(m.probes.pending, p)
	m.send(entry, &message.Probe{Sequence: p.sequence, Self: m.self, Gossip: m.gossipFor(entry)})
}

// gossipFor returns the gossip for a member. For a member that is not considered
// alive, it includes that member's state, so that the member can refute it.
func (m *Machine) gossipFor(entry *member) message.Gossip {
	updates := m.nextUpdates()
	if entry.latest.State != message.MemberAlive {
		updates = append(updates, entry.latest)
	}
	return message.Gossip{Updates: updates, Digest: m.options.Digest()}
}

func (m *Machine) handleProbe(from coltsfootward.InstanceID, r *message.Probe) {
	m.merge(r.Self, true)
	m.mergeAll(r.Gossip.Updates)
	m.sendProbeAnswer(from, r.Sequence)
}

func (m *Machine) sendProbeAnswer(to coltsfootward.InstanceID, sequence uint64) {
	if entry, ok := m.roster.members[to]; ok {
		m.send(entry, &message.ProbeAnswer{Sequence: sequence, Gossip: m.gossipFor(entry)})
	}
}

func (m *Machine) handleProbeRequest(from coltsfootward.InstanceID, r *message.ProbeRequest) {
	m.mergeAll(r.Gossip.Updates)
	if entry, ok := m.roster.members[r.Target]; ok {
		m.probe(entry, &probe{requester: from, requesterSequence: r.Sequence})
	}
}

func (m *Machine) handleProbeAnswer(sequence uint64) {
	i := slices.IndexFunc(m.probes.pending, func(p *probe) bool { return p.sequence == sequence })
	if i < 0 {
		return
	}
	p := m.probes.pending[i]
	m.probes.pending = slices.Delete(m.probes.pending, i, i+1)
	if p.requester != "" {
		m.sendProbeAnswer(p.requester, p.requesterSequence)
	}
}

// expireProbes requests indirect probes of members that did not answer in time, and
// handles the timeout once the time for the indirect probes has passed too.
func (m *Machine) expireProbes() {
	for _, p := range slices.Clone(m.probes.pending) {
		waited := m.now.Monotonic - p.sent
		switch {
		case waited >= 3*m.options.ProbeTimeout:
			m.handleProbeTimeout(p)
		case waited >= m.options.ProbeTimeout && !p.indirect && !p.remote && p.requester == "":
			p.indirect = true
			m.requestIndirectProbes(p)
		}
	}
}

func (m *Machine) requestIndirectProbes(p *probe) {
	for _, entry := range m.someFingers(indirectProbes + 1) {
		if entry.id() != p.target {
			m.send(entry, &message.ProbeRequest{Sequence: p.sequence, Target: p.target, Gossip: m.gossipFor(entry)})
		}
	}
}

func (m *Machine) handleProbeTimeout(p *probe) {
	m.probes.pending = slices.DeleteFunc(m.probes.pending, func(o *probe) bool { return o == p })
	entry, ok := m.roster.members[p.target]
	if !ok || p.requester != "" {
		return
	}
	if entry.present() || p.remote {
		m.probes.unanswered++
	}
	if p.remote {
		m.countUnanswered(entry.domain())
		return
	}
	m.suspect(entry)
}

// countUnanswered counts an unanswered probe of a failure domain and marks the domain
// as unreachable at the limit. Three dead members in a row are unlikely, a network
// partition is not. Requests sent to a partitioned domain would wait for connections
// that are never established.
func (m *Machine) countUnanswered(domain coltsfootward.FailureDomain) {
	state := m.domainState(domain)
	state.unanswered++
	if state.unanswered < unreachableProbes || state.unreachable {
		return
	}
	state.unreachable = true
	m.options.OnReachable(domain, false)
}

// suspect marks a member of this node's domain as suspected and gossips that. An
// isolated node suspects no member: its own link is the more likely fault, and once
// connected again it would spread suspicions of the whole domain.
func (m *Machine) suspect(entry *member) {
	if entry.latest.State != message.MemberAlive || m.isolated() {
		return
	}
	update := entry.latest
	update.State = message.MemberSuspected
	m.apply(update, true)
	m.send(entry, &message.Gossip{Updates: []message.MemberUpdate{update}, Digest: m.options.Digest()})
}
