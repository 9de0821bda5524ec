package claim

import (
	"slices"
	"time"

	"coltsfootward"
)

// Handover is the state of a holder that releases its lease, for its successor.
// Times are given as ages, since the clocks of two nodes are not comparable.
type Handover struct {
	// First is set if no node held the lease before this holder.
	First bool `msgpack:"first"`
	// Held is a lower bound of the time since the holder's term began.
	Held time.Duration `msgpack:"held"`
	// BeganWall is the wall clock time at the beginning of the term.
	BeganWall time.Time `msgpack:"began_wall"`
	// Claims are the retained claims, the oldest first.
	Claims []HandoverClaim `msgpack:"claims"`
}

// HandoverClaim is one retained claim in a Handover. Retained responses are not
// handed over.
type HandoverClaim struct {
	Key     Key    `msgpack:"key"`
	ID      ID     `msgpack:"id"`
	Content uint64 `msgpack:"content"`
	// Age is a lower bound of the time since the claim was granted.
	Age       time.Duration           `msgpack:"age"`
	Ended     bool                    `msgpack:"ended"`
	Execution coltsfootward.Execution `msgpack:"execution"`
}

// Handover returns the state for the next holder. The holder must not grant any
// claims afterwards: its lease must have been released for good.
func (h *Holder) Handover(now coltsfootward.Instant) Handover {
	h.expire(now)
	handover := Handover{First: h.first, Held: now.Monotonic - h.began.Monotonic, BeganWall: h.began.Wall}
	for _, e := range h.order {
		if h.claims[e.key] != e {
			continue
		}
		handover.Claims = append(handover.Claims, HandoverClaim{
			Key: e.key, ID: e.id, Content: e.content, Age: now.Monotonic - e.granted, Ended: e.ended, Execution: e.execution,
		})
	}
	return handover
}

// Restore restores the predecessor's state from a handover: the holder then has the
// predecessor's claims, and its term counts from the beginning of the predecessor's
// term. The ages in the handover are as of its creation, so claims are retained for
// longer if it is applied later.
//
// The handover must be that of the term directly before this one. Without it,
// keys without a timestamp would be held off for a window after each planned
// restart of a holder.
func (h *Holder) Restore(now coltsfootward.Instant, handover Handover) {
	h.first = handover.First
	h.began = coltsfootward.Instant{
		Monotonic: now.Monotonic - handover.Held,
		Expiry:    now.Expiry - handover.Held,
		Wall:      handover.BeganWall,
	}
	for _, c := range handover.Claims {
		if _, ok := h.claims[c.Key]; ok {
			continue
		}
		e := &entry{key: c.Key, id: c.ID, content: c.Content, granted: now.Monotonic - c.Age, ended: c.Ended, execution: c.Execution}
		h.claims[c.Key] = e
		h.order = append(h.order, e)
	}
	slices.SortStableFunc(h.order, func(a, b *entry) int { return int(a.granted - b.granted) })
}
