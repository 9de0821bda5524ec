package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"

	"github.com/cespare/xxhash/v2"
)

const (
	// SubsetSize is how many backend servers of a service a node spreads its
	// requests over. Two choices need few candidates, and each one costs a
	// connection at both ends.
	SubsetSize = 16
	// ownDomainPart is how many places of the subset go to the node's own
	// failure domain first.
	ownDomainPart = 8
	// spillOccupancy is how full the own domain's choice must look before one
	// in another domain is considered: beyond it requests would wait here while
	// slots are free there.
	spillOccupancy = 0.8
	// slowPenalty is the latency, in multiples of the quickest alternative's,
	// beyond which a server counts as fuller than it says.
	slowPenalty = 2.0
)

// Pool is the backend servers of one service as one node sees them. Create it
// with NewPool.
type Pool struct {
	self      coltsfootward.Instance
	reachable func(coltsfootward.FailureDomain) bool
	upstreams map[coltsfootward.InstanceID]*upstream
	own       []*upstream
	other     []*upstream
	stale     bool
	// bounded is set if cold servers bear less than all.
	bounded bool
	// sparesCold is set while cold servers get nothing, until spareUntil, when it is
	// looked at again.
	sparesCold bool
	spareUntil time.Duration
	levels     levels
}

// NewPool returns an empty pool of the node self. reachable says which failure
// domains can be reached; nil means all.
func NewPool(self coltsfootward.Instance, reachable func(coltsfootward.FailureDomain) bool) *Pool {
	if reachable == nil {
		reachable = func(coltsfootward.FailureDomain) bool { return true }
	}
	return &Pool{self: self, reachable: reachable, upstreams: make(map[coltsfootward.InstanceID]*upstream)}
}

// Set adds a backend server or changes its slots. A server that was not known
// before starts slowly if fresh is set.
func (p *Pool) Set(now time.Duration, instance coltsfootward.Instance, slots int, fresh bool) {
	u, ok := p.upstreams[instance.ID]
	if !ok {
		u = &upstream{id: instance.ID, domain: instance.Domain, bounded: p.bounded}
		p.upstreams[instance.ID] = u
		p.stale = true
	}
	u.instance = instance
	if fresh {
		u.joined = now
		u.loaded = false
	}
	u.slots = slots
}

// SetCold adds a backend server or changes its slots, like Set. left is how much
// longer it is cold; zero means that it gets its full share.
func (p *Pool) SetCold(now time.Duration, instance coltsfootward.Instance, slots int, left time.Duration) {
	p.Set(now, instance, slots, false)
	u := p.upstreams[instance.ID]
	u.setCold(now, left)
	if left > 0 {
		u.joined = now - slowStart + min(left, slowStart)
	}
}

// BoundCold says whether cold servers bear less than all. If not, a cold one is only
// slow, and begins with a smaller share.
func (p *Pool) BoundCold(bounded bool) {
	if p.bounded == bounded {
		return
	}
	p.bounded = bounded
	for _, u := range p.upstreams {
		u.bounded = bounded
	}
}

// Warmth returns the part of the reachable servers' slots that are not at cold
// servers, and how long it takes until all are warm. Without any server that is
// nothing.
func (p *Pool) Warmth(now time.Duration) (part float64, wait time.Duration) {
	var warm, all float64
	for _, u := range p.upstreams {
		if !p.reachable(u.domain) {
			continue
		}
		slots := float64(max(u.slots, 1))
		all += slots
		if u.cold(now) {
			warm += min(coldLimit, slots)
			wait = max(wait, u.coldUntil-now)
			continue
		}
		warm += slots
	}
	if all == 0 {
		return 0, 0
	}
	return warm / all, wait
}

// Instance returns where a backend server of the pool runs.
func (p *Pool) Instance(id coltsfootward.InstanceID) (coltsfootward.Instance, bool) {
	u, ok := p.upstreams[id]
	if !ok {
		return coltsfootward.Instance{}, false
	}
	return u.instance, true
}

// Suspect says whether a backend server's node is suspected to be gone. It gets
// no request then as long as there are others.
func (p *Pool) Suspect(id coltsfootward.InstanceID, suspected bool) {
	if u, ok := p.upstreams[id]; ok {
		u.suspected = suspected
	}
}

// Remove forgets a backend server that is leaving or gone.
func (p *Pool) Remove(id coltsfootward.InstanceID) {
	if _, ok := p.upstreams[id]; ok {
		delete(p.upstreams, id)
		p.stale = true
	}
}

// Len returns the number of backend servers known.
func (p *Pool) Len() int { return len(p.upstreams) }

// subset picks by rendezvous hashing: every node has its own stable choice,
// each server is chosen by about equally many nodes, and a server that joins
// or leaves moves no other.
func (p *Pool) subset() {
	if !p.stale {
		return
	}
	p.stale = false
	all := make([]*upstream, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		all = append(all, u)
	}
	score := func(u *upstream) uint64 { return xxhash.Sum64String(string(p.self.ID) + "\x00" + string(u.id)) }
	slices.SortFunc(all, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a.id, b.id))
	})
	p.own, p.other = nil, nil
	for _, u := range all {
		if u.domain == p.self.Domain {
			p.own = append(p.own, u)
		} else {
			p.other = append(p.other, u)
		}
	}
	p.own = p.own[:min(len(p.own), max(ownDomainPart, SubsetSize-len(p.other)))]
	p.other = p.other[:min(len(p.other), SubsetSize-len(p.own))]
}

