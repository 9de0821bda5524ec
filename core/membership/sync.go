package membership

import (
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
)

// pageInterval is the time between two pages that a node asks for: a whole
// roster of 24,000 comes in within a minute without holding up the member that
// sends it.
const pageInterval = 200 * time.Millisecond

// sync compares rosters with a random member, of the own domain or of another
// in turn, or goes on with the one that it has not finished with.
func (m *Machine) sync() {
	if line, ok := m.roster.members[m.syncPeer]; ok {
		m.syncPeer = ""
		m.syncWith(line)
		return
	}
	domain := m.options.Self.Domain
	if len(m.foreign) > 0 && m.source.IntN(2) == 0 {
		domain = m.foreign[m.source.IntN(len(m.foreign))]
	}
	if line := m.randomMember(domain); line != nil {
		m.syncWith(line)
	}
}

func (m *Machine) syncWith(line *member) {
	m.send(line, m.rosterDigest())
}

func (m *Machine) rosterDigest() *message.RosterDigest {
	return &message.RosterDigest{Self: m.self, Total: m.roster.total}
}

// Contact compares rosters with instances that settings or the platform's table
// name. They become members only once they answer: such lists are often old.
func (m *Machine) Contact(now coltsfootward.Instant, instances ...coltsfootward.Instance) {
	m.now = now
	for _, instance := range instances {
		if instance.ID == m.options.Self.ID {
			continue
		}
		if line, ok := m.roster.members[instance.ID]; ok && line.present() && line.known {
			continue
		}
		m.options.Send(instance, m.rosterDigest())
	}
}

func (m *Machine) compare(from coltsfootward.InstanceID, r *message.RosterDigest) {
	m.take(r.Self, true)
	line, ok := m.roster.members[from]
	if !ok || r.Total == m.roster.total {
		return
	}
	hashes := slices.Clone(m.roster.hashes[:])
	m.send(line, &message.RosterBuckets{Self: m.self, Hashes: hashes, Members: len(m.roster.members)})
}

// compareBuckets sends a page of the buckets that differ and asks for the
// other's. It starts at a random one, so that two nodes that cannot finish at
// once do not always begin with the same.
func (m *Machine) compareBuckets(from coltsfootward.InstanceID, r *message.RosterBuckets) {
	m.take(r.Self, true)
	line, ok := m.roster.members[from]
	if !ok || len(r.Hashes) != bucketCount {
		return
	}
	page := &message.RosterPage{Answer: true}
	m.syncMore = false
	most := bucketsFor(max(r.Members, len(m.roster.members)))
	start := m.source.IntN(bucketCount)
	for i := range bucketCount {
		b := (start + i) % bucketCount
		if r.Hashes[b] == m.roster.hashes[b] {
			continue
		}
		if len(page.News) >= pageNews || len(page.Buckets) >= most {
			m.syncMore = true
			break
		}
		page.Buckets = append(page.Buckets, b)
		page.News = m.appendBucket(page.News, b)
	}
	m.send(line, page)
}

// bucketsFor returns how many buckets of a roster of that many members fill about one
// page. In a fleet of hundreds all of them do: eight at a time, as in a fleet of
// thousands, a node that has just started would know few of the others for seconds.
func bucketsFor(members int) int {
	return max(min(pageNews*bucketCount/max(members, 1), bucketCount), leastBuckets)
}

// leastBuckets is how many buckets a page brings at least, however full they are.
const leastBuckets = 8

func (m *Machine) appendBucket(news []message.News, b int) []message.News {
	for _, line := range m.roster.buckets[b] {
		news = append(news, line.news)
	}
	return news
}

func (m *Machine) page(from coltsfootward.InstanceID, r *message.RosterPage) {
	newer := 0
	for _, n := range r.News {
		line, ok := m.roster.members[n.Announcement.Instance.ID]
		if !ok || n.Newer(line.news) {
			newer++
		}
	}
	for _, n := range r.News {
		m.take(n, newer <= hotPage)
	}
	line, ok := m.roster.members[from]
	if !ok {
		return
	}
	if r.Answer {
		m.answerPage(line, r.Buckets)
		return
	}
	if m.syncMore {
		m.syncPeer = from
		m.nextSync = m.now.Monotonic + pageInterval
	}
}

func (m *Machine) answerPage(line *member, buckets []int) {
	page := &message.RosterPage{Buckets: buckets}
	for _, b := range buckets[:min(len(buckets), bucketsFor(len(m.roster.members)))] {
		if b >= 0 && b < bucketCount {
			page.News = m.appendBucket(page.News, b)
		}
	}
	m.send(line, page)
}
