package record

import (
	"cmp"
	"sync"
	"time"
)

// maximumLead is how far a peer's stamp may be ahead of the local wall clock. A stamp
// from a node whose clock is wrong by more would move every timeline permanently into
// the future, since a hybrid clock never goes back.
const maximumLead = time.Minute

// Stamp is a reading of a hybrid logical clock. It orders events of different nodes
// causally: an event at a node that has received a stamped message has a higher stamp
// than the message, even if the wall clocks of the two nodes differ.
type Stamp struct {
	// Wall is the highest wall clock time observed, local or received from a peer, in
	// nanoseconds since the Unix epoch.
	Wall int64 `msgpack:"wall" json:"wall"`
	// Logical orders events with equal Wall.
	Logical uint32 `msgpack:"logical" json:"logical"`
}

// Compare returns -1, 0 or 1 if s is before, equal to or after other.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, other.Wall), cmp.Compare(s.Logical, other.Logical))
}

// HybridClock is a hybrid logical clock. The zero value is ready to use. It does not
// read the wall clock; callers pass the time. It is safe for concurrent use.
type HybridClock struct {
	mu   sync.Mutex
	last Stamp
}

// Next returns a stamp for an event at the time wall. It is higher than all stamps that
// Next returned or Observe accepted before.
func (c *HybridClock) Next(wall time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := wall.UnixNano(); now > c.last.Wall {
		c.last = Stamp{Wall: now}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe merges a stamp that a peer sent and that arrived at the time wall, so that
// all later stamps of this clock are higher. A stamp more than maximumLead ahead of
// wall is ignored. The result reports whether the stamp was accepted.
func (c *HybridClock) Observe(peer Stamp, wall time.Time) bool {
	if peer.Wall > wall.Add(maximumLead).UnixNano() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer.Compare(c.last) > 0 {
		c.last = peer
	}
	return true
}
