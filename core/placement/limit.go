package placement

import (
	"time"

	"coltsfootward"
)

const (
	// shareBurst is by how much the most urgent requests may be early against an even
	// spacing of the requests that this node may send to a server. The least urgent
	// ones may not be early, so that the others find room.
	shareBurst = 250 * time.Millisecond
	// shareHeadroom is the factor by which a node may exceed its share. Nodes don't use
	// up their shares at every moment; what exceeds the limit in sum is held back by
	// the server's own node.
	shareHeadroom = 1.25
	// turnedAwayRefund is the fraction of a request that a node may send again after the
	// server's node turned one away. Nodes that send seldom would else go on to arrive
	// just when the limit has no room.
	turnedAwayRefund = 0.5
)

// SetShare sets how often this node may send requests to a server that names a limit:
// interval is the mean time between two requests, and zero means that the server names
// no limit. The share is valid until expires.
func (p *Pool) SetShare(now time.Duration, id coltsfootward.InstanceID, interval, expires time.Duration) {
	u, ok := p.upstreams[id]
	if !ok {
		return
	}
	if !u.limited(now) {
		u.share.SetInterval(now, 0)
	}
	u.share.SetInterval(now, time.Duration(float64(interval)/shareHeadroom))
	u.shareExpires = expires
	p.limited = p.limited || interval > 0
}

// TurnedAway records that the node of a server that names a limit turned a request away
// before the server saw it.
func (p *Pool) TurnedAway(now time.Duration, id coltsfootward.InstanceID) {
	if u, ok := p.upstreams[id]; ok && u.limited(now) {
		u.share.Charge(-turnedAwayRefund)
	}
}

func (u *upstream) limited(now time.Duration) bool {
	return u.share.Limited() && now < u.shareExpires
}

// roomWait returns the time until this node may send a request of the given urgency to
// the server.
func (u *upstream) roomWait(now time.Duration, urgency float64) time.Duration {
	if !u.limited(now) {
		return 0
	}
	return u.share.Wait(now, time.Duration(urgency*float64(max(shareBurst, u.share.Interval()))))
}

// wantedLifetime is the time after which a server that was not considered for any
// request counts as not wanted.
const wantedLifetime = 2 * time.Second

// Wants reports whether this node would send requests to a server if it had room. It
// does not while servers that are nearer have room.
func (p *Pool) Wants(now time.Duration, id coltsfootward.InstanceID) bool {
	u, ok := p.upstreams[id]
	return ok && u.wantedAt > 0 && now-u.wantedAt < wantedLifetime
}

// HasRoom reports whether the limit that a server names has room for a request.
func (p *Pool) HasRoom(now time.Duration, id coltsfootward.InstanceID, r Request) bool {
	u, ok := p.upstreams[id]
	return !ok || u.roomWait(now, r.Urgency) == 0
}

// RoomWait returns the shortest time until a reachable server that was not tried has
// room for the request. It is zero if there is no such server, or if one has room.
func (p *Pool) RoomWait(now time.Duration, r Request) time.Duration {
	shortest, found := time.Duration(0), false
	for _, u := range p.upstreams {
		if r.Tried[u.id] || !p.reachable(u.domain) {
			continue
		}
		if wait := u.roomWait(now, r.Urgency); !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return shortest
}

// Room returns how many requests per second this node may send to the service, if every
// reachable server of the service names a limit.
func (p *Pool) Room(now time.Duration) (perSecond float64, limited bool) {
	if !p.limited {
		return 0, false
	}
	p.limited = false
	limited = true
	for _, u := range p.upstreams {
		p.limited = p.limited || u.limited(now)
		switch {
		case !p.reachable(u.domain):
		case u.limited(now):
			perSecond += 1 / (shareHeadroom * u.share.Interval().Seconds())
		default:
			limited = false
		}
	}
	return perSecond, limited && perSecond > 0
}

// SetLimit sets the limit, in requests per second, that a server names for all nodes
// together.
func (p *Pool) SetLimit(id coltsfootward.InstanceID, perSecond float64) {
	if u, ok := p.upstreams[id]; ok {
		u.namedLimit = perSecond
	}
}

// Limit returns the sum of the limits that the reachable servers name, in requests per
// second, if every one of them names a limit and has stated it.
func (p *Pool) Limit(now time.Duration) (perSecond float64, limited bool) {
	if !p.limited {
		return 0, false
	}
	for _, u := range p.upstreams {
		switch {
		case !p.reachable(u.domain):
		case !u.limited(now) || u.namedLimit <= 0:
			return 0, false
		default:
			perSecond += u.namedLimit
		}
	}
	return perSecond, perSecond > 0
}
