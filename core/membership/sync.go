package membership

import (
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
)

// pageInterval is the time between two pages that a node requests. A full roster of
// 24,000 members is thus transferred within a minute without delaying other work of
// the member that sends it.
const pageInterval = 200 * time.Millisecond

// sync continues an unfinished comparison of rosters, or starts one with a random
// member, of this node's domain or of a remote domain with equal probability.
func (m *Machine) sync() {
	if entry, ok := m.roster.members[m.syncPeer]; ok {
		m.syncPeer = ""
		m.syncWith(entry)
		return
	}
	domain := m.options.Self.Domain
	if len(m.remoteDomains) > 0 && m.source.IntN(2) == 0 {
		domain = m.remoteDomains[m.source.IntN(len(m.remoteDomains))]
	}
	if entry := m.randomPresent(domain); entry != nil {
		m.syncWith(entry)
	}
}

func (m *Machine) syncWith(entry *member) {
	m.send(entry, m.rosterDigest())
}

func (m *Machine) rosterDigest() *message.RosterDigest {
	return &message.RosterDigest{Self: m.self, Total: m.roster.total}
}

// Contact starts a comparison of rosters with instances from the settings or the
// platform's table. They become members only once they answer, since such lists are
// often stale.
func (m *Machine) Contact(now coltsfootward.Instant, instances ...coltsfootward.Instance) {
	m.now = now
	for _, instance := range instances {
		if instance.ID == m.options.Self.ID {
			continue
		}
		if entry, ok := m.roster.members[instance.ID]; ok && entry.present() && entry.seen {
			continue
		}
		m.options.Send(instance, m.rosterDigest())
	}
}

func (m *Machine) handleRosterDigest(from coltsfootward.InstanceID, r *message.RosterDigest) {
	m.merge(r.Self, true)
	entry, ok := m.roster.members[from]
	if !ok || r.Total == m.roster.total {
		return
	}
	hashes := slices.Clone(m.roster.hashes[:])
	m.send(entry, &message.RosterBuckets{Self: m.self, Hashes: hashes, Members: len(m.roster.members)})
}

// handleRosterBuckets sends one page of the buckets that differ and requests the
// sender's entries of these. It starts at a random bucket, so that two nodes that
// need several pages do not always start with the same buckets.
func (m *Machine) handleRosterBuckets(from coltsfootward.InstanceID, r *message.RosterBuckets) {
	m.merge(r.Self, true)
	entry, ok := m.roster.members[from]
	if !ok || len(r.Hashes) != bucketCount {
		return
	}
	page := &message.RosterPage{WantReply: true}
	m.syncIncomplete = false
	maximumBuckets := bucketsPerPage(max(r.Members, len(m.roster.members)))
	start := m.source.IntN(bucketCount)
	for i := range bucketCount {
		b := (start + i) % bucketCount
		if r.Hashes[b] == m.roster.hashes[b] {
			continue
		}
		if len(page.Updates) >= maximumPageEntries || len(page.Buckets) >= maximumBuckets {
			m.syncIncomplete = true
			break
		}
		page.Buckets = append(page.Buckets, b)
		page.Updates = m.appendBucket(page.Updates, b)
	}
	m.send(entry, page)
}

// bucketsPerPage returns the number of buckets that fill about one page, in a roster
// with the given number of members. In a deployment of hundreds of nodes one page
// holds all buckets. With eight buckets a page, as for thousands of nodes, a node
// that has just started would have an incomplete roster for seconds.
func bucketsPerPage(members int) int {
	return max(min(maximumPageEntries*bucketCount/max(members, 1), bucketCount), minimumPageBuckets)
}

// minimumPageBuckets is the least number of buckets in a page, however full they are.
const minimumPageBuckets = 8

func (m *Machine) appendBucket(updates []message.MemberUpdate, b int) []message.MemberUpdate {
	for _, entry := range m.roster.buckets[b] {
		updates = append(updates, entry.latest)
	}
	return updates
}

func (m *Machine) handleRosterPage(from coltsfootward.InstanceID, r *message.RosterPage) {
	newer := 0
	for _, update := range r.Updates {
		entry, ok := m.roster.members[update.Announcement.Instance.ID]
		if !ok || update.Newer(entry.latest) {
			newer++
		}
	}
	for _, n := range r.Updates {
		m.merge(n, newer <= gossipPageLimit)
	}
	entry, ok := m.roster.members[from]
	if !ok {
		return
	}
	if r.WantReply {
		m.replyWithPage(entry, r.Buckets)
		return
	}
	if m.syncIncomplete {
		m.syncPeer = from
		m.nextSync = m.now.Monotonic + pageInterval
	}
}

func (m *Machine) replyWithPage(entry *member, buckets []int) {
	page := &message.RosterPage{Buckets: buckets}
	for _, b := range buckets[:min(len(buckets), bucketsPerPage(len(m.roster.members)))] {
		if b >= 0 && b < bucketCount {
			page.Updates = m.appendBucket(page.Updates, b)
		}
	}
	m.send(entry, page)
}
