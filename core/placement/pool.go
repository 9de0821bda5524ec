package placement

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/completion"
	"coltsfootward/core/crossing"
	"coltsfootward/core/message"

	"github.com/cespare/xxhash/v2"
)

const (
	// SubsetSize is the number of a service's backend servers over which a node
	// spreads its requests. Power of two choices needs few candidates, and each
	// candidate costs a connection at both ends.
	SubsetSize = 16
	// ownDomainSize is the number of servers of the subset that are reserved for
	// the node's own failure domain.
	ownDomainSize = 8
	// spillOccupancy is the occupancy of the server chosen in the own failure
	// domain from which servers in other domains are considered. Above it,
	// requests would queue in the own domain while other domains have free slots.
	spillOccupancy = 0.8
	// slowPenalty is the ratio of a server's latency to that of the other candidate
	// above which the server's occupancy is multiplied by this ratio.
	slowPenalty = 2.0
)

// Pool holds the state that one node keeps about the backend servers of one
// service. Create it with NewPool.
type Pool struct {
	self      coltsfootward.Instance
	reachable func(coltsfootward.FailureDomain) bool
	upstreams map[coltsfootward.InstanceID]*upstream
	// own and other are the servers of the subset in the node's own failure domain
	// and in other domains.
	own   []*upstream
	other []*upstream
	// rest are the servers that are not in the subset.
	rest []*upstream
	// far are the servers to use in each other domain, and ownRest those in the own
	// domain that are not in the subset; see ChooseNear.
	far     map[coltsfootward.FailureDomain][]*upstream
	ownRest []*upstream
	local   crossing.Local
	// subsetStale is set if the subset must be computed again.
	subsetStale bool
	// coldLimited is set if cold servers have a limited capacity.
	coldLimited bool
	// coldExcluded is set while cold servers get no requests. It is computed again at
	// nextColdCheck.
	coldExcluded  bool
	nextColdCheck time.Duration
	levels        shedLevels
	// limited is set while some server may have a share; see SetShare.
	limited bool
	// expected holds what requests cost at the service. statedAt is when a server last
	// stated a slowdown, and stated is set if one has.
	expected completion.Service
	statedAt time.Duration
	stated   bool
}

// NewPool returns an empty pool for the node self. reachable reports whether a
// failure domain can be reached; nil means that all can.
func NewPool(self coltsfootward.Instance, reachable func(coltsfootward.FailureDomain) bool) *Pool {
	if reachable == nil {
		reachable = func(coltsfootward.FailureDomain) bool { return true }
	}
	return &Pool{self: self, reachable: reachable, upstreams: make(map[coltsfootward.InstanceID]*upstream)}
}

// Set adds a backend server or updates its instance and its number of slots. If
// restarted is set, the server's share of requests grows gradually from now and
// its last load report is discarded.
func (p *Pool) Set(now time.Duration, instance coltsfootward.Instance, slots int, restarted bool) {
	u, ok := p.upstreams[instance.ID]
	if !ok {
		u = &upstream{id: instance.ID, domain: instance.Domain, coldLimited: p.coldLimited}
		p.upstreams[instance.ID] = u
		p.subsetStale = true
	}
	u.instance = instance
	if restarted {
		u.slowStartedAt = now
		u.hasLoad = false
		u.completion.Forget()
	}
	u.slots = slots
}

// SetCold adds or updates a backend server like Set. remaining is how much longer
// the server is cold; zero means that it gets its full share.
func (p *Pool) SetCold(now time.Duration, instance coltsfootward.Instance, slots int, remaining time.Duration) {
	p.Set(now, instance, slots, false)
	u := p.upstreams[instance.ID]
	u.setCold(now, remaining)
	if remaining > 0 {
		u.slowStartedAt = now - slowStartDuration + min(remaining, slowStartDuration)
	}
}

// SetColdLimited sets whether cold servers have a limited capacity. If they do not,
// a cold server is only slower and starts with a smaller share of the requests.
func (p *Pool) SetColdLimited(limited bool) {
	if p.coldLimited == limited {
		return
	}
	p.coldLimited = limited
	for _, u := range p.upstreams {
		u.coldLimited = limited
	}
}

