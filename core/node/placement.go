package node

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/placement"
	"coltsfootward/core/pressure"
	"coltsfootward/core/retry"
)

// placementPart chooses the upstream for each attempt and bounds the retries of
// each service.
type placementPart struct {
	node *Node
	// started is when the node started, by Instant.Monotonic.
	started time.Duration
	pools   map[coltsfootward.ServiceName]*servicePool
	// serviceOf maps each instance to the service whose pool it belongs to.
	services map[coltsfootward.InstanceID]coltsfootward.ServiceName
}

// servicePool is the state that the node keeps for one service.
type servicePool struct {
	pool    *placement.Pool
	retries retry.Allowance
	// budget replaces retries in a routed deployment.
	budget retry.Budget
	// shedSince is when the current period of shedding at entry began; lastShed
	// is when a request was last shed.
	shedding, shed time.Duration
}

// startupGrace is the time after its start during which a node treats other
// servers that it discovers as warm.
const settling = 5 * time.Second

func newPlacementPart(n *Node) *placementPart {
	return &placementPart{
		node:     n,
		started:  n.now.Monotonic,
		pools:    make(map[coltsfootward.ServiceName]*servicePool),
		services: make(map[coltsfootward.InstanceID]coltsfootward.ServiceName),
	}
}

func (p *placementPart) service(name coltsfootward.ServiceName) *servicePool {
	s, ok := p.pools[name]
	if !ok {
		s = &servicePool{pool: placement.NewPool(p.node.options.Self, p.reachable)}
		p.pools[name] = s
	}
	return s
}

// reachable reports whether the backend servers of a failure domain may be sent
// requests.
func (p *placementPart) reachable(domain coltsfootward.FailureDomain) bool {
	return !p.node.domains.current.Has(domain) && p.node.membership.machine.Reachable(domain)
}

// changed processes a change of a member. A backend server that is new, or
// whose node has restarted, starts cold. A node that has just started discovers
// all members for the first time, which does not make the others cold.
func (p *placementPart) changed(old, news message.News) {
	a, before := news.Announcement, old.Announcement
	id := a.Instance.ID
	now := p.node.now.Monotonic
	takesWork := a.Service != "" && !a.Draining && !a.Leaving && news.State != message.MemberGone && news.State != message.MemberLeft
	if service, known := p.services[id]; known && (!takesWork || service != a.Service) {
		p.service(service).pool.Remove(id)
		delete(p.services, id)
	}
	if !takesWork {
		return
	}
	restarted := before.Instance.ID != "" && a.Instance.Incarnation > before.Instance.Incarnation
	joined := before.Service == "" && (now-p.started > settling || id == p.node.options.Self.ID)
	p.services[id] = a.Service
	pool := p.service(a.Service).pool
	if p.node.options.Routed {
		// The backend server itself reports how much longer it is cold, so a
		// server keeps its share if only its node has restarted.
		pool.SetCold(now, a.Instance, a.Slots, a.Cold)
	} else {
		pool.Set(now, a.Instance, a.Slots, restarted || joined)
	}
	pool.Suspect(id, news.State == message.MemberSuspected)
}

// choose returns the upstream for the call's next attempt.
func (p *placementPart) choose(call *entryCall) (coltsfootward.Instance, bool) {
	return p.service(call.head.Service).pool.Choose(p.node.now.Monotonic, p.node.source, call.tried)
}

// attemptSent records that the call's attempt was sent.
func (p *placementPart) sent(call *entryCall) {
	call.sent = p.node.now.Monotonic
	p.service(call.head.Service).pool.Sent(call.target)
}

// attemptCancelled records that the call's attempt was cancelled; timeout is
// set if the deadline had passed.
func (p *placementPart) left(call *entryCall, timeout bool) {
	outcome := placement.OutcomeLeft
	if timeout {
		outcome = placement.OutcomeFailed
	}
	p.end(call, outcome)
}

func (p *placementPart) end(call *entryCall, outcome placement.Outcome) {
	now := p.node.now.Monotonic
	p.service(call.head.Service).pool.Ended(now, call.target, outcome, now-call.sent)
}

func (p *placementPart) observe(call *entryCall, e AttemptEnded) {
	now := p.node.now.Monotonic
	s := p.service(call.head.Service)
	switch {
	case e.Kind == AttemptAnswered:
		s.retries.Succeeded(now)
		p.end(call, placement.OutcomeAnswered)
	case e.Kind == AttemptRefused && e.Refusal.Execution == coltsfootward.ExecutionNotRun:
		p.end(call, placement.OutcomeRefused)
	default:
		p.end(call, placement.OutcomeFailed)
	}
	if e.Kind == AttemptAnswered || e.Kind == AttemptRefused {
		s.pool.Observe(now, call.target, kindOf(call), e.Load)
		p.report(call, e.Load)
	}
}

