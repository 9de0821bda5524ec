package record

import (
	"cmp"
	"sync"
	"time"
)

// maximumAhead is how far a peer's stamp may run ahead of the own wall clock.
// The stamp of a node whose clock is wrong by more would drag every time line
// into the future for good, since a hybrid clock never goes back.
const maximumAhead = time.Minute

// Stamp is a reading of a hybrid logical clock. It orders events of different
// nodes: what one node did after it heard from another has the higher stamp,
// even where the wall clocks differ.
type Stamp struct {
	// Wall is the highest wall clock heard of, in nanoseconds from the Unix epoch.
	Wall int64 `msgpack:"wall" json:"wall"`
	// Logical tells events of one Wall apart.
	Logical uint32 `msgpack:"logical" json:"logical"`
}

// Compare returns -1, 0 or 1 as s is before, equal to or after other.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, other.Wall), cmp.Compare(s.Logical, other.Logical))
}

// HybridClock is a hybrid logical clock. The zero value is ready. It reads no
// clock itself: callers bring the wall clock. It is safe for concurrent use.
type HybridClock struct {
	mu   sync.Mutex
	last Stamp
}

// Next returns a stamp higher than every one before it, for something that
// happens at wall.
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

// Heard takes in a peer's stamp at wall, so that the next stamp is higher. A
// stamp too far ahead is ignored; Heard reports whether it was taken.
func (c *HybridClock) Heard(peer Stamp, wall time.Time) bool {
	if peer.Wall > wall.Add(maximumAhead).UnixNano() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer.Compare(c.last) > 0 {
		c.last = peer
	}
	return true
}
