package membership

import (
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
)

// prober holds the probes that wait for an answer, oldest first.
type prober struct {
	pending  []*probe
	sequence uint64
	next     time.Duration
	// cursor walks over the next members of the own domain, foreignCursor over
	// the other domains.
	cursor        int
	foreignCursor int
	// unanswered counts probes in a row without a sign of life from anybody.
	unanswered int
}

// probe waits for one answer.
type probe struct {
	sequence uint64
	target   coltsfootward.InstanceID
	sent     time.Duration
	// foreign marks a probe of another failure domain.
	foreign bool
	// indirect is set once others were asked to probe too.
	indirect bool
	// requester asked for the probe; empty means that it is this node's own.
	requester coltsfootward.InstanceID
	// requested is the requester's sequence.
	requested uint64
}

func (m *Machine) isolated() bool { return m.probes.unanswered >= isolatedProbes }

// probeOwn probes the next of the members after this node in the ring, and now
// and then any, also one that is gone: that is how a domain that was cut in two
// comes together again.
func (m *Machine) probeOwn() {
	m.probes.cursor++
	line := m.successor(1 + m.probes.cursor%successors)
	if m.probes.cursor%strayProbe == 0 || line == nil {
		line = m.anyMember(m.options.Self.Domain)
	}
	if line != nil {
		m.probe(line, &probe{})
	}
}

// probeForeign probes a member of another domain: any of one whose last probe
// went unanswered, so that a cut is found in seconds, else this node's partner
// in each in turn.
func (m *Machine) probeForeign() {
	if len(m.foreign) == 0 {
		return
	}
	if domain := m.doubtful(); domain != "" {
		m.probeAny(domain)
		return
	}
	m.probes.foreignCursor++
	domain := m.foreign[m.probes.foreignCursor%len(m.foreign)]
	line := m.partner(domain)
	if m.source.IntN(strayProbe) == 0 || line == nil {
		m.probeAny(domain)
		return
	}
	m.probe(line, &probe{foreign: true})
}

func (m *Machine) probeAny(domain coltsfootward.FailureDomain) {
	line := m.randomMember(domain)
	if line == nil {
		line = m.anyMember(domain)
	}
	if line != nil {
		m.probe(line, &probe{foreign: true})
	}
}

func (m *Machine) doubtful() coltsfootward.FailureDomain {
	for _, domain := range m.foreign {
		if v := m.view(domain); v.unanswered > 0 && !v.unreachable {
			return domain
		}
	}
	return ""
}

func (m *Machine) probe(line *member, p *probe) {
	m.probes.sequence++
	p.sequence = m.probes.sequence
	p.target = line.id()
	p.sent = m.now.Monotonic
	m.probes.pending = append(m.probes.pending, p)
	m.send(line, &message.Probe{Sequence: p.sequence, Self: m.self, Gossip: m.gossipFor(line)})
}

// gossipFor returns the gossip for a member; one that is held for dead is told
// so, for it to refute.
func (m *Machine) gossipFor(line *member) message.Gossip {
	news := m.news()
	if line.news.State != message.MemberAlive {
		news = append(news, line.news)
	}
	return message.Gossip{News: news, Digest: m.options.Digest()}
}

func (m *Machine) probed(from coltsfootward.InstanceID, r *message.Probe) {
	m.take(r.Self, true)
	m.takeAll(r.Gossip.News)
	m.answer(from, r.Sequence)
}

func (m *Machine) answer(to coltsfootward.InstanceID, sequence uint64) {
	if line, ok := m.roster.members[to]; ok {
		m.send(line, &message.ProbeAnswer{Sequence: sequence, Gossip: m.gossipFor(line)})
	}
}

func (m *Machine) probeRequested(from coltsfootward.InstanceID, r *message.ProbeRequest) {
	m.takeAll(r.Gossip.News)
	if line, ok := m.roster.members[r.Target]; ok {
		m.probe(line, &probe{requester: from, requested: r.Sequence})
	}
}

func (m *Machine) answered(sequence uint64) {
	i := slices.IndexFunc(m.probes.pending, func(p *probe) bool { return p.sequence == sequence })
	if i < 0 {
		return
	}
	p := m.probes.pending[i]
	m.probes.pending = slices.Delete(m.probes.pending, i, i+1)
	if p.requester != "" {
		m.answer(p.requester, p.requested)
	}
}

// expireProbes asks others to probe whoever did not answer, and draws the
// conclusion once they had their time too.
func (m *Machine) expireProbes() {
	for _, p := range slices.Clone(m.probes.pending) {
		waited := m.now.Monotonic - p.sent
		switch {
		case waited >= 3*m.options.ProbeTimeout:
			m.unanswered(p)
		case waited >= m.options.ProbeTimeout && !p.indirect && !p.foreign && p.requester == "":
			p.indirect = true
			m.askOthers(p)
		}
	}
}

func (m *Machine) askOthers(p *probe) {
	for _, line := range m.someFingers(indirectProbes + 1) {
		if line.id() != p.target {
			m.send(line, &message.ProbeRequest{Sequence: p.sequence, Target: p.target, Gossip: m.gossipFor(line)})
		}
	}
}

func (m *Machine) unanswered(p *probe) {
	m.probes.pending = slices.DeleteFunc(m.probes.pending, func(o *probe) bool { return o == p })
	line, ok := m.roster.members[p.target]
	if !ok || p.requester != "" {
		return
	}
	if line.present() || p.foreign {
		m.probes.unanswered++
	}
	if p.foreign {
		m.missed(line.domain())
		return
	}
	m.suspect(line)
}

// missed counts a failure domain's unanswered probe. Three members in a row
// that are all dead are unlikely; a cut is not. Work for a domain behind a cut
// would wait for connections that never stand.
func (m *Machine) missed(domain coltsfootward.FailureDomain) {
	v := m.view(domain)
	v.unanswered++
	if v.unanswered < unreachableProbes || v.unreachable {
		return
	}
	v.unreachable = true
	m.options.Reachable(domain, false)
}

// suspect spreads that a member of the own domain does not answer. A node that
// hears nobody suspects nobody: its own link is the likelier culprit, and at
// its return it would accuse the whole domain.
func (m *Machine) suspect(line *member) {
	if line.news.State != message.MemberAlive || m.isolated() {
		return
	}
	news := line.news
	news.State = message.MemberSuspected
	m.put(news, true)
	m.send(line, &message.Gossip{News: []message.News{news}, Digest: m.options.Digest()})
}
