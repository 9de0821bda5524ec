package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/completion"
	"coltsfootward/core/message"
)

const (
	// plainPlacements is the fraction, one in this many, of the placements that compare
	// candidates as where nothing is stated. A server that gets no other requests, because its
	// stated slowdown is stuck or false, has the lowest occupancy, so it wins all of these in which it
	// is one of the two candidates: twice its usual share. It keeps a ninth of its usual
	// share, and with it the responses that correct what is known about it. A server that is in
	// fact slow gets as much, which is most of what is lost to slow servers.
	plainPlacements = 18
	// statedLifetime is the time without any statement after which a service counts as one
	// whose servers state nothing.
	statedLifetime = 10 * time.Second
)

// comparesCompletion reports whether the next placement compares candidates by expected
// completion. It draws a random number only where servers state a slowdown.
func (p *Pool) comparesCompletion(now time.Duration, source *rand.Rand) bool {
	return p.stated && now-p.statedAt < statedLifetime && source.IntN(plainPlacements) != 0
}

// better returns the server that is expected to complete the request first or, if servers
// state no slowdown, the less loaded one. A cold server with limited capacity is compared by
// load, since its rate of requests is limited although nobody may wait there.
func (p *Pool) better(now time.Duration, r Request, a, b *upstream) *upstream {
	if a == nil || b == nil || !r.byCompletion || a.cold(now) || b.cold(now) {
		return lessLoaded(now, a, b)
	}
	if p.expectedAt(now, b, r) < p.expectedAt(now, a, r) {
		return b
	}
	return a
}

func (p *Pool) expectedAt(now time.Duration, u *upstream, r Request) float64 {
	return p.expected.Expected(now, &u.completion, r.Class, completion.Use{Occupancy: u.occupancy(now), Limit: u.limit(now)})
}

// ObserveNotice records a load that the node of a server reported at the given time in a
// notice. It returns false for an unknown server, and for a notice that is older than what is
// known.
func (p *Pool) ObserveNotice(at time.Duration, id coltsfootward.InstanceID, load message.Load) bool {
	u, ok := p.upstreams[id]
	if !ok || u.hasLoad && at < u.loadAt {
		return false
	}
	load.ShedLevel = u.load.ShedLevel // a notice belongs to no kind of request
	u.observeLoad(at, load)
	p.observeStatement(at, u, load)
	return true
}

func (p *Pool) observeStatement(at time.Duration, u *upstream, load message.Load) {
	u.completion.ObserveLoad(at, load)
	if load.Slowdown > 0 {
		p.stated, p.statedAt = true, max(p.statedAt, at)
	}
}

// ServerView describes a server as this node sees it.
type ServerView struct {
	Instance coltsfootward.Instance
	// Speed is the learned speed of the server as a multiple of the mean of its service; zero
	// if it is unknown.
	Speed float64
	// Slowdown is the slowdown that the server stated SlowdownAge ago; zero if it states none.
	Slowdown    float64
	SlowdownAge time.Duration
	// Share is the fraction of this node's requests for the service in the last seconds that
	// were sent to the server.
	Share float64
}

// Servers describes the servers of the pool, sorted by their IDs.
func (p *Pool) Servers(now time.Duration) []ServerView {
	views := make([]ServerView, 0, len(p.upstreams))
	total := 0.0
	for _, u := range p.upstreams {
		v := ServerView{Instance: u.instance, Speed: u.completion.Speed(), Share: u.sent.PerSecond(now)}
		if slowdown, age, ok := u.completion.Statement(now); ok {
			v.Slowdown, v.SlowdownAge = slowdown, age
		}
		total += v.Share
		views = append(views, v)
	}
	for i := range views {
		if total > 0 {
			views[i].Share /= total
		}
	}
	slices.SortFunc(views, func(a, b ServerView) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
	return views
}
