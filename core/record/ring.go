package record

import (
	"sync"
	"time"
)

// Ring is a ring buffer of the latest records. It stamps each record with the node's
// hybrid clock. Create it with NewRing. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	clock   HybridClock
	records []Record
	next    int
	full    bool
}

// NewRing returns a ring with a capacity of size records; size must be at least 1.
func NewRing(size int) *Ring {
	return &Ring{records: make([]Record, size)}
}

// Add stamps a record and adds it. If the ring is full, it replaces the oldest record.
func (r *Ring) Add(record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record.Stamp = r.clock.Next(record.Wall)
	r.records[r.next] = record
	r.next++
	if r.next == len(r.records) {
		r.next = 0
		r.full = true
	}
}

// Stamp returns the stamp for a message sent to a peer at the time wall.
func (r *Ring) Stamp(wall time.Time) Stamp { return r.clock.Next(wall) }

// Observe merges the stamp of a message received from a peer at the time wall, so that
// this node's later records sort after it. See HybridClock.Observe.
func (r *Ring) Observe(peer Stamp, wall time.Time) { r.clock.Observe(peer, wall) }

// Last returns up to limit of the latest records, oldest first. A limit of zero or less
// returns all records.
func (r *Ring) Last(limit int) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Record
	if r.full {
		all = append(all, r.records[r.next:]...)
	}
	all = append(all, r.records[:r.next]...)
	if limit > 0 && len(all) > limit {
		all = all[len(all)-limit:]
	}
	return all
}
