package node

import (
	"fmt"
	"maps"
	"strconv"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/record"
)

// openRouted authenticates a request, chooses its service by the
// configuration's routes, and returns the call to serve. A draining node still
// accepts routed requests: its callers and its local backend server know no
// other node, so it serves until it stops.
func (p *entryComponent) openRouted(e RequestArrived) (*entryCall, *coltsfootward.Refusal) {
	configuration := p.node.configuration.current
	if configuration.Revision() == 0 {
		r := coltsfootward.NewRefusal(coltsfootward.RefusalConfiguration, "no configuration has been read yet").
			WithRetryAfter(p.node.jitter(unconfiguredRetryAfter))
		return nil, &r
	}
	route, organisation, refused := Authorise(configuration, e.Host, e.Path, e.Key)
	if refused != nil {
		return nil, refused
	}
	return p.newRoutedCall(e, route, organisation), nil
}

// unconfiguredRetryAfter is the Retry-After of a node that has just started and
// has no configuration yet. It usually has one within half a second.
const unconfiguredRetryAfter = 500 * time.Millisecond

// Authorise returns the route of a request and the organisation that it is
// charged to, or the refusal of a request without a route or with an invalid
// key. Requests without an organisation, such as those of backend servers, get
// the zero value.
func Authorise(c coltsfootward.Configuration, host, path string, key coltsfootward.KeyDigest) (coltsfootward.Route, coltsfootward.Organisation, *coltsfootward.Refusal) {
	route, ok := c.Route(host, path)
	if !ok {
		return route, coltsfootward.Organisation{}, refusal(coltsfootward.RefusalUnknownRoute, "no route begins the request's host and path")
	}
	if !c.HasOrganisations() {
		return route, coltsfootward.Organisation{}, nil
	}
	known, ok := c.Key(key)
	if !ok && route.Public {
		return route, coltsfootward.Organisation{}, nil
	}
	if !ok || known.Withdrawn {
		return route, coltsfootward.Organisation{}, refusal(coltsfootward.RefusalUnauthenticated, "the key is missing, unknown or withdrawn")
	}
	organisation, _ := c.Organisation(known.Organisation)
	return route, organisation, nil
}

func (p *entryComponent) newRoutedCall(e RequestArrived, route coltsfootward.Route, organisation coltsfootward.Organisation) *entryCall {
	request := e.Request
	if request == "" {
		request = p.node.newRequestID()
	}
	priority, secondary := route.Priority, coltsfootward.PriorityCritical
	if organisation.Name != "" {
		secondary = route.Priority
	}
	if organisation.Priority != "" {
		priority = organisation.Priority
	}
	timeout := p.timeout(e.Timeout, route.Timeout)
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	call := &entryCall{
		id:           e.Call,
		arrivedAt:    p.node.now.Expiry,
		deadline:     p.node.now.Expiry + timeout,
		timeout:      timeout,
		budget:       max(route.Attempts, 1),
		retryAllowed: true,
		tried:        make(map[coltsfootward.InstanceID]bool),
		rateExempt:   organisation.Name == "" || organisation.Unlimited,
		objective:    route.Objective,
		routed:       true,
	}
	call.head = message.Call{
		Request:           request,
		Organisation:      organisation.Name,
		Service:           p.chooseService(route),
		Method:            e.Method,
		Path:              e.Path,
		Priority:          priority,
		SecondaryPriority: secondary,
		ShedRank:          RoutedRank(priority, secondary, organisation.Name, request),
		Unrepeatable:      route.Unrepeatable,
		Route:             route.Name,
		Host:              e.Host,
		Caller:            p.node.options.Service,
	}
	if organisation.Name == "" {
		call.head.Depth = 1
		call.head.Retry = p.node.source.Float64() < p.node.upstream.inFlightRetryRatio()
		p.recordChildStart(call, p.node.attribution.attribute(call, e))
	}
	return call
}

// splitState is the state of the smooth weighted round robin over a route's
// targets.
type splitState struct {
	targets        []coltsfootward.RouteTarget
	currentWeights []int
}

