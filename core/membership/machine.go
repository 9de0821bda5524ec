package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
)

// Machine is one node's view of all others. Create it with New.
type Machine struct {
	options Options
	source  *rand.Rand
	now     coltsfootward.Instant
	self    message.News
	roster  *roster
	queue   *queue
	probes  prober
	views   map[coltsfootward.FailureDomain]*view
	// foreign lists the other failure domains that have members, sorted.
	foreign []coltsfootward.FailureDomain
	// suspects holds the suspected members of the own domain.
	suspects []coltsfootward.InstanceID

	ticked     time.Duration
	nextGossip time.Duration
	nextSync   time.Duration
	nextSweep  time.Duration
	// syncPeer is whom the next comparison continues with; empty means that a
	// random member is chosen.
	syncPeer coltsfootward.InstanceID
	syncMore bool
}

// view is what this node knows of a failure domain by its own evidence.
type view struct {
	// unanswered counts probes in a row that no member answered.
	unanswered  int
	unreachable bool
	// heard is when a member was last heard, by Instant.Expiry.
	heard time.Duration
	known bool
}

// New returns a machine that knows only itself. All random choices come from source.
func New(options Options, source *rand.Rand, now coltsfootward.Instant) *Machine {
	m := &Machine{
		options: options.withDefaults(),
		source:  source,
		now:     now,
		roster:  newRoster(),
		queue:   newQueue(),
		views:   make(map[coltsfootward.FailureDomain]*view),
		ticked:  now.Monotonic,
	}
	m.probes.next = now.Monotonic + m.jitter(m.options.ProbeInterval)
	m.nextSync = now.Monotonic + m.jitter(m.options.SyncInterval)
	m.self = message.News{Announcement: message.Announcement{Instance: options.Self}, State: message.MemberAlive}
	m.publish(func(*message.Announcement) {})
	return m
}

// jitter returns a random part of d, so that nodes started together do not act
// together ever after.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.source.Int64N(int64(d)))
}

// Local returns this node's own announcement.
func (m *Machine) Local() message.Announcement { return m.self.Announcement }

// Announce spreads what the local backend server offers.
func (m *Machine) Announce(service coltsfootward.ServiceName, slots int, draining bool) {
	m.AnnounceCold(service, slots, draining, 0)
}

// AnnounceCold spreads what the local backend server offers and how much longer
// it is slow after its start.
func (m *Machine) AnnounceCold(service coltsfootward.ServiceName, slots int, draining bool, cold time.Duration) {
	m.publish(func(a *message.Announcement) {
		a.Cold = cold
		a.Service = service
		a.Slots = slots
		a.Draining = draining || a.Leaving
	})
}

// Leave spreads that the node takes no new work and is about to stop.
func (m *Machine) Leave() {
	m.publish(func(a *message.Announcement) {
		a.Draining = true
		a.Leaving = true
	})
}

// Left tells a few members at once that the node stops now. If none of them
// hears it, the node is found out by probes like one that was killed.
func (m *Machine) Left() {
	m.self.State = message.MemberLeft
	m.publish(func(*message.Announcement) {})
	for range indirectProbes {
		m.gossip()
	}
}

func (m *Machine) publish(change func(*message.Announcement)) {
	change(&m.self.Announcement)
	m.self.Announcement.Version++
	m.roster.put(m.self)
	m.queue.add(m.self)
}

// Tick lets time pass.
func (m *Machine) Tick(now coltsfootward.Instant) {
	m.now = now
	m.forgivePause()
	m.expireProbes()
	m.matureSuspects()
	if now.Monotonic >= m.probes.next {
		m.probes.next = now.Monotonic + m.options.ProbeInterval
		m.probeOwn()
		m.probeForeign()
	}
	if now.Monotonic >= m.nextGossip && len(m.queue.items) > 0 {
		m.nextGossip = now.Monotonic + m.options.GossipInterval
		m.gossip()
	}
	if now.Monotonic >= m.nextSync {
		m.nextSync = now.Monotonic + m.options.SyncInterval
		m.sync()
	}
	m.sweep()
}

