package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/crossing"
	"coltsfootward/core/demand"
	"coltsfootward/core/placement"
	"coltsfootward/core/record"
)

// Crossing names a rule for which requests are sent to another failure domain.
type Crossing string

// The rules.
const (
	// CrossingOccupancy sends a request to another domain if the server chosen in the
	// own domain is nearly full and one in the other domain is less loaded.
	CrossingOccupancy Crossing = "occupancy"
	// CrossingSurplus sends only what exceeds the capacity of the own domain, as far as
	// the other domains have room. It needs the demand of the whole fleet.
	CrossingSurplus Crossing = "surplus"
	// CrossingRoom is CrossingOccupancy, except that nothing crosses for a service while
	// the demand of every other domain exceeds its capacity. It needs the demand of the
	// whole fleet.
	CrossingRoom Crossing = "room"
)

// exchangesDemand reports whether nodes exchange the demand for contended services.
func (o Options) exchangesDemand() bool {
	return o.crossesSurplus() || o.crossesToRoom() || o.sharesFleet()
}

func (o Options) crossesToRoom() bool { return o.Routed && o.Crossing == CrossingRoom }

func (o Options) crossesSurplus() bool { return o.Routed && o.Crossing == CrossingSurplus }

const (
	// planInterval is the time between two updates of the plans.
	planInterval = 100 * time.Millisecond
	// crossingReportInterval is the minimum time between two records about one service.
	crossingReportInterval = time.Second
	// reportedFraction is the fraction of the demand from which crossing is reported.
	reportedFraction = 0.01
	// bytesWeight is the EWMA weight of the newest request in the bytes of a route.
	bytesWeight = 0.1
)

// crossingComponent chooses the failure domain that a request is sent to.
type crossingComponent struct {
	node *Node
	// plans holds a plan for each service with a valid summary.
	plans map[coltsfootward.ServiceName]*crossingPlan
	// rooms holds the services with a valid summary, with CrossingRoom.
	rooms      map[coltsfootward.ServiceName]*crossing.Room
	nextUpdate time.Duration
	// bytes is the mean number of bytes of a request of each route and its response.
	bytes map[coltsfootward.RouteName]float64
	// counts holds what has crossed since the start of the node.
	counts map[crossingPair]*CrossingCount
}

type crossingPlan struct {
	plan       crossing.Plan
	routes     crossing.Routes
	reported   bool
	nextReport time.Duration
}

type crossingPair struct {
	service coltsfootward.ServiceName
	to      coltsfootward.FailureDomain
}

// CrossingCount counts the attempts that were sent to another failure domain, and the
// bytes of their requests and responses as far as they were answered.
type CrossingCount struct {
	Requests map[placement.Reason]int64
	Bytes    int64
}

func newCrossingComponent(n *Node) *crossingComponent {
	return &crossingComponent{
		node:   n,
		plans:  make(map[coltsfootward.ServiceName]*crossingPlan),
		rooms:  make(map[coltsfootward.ServiceName]*crossing.Room),
		bytes:  make(map[coltsfootward.RouteName]float64),
		counts: make(map[crossingPair]*CrossingCount),
	}
}

// requestArrived records the slot time that a caller's request takes at a service.
func (p *crossingComponent) requestArrived(service coltsfootward.ServiceName, route coltsfootward.RouteName, cost float64) {
	if plan, ok := p.plans[service]; ok {
		plan.routes.Record(p.node.now.Monotonic, route, cost)
	}
}

// choose returns the server for the call's next attempt. Callers' requests that do not
// cross by the plan may cross by the node's own observations, also while a plan is in
// force: a plan follows the demand after about two seconds, and a wave of demand leaves
// free slots in another domain in the meantime.
func (p *crossingComponent) choose(call *entryCall) (coltsfootward.Instance, bool) {
	c := placement.Crossing{Margin: p.node.options.CrossingMargin}
	if call.head.Depth == 0 {
		if call.hops == 0 {
			call.crossTo = p.destination(call)
		}
		c.To, c.Local = call.crossTo, call.crossTo == ""
	}
	pool := p.node.placement.poolFor(call.head.Service).pool
	to, reason, ok := pool.ChooseNear(p.node.now.Monotonic, p.node.source, p.node.placement.placementRequest(call), c)
	if reason != "" {
		p.count(call, to.Domain).Requests[reason]++
	}
	return to, ok
}