// WarmShare returns the share of the reachable servers' slots that can be used at
// present: all slots of a warm server, and only the limited capacity of a cold one.
// wait is the time until all servers are warm. Without reachable servers both
// results are zero.
func (p *Pool) WarmShare(now time.Duration) (share float64, wait time.Duration) {
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

// Instance returns the instance of a backend server of the pool, or false if the
// pool has no such server.
func (p *Pool) Instance(id coltsfootward.InstanceID) (coltsfootward.Instance, bool) {
	u, ok := p.upstreams[id]
	if !ok {
		return coltsfootward.Instance{}, false
	}
	return u.instance, true
}

// SetSuspected sets whether a backend server's node is suspected to have failed. A
// suspected server gets requests only if no other server is available.
func (p *Pool) SetSuspected(id coltsfootward.InstanceID, suspected bool) {
	if u, ok := p.upstreams[id]; ok {
		u.suspected = suspected
	}
}

// Remove removes a backend server that is leaving or gone.
func (p *Pool) Remove(id coltsfootward.InstanceID) {
	if _, ok := p.upstreams[id]; ok {
		delete(p.upstreams, id)
		p.subsetStale = true
	}
}

// Instances returns the instances of all backend servers in the pool, sorted by ID.
func (p *Pool) Instances() []coltsfootward.Instance {
	all := make([]coltsfootward.Instance, 0, len(p.upstreams))
	for _, id := range slices.Sorted(maps.Keys(p.upstreams)) {
		all = append(all, p.upstreams[id].instance)
	}
	return all
}

// Len returns the number of backend servers in the pool.
func (p *Pool) Len() int { return len(p.upstreams) }

// updateSubset computes the subset by rendezvous hashing if servers were added or
// removed. Each node has its own stable subset, each server is in about equally
// many subsets, and a server that joins or leaves does not move the others.
func (p *Pool) updateSubset() {
	if !p.subsetStale {
		return
	}
	p.subsetStale = false
	all := make([]*upstream, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		all = append(all, u)
	}
	score := func(u *upstream) uint64 { return xxhash.Sum64String(string(p.self.ID) + "\x00" + string(u.id)) }
	slices.SortFunc(all, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a.id, b.id))
	})
	p.own, p.other, p.rest = nil, nil, nil
	for _, u := range all {
		if u.domain == p.self.Domain {
			p.own = append(p.own, u)
		} else {
			p.other = append(p.other, u)
		}
	}
	ownSize := min(len(p.own), max(ownDomainSize, SubsetSize-len(p.other)))
	otherSize := min(len(p.other), SubsetSize-ownSize)
	p.rest = slices.Concat(p.own[ownSize:], p.other[otherSize:])
	p.own, p.other = p.own[:ownSize], p.other[:otherSize]
	p.groupFar()
}

// Request describes a request for placement.
type Request struct {
	// Tried holds the servers that the request was sent to already.
	Tried map[coltsfootward.InstanceID]bool
	// Urgency, 0 to 1, is the importance of the request. At a server that names a limit,
	// the more urgent of two requests has room first.
	Urgency float64
	// Class is the class of requests by which slot times are known; empty if there is none.
	Class string
	// byCompletion is set if candidates are compared by expected completion.
	byCompletion bool
}

// Choose returns the server for an attempt, or false if every reachable server was
// tried or has no room.
func (p *Pool) Choose(now time.Duration, source *rand.Rand, r Request) (coltsfootward.Instance, bool) {
	p.updateSubset()
	r.byCompletion = p.comparesCompletion(now, source)
	near := p.bestOfTwo(now, source, p.own, r)
	if near != nil && near.occupancy(now) < spillOccupancy {
		return near.instance, true
	}
	far := p.bestOfTwo(now, source, p.other, r)
	if best := p.better(now, r, near, far); best != nil {
		return best.instance, true
	}
	return p.fallback(now, r)
}

// bestOfTwo returns the better of two servers picked at random. An ejected
// server that is due for a trial request is a candidate like the others: it gets
// a single request, so its share is bounded.
func (p *Pool) bestOfTwo(now time.Duration, source *rand.Rand, from []*upstream, r Request) *upstream {
	first := p.pickRandom(now, source, from, r, nil)
	if first == nil {
		return nil
	}
	return p.better(now, r, first, p.pickRandom(now, source, from, r, first))
}

// pickRandom returns the first available server other than exclude, starting at a
// random index.
func (p *Pool) pickRandom(now time.Duration, source *rand.Rand, from []*upstream, r Request, exclude *upstream) *upstream {
	if len(from) == 0 {
		return nil
	}
	start := source.IntN(len(from))
	for i := range from {
		u := from[(start+i)%len(from)]
		if u != exclude && p.takes(now, u, r) && p.available(now, u) {
			return u
		}
	}
	return nil
}

// takes reports whether the server was not tried and has room for the request.
func (p *Pool) takes(now time.Duration, u *upstream, r Request) bool {
	if r.Tried[u.id] || !p.reachable(u.domain) {
		return false
	}
	u.wantedAt = now
	return u.roomWait(now, r.Urgency) == 0
}

