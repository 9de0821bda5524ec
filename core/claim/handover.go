package claim

import (
	"slices"
	"time"

	"coltsfootward"
)

// Handover is what a holder that gives its lease up by itself knows, for its
// successor. Times are ages, since the clocks of two nodes are not compared.
type Handover struct {
	// First is set if nobody held the lease before the holder.
	First bool `msgpack:"first"`
	// Held is how long its term lasted, for certain.
	Held time.Duration `msgpack:"held"`
	// BeganWall is the wall clock's time at its beginning.
	BeganWall time.Time `msgpack:"began_wall"`
	// Claims are those it remembers, the oldest first.
	Claims []Kept `msgpack:"claims"`
}

// Kept is one claim on its way to the next holder. Answers stay behind.
type Kept struct {
	Key     Key    `msgpack:"key"`
	ID      ID     `msgpack:"id"`
	Content uint64 `msgpack:"content"`
	// Age is how long ago it was granted, for certain.
	Age       time.Duration           `msgpack:"age"`
	Ended     bool                    `msgpack:"ended"`
	Execution coltsfootward.Execution `msgpack:"execution"`
}

// Handover returns what the next holder must know. The holder must not grant
// anything afterwards: its lease must have been given up for good.
func (h *Holder) Handover(now coltsfootward.Instant) Handover {
	h.forget(now)
	handover := Handover{First: h.first, Held: now.Monotonic - h.began.Monotonic, BeganWall: h.began.Wall}
	for _, e := range h.order {
		if h.claims[e.key] != e {
			continue
		}
		handover.Claims = append(handover.Claims, Kept{
			Key: e.key, ID: e.id, Content: e.content, Age: now.Monotonic - e.granted, Ended: e.ended, Execution: e.execution,
		})
	}
	return handover
}

// Take makes the holder go on where its predecessor stopped: it then knows
// every claim that the predecessor knew, and as far back. Ages are those of the
// moment when the handover was made, so taken later they keep claims longer.
//
// It must be the handover of the term right before this one. Without it a
// planned restart of a holder would hold opaque keys off for a window.
func (h *Holder) Take(now coltsfootward.Instant, handover Handover) {
	h.first = handover.First
	h.began = coltsfootward.Instant{
		Monotonic: now.Monotonic - handover.Held,
		Expiry:    now.Expiry - handover.Held,
		Wall:      handover.BeganWall,
	}
	for _, k := range handover.Claims {
		if _, ok := h.claims[k.Key]; ok {
			continue
		}
		e := &entry{key: k.Key, id: k.ID, content: k.Content, granted: now.Monotonic - k.Age, ended: k.Ended, execution: k.Execution}
		h.claims[k.Key] = e
		h.order = append(h.order, e)
	}
	slices.SortStableFunc(h.order, func(a, b *entry) int { return int(a.granted - b.granted) })
}