// destination returns the failure domain that a caller's request is sent to; empty if it
// stays in the node's own domain. The request crosses as a whole, by the service that
// most of its kind cross for, and only if the other services that it needs have room
// there.
func (p *crossingComponent) destination(call *entryCall) coltsfootward.FailureDomain {
	now, route := p.node.now.Monotonic, call.head.Route
	largest, scarce := 0.0, coltsfootward.ServiceName("")
	p.node.gates.ForEachNeed(route, func(service coltsfootward.ServiceName, _ float64) {
		plan, ok := p.plans[service]
		if !ok || plan.plan.Total() == 0 {
			return
		}
		share := plan.routes.Share(now, route, plan.plan.Total(), func(r coltsfootward.RouteName) float64 { return p.bytesPerSecond(r, service) })
		if share > largest || share == largest && service < scarce {
			largest, scarce = share, service
		}
	})
	if largest == 0 || p.node.source.Float64() >= largest {
		return ""
	}
	var others []*crossing.Plan
	p.node.gates.ForEachNeed(route, func(service coltsfootward.ServiceName, _ float64) {
		if plan, planned := p.plans[service]; planned && service != scarce {
			others = append(others, &plan.plan)
		}
	})
	to, _ := p.plans[scarce].plan.Choose(p.node.source.Float64(), others)
	return to
}

// bytesPerSecond returns the bytes of request and response for each second of slot time
// that requests of a route take at a service. Zero means that they are not known.
func (p *crossingComponent) bytesPerSecond(route coltsfootward.RouteName, service coltsfootward.ServiceName) float64 {
	cost := p.node.gates.Cost(route, service)
	if cost <= 0 {
		return 0
	}
	return p.bytes[route] / cost
}

// callDone records the size of a call and its response.
func (p *crossingComponent) callDone(call *entryCall, size int64) {
	if !p.node.options.crossesSurplus() || !call.routed {
		return
	}
	if call.head.Depth == 0 {
		if mean, known := p.bytes[call.head.Route]; known {
			p.bytes[call.head.Route] = mean + bytesWeight*(float64(size)-mean)
		} else {
			p.bytes[call.head.Route] = float64(size)
		}
	}
	target, ok := p.node.membership.instance(call.target)
	if ok && target.Domain != p.node.options.Self.Domain {
		p.count(call, target.Domain).Bytes += size
	}
}

// retain drops the routes for which keep returns false.
func (p *crossingComponent) retain(keep func(coltsfootward.RouteName) bool) {
	maps.DeleteFunc(p.bytes, func(name coltsfootward.RouteName, _ float64) bool { return !keep(name) })
}

func (p *crossingComponent) count(call *entryCall, to coltsfootward.FailureDomain) *CrossingCount {
	pair := crossingPair{service: call.head.Service, to: to}
	c, ok := p.counts[pair]
	if !ok {
		c = &CrossingCount{Requests: make(map[placement.Reason]int64)}
		p.counts[pair] = c
	}
	return c
}

// staysNear reports whether no other domain has room for a service.
func (p *crossingComponent) staysNear(service coltsfootward.ServiceName) bool {
	room, ok := p.rooms[service]
	return ok && room.None()
}

// chooseNear returns the server for the call's next attempt while no other domain has
// room. It leaves the domain only if that has no server that can be chosen.
func (p *crossingComponent) chooseNear(call *entryCall) (coltsfootward.Instance, bool) {
	pool := p.node.placement.poolFor(call.head.Service).pool
	to, reason, ok := pool.ChooseNear(p.node.now.Monotonic, p.node.source, p.node.placement.placementRequest(call), placement.Crossing{})
	if reason != "" {
		p.count(call, to.Domain).Requests[reason]++
	}
	return to, ok
}

