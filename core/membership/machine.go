package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
)

// Machine is the membership state machine of one node. Create it with New.
type Machine struct {
	options      Options
	source       *rand.Rand
	now          coltsfootward.Instant
	self         message.MemberUpdate
	roster       *roster
	queue        *queue
	probes       prober
	domainStates map[coltsfootward.FailureDomain]*domainState
	// remoteDomains lists the other failure domains that have members, sorted.
	remoteDomains []coltsfootward.FailureDomain
	// suspects lists the suspected members of this node's failure domain, sorted.
	suspects []coltsfootward.InstanceID

	lastTick   time.Duration
	nextGossip time.Duration
	nextSync   time.Duration
	nextSweep  time.Duration
	// syncPeer is the member with which the next comparison of rosters continues;
	// empty means that a random member is chosen.
	syncPeer       coltsfootward.InstanceID
	syncIncomplete bool
}

// domainState is the reachability of a failure domain as this node has observed it.
type domainState struct {
	// unanswered counts consecutive probes that no member of the domain answered.
	unanswered  int
	unreachable bool
	// lastSeen is when the latest message of a member was sent, by Instant.Expiry.
	// It is valid only if seen is set.
	lastSeen time.Duration
	seen     bool
}

// New returns a machine whose roster contains only its own node. All random
// choices come from source.
func New(options Options, source *rand.Rand, now coltsfootward.Instant) *Machine {
	m := &Machine{
		options:      options.withDefaults(),
		source:       source,
		now:          now,
		roster:       newRoster(),
		queue:        newQueue(),
		domainStates: make(map[coltsfootward.FailureDomain]*domainState),
		lastTick:     now.Monotonic,
	}
	m.probes.next = now.Monotonic + m.jitter(m.options.ProbeInterval)
	m.nextSync = now.Monotonic + m.jitter(m.options.SyncInterval)
	m.self = message.MemberUpdate{Announcement: message.Announcement{Instance: options.Self}, State: message.MemberAlive}
	m.publish(func(*message.Announcement) {})
	return m
}

// jitter returns a random duration below d. It keeps nodes that were started
// together from running their periodic work in lockstep.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.source.Int64N(int64(d)))
}

// Local returns this node's own announcement.
func (m *Machine) Local() message.Announcement { return m.self.Announcement }

// Announce publishes the service, slots and draining state of the local backend
// server.
func (m *Machine) Announce(service coltsfootward.ServiceName, slots int, draining bool) {
	m.AnnounceCold(service, slots, draining, 0)
}

// AnnounceCold is like Announce and also publishes the remaining time for which the
// backend server is cold after its start.
func (m *Machine) AnnounceCold(service coltsfootward.ServiceName, slots int, draining bool, cold time.Duration) {
	m.publish(func(a *message.Announcement) {
		a.Cold = cold
		a.Service = service
		a.Slots = slots
		a.Draining = draining || a.Leaving
	})
}

// AnnounceLeaving publishes that the node accepts no new work and is about to stop.
func (m *Machine) AnnounceLeaving() {
	m.publish(func(a *message.Announcement) {
		a.Draining = true
		a.Leaving = true
	})
}

