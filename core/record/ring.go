package record

import (
	"sync"
	"time"
)

// Ring keeps the latest records in bounded memory and stamps each with the
// node's hybrid clock. Create it with NewRing. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	clock   HybridClock
	records []Record
	next    int
	full    bool
}

// NewRing returns a ring that keeps size records; size must be at least 1.
func NewRing(size int) *Ring {
	return &Ring{records: make([]Record, size)}
}

// Add puts a record in place of the oldest.
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

// Stamp returns the stamp to send to peers at wall.
func (r *Ring) Stamp(wall time.Time) Stamp { return r.clock.Next(wall) }

// Heard takes in a peer's stamp, so that what this node does from now on sorts
// after it.
func (r *Ring) Heard(peer Stamp, wall time.Time) { r.clock.Heard(peer, wall) }

// Last returns up to limit of the latest records, oldest first; zero or less
// means all.
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
