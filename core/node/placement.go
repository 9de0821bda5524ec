package node

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/placement"
	"coltsfootward/core/pressure"
	"coltsfootward/core/rate"
	"coltsfootward/core/retry"
)

// placementComponent chooses the upstream for each attempt and bounds the
// retries of each service.
type placementComponent struct {
	node *Node
	// started is when the node started, by Instant.Monotonic.
	started time.Duration
	pools   map[coltsfootward.ServiceName]*servicePool
	// serviceOf maps each instance to the service whose pool it belongs to.
	serviceOf map[coltsfootward.InstanceID]coltsfootward.ServiceName
}

// servicePool is the state that the node keeps for one service.
type servicePool struct {
	pool    *placement.Pool
	retries retry.Allowance
	// budget replaces retries in a routed deployment.
	budget retry.Budget
	// shedSince is when the current period of shedding at entry began; lastShed
	// is when a request was last shed.
	shedSince, lastShed time.Duration
	// demand is the rate of the node's requests for the service. limitThrottle
	// determines the fraction of them that the limits named by all servers of the
	// service have no room for.
	demand rate.Meter
	// importantDemand is the rate of those requests whose importance fits the capacity
	// as a whole.
	importantDemand rate.Meter
	// callCost is the mean slot time, in seconds, of the node's calls to the service.
	callCost      float64
	limitThrottle pressure.Throttle
}

// startupGrace is the time after its start during which a node treats other
// servers that it discovers as warm.
const startupGrace = 5 * time.Second

func newPlacementComponent(n *Node) *placementComponent {
	return &placementComponent{
		node:      n,
		started:   n.now.Monotonic,
		pools:     make(map[coltsfootward.ServiceName]*servicePool),
		serviceOf: make(map[coltsfootward.InstanceID]coltsfootward.ServiceName),
	}
}

func (p *placementComponent) poolFor(name coltsfootward.ServiceName) *servicePool {
	s, ok := p.pools[name]
	if !ok {
		s = &servicePool{pool: placement.NewPool(p.node.options.Self, p.reachable)}
		p.pools[name] = s
	}
	return s
}

// reachable reports whether the backend servers of a failure domain may be sent
// requests.
func (p *placementComponent) reachable(domain coltsfootward.FailureDomain) bool {
	return !p.node.domains.current.Has(domain) && p.node.membership.machine.Reachable(domain)
}

// memberChanged processes a change of a member. A backend server that is new,
// or whose node has restarted, starts cold. A node that has just started
// discovers all members for the first time, which does not make the others
// cold.
func (p *placementComponent) memberChanged(old, update message.MemberUpdate) {
	a, before := update.Announcement, old.Announcement
	id := a.Instance.ID
	now := p.node.now.Monotonic
	takesWork := a.Service != "" && !a.Draining && !a.Leaving && update.State != message.MemberGone && update.State != message.MemberLeft
	if service, known := p.serviceOf[id]; known && (!takesWork || service != a.Service) {
		p.poolFor(service).pool.Remove(id)
		delete(p.serviceOf, id)
	}
	if !takesWork {
		return
	}
	restarted := before.Instance.ID != "" && a.Instance.Incarnation > before.Instance.Incarnation
	joined := before.Service == "" && (now-p.started > startupGrace || id == p.node.options.Self.ID)
	p.serviceOf[id] = a.Service
	pool := p.poolFor(a.Service).pool
	if p.node.options.Routed {
		// The backend server itself reports how much longer it is cold, so a
		// server keeps its share if only its node has restarted.
		pool.SetCold(now, a.Instance, a.Slots, a.Cold)
	} else {
		pool.Set(now, a.Instance, a.Slots, restarted || joined)
	}
	pool.SetSuspected(id, update.State == message.MemberSuspected)
}

// choose returns the upstream for the call's next attempt.
func (p *placementComponent) choose(call *entryCall) (coltsfootward.Instance, bool) {
	if p.node.options.crossesSurplus() {
		return p.node.crossing.choose(call)
	}
	if p.node.crossing.staysNear(call.head.Service) {
		return p.node.crossing.chooseNear(call)
	}
	return p.poolFor(call.head.Service).pool.Choose(p.node.now.Monotonic, p.node.source, p.placementRequest(call))
}

// placementRequest describes the call for placement. Calls of backend servers are the
// most urgent, since their refusal wastes the work of the requests above them.
func (p *placementComponent) placementRequest(call *entryCall) placement.Request {
	urgency := 1.0
	switch {
	case call.head.Depth > 0:
	case p.node.shares.fits(call):
		urgency = fittingUrgency
	default:
		urgency -= float64(call.head.ShedRank) / shedRanks
	}
	return placement.Request{Tried: call.tried, Urgency: urgency, Class: string(call.head.Route)}
}