// updateRooms judges for each contended service whether another domain has room.
func (p *crossingComponent) updateRooms(now time.Duration) {
	for service := range p.rooms {
		if _, ok := p.node.demand.summary(service); !ok {
			p.reportRoom(service, demand.Summary{}, p.staysNear(service), false)
			delete(p.rooms, service)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(p.node.demand.summaries)) {
		s, ok := p.node.demand.summary(service)
		if !ok {
			continue
		}
		if p.rooms[service] == nil {
			p.rooms[service] = &crossing.Room{}
		}
		var domains []crossing.Domain
		for name, capacity := range p.node.placement.poolFor(service).pool.Capacity(now) {
			domains = append(domains, crossing.Domain{Name: name, Demand: s.From(name).Demand, Capacity: capacity})
		}
		before := p.staysNear(service)
		p.rooms[service].Update(p.node.options.Self.Domain, domains)
		p.reportRoom(service, s, before, p.staysNear(service))
	}
}

// reportRoom reports when requests for a service begin and end to stay in the domain.
func (p *crossingComponent) reportRoom(service coltsfootward.ServiceName, s demand.Summary, before, after bool) {
	switch {
	case after && !before:
		p.node.report(record.CrossingEnded, field("service", string(service)), field("cause", "no other domain has room"),
			field("entries", number(s.Entries)), field("age", rounded(p.node.now.Monotonic-s.At)))
	case before && !after:
		p.node.report(record.CrossingBegan, field("service", string(service)), field("cause", "another domain has room, or the service is not contended"))
	}
}

func (p *crossingComponent) tick() {
	now := p.node.now.Monotonic
	if now < p.nextUpdate {
		return
	}
	p.nextUpdate = now + planInterval
	if p.node.options.crossesToRoom() {
		p.updateRooms(now)
	}
	if !p.node.options.crossesSurplus() {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(p.node.demand.summaries)) {
		if s, ok := p.node.demand.summary(service); ok {
			p.update(now, s)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(p.plans)) {
		if _, ok := p.node.demand.summary(service); !ok {
			if p.plans[service].reported {
				p.node.report(record.CrossingEnded, field("service", string(service)), field("cause", "the service is not contended, or no collector answers"))
			}
			delete(p.plans, service)
		}
	}
}

func (p *crossingComponent) update(now time.Duration, s demand.Summary) {
	plan, ok := p.plans[s.Service]
	if !ok {
		plan = &crossingPlan{}
		p.plans[s.Service] = plan
	}
	capacity := p.node.placement.poolFor(s.Service).pool.Capacity(now)
	for _, d := range s.Domains {
		capacity[d.Name] += 0
	}
	var domains []crossing.Domain
	for _, name := range slices.Sorted(maps.Keys(capacity)) {
		from := s.From(name)
		domains = append(domains, crossing.Domain{
			Name: name, Demand: s.AdmittedFraction() * from.Demand, Admitted: from.Admitted, Capacity: capacity[name],
		})
	}
	plan.plan.Update(now, p.node.options.Self.Domain, domains, p.node.options.CrossingMargin)
	p.reportPlan(now, s, plan)
}

// reportPlan reports when the domain begins and ends to send requests to other domains.
func (p *crossingComponent) reportPlan(now time.Duration, s demand.Summary, plan *crossingPlan) {
	total := plan.plan.Total()
	begins, ends := !plan.reported && total >= reportedFraction, plan.reported && total == 0
	if now < plan.nextReport || !begins && !ends {
		return
	}
	plan.reported, plan.nextReport = begins, now+crossingReportInterval
	own := plan.plan.Own()
	fields := []record.Field{
		field("service", string(s.Service)), field("demand", decimal(own.Demand)), field("slots", decimal(own.Capacity)),
		field("entries", number(s.Entries)), field("age", rounded(now-s.At)),
	}
	if ends {
		p.node.report(record.CrossingEnded, append(fields, field("cause", "the domain has room, or the other domains have none"))...)
		return
	}
	for _, f := range plan.plan.Fractions() {
		fields = append(fields, field("to_"+string(f.To), decimal(f.Value)))
	}
	p.node.report(record.CrossingBegan, fields...)
}

// CrossingStatus describes what crosses from this node's failure domain to another one
// for a service.
type CrossingStatus struct {
	Service coltsfootward.ServiceName
	To      coltsfootward.FailureDomain
	// Fraction is the part of the domain's demand that is to cross now.
	Fraction float64
	// Count holds what this node has sent since its start.
	Count CrossingCount
}

// Crossings returns what crosses to other failure domains, sorted by service and domain.
func (n *Node) Crossings() []CrossingStatus {
	p := n.crossing
	found := make(map[crossingPair]CrossingStatus)
	for pair, count := range p.counts {
		found[pair] = CrossingStatus{Service: pair.service, To: pair.to, Count: CrossingCount{Requests: maps.Clone(count.Requests), Bytes: count.Bytes}}
	}
	for service, plan := range p.plans {
		for _, f := range plan.plan.Fractions() {
			pair := crossingPair{service: service, to: f.To}
			status := found[pair]
			status.Service, status.To, status.Fraction = service, f.To, f.Value
			found[pair] = status
		}
	}
	return slices.SortedFunc(maps.Values(found), func(a, b CrossingStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.To, b.To))
	})
}