// reportPressure passes the load of the services that the request needed, as
// reported with the response, to the admission gates.
func (p *placementPart) report(call *entryCall, load message.Load) {
	if call.head.Route == "" {
		return
	}
	told := []pressure.Reported{{Service: call.head.Service, Excess: load.Excess, Cost: load.Cost, Cold: load.Cold > 0}}
	for _, below := range load.Below {
		told = append(told, pressure.Reported{Service: below.Service, Excess: below.Excess, Cost: below.Cost})
	}
	p.node.gates.Answered(p.node.now.Monotonic, call.head.Route, told)
}

func kindOf(call *entryCall) placement.Kind {
	return placement.Kind{Organisation: call.head.Organisation, Class: classOf(call.head)}
}

// takeRetry reports whether the service's retry allowance permits one more
// attempt, and counts the attempt if so.
func (p *placementPart) mayRetry(service coltsfootward.ServiceName) bool {
	return p.service(service).retries.Take(p.node.now.Monotonic)
}

// countRequest counts the first attempt of a routed request, from which the
// retry budget is derived.
func (p *placementPart) requested(call *entryCall) {
	s := p.service(call.head.Service)
	s.budget.Share = p.node.options.RetryShare
	s.budget.Saved = p.node.options.RetryCapacity / float64(max(p.node.membership.machine.Size(), 1))
	s.budget.Requested(p.node.now.Monotonic, call.head.Repeat)
}

// takeRoutedRetry reports whether the retry budget permits another attempt of a
// routed request, and counts the attempt if so.
func (p *placementPart) mayRepeat(call *entryCall) bool {
	return p.service(call.head.Service).budget.Take(p.node.now.Monotonic, p.retryKind(call))
}

func (p *placementPart) retryKind(call *entryCall) retry.Kind {
	above := p.node.gates.Needs(call.head.Route) > 1
	switch {
	case call.head.Depth == 0 && !above:
		return retry.KindCaller
	case call.head.Depth == 0:
		return retry.KindCallerAbove
	case !above:
		return retry.KindCall
	default:
		return retry.KindCallAbove
	}
}

// seenServer returns a backend server that has seen the call and rejected it.
func (p *placementPart) again(call *entryCall) (coltsfootward.Instance, bool) {
	return p.service(call.head.Service).pool.Instance(call.seenBy[0])
}

// sheds reports whether every upstream of the service sheds the call.
func (p *placementPart) shed(call *entryCall) bool {
	now := p.node.now.Monotonic
	s := p.service(call.head.Service)
	if !s.pool.Sheds(now, kindOf(call), call.head.ShedRank) {
		return false
	}
	if now-s.shed > time.Second {
		s.shedding = now
	}
	s.shed = now
	return true
}

// shedDuration returns how long the node has been shedding the service's
// requests.
func (p *placementPart) shedFor(service coltsfootward.ServiceName) time.Duration {
	return p.node.now.Monotonic - p.service(service).shedding
}

func (p *placementPart) load(id coltsfootward.InstanceID) message.Load {
	return p.service(p.services[id]).pool.Load(id)
}

func (p *placementPart) peerLost(id coltsfootward.InstanceID) {
	if service, ok := p.services[id]; ok {
		p.service(service).pool.Lost(id)
	}
}

// coldAdmitFactor sets the fraction of a service's demand that is admitted
// while servers are cold, as a multiple of the warm fraction of its slots. At
// 2, nothing is withheld as long as half of the slots are warm.
const coldDemand = 2.0

// withholdForCold closes the gates of services whose servers are mostly cold,
// as after a power failure that hits all of them. The requests admitted are
// those that the warm servers have capacity for and the few that cold ones can
// handle; the rest is refused before any work is done for it.
func (p *placementPart) withholdCold() {
	for name, s := range p.pools {
		service, _ := p.node.configuration.current.Service(name)
		s.pool.BoundCold(service.ColdRate > 0)
		withheld, _ := p.withheldByCold(s)
		p.node.gates.Withhold(name, withheld)
	}
}

// coldShortfall returns the fraction of the demand for a service that is
// withheld because its servers are cold, and the time until all of them are
// warm.
func (p *placementPart) withheldByCold(s *servicePool) (part float64, wait time.Duration) {
	warm, wait := s.pool.Warmth(p.node.now.Monotonic)
	if wait == 0 || coldDemand*warm >= 1 {
		return 0, 0
	}
	return 1 - coldDemand*warm, wait
}

// coldRetryAfter returns how much longer a service refuses requests because its
// servers are cold; zero if it does not.
func (p *placementPart) coldReturn(service coltsfootward.ServiceName) time.Duration {
	_, wait := p.withheldByCold(p.service(service))
	return wait
}