// lessLoaded returns the server with the lower occupancy. The occupancy of a slow
// server is scaled up: its requests take longer, so the same occupancy means a
// longer wait.
func lessLoaded(now time.Duration, a, b *upstream) *upstream {
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

// slowness returns the factor by which the server's occupancy is scaled up
// compared with other's.
func (u *upstream) slowness(other *upstream) float64 {
	if other.latency == 0 || u.latency <= slowPenalty*other.latency {
		return 1
	}
	return u.latency / other.latency
}

func (p *Pool) available(now time.Duration, u *upstream) bool {
	return u.available(now) && !(u.cold(now) && p.excludesCold(now))
}

const (
	// minimumWarmShare is the share of slots on warm servers from which cold servers
	// get no requests.
	minimumWarmShare = 0.5
	// coldCheckInterval is how often the share of warm slots is computed.
	coldCheckInterval = 100 * time.Millisecond
)

// excludesCold reports whether cold servers get no requests. The small capacity of
// a cold server is soon used up. Under an overload, when the warm servers have a
// higher occupancy, every request would go to a cold server first and be refused
// there. If most servers are cold, their capacity is needed.
func (p *Pool) excludesCold(now time.Duration) bool {
	if now >= p.nextColdCheck {
		p.nextColdCheck = now + coldCheckInterval
		share, _ := p.WarmShare(now)
		p.coldExcluded = share >= minimumWarmShare
	}
	return p.coldExcluded
}

// fallback returns a reachable server that was not tried and has room, even if it is
// ejected, suspected or cold: if no server of the subset is available, such a server is
// better than none. Servers outside the subset come last.
func (p *Pool) fallback(now time.Duration, r Request) (coltsfootward.Instance, bool) {
	for _, from := range [][]*upstream{p.own, p.other, p.rest} {
		for _, u := range from {
			if p.takes(now, u, r) {
				return u.instance, true
			}
		}
	}
	return coltsfootward.Instance{}, false
}

// CandidateCounts counts the backend servers by the reason that excludes them from
// a request. A server with several reasons is counted for each.
type CandidateCounts struct {
	Known, Tried, Ejected, Suspected, Unreachable int
	// Limited counts the servers that name a limit which this node has used up.
	Limited int
}

// CountCandidates counts the servers of the pool for a request that was already sent
// to the servers in tried.
func (p *Pool) CountCandidates(now time.Duration, tried map[coltsfootward.InstanceID]bool) CandidateCounts {
	c := CandidateCounts{Known: len(p.upstreams), Tried: len(tried)}
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
		if u.roomWait(now, 1) > 0 {
			c.Limited++
		}
	}
	return c
}

// AttemptSent records that an attempt was sent to a server.
func (p *Pool) AttemptSent(now time.Duration, id coltsfootward.InstanceID) {
	if u, ok := p.upstreams[id]; ok {
		u.attemptSent(now)
	}
}

// AttemptEnded records the outcome of an attempt at a server. latency is the time
// since the attempt was sent.
func (p *Pool) AttemptEnded(now time.Duration, id coltsfootward.InstanceID, outcome Outcome, latency time.Duration) {
	if u, ok := p.upstreams[id]; ok {
		u.attemptEnded(now, outcome, latency)
	}
}

// ObserveLoad records the load that a server reported with its response to a request.
func (p *Pool) ObserveLoad(now time.Duration, id coltsfootward.InstanceID, kind RequestKind, load message.Load) {
	if u, ok := p.upstreams[id]; ok {
		u.observeLoad(now, load)
		p.observeStatement(now, u, load)
		p.expected.ObserveCost(&u.completion, kind.Class, load.Cost)
		p.levels.observe(now, kind, load.ShedLevel)
	}
}

// Load returns the load that a server reported last.
func (p *Pool) Load(id coltsfootward.InstanceID) message.Load {
	if u, ok := p.upstreams[id]; ok {
		return u.load
	}
	return message.Load{}
}

// ConnectionLost discards the last load report of a server after the connection to
// its node broke.
func (p *Pool) ConnectionLost(id coltsfootward.InstanceID) {
	if u, ok := p.upstreams[id]; ok {
		u.hasLoad = false
		u.completion.Forget()
	}
}

// Sheds reports whether the service's servers would shed a request of the given
// kind and shed rank, according to the levels that they reported.
func (p *Pool) Sheds(now time.Duration, kind RequestKind, rank uint32) bool {
	return p.levels.sheds(now, kind, rank)
}