// forgivePause guards against a node that was paused and finds, on waking, that
// all its probes went unanswered and all its suspicions are due: the answers
// wait unread in its buffers. Nothing that fell into the pause counts.
func (m *Machine) forgivePause() {
	gap := m.now.Monotonic - m.ticked
	m.ticked = m.now.Monotonic
	if gap < pauseGap {
		return
	}
	m.probes.pending = nil
	for _, id := range m.suspects {
		if line, ok := m.roster.members[id]; ok {
			line.since += gap
		}
	}
}

// Receive takes a member's message. Age is an upper bound of the time since it
// was sent. Messages of other parts count only as a sign of life.
func (m *Machine) Receive(now coltsfootward.Instant, from coltsfootward.InstanceID, received message.Message, age time.Duration) {
	m.now = now
	switch r := received.(type) {
	case *message.Announcement:
		m.take(message.News{Announcement: *r, State: message.MemberAlive}, true)
	case *message.Gossip:
		m.takeAll(r.News)
	case *message.Probe:
		m.probed(from, r)
	case *message.ProbeRequest:
		m.probeRequested(from, r)
	case *message.ProbeAnswer:
		m.takeAll(r.Gossip.News)
		m.answered(r.Sequence)
	case *message.RosterDigest:
		m.compare(from, r)
	case *message.RosterBuckets:
		m.compareBuckets(from, r)
	case *message.RosterPage:
		m.page(from, r)
	}
	m.heard(from, age)
}

// heard notes a sign of life. It reopens a failure domain that was held for
// cut off.
func (m *Machine) heard(from coltsfootward.InstanceID, age time.Duration) {
	line, ok := m.roster.members[from]
	if !ok {
		return
	}
	at := m.now.Expiry - age
	if !line.known || at > line.heard {
		line.heard, line.known = at, true
	}
	v := m.view(line.domain())
	if !v.known || at > v.heard {
		v.heard, v.known = at, true
	}
	if m.isolated() {
		m.returned()
	}
	m.probes.unanswered = 0
	v.unanswered = 0
	if v.unreachable {
		v.unreachable = false
		m.options.Reachable(line.domain(), true)
		m.syncWith(line)
	}
}

// returned tells members of the own domain that this node hears others again. They may
// hold it for gone; left to gossip, some would go by that for seconds more and do its
// duties beside it.
func (m *Machine) returned() {
	m.publish(func(*message.Announcement) {})
	list := m.roster.domains[m.options.Self.Domain]
	start := m.position(list)
	for i := range min(len(list), returnTargets) {
		if line := list[(start+i)%len(list)]; line.id() != m.options.Self.ID {
			m.send(line, &message.Gossip{News: []message.News{m.self}, Digest: m.options.Digest()})
		}
	}
}

func (m *Machine) view(domain coltsfootward.FailureDomain) *view {
	v, ok := m.views[domain]
	if !ok {
		v = &view{}
		m.views[domain] = v
	}
	return v
}

func (m *Machine) takeAll(news []message.News) {
	for _, n := range news {
		m.take(n, true)
	}
}

// take takes in news unless it is old, and reports whether it did. Hot news is
// passed on.
func (m *Machine) take(news message.News, hot bool) bool {
	id := news.Announcement.Instance.ID
	if id == m.options.Self.ID {
		m.refute(news)
		return false
	}
	line, ok := m.roster.members[id]
	if ok && !news.Newer(line.news) {
		return false
	}
	// Whoever has forgotten a member that is gone must not learn of it again
	// from one who has not yet, or the two would remember it for ever.
	if !ok && (news.State == message.MemberGone || news.State == message.MemberLeft) {
		return false
	}
	m.put(news, hot)
	return true
}

func (m *Machine) put(news message.News, hot bool) {
	id := news.Announcement.Instance.ID
	var old message.News
	if line, ok := m.roster.members[id]; ok {
		old = line.news
	}
	line := m.roster.put(news)
	line.since = m.now.Monotonic
	if old.Announcement.Instance.Incarnation != news.Announcement.Instance.Incarnation {
		line.known = false
	}
	m.noteDomain(line.domain())
	m.noteSuspect(line)
	if hot {
		m.queue.add(news)
	}
	m.options.Changed(old, news)
}