// countDemand counts a request for the service, whether it is sent or not.
func (p *placementComponent) countDemand(call *entryCall) {
	s := p.poolFor(call.head.Service)
	s.demand.Record(p.node.now.Monotonic)
	if p.node.shares.fits(call) {
		s.importantDemand.Record(p.node.now.Monotonic)
	}
}

// limitWait returns the time until a server has room for the call, if all servers lack
// room for it because of the limits that they name; otherwise zero.
func (p *placementComponent) limitWait(call *entryCall) time.Duration {
	return p.poolFor(call.head.Service).pool.RoomWait(p.node.now.Monotonic, p.placementRequest(call))
}

// attemptSent records that the call's attempt was sent.
func (p *placementComponent) attemptSent(call *entryCall) {
	call.sentAt = p.node.now.Monotonic
	p.poolFor(call.head.Service).pool.AttemptSent(call.sentAt, call.target)
}

// attemptCancelled records that the call's attempt was cancelled; timeout is
// set if the deadline had passed.
func (p *placementComponent) attemptCancelled(call *entryCall, timeout bool) {
	outcome := placement.OutcomeCancelled
	if timeout {
		outcome = placement.OutcomeFailed
	}
	p.recordEnd(call, outcome)
}

func (p *placementComponent) recordEnd(call *entryCall, outcome placement.Outcome) {
	now := p.node.now.Monotonic
	p.poolFor(call.head.Service).pool.AttemptEnded(now, call.target, outcome, now-call.sentAt)
}

func (p *placementComponent) attemptEnded(call *entryCall, e AttemptEnded) {
	now := p.node.now.Monotonic
	s := p.poolFor(call.head.Service)
	switch {
	case e.Kind == AttemptAnswered:
		s.retries.RecordSuccess(now)
		p.recordEnd(call, placement.OutcomeAnswered)
	case e.Kind == AttemptRefused && e.Refusal.Execution == coltsfootward.ExecutionNotRun:
		p.recordEnd(call, placement.OutcomeRefused)
		if e.Attempts == 0 {
			s.pool.TurnedAway(now, call.target)
		}
	default:
		p.recordEnd(call, placement.OutcomeFailed)
	}
	if e.Kind == AttemptAnswered || e.Kind == AttemptRefused {
		s.pool.ObserveLoad(now, call.target, kindOf(call), e.Load)
		p.reportPressure(call, e.Load)
		p.node.demand.loadReported(call.head.Service, e.Load)
	}
}

// reportPressure passes the load of the services that the request needed, as
// reported with the response, to the admission gates.
func (p *placementComponent) reportPressure(call *entryCall, load message.Load) {
	if call.head.Route == "" {
		return
	}
	p.poolFor(call.head.Service).observeCallCost(load.Cost)
	reported := []pressure.Report{{Service: call.head.Service, Excess: load.Excess, Cost: load.Cost, Cold: load.Cold > 0}}
	for _, downstream := range load.Downstream {
		reported = append(reported, pressure.Report{Service: downstream.Service, Resource: downstream.Resource, Excess: downstream.Excess, Cost: downstream.Cost})
	}
	p.node.gates.ObserveResponse(p.node.now.Monotonic, call.head.Route, reported)
}

// callCostWeight is the EWMA weight of the newest call in the mean cost of calls.
const callCostWeight = 0.05

// observeCallCost adds the slot time in seconds of one call to the mean; zero if it is
// not known.
func (s *servicePool) observeCallCost(cost float64) {
	if s.callCost <= 0 {
		s.callCost = cost
	}
	if cost > 0 {
		s.callCost += callCostWeight * (cost - s.callCost)
	}
}

func kindOf(call *entryCall) placement.RequestKind {
	return placement.RequestKind{Organisation: call.head.Organisation, Class: classOf(call.head)}
}

// takeRetry reports whether the service's retry allowance permits one more
// attempt, and counts the attempt if so.
func (p *placementComponent) takeRetry(service coltsfootward.ServiceName) bool {
	return p.poolFor(service).retries.Take(p.node.now.Monotonic)
}

// countRequest counts the first attempt of a routed request, from which the
// retry budget is derived.
func (p *placementComponent) countRequest(call *entryCall) {
	s := p.poolFor(call.head.Service)
	s.budget.Share, s.budget.Burst = p.retryBudget()
	s.budget.RecordRequest(p.node.now.Monotonic, call.head.Retry && !p.node.grants.enabled())
}

// takeRoutedRetry reports whether the retry budget permits another attempt of a
// routed request, and counts the attempt if so.
func (p *placementComponent) takeRoutedRetry(call *entryCall) bool {
	return p.poolFor(call.head.Service).budget.Take(p.node.now.Monotonic, p.retryKind(call))
}

