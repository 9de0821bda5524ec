package membership

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"

	"github.com/cespare/xxhash/v2"
)

// member is one entry of the roster.
type member struct {
	latest message.MemberUpdate
	// hash orders the members of a domain in the same way at every node.
	hash uint64
	// digest represents the entry in comparisons of rosters.
	digest uint64
	// stateSince is when the latest update was applied, by Instant.Monotonic.
	stateSince time.Duration
	// lastSeen is when the latest message of the member itself was sent, by
	// Instant.Expiry. It is valid only if seen is set.
	lastSeen time.Duration
	seen     bool
}

func (m *member) id() coltsfootward.InstanceID { return m.latest.Announcement.Instance.ID }

func (m *member) domain() coltsfootward.FailureDomain { return m.latest.Announcement.Instance.Domain }

// present reports whether the member is considered running, that is, alive or
// suspected.
func (m *member) present() bool {
	return m.latest.State == message.MemberAlive || m.latest.State == message.MemberSuspected
}

// roster indexes members by ID, domain, service and bucket, so that no look-up
// iterates over all members.
type roster struct {
	members  map[coltsfootward.InstanceID]*member
	domains  map[coltsfootward.FailureDomain][]*member
	services map[coltsfootward.ServiceName][]*member
	buckets  [bucketCount][]*member
	hashes   [bucketCount]uint64
	total    uint64
	present  int
	// remaining is the number of members that have not left.
	remaining int
	// changes counts calls of put and remove.
	changes uint64
}

func newRoster() *roster {
	return &roster{
		members:  make(map[coltsfootward.InstanceID]*member),
		domains:  make(map[coltsfootward.FailureDomain][]*member),
		services: make(map[coltsfootward.ServiceName][]*member),
	}
}

func byID(a, b *member) int { return cmp.Compare(a.id(), b.id()) }

func byHash(a, b *member) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id(), b.id()))
}

func bucketOf(hash uint64) int { return int(hash % bucketCount) }

// put sets the latest update of a member and returns its entry.
func (r *roster) put(update message.MemberUpdate) *member {
	id := update.Announcement.Instance.ID
	m, ok := r.members[id]
	if ok {
		r.unindex(m)
	} else {
		m = &member{hash: xxhash.Sum64String(string(id))}
		r.members[id] = m
	}
	r.changes++
	m.latest = update
	m.digest = digestOf(m)
	r.index(m)
	return m
}

func (r *roster) remove(m *member) {
	r.changes++
	r.unindex(m)
	delete(r.members, m.id())
}

func (r *roster) index(m *member) {
	r.domains[m.domain()] = insert(r.domains[m.domain()], m, byHash)
	b := bucketOf(m.hash)
	r.buckets[b] = insert(r.buckets[b], m, byID)
	r.toggleDigest(m)
	if m.latest.State != message.MemberLeft {
		r.remaining++
	}
	if !m.present() {
		return
	}
	r.present++
	if service := m.latest.Announcement.Service; service != "" {
		r.services[service] = insert(r.services[service], m, byID)
	}
}

func (r *roster) unindex(m *member) {
	setOrDelete(r.domains, m.domain(), removeMember(r.domains[m.domain()], m, byHash))
	b := bucketOf(m.hash)
	r.buckets[b] = removeMember(r.buckets[b], m, byID)
	r.toggleDigest(m)
	if m.latest.State != message.MemberLeft {
		r.remaining--
	}
	if !m.present() {
		return
	}
	r.present--
	service := m.latest.Announcement.Service
	setOrDelete(r.services, service, removeMember(r.services[service], m, byID))
}

// toggleDigest adds a member's digest to the hashes of its bucket and of the roster by
// XOR. A second call for the same digest removes it again.
func (r *roster) toggleDigest(m *member) {
	r.hashes[bucketOf(m.hash)] ^= m.digest
	r.total ^= m.digest
}

// digestOf returns the digest of an entry. It is zero for members that are not
// present, which nodes remove at different times, and does not distinguish alive
// from suspected members, since a suspicion is resolved without a comparison.
func digestOf(m *member) uint64 {
	if !m.present() {
		return 0
	}
	a := m.latest.Announcement
	text := string(a.Instance.ID) + "/" + strconv.FormatUint(uint64(a.Instance.Incarnation), 16) + "/" + strconv.FormatUint(a.Version, 16)
	return xxhash.Sum64String(text)
}

func insert(list []*member, m *member, compare func(a, b *member) int) []*member {
	i, _ := slices.BinarySearchFunc(list, m, compare)
	return slices.Insert(list, i, m)
}

func removeMember(list []*member, m *member, compare func(a, b *member) int) []*member {
	i, ok := slices.BinarySearchFunc(list, m, compare)
	if !ok {
		return list
	}
	return slices.Delete(list, i, i+1)
}

func setOrDelete[K comparable](index map[K][]*member, key K, list []*member) {
	if len(list) == 0 {
		delete(index, key)
		return
	}
	index[key] = list
}