func (m *Machine) noteDomain(domain coltsfootward.FailureDomain) {
	if domain == m.options.Self.Domain {
		return
	}
	if i, ok := slices.BinarySearch(m.foreign, domain); !ok {
		m.foreign = slices.Insert(m.foreign, i, domain)
	}
}

func (m *Machine) noteSuspect(line *member) {
	if line.domain() != m.options.Self.Domain {
		return
	}
	i, known := slices.BinarySearch(m.suspects, line.id())
	suspected := line.news.State == message.MemberSuspected
	if suspected && !known {
		m.suspects = slices.Insert(m.suspects, i, line.id())
	}
	if !suspected && known {
		m.suspects = slices.Delete(m.suspects, i, i+1)
	}
}

// refute overrides what others say of this run of this node by a higher version.
// News of another run is not answered: the later run is the one that counts.
func (m *Machine) refute(news message.News) {
	a := news.Announcement
	if a.Instance.Incarnation != m.options.Self.Incarnation || !news.Newer(m.self) {
		return
	}
	m.self.Announcement.Version = a.Version
	m.publish(func(*message.Announcement) {})
}

// matureSuspects declares those gone that had their time to refute.
func (m *Machine) matureSuspects() {
	timeout := m.options.SuspicionTimeout
	if m.isolated() {
		timeout *= isolatedFactor
	}
	for _, id := range slices.Clone(m.suspects) {
		line := m.roster.members[id]
		if m.now.Monotonic-line.since < timeout {
			continue
		}
		news := line.news
		news.State = message.MemberGone
		m.put(news, true)
	}
}

// sweep forgets, once a minute, members that are gone for long.
func (m *Machine) sweep() {
	if m.now.Monotonic < m.nextSweep {
		return
	}
	m.nextSweep = m.now.Monotonic + time.Minute
	for _, bucket := range m.roster.buckets {
		for _, line := range slices.Clone(bucket) {
			if !line.present() && line.id() != m.options.Self.ID && m.now.Monotonic-line.since > m.options.ForgetAfter {
				m.roster.remove(line)
			}
		}
	}
}

// gossip passes news on to a few members.
func (m *Machine) gossip() {
	targets := m.targets()
	if len(targets) == 0 {
		return
	}
	for _, target := range targets {
		m.send(target, &message.Gossip{News: m.news(), Digest: m.options.Digest()})
	}
}

// targets returns some fingers and the partner in one other domain.
func (m *Machine) targets() []*member {
	chosen := m.someFingers(gossipTargets - 1)
	if len(m.foreign) == 0 {
		return chosen
	}
	if line := m.partner(m.foreign[m.source.IntN(len(m.foreign))]); line != nil {
		chosen = append(chosen, line)
	}
	return chosen
}

// randomMember returns a random present member of a domain other than this
// node, or nil.
func (m *Machine) randomMember(domain coltsfootward.FailureDomain) *member {
	return m.pick(domain, (*member).present)
}

// pick returns a member of a domain other than this node that fits, the first
// from a random place on, or nil.
func (m *Machine) pick(domain coltsfootward.FailureDomain, fits func(*member) bool) *member {
	list := m.roster.domains[domain]
	if len(list) == 0 {
		return nil
	}
	start := m.source.IntN(len(list))
	for i := range list {
		line := list[(start+i)%len(list)]
		if fits(line) && line.id() != m.options.Self.ID {
			return line
		}
	}
	return nil
}

// news returns what is to travel with the next message.
func (m *Machine) news() []message.News {
	return m.queue.take(m.retransmissions())
}

// retransmissions is how often each node passes news on: in proportion to the
// logarithm of their number, which is what it takes to reach all with near
// certainty.
func (m *Machine) retransmissions() int {
	digits := 1
	for n := m.roster.present; n >= 10; n /= 10 {
		digits++
	}
	return retransmitFactor * digits
}

func (m *Machine) send(to *member, sent message.Message) {
	m.options.Send(to.news.Announcement.Instance, sent)
}