// chooseService returns the service for a route's next request by smooth
// weighted round robin. The choice is deterministic: each node's requests match
// the weights exactly, and therefore so do those of the whole deployment. A
// request that the chosen service has no capacity for is refused, not sent to
// another service.
func (p *entryComponent) chooseService(route coltsfootward.Route) coltsfootward.ServiceName {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	state, ok := p.splitStates[route.Name]
	if !ok || !sameTargets(state.targets, route.Targets) {
		state = &splitState{targets: route.Targets, currentWeights: make([]int, len(route.Targets))}
		p.splitStates[route.Name] = state
	}
	best, sum := -1, 0
	for i, target := range route.Targets {
		sum += target.Weight
		state.currentWeights[i] += target.Weight
		if best < 0 || state.currentWeights[i] > state.currentWeights[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	state.currentWeights[best] -= sum
	return route.Targets[best].Service
}

func sameTargets(a, b []coltsfootward.RouteTarget) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// forgetRoutes drops the state of routes that the configuration no longer has.
func (p *entryComponent) forgetRoutes(c coltsfootward.Configuration) {
	names := make(map[coltsfootward.RouteName]bool)
	for _, route := range c.Routes() {
		names[route.Name] = true
	}
	maps.DeleteFunc(p.splitStates, func(name coltsfootward.RouteName, _ *splitState) bool { return !names[name] })
	p.node.gates.Retain(func(name coltsfootward.RouteName) bool { return names[name] })
	p.node.crossing.retain(func(name coltsfootward.RouteName) bool { return names[name] })
}

// KnownClasses returns the number of request classes whose required services
// are known to the node.
func (n *Node) KnownClasses() int { return n.gates.Classes() }

// refuseAtGate refuses a caller's request if a service that it needs, directly
// or further down the call chain, has no capacity for it. The refusal comes
// before any work is done for the request. Child calls are never refused here,
// because the work already done by the requests above them would be lost.
func (p *entryComponent) refuseAtGate(call *entryCall) bool {
	if call.head.Depth > 0 {
		return false
	}
	p.node.demand.requestArrived(call)
	saturated, admitted := p.node.gates.AdmitFor(call.head.Route, call.head.ShedRank, call.head.Organisation)
	if admitted {
		p.node.demand.requestAdmitted(call)
		return false
	}
	call.refusedAtGate = true
	p.finish(call, coltsfootward.NewRefusal(coltsfootward.RefusalOverloaded, fmt.Sprintf("service %q, which the request needs, %s for requests of this importance", saturated.Service, shortOf(saturated))).
		WithRetryAfter(p.node.placement.coldRetryAfter(saturated.Service)+p.node.jitter(gateRetryAfter(call.objective))), p.gateEvidence(call, saturated)...)
	return true
}

// Bounds for the Retry-After of a caller that is refused at a gate, before
// jitter.
const (
	minGateRetryAfter = 100 * time.Millisecond
	maxGateRetryAfter = time.Second
	// objectiveDivisor is the number by which the latency objective is divided
	// to give the Retry-After.
	objectiveDivisor = 3
)

// gateRetryAfter returns when a caller that was refused at a gate may retry,
// before jitter. A gate always admits a fraction of the demand and adjusts
// within a second or two, so an early retry is as likely to be admitted as a
// late one, and its response may still have its full value.
func gateRetryAfter(objective time.Duration) time.Duration {
	return min(max(objective/objectiveDivisor, minGateRetryAfter), maxGateRetryAfter)
}

// recordChildStart records a routed child call of the local backend server, and the request
// that makes it if that is known.
func (p *entryComponent) recordChildStart(call *entryCall, parent *upstreamCall) {
	now := p.node.now.Monotonic
	if parent == nil {
		p.node.callees.CallStarted(now, call.head.Route)
		return
	}
	p.node.callees.CallAttributed(now, call.head.Route, parent.head.Route)
}

// recordChildEnd records how long a routed child call of the local backend
// server took and whether it failed.
func (p *entryComponent) recordChildEnd(call *entryCall, failed bool) {
	if call.routed && call.head.Depth > 0 {
		p.node.callees.CallEnded(call.head.Route, p.node.now.Expiry-call.arrivedAt, failed)
	}
}

// updateGates adjusts the gates and reports those that have changed.
func (p *entryComponent) updateGates() {
	now := p.node.now.Monotonic
	p.node.placement.closeGates()
	p.node.gates.Tick(now)
	if now < p.nextGateReport {
		return
	}
	p.nextGateReport = now + gateReportInterval
	p.node.shares.report()
	for _, m := range p.node.gates.Moved(now) {
		p.node.report(record.GateMoved, field("service", string(m.Service)), field("resource", resourceName(m.Resource)), field("excess", decimal(m.Excess)),
			field("age", m.Age.String()), field("passed", decimal(m.Admitted)))
	}
}

// gateReportInterval is the time between two checks for changed gates, so each
// gate is reported at most twice a second.
const gateReportInterval = 500 * time.Millisecond

func decimal(value float64) string { return strconv.FormatFloat(value, 'f', 2, 64) }
