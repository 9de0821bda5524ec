package completion

import (
	"cmp"
	"math"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/rate"
)

const (
	// changeStep is the relative change of a stated slowdown from which nodes are notified.
	changeStep = 0.25
	// waitBegins is the wait from which nodes are notified that requests wait. A shorter wait
	// is over when the notice arrives.
	waitBegins = 5 * time.Millisecond
	// waitEnds is the time without a wait after which the wait has ended. Near full
	// occupancy, a queue is empty for a few milliseconds many times a second.
	waitEnds = 100 * time.Millisecond
	// noticeInterval is the minimum time between two notices.
	noticeInterval = 100 * time.Millisecond
	// useLifetime is the time since its last request within which a node is notified.
	useLifetime = 2 * time.Second
	// maximumReceivers bounds the nodes that get one notice.
	maximumReceivers = 32
	// maximumUsers bounds the nodes whose requests are counted.
	maximumUsers = 256
	// messageInterval bounds the messages to 100 a second on average: at about 80 bytes each
	// they take half of the 15 KB/s that a node has for control. messageBurst is by how much
	// messages may be early: three full notices. Only one of them may be about a wait alone: near full
	// occupancy, waits begin and end so often that no message would be left for a slowdown.
	messageInterval = 10 * time.Millisecond
	waitBurst       = maximumReceivers * messageInterval
	messageBurst    = 3 * waitBurst
)

// Notifier decides when the node of a backend server tells entry nodes about the load of the
// server, and which ones. The zero value is ready for use.
//
// It keeps entry nodes from placing requests at a server that has just become slow until
// their next response from it arrives. It sends nothing while the figures stay as they are, and
// nothing at all for a server that states no slowdown.
type Notifier struct {
	users map[coltsfootward.InstanceID]*user
	// slowdown and waiting are what the last notice said.
	slowdown float64
	waiting  bool
	// waitedAt is when a request last waited, noticedAt when the last notice was sent.
	waitedAt, noticedAt time.Duration
	noticed             bool
	messages            rate.Pacer
}

// user is an entry node that sends requests to the backend server.
type user struct {
	rate rate.Meter
	last time.Duration
}

// Used records that an entry node sent a request for the server.
func (n *Notifier) Used(now time.Duration, id coltsfootward.InstanceID) {
	u, ok := n.users[id]
	if !ok {
		if len(n.users) >= maximumUsers {
			n.expire(now)
		}
		if len(n.users) >= maximumUsers {
			return
		}
		if n.users == nil {
			n.users = make(map[coltsfootward.InstanceID]*user)
		}
		u = &user{}
		n.users[id] = u
	}
	u.rate.Record(now)
	u.last = now
}

func (n *Notifier) expire(now time.Duration) {
	for id, u := range n.users {
		if now-u.last >= useLifetime {
			delete(n.users, id)
		}
	}
}

// Observe returns the entry nodes to be told the given load of the server, those that sent
// most requests first, or none if there is no news or no message may be sent yet.
func (n *Notifier) Observe(now time.Duration, load message.Load) []coltsfootward.InstanceID {
	if load.Slowdown <= 0 {
		return nil
	}
	if load.Wait > 0 {
		n.waitedAt = now
	}
	waiting := load.Wait >= waitBegins || n.waiting && now-n.waitedAt < waitEnds
	tolerance := waitBurst
	switch {
	case n.noticed && now-n.noticedAt < noticeInterval:
		return nil
	case n.hasChanged(load.Slowdown):
		tolerance = messageBurst
	case waiting == n.waiting:
		return nil
	}
	receivers := n.receivers(now, tolerance)
	if len(receivers) > 0 {
		n.slowdown, n.waiting, n.noticedAt, n.noticed = load.Slowdown, waiting, now, true
	}
	return receivers
}

// Reset makes the next statement count as the first one, after the server has restarted.
func (n *Notifier) Reset() { n.slowdown, n.waiting = 0, false }

func (n *Notifier) hasChanged(slowdown float64) bool {
	before := n.slowdown
	if before == 0 {
		before = 1 // entry nodes take a server without a statement to be as fast as usual
	}
	return math.Abs(slowdown-before) >= changeStep*before
}

// receivers returns the nodes to be notified and counts the messages to them, which may be early by
// tolerance.
func (n *Notifier) receivers(now, tolerance time.Duration) []coltsfootward.InstanceID {
	if !n.messages.Limited() {
		n.messages.SetInterval(now-messageBurst, messageInterval)
	}
	if n.messages.Wait(now, tolerance) > 0 {
		return nil
	}
	n.expire(now)
	type candidate struct {
		id        coltsfootward.InstanceID
		perSecond float64
	}
	candidates := make([]candidate, 0, len(n.users))
	for id, u := range n.users {
		candidates = append(candidates, candidate{id, u.rate.PerSecond(now)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.perSecond, a.perSecond), cmp.Compare(a.id, b.id))
	})
	var ids []coltsfootward.InstanceID
	for _, c := range candidates[:min(len(candidates), maximumReceivers)] {
		if n.messages.Wait(now, tolerance) > 0 {
			break
		}
		n.messages.Record(now)
		ids = append(ids, c.id)
	}
	return ids
}
