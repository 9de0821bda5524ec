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

// openRouted checks who calls and what by the configuration's routes, and
// returns the call to serve. A node that leaves serves on: its callers and the
// backend server beside it know no other node, and go on until it is gone.
func (p *entryPart) openRouted(e RequestArrived) (*entryCall, *coltsfootward.Refusal) {
	configuration := p.node.configuration.current
	if configuration.Revision() == 0 {
		r := coltsfootward.NewRefusal(coltsfootward.RefusalConfiguration, "no configuration has been read yet").
			WithRetryAfter(p.node.spread(configurationReturn))
		return nil, &r
	}
	route, ok := configuration.Route(e.Host, e.Path)
	if !ok {
		return nil, refusal(coltsfootward.RefusalUnknownRoute, "no route begins the request's host and path")
	}
	organisation, refused := p.organisation(configuration, route, e.Key)
	if refused != nil {
		return nil, refused
	}
	return p.buildRouted(e, route, organisation), nil
}

// configurationReturn is when a caller may come back to a node that has just started:
// it mostly has its configuration within half a second.
const configurationReturn = 500 * time.Millisecond

// organisation returns whom a request is for; the zero value if nobody, as for
// the calls of backend servers.
func (p *entryPart) organisation(c coltsfootward.Configuration, route coltsfootward.Route, digest coltsfootward.KeyDigest) (coltsfootward.Organisation, *coltsfootward.Refusal) {
	if !c.HasOrganisations() {
		return coltsfootward.Organisation{}, nil
	}
	key, ok := c.Key(digest)
	if !ok && route.Public {
		return coltsfootward.Organisation{}, nil
	}
	if !ok || key.Withdrawn {
		return coltsfootward.Organisation{}, refusal(coltsfootward.RefusalUnauthenticated, "the key is missing, unknown or withdrawn")
	}
	organisation, _ := c.Organisation(key.Organisation)
	return organisation, nil
}

func (p *entryPart) buildRouted(e RequestArrived, route coltsfootward.Route, organisation coltsfootward.Organisation) *entryCall {
	request := e.Request
	if request == "" {
		request = p.node.newRequestID()
	}
	priority, second := route.Priority, coltsfootward.PriorityCritical
	if organisation.Name != "" {
		second = route.Priority
	}
	if organisation.Priority != "" {
		priority = organisation.Priority
	}
	timeout := p.timeout(e.Timeout, route.Timeout)
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	call := &entryCall{
		id:          e.Call,
		arrived:     p.node.now.Expiry,
		deadline:    p.node.now.Expiry + timeout,
		timeout:     timeout,
		budget:      max(route.Attempts, 1),
		mayRetry:    true,
		tried:       make(map[coltsfootward.InstanceID]bool),
		unmetered:   organisation.Name == "" || organisation.Unlimited,
		objective:   route.Objective,
		ownAttempts: true,
	}
	call.head = message.Call{
		Request:      request,
		Organisation: organisation.Name,
		Service:      p.split(route),
		Method:       e.Method,
		Path:         e.Path,
		Priority:     priority,
		Second:       second,
		ShedRank:     RoutedRank(priority, second, organisation.Name, request),
		Unrepeatable: route.Unrepeatable,
		Route:        route.Name,
		Host:         e.Host,
		Caller:       p.node.options.Service,
	}
	if organisation.Name == "" {
		call.head.Depth = 1
		call.head.Repeat = p.node.source.Float64() < p.node.upstream.repeatedPart()
		p.node.callees.Called(p.node.now.Monotonic, route.Name)
	}
	return call
}

// splitState is how far each target of a route is behind its share.
type splitState struct {
	targets []coltsfootward.RouteTarget
	behind  []int
}

// split chooses the service of a route's next request by smooth weighted round
// robin: each node's requests keep the weights exactly, without chance, so the
// fleet's do too. What a service has no room for is refused and not moved.
func (p *entryPart) split(route coltsfootward.Route) coltsfootward.ServiceName {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	state, ok := p.splits[route.Name]
	if !ok || !sameTargets(state.targets, route.Targets) {
		state = &splitState{targets: route.Targets, behind: make([]int, len(route.Targets))}
		p.splits[route.Name] = state
	}
	best, sum := -1, 0
	for i, target := range route.Targets {
		sum += target.Weight
		state.behind[i] += target.Weight
		if best < 0 || state.behind[i] > state.behind[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	state.behind[best] -= sum
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

// forgetRoutes drops what is known of routes that a configuration no longer has.
func (p *entryPart) forgetRoutes(c coltsfootward.Configuration) {
	names := make(map[coltsfootward.RouteName]bool)
	for _, route := range c.Routes() {
		names[route.Name] = true
	}
	maps.DeleteFunc(p.splits, func(name coltsfootward.RouteName, _ *splitState) bool { return !names[name] })
	p.node.gates.Forget(func(name coltsfootward.RouteName) bool { return names[name] })
}

// KnownClasses returns how many classes of requests the node knows the needs of.
func (n *Node) KnownClasses() int { return n.gates.Classes() }

// refusedAtGate refuses a caller's request that a service which it needs, here
// or further down the chain, has no room for, before any work is done for it. A
// further call of a request that has begun is never refused so: the work above it
// would be lost.
func (p *entryPart) refusedAtGate(call *entryCall) bool {
	if call.head.Depth > 0 {
		return false
	}
	full, passed := p.node.gates.Admit(call.head.Route, call.head.ShedRank)
	if passed {
		return false
	}
	p.finish(call, coltsfootward.NewRefusal(coltsfootward.RefusalOverloaded, fmt.Sprintf("service %q, which the request needs, has no room for requests of this importance", full)).
		WithRetryAfter(p.node.placement.coldReturn(full)+p.node.spread(returnAfter(call.objective))), p.gateEvidence(call, full)...)
	return true
}

// The bounds of what a caller refused at a gate is told.
const (
	earliestReturn = 100 * time.Millisecond
	latestReturn   = time.Second
	// returnPart is the part of the objective after which it may come back.
	returnPart = 3
)

// returnAfter says when a caller refused at a gate may come back, before
// spreading. A gate lets a part of the demand pass at any time and moves within a
// second or two, so the next try is as likely to pass soon as late; soon, its
// answer may still have its full worth.
func returnAfter(objective time.Duration) time.Duration {
	return min(max(objective/returnPart, earliestReturn), latestReturn)
}

// callEnded notes how a further call of the local backend server ended.
func (p *entryPart) callEnded(call *entryCall, failed bool) {
	if call.ownAttempts && call.head.Depth > 0 {
		p.node.callees.CallEnded(call.head.Route, p.node.now.Expiry-call.arrived, failed)
	}
}

// moveGates sets the gates and tells of those that have moved.
func (p *entryPart) moveGates() {
	now := p.node.now.Monotonic
	p.node.placement.withholdCold()
	p.node.gates.Tick(now)
	if now < p.nextMoved {
		return
	}
	p.nextMoved = now + movedInterval
	for _, m := range p.node.gates.Moved(now) {
		p.node.report(record.GateMoved, field("service", string(m.Service)), field("excess", decimal(m.Excess)),
			field("age", m.Age.String()), field("passed", decimal(m.Passed)))
	}
}

// movedInterval is the time between two looks at which gates have moved, so that
// each is told of at most twice a second.
const movedInterval = 500 * time.Millisecond

func decimal(value float64) string { return strconv.FormatFloat(value, 'f', 2, 64) }