func (p *placementComponent) retryKind(call *entryCall) retry.RequestKind {
	nonLeaf := p.node.gates.Needs(call.head.Route) > 1
	switch {
	case call.head.Depth == 0 && !nonLeaf:
		return retry.KindCaller
	case call.head.Depth == 0:
		return retry.KindCallerNonLeaf
	case !nonLeaf:
		return retry.KindCall
	default:
		return retry.KindCallNonLeaf
	}
}

// seenServer returns a backend server that has seen the call and rejected it, if the
// server has room for another attempt.
func (p *placementComponent) seenServer(call *entryCall) (coltsfootward.Instance, bool) {
	pool := p.poolFor(call.head.Service).pool
	server := call.seenBy[0]
	if p.node.grants.enabled() {
		// With up to 12 attempts, one server that rejects everything would get them all.
		server = call.seenBy[call.hops%len(call.seenBy)]
	}
	if !pool.HasRoom(p.node.now.Monotonic, server, p.placementRequest(call)) {
		return coltsfootward.Instance{}, false
	}
	return pool.Instance(server)
}

// sheds reports whether every upstream of the service sheds the call, and
// records the time if so.
func (p *placementComponent) sheds(call *entryCall) bool {
	now := p.node.now.Monotonic
	s := p.poolFor(call.head.Service)
	if !s.pool.Sheds(now, kindOf(call), call.head.ShedRank) {
		return false
	}
	if now-s.lastShed > time.Second {
		s.shedSince = now
	}
	s.lastShed = now
	return true
}

// shedDuration returns how long the node has been shedding the service's
// requests.
func (p *placementComponent) shedDuration(service coltsfootward.ServiceName) time.Duration {
	return p.node.now.Monotonic - p.poolFor(service).shedSince
}

func (p *placementComponent) load(id coltsfootward.InstanceID) message.Load {
	return p.poolFor(p.serviceOf[id]).pool.Load(id)
}

func (p *placementComponent) peerLost(id coltsfootward.InstanceID) {
	if service, ok := p.serviceOf[id]; ok {
		p.poolFor(service).pool.ConnectionLost(id)
	}
}

// coldAdmitFactor sets the fraction of a service's demand that is admitted
// while servers are cold, as a multiple of the warm fraction of its slots. At
// 2, nothing is withheld as long as half of the slots are warm.
const coldAdmitFactor = 2.0

// closeGates closes the gates of services whose servers are mostly cold, as after a
// power failure that hits all of them, or all name limits. The requests admitted
// are those that the servers have room for; the rest is refused before any work
// is done for it.
func (p *placementComponent) closeGates() {
	for name, s := range p.pools {
		service, _ := p.node.configuration.current.Service(name)
		s.pool.SetColdLimited(service.ColdRate > 0)
		withheld, _ := p.coldShortfall(s)
		p.node.shares.closeGates(name)
		shortfall, known := p.node.shares.limitShortfall(name, s)
		if !known {
			shortfall = p.limitShortfall(s)
		}
		p.node.gates.SetMinRefused(name, max(withheld, shortfall))
	}
}

// limitShortfall returns the fraction of the demand for a service for which the
// limits that all its servers name have no room.
func (p *placementComponent) limitShortfall(s *servicePool) float64 {
	now := p.node.now.Monotonic
	room, limited := s.pool.Room(now)
	if !limited && s.limitThrottle.Excess() == 0 {
		return 0
	}
	ratio := 0.0
	if limited {
		ratio = min(s.demand.PerSecond(now)/(targetLimitUse*room), maxLimitRatio)
	}
	s.limitThrottle.Observe(now, ratio)
	return s.limitThrottle.Excess()
}

const (
	// targetLimitUse is the part of the room that the demand is to fill. Without a
	// margin, chance leaves calls of backend servers without room, and the work of the
	// requests above them is lost.
	targetLimitUse = 0.95
	// maxLimitRatio bounds the ratio of the demand to the room, and thereby how far a
	// single observation closes a gate.
	maxLimitRatio = 4.0
)

// coldShortfall returns the fraction of the demand for a service that is
// withheld because its servers are cold, and the time until all of them are
// warm.
func (p *placementComponent) coldShortfall(s *servicePool) (fraction float64, wait time.Duration) {
	warm, wait := s.pool.WarmShare(p.node.now.Monotonic)
	if wait == 0 || coldAdmitFactor*warm >= 1 {
		return 0, 0
	}
	return 1 - coldAdmitFactor*warm, wait
}

// coldRetryAfter returns how much longer a service refuses requests because its
// servers are cold; zero if it does not.
func (p *placementComponent) coldRetryAfter(service coltsfootward.ServiceName) time.Duration {
	_, wait := p.coldShortfall(p.poolFor(service))
	return wait
}
