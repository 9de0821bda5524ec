package node

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/rate"
)

const (
	// shareInterval is the time between two messages with the shares of a named limit,
	// and changedShareInterval the time if the limit has changed meanwhile.
	shareInterval        = time.Second
	changedShareInterval = 250 * time.Millisecond
	// shareUseLifetime is the time after which an entry node that has no requests for
	// the server loses its share. It learns of the limit again with its next request.
	shareUseLifetime = 5 * time.Second
	// shareLifetime is how long an entry node goes by a share without a newer one. It
	// outlasts two lost messages.
	shareLifetime = 3500 * time.Millisecond
	// maxSharesPerSecond bounds the messages with shares. Entry nodes beyond that go
	// without; their requests are turned away by the server's node.
	maxSharesPerSecond = 24
	// maxShareInterval bounds the time between two requests of an entry node.
	maxShareInterval = 30 * time.Second
)

// limitsComponent divides the limit that a backend server names among the entry nodes.
//
// The node beside the server alone holds the limit: it sees all requests. The shares
// let entry nodes choose another server, or refuse, without asking it first. A share
// is out of date for at most a second and need not be exact.
type limitsComponent struct {
	node *Node
	// shares divides the limit of the local backend server.
	shares *rate.Shares
	// lastShare is when the shares were sent last, nextShare when they are due.
	lastShare, nextShare time.Duration
	// sent bounds the messages. nextNode is the position of the entry node that gets the
	// next one.
	sent     rate.Pacer
	nextNode int
}

func newLimitsComponent(n *Node) *limitsComponent {
	p := &limitsComponent{node: n, shares: rate.NewShares(shareUseLifetime)}
	p.sent.SetInterval(n.now.Monotonic, time.Second/maxSharesPerSecond)
	return p
}

// callArrived records that an entry node sends requests to the local backend server,
// and tells it its share if it has none.
func (p *limitsComponent) callArrived(from coltsfootward.InstanceID) {
	if p.node.upstream.condition.limited() && p.shares.Use(p.node.now.Monotonic, from) {
		p.sendShare(from)
	}
}

// limitChanged makes the shares due soon.
func (p *limitsComponent) limitChanged() {
	p.nextShare = min(p.nextShare, p.lastShare+changedShareInterval)
}

// distribute sends all entry nodes their shares.
func (p *limitsComponent) distribute() {
	p.lastShare = p.node.now.Monotonic
	p.nextShare = p.lastShare + shareInterval
	ids := p.shares.Expire(p.node.now.Monotonic)
	for range ids {
		if !p.sendShare(ids[p.nextNode%len(ids)]) {
			break
		}
		p.nextNode++
	}
	if !p.node.upstream.condition.limited() {
		p.shares.Clear()
	}
}

// sendShare sends an entry node its share. It returns false if too many messages were
// sent of late.
func (p *limitsComponent) sendShare(to coltsfootward.InstanceID) bool {
	now := p.node.now.Monotonic
	share := message.LimitShare{Interval: p.intervalOf(to)}
	if p.node.shares.fleet() {
		share.Limit = p.node.upstream.condition.current.Limit
	}
	if to == p.node.options.Self.ID {
		p.shares.SetDemand(now, to, p.shareReceived(to, share))
		return true
	}
	if p.sent.Wait(now, time.Second) > 0 {
		return false
	}
	p.sent.Record(now)
	p.node.configuration.send(to, &message.Gossip{Digest: p.node.configuration.ownDigest(), LimitShare: &share})
	return true
}

// intervalOf returns the mean time between two requests of an entry node; zero means
// no limit.
func (p *limitsComponent) intervalOf(id coltsfootward.InstanceID) time.Duration {
	interval := p.node.upstream.condition.pacer.Interval()
	if interval == 0 {
		return 0
	}
	return time.Duration(min(float64(interval)/p.shares.Fraction(id), float64(maxShareInterval)))
}

// gossipReceived processes what a peer says about a limit.
func (p *limitsComponent) gossipReceived(from coltsfootward.InstanceID, m *message.Gossip) {
	if m.LimitDemand != nil {
		p.shares.SetDemand(p.node.now.Monotonic, from, m.LimitDemand.PerSecond)
	}
	if m.LimitShare == nil {
		return
	}
	demand := p.shareReceived(from, *m.LimitShare)
	if m.LimitShare.Interval > 0 {
		p.node.configuration.send(from, &message.Gossip{
			Digest: p.node.configuration.ownDigest(), LimitDemand: &message.LimitDemand{PerSecond: demand},
		})
	}
}

// shareReceived applies this node's share of a server's limit and returns the node's
// demand for the server's service, in requests per second. It returns zero if the node
// does not want to send requests to this server.
func (p *limitsComponent) shareReceived(from coltsfootward.InstanceID, share message.LimitShare) float64 {
	service, ok := p.node.placement.serviceOf[from]
	if !ok {
		return 0
	}
	now := p.node.now.Monotonic
	s := p.node.placement.poolFor(service)
	s.pool.SetShare(now, from, share.Interval, now+shareLifetime)
	s.pool.SetLimit(from, share.Limit)
	if share.Interval > 0 {
		p.node.demand.limitNamed(service)
	}
	if !s.pool.Wants(now, from) {
		return 0
	}
	return s.demand.PerSecond(now) + importantHeadroom*s.importantDemand.PerSecond(now)
}

func (p *limitsComponent) tick() {
	if p.node.upstream.condition.limited() && p.node.now.Monotonic >= p.nextShare {
		p.distribute()
	}
}