// AnnounceLeft notifies a few members immediately that the node stops now. If none of
// the messages arrives, the other members detect the stop by probes, as they detect a
// killed node.
func (m *Machine) AnnounceLeft() {
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

// Tick runs all work that is due at now: probes, timeouts, gossip and the
// comparison of rosters.
func (m *Machine) Tick(now coltsfootward.Instant) {
	m.now = now
	m.discountPause()
	m.expireProbes()
	m.expireSuspects()
	if now.Monotonic >= m.probes.next {
		m.probes.next = now.Monotonic + m.options.ProbeInterval
		m.probeLocal()
		m.probeRemote()
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

// discountPause excludes a pause of this node from all timeouts. After a pause,
// every pending probe appears unanswered and every suspicion appears due, although
// the answers wait unread in the socket buffers. Pending probes are discarded and
// suspicions are extended by the length of the pause.
func (m *Machine) discountPause() {
	gap := m.now.Monotonic - m.lastTick
	m.lastTick = m.now.Monotonic
	if gap < pauseGap {
		return
	}
	m.probes.pending = nil
	for _, id := range m.suspects {
		if entry, ok := m.roster.members[id]; ok {
			entry.stateSince += gap
		}
	}
}

// Receive processes a message from a member. age is an upper bound of the time since
// the message was sent. Messages that do not belong to the membership protocol only
// show that their sender is alive.
func (m *Machine) Receive(now coltsfootward.Instant, from coltsfootward.InstanceID, received message.Message, age time.Duration) {
	m.now = now
	switch r := received.(type) {
	case *message.Announcement:
		m.merge(message.MemberUpdate{Announcement: *r, State: message.MemberAlive}, true)
	case *message.Gossip:
		m.mergeAll(r.Updates)
	case *message.Probe:
		m.handleProbe(from, r)
	case *message.ProbeRequest:
		m.handleProbeRequest(from, r)
	case *message.ProbeAnswer:
		m.mergeAll(r.Gossip.Updates)
		m.handleProbeAnswer(r.Sequence)
	case *message.RosterDigest:
		m.handleRosterDigest(from, r)
	case *message.RosterBuckets:
		m.handleRosterBuckets(from, r)
	case *message.RosterPage:
		m.handleRosterPage(from, r)
	}
	m.markSeen(from, age)
}

// markSeen records that a message of the member arrived, and marks its failure
// domain as reachable again.
func (m *Machine) markSeen(from coltsfootward.InstanceID, age time.Duration) {
	entry, ok := m.roster.members[from]
	if !ok {
		return
	}
	at := m.now.Expiry - age
	if !entry.seen || at > entry.lastSeen {
		entry.lastSeen, entry.seen = at, true
	}
	state := m.domainState(entry.domain())
	if !state.seen || at > state.lastSeen {
		state.lastSeen, state.seen = at, true
	}
	if m.isolated() {
		m.announceReturn()
	}
	m.probes.unanswered = 0
	state.unanswered = 0
	if state.unreachable {
		state.unreachable = false
		m.options.OnReachable(entry.domain(), true)
		m.syncWith(entry)
	}
}

// announceReturn notifies members of this node's failure domain directly that it is
// connected again. They may have declared this node gone in the meantime. If only
// gossip corrected that, some members would keep the stale state for several seconds
// and take over tasks that this node still performs.
func (m *Machine) announceReturn() {
	m.publish(func(*message.Announcement) {})
	list := m.roster.domains[m.options.Self.Domain]
	start := m.position(list)
	for i := range min(len(list), returnTargets) {
		if entry := list[(start+i)%len(list)]; entry.id() != m.options.Self.ID {
			m.send(entry, &message.Gossip{Updates: []message.MemberUpdate{m.self}, Digest: m.options.Digest()})
		}
	}
}

func (m *Machine) domainState(domain coltsfootward.FailureDomain) *domainState {
	state, ok := m.domainStates[domain]
	if !ok {
		state = &domainState{}
		m.domainStates[domain] = state
	}
	return state
}

func (m *Machine) mergeAll(updates []message.MemberUpdate) {
	for _, update := range updates {
		m.merge(update, true)
	}
}

// merge applies an update unless it is stale, and reports whether it was applied. If
// spread is set, an applied update is queued for gossip.
func (m *Machine) merge(update message.MemberUpdate, spread bool) bool {
	id := update.Announcement.Instance.ID
	if id == m.options.Self.ID {
		m.refute(update)
		return false
	}
	entry, ok := m.roster.members[id]
	if ok && !update.Newer(entry.latest) {
		return false
	}
	// A node that has removed a gone member must not add it again on the update of a
	// node that still has it. Otherwise the two would re-add it for each other for ever.
	if !ok && (update.State == message.MemberGone || update.State == message.MemberLeft) {
		return false
	}
	m.apply(update, spread)
	return true
}

func (m *Machine) apply(update message.MemberUpdate, spread bool) {
	id := update.Announcement.Instance.ID
	var old message.MemberUpdate
	if entry, ok := m.roster.members[id]; ok {
		old = entry.latest
	}
	entry := m.roster.put(update)
	entry.stateSince = m.now.Monotonic
	if old.Announcement.Instance.Incarnation != update.Announcement.Instance.Incarnation {
		entry.seen = false
	}
	m.trackDomain(entry.domain())
	m.trackSuspect(entry)
	if spread {
		m.queue.add(update)
	}
	m.options.OnChange(old, update)
}

func (m *Machine) trackDomain(domain coltsfootward.FailureDomain) {
	if domain == m.options.Self.Domain {
		return
	}
	if i, ok := slices.BinarySearch(m.remoteDomains, domain); !ok {
		m.remoteDomains = slices.Insert(m.remoteDomains, i, domain)
	}
}

func (m *Machine) trackSuspect(entry *member) {
	if entry.domain() != m.options.Self.Domain {
		return
	}
	i, tracked := slices.BinarySearch(m.suspects, entry.id())
	suspected := entry.latest.State == message.MemberSuspected
	if suspected && !tracked {
		m.suspects = slices.Insert(m.suspects, i, entry.id())
	}
	if !suspected && tracked {
		m.suspects = slices.Delete(m.suspects, i, i+1)
	}
}

// refute overrides an update about this node by announcing a higher version. An
// update with another incarnation is ignored: the higher incarnation prevails anyway.
func (m *Machine) refute(update message.MemberUpdate) {
	a := update.Announcement
	if a.Instance.Incarnation != m.options.Self.Incarnation || !update.Newer(m.self) {
		return
	}
	m.self.Announcement.Version = a.Version
	m.publish(func(*message.Announcement) {})
}

// expireSuspects declares suspected members gone that did not refute the suspicion
// within the timeout.
func (m *Machine) expireSuspects() {
	timeout := m.options.SuspicionTimeout
	if m.isolated() {
		timeout *= isolatedFactor
	}
	for _, id := range slices.Clone(m.suspects) {
		entry := m.roster.members[id]
		if m.now.Monotonic-entry.stateSince < timeout {
			continue
		}
		update := entry.latest
		update.State = message.MemberGone
		m.apply(update, true)
	}
}

// sweep removes, once a minute, members that have been gone for longer than
// Options.ForgetAfter.
func (m *Machine) sweep() {
	if m.now.Monotonic < m.nextSweep {
		return
	}
	m.nextSweep = m.now.Monotonic + time.Minute
	for _, bucket := range m.roster.buckets {
		for _, entry := range slices.Clone(bucket) {
			if !entry.present() && entry.id() != m.options.Self.ID && m.now.Monotonic-entry.stateSince > m.options.ForgetAfter {
				m.roster.remove(entry)
			}
		}
	}
}

// gossip sends queued updates to a few members.
func (m *Machine) gossip() {
	targets := m.targets()
	if len(targets) == 0 {
		return
	}
	for _, target := range targets {
		m.send(target, &message.Gossip{Updates: m.nextUpdates(), Digest: m.options.Digest()})
	}
}

// targets returns some random fingers and the counterpart in one random remote
// domain.
func (m *Machine) targets() []*member {
	chosen := m.someFingers(gossipTargets - 1)
	if len(m.remoteDomains) == 0 {
		return chosen
	}
	if entry := m.counterpart(m.remoteDomains[m.source.IntN(len(m.remoteDomains))]); entry != nil {
		chosen = append(chosen, entry)
	}
	return chosen
}

// randomPresent returns a random present member of a domain other than this node,
// or nil.
func (m *Machine) randomPresent(domain coltsfootward.FailureDomain) *member {
	return m.randomMatching(domain, (*member).present)
}

// randomMatching returns the first member of a domain, starting at a random
// position, that matches and is not this node, or nil.
func (m *Machine) randomMatching(domain coltsfootward.FailureDomain, matches func(*member) bool) *member {
	list := m.roster.domains[domain]
	if len(list) == 0 {
		return nil
	}
	start := m.source.IntN(len(list))
	for i := range list {
		entry := list[(start+i)%len(list)]
		if matches(entry) && entry.id() != m.options.Self.ID {
			return entry
		}
	}
	return nil
}

// nextUpdates returns the updates to send with the next message.
func (m *Machine) nextUpdates() []message.MemberUpdate {
	return m.queue.next(m.retransmissions())
}

// retransmissions returns how often each node sends an update. It is proportional to
// the logarithm of the number of members, which is enough to reach all of them with
// near certainty.
func (m *Machine) retransmissions() int {
	digits := 1
	for n := m.roster.present; n >= 10; n /= 10 {
		digits++
	}
	return retransmitFactor * digits
}

func (m *Machine) send(to *member, sent message.Message) {
	m.options.Send(to.latest.Announcement.Instance, sent)
}