// Choose returns the server for an attempt, or false if there is none that
// tried does not hold.
func (p *Pool) Choose(now time.Duration, source *rand.Rand, tried map[coltsfootward.InstanceID]bool) (coltsfootward.Instance, bool) {
	p.subset()
	near := p.two(now, source, p.own, tried)
	if near != nil && near.occupancy(now) < spillOccupancy {
		return near.instance, true
	}
	far := p.two(now, source, p.other, tried)
	if best := better(now, near, far); best != nil {
		return best.instance, true
	}
	return p.any(tried)
}

// two returns the better of two servers picked at random. A server that may
// get a trial request is one of the candidates like any other: it gets a
// single request, so its share is bounded.
func (p *Pool) two(now time.Duration, source *rand.Rand, from []*upstream, tried map[coltsfootward.InstanceID]bool) *upstream {
	first := p.pick(now, source, from, tried, nil)
	if first == nil {
		return nil
	}
	return better(now, first, p.pick(now, source, from, tried, first))
}

// pick walks from a random place to the first server that may get a request.
func (p *Pool) pick(now time.Duration, source *rand.Rand, from []*upstream, tried map[coltsfootward.InstanceID]bool, but *upstream) *upstream {
	if len(from) == 0 {
		return nil
	}
	start := source.IntN(len(from))
	for i := range from {
		u := from[(start+i)%len(from)]
		if u != but && !tried[u.id] && p.available(now, u) {
			return u
		}
	}
	return nil
}

// better returns the server with the lower occupancy, of which a slow one has
// more than it says: its requests stay longer, so the same occupancy means a
// longer wait.
func better(now time.Duration, a, b *upstream) *upstream {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	if b.occupancy(now)*b.slowness(a) < a.occupancy(now)*a.slowness(b) {
		return b
	}
	return a
}

func (u *upstream) slowness(other *upstream) float64 {
	if other.latency == 0 || u.latency <= slowPenalty*other.latency {
		return 1
	}
	return u.latency / other.latency
}

func (p *Pool) available(now time.Duration, u *upstream) bool {
	return u.available(now) && p.reachable(u.domain) && !(u.cold(now) && p.spares(now))
}

const (
	// spareFrom is the part of the slots that must be at warm servers for cold ones to
	// be spared.
	spareFrom = 0.5
	// spareInterval is the time between two looks at that.
	spareInterval = 100 * time.Millisecond
)

// spares reports whether cold servers get nothing. The little that one bears is soon
// used up, and under an overload, when the warm ones are fuller, every request would
// go there first to be refused. With most servers cold, what they bear counts.
func (p *Pool) spares(now time.Duration) bool {
	if now >= p.spareUntil {
		p.spareUntil = now + spareInterval
		part, _ := p.Warmth(now)
		p.sparesCold = part >= spareFrom
	}
	return p.sparesCold
}

// any returns a server that was not tried, ejected or suspected as it may be:
// with all of the subset so, a doubtful server is better than none. It looks at
// all servers only when the whole subset was tried.
func (p *Pool) any(tried map[coltsfootward.InstanceID]bool) (coltsfootward.Instance, bool) {
	for _, from := range [][]*upstream{p.own, p.other} {
		for _, u := range from {
			if !tried[u.id] && p.reachable(u.domain) {
				return u.instance, true
			}
		}
	}
	for _, id := range p.sorted() {
		if u := p.upstreams[id]; !tried[id] && p.reachable(u.domain) {
			return u.instance, true
		}
	}
	return coltsfootward.Instance{}, false
}

func (p *Pool) sorted() []coltsfootward.InstanceID {
	ids := make([]coltsfootward.InstanceID, 0, len(p.upstreams))
	for id := range p.upstreams {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Census counts the backend servers by what keeps them from getting a request. One
// may count under several heads.
type Census struct {
	Known, Tried, Ejected, Suspected, Unreachable int
}

// Census counts the servers for a request that has tried some of them.
func (p *Pool) Census(now time.Duration, tried map[coltsfootward.InstanceID]bool) Census {
	c := Census{Known: len(p.upstreams), Tried: len(tried)}
	for _, u := range p.upstreams {
		if u.ejected && !u.available(now) {
			c.Ejected++
		}
		if u.suspected {
			c.Suspected++
		}
		if !p.reachable(u.domain) {
			c.Unreachable++
		}
	}
	return c
}

// Sent says that an attempt went to a server.
func (p *Pool) Sent(id coltsfootward.InstanceID) {
	if u, ok := p.upstreams[id]; ok {
		u.sent()
	}
}

// Ended says that an attempt at a server ended.
func (p *Pool) Ended(now time.Duration, id coltsfootward.InstanceID, outcome Outcome, latency time.Duration) {
	if u, ok := p.upstreams[id]; ok {
		u.ended(now, outcome, latency)
	}
}

// Observe takes in the load that came back with an answer to a request.
func (p *Pool) Observe(now time.Duration, id coltsfootward.InstanceID, kind Kind, load message.Load) {
	if u, ok := p.upstreams[id]; ok {
		u.observeLoad(now, load)
		p.levels.observe(now, kind, load.ShedLevel)
	}
}

// Load returns what a server last said of itself.
func (p *Pool) Load(id coltsfootward.InstanceID) message.Load {
	if u, ok := p.upstreams[id]; ok {
		return u.load
	}
	return message.Load{}
}

// Lost forgets a server's load, whose node the connection broke to.
func (p *Pool) Lost(id coltsfootward.InstanceID) {
	if u, ok := p.upstreams[id]; ok {
		u.loaded = false
	}
}

// Sheds reports whether the service's servers would shed such a request, as far
// as their answers told.
func (p *Pool) Sheds(now time.Duration, kind Kind, rank uint32) bool {
	return p.levels.sheds(now, kind, rank)
}
