package node

import (
	"maps"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/demand"
	"coltsfootward/core/message"
	"coltsfootward/core/pressure"
	"coltsfootward/core/record"
)

const (
	// contendedOccupancy is the occupancy of a server from which its service counts as
	// contended.
	contendedOccupancy = 0.7
	// refusingExcess is the fraction to refuse from which a service counts as contended.
	// The fraction approaches zero after an overload, but does not reach it for minutes.
	refusingExcess = 0.01
	// maxInvitations is the number of entry nodes that are told of a contended service
	// every demand.ReportInterval, and invitedAfterCall is how long after a call an
	// entry node counts as a user of the server.
	maxInvitations   = 16
	invitedAfterCall = 2 * time.Second
	// maxUsers bounds the entry nodes whose calls are remembered for invitations.
	maxUsers = 1024
	// collectorsLifetime is how long a list of collectors is used before it is computed
	// again from the servers of the service.
	collectorsLifetime = time.Second
)

// demandComponent exchanges the demand for contended services with the other nodes. An
// entry node reports its own demand to a collector, and a node beside a server collects
// reports for its service.
type demandComponent struct {
	node  *Node
	meter demand.Meter
	// reporters and summaries hold the contended services.
	reporters map[coltsfootward.ServiceName]*demand.Reporter
	summaries map[coltsfootward.ServiceName]demand.Summary
	// lists caches the collectors of each service.
	lists map[coltsfootward.ServiceName]collectorList
	// collector sums up the demand for the service collected.
	collector demand.Collector
	collected coltsfootward.ServiceName
	// users holds when each entry node sent its last call to the local backend server.
	users     map[coltsfootward.InstanceID]time.Duration
	nextPrune time.Duration
}

type collectorList struct {
	all, nearest []coltsfootward.Instance
	expires      time.Duration
}

func newDemandComponent(n *Node) *demandComponent {
	return &demandComponent{
		node:      n,
		reporters: make(map[coltsfootward.ServiceName]*demand.Reporter),
		summaries: make(map[coltsfootward.ServiceName]demand.Summary),
		lists:     make(map[coltsfootward.ServiceName]collectorList),
		users:     make(map[coltsfootward.InstanceID]time.Duration),
	}
}

// active reports whether a setting needs the demand of the fleet.
func (p *demandComponent) active() bool { return p.node.options.exchangesDemand() }

// summary returns the demand of the fleet for a service. It returns false if the service
// is not contended, or if no collector has answered of late.
func (p *demandComponent) summary(service coltsfootward.ServiceName) (demand.Summary, bool) {
	s, ok := p.summaries[service]
	return s, ok && s.Valid(p.node.now.Monotonic)
}

// requestArrived counts a caller's request before any decision about it.
func (p *demandComponent) requestArrived(call *entryCall) {
	if !p.active() {
		return
	}
	band := pressure.Band(call.head.ShedRank)
	p.node.gates.ForEachNeed(call.head.Route, func(service coltsfootward.ServiceName, cost float64) {
		p.meter.Record(p.node.now.Monotonic, service, call.head.Organisation, band, cost)
		p.node.crossing.requestArrived(service, call.head.Route, cost)
	})
}

// requestAdmitted records that a caller's request was not refused at a gate.
func (p *demandComponent) requestAdmitted(call *entryCall) {
	if !p.active() {
		return
	}
	p.node.gates.ForEachNeed(call.head.Route, func(service coltsfootward.ServiceName, cost float64) {
		p.meter.Admit(p.node.now.Monotonic, service, cost)
	})
}

// callArrived records that an entry node uses the local backend server.
func (p *demandComponent) callArrived(from coltsfootward.InstanceID) {
	if _, known := p.users[from]; p.active() && !p.collector.Idle() && (known || len(p.users) < maxUsers) {
		p.users[from] = p.node.now.Monotonic
	}
}

// loadReported looks for signs of contention in a load report.
func (p *demandComponent) loadReported(service coltsfootward.ServiceName, load message.Load) {
	if !p.active() {
		return
	}
	if load.Excess > refusingExcess || load.Limit > 0 && float64(load.Running+load.Queued) >= contendedOccupancy*float64(load.Limit) {
		p.seen(service)
	}
	for _, below := range load.Downstream {
		if below.Resource == message.ResourceSlots && below.Excess > refusingExcess {
			p.seen(below.Service)
		}
	}
}

// limitNamed records that a server of the service names a limit.
func (p *demandComponent) limitNamed(service coltsfootward.ServiceName) {
	if p.active() {
		p.seen(service)
	}
}

func (p *demandComponent) seen(service coltsfootward.ServiceName) {
	p.reporter(service).Seen(p.node.now.Monotonic)
}

func (p *demandComponent) reporter(service coltsfootward.ServiceName) *demand.Reporter {
	r, ok := p.reporters[service]
	if !ok {
		r = &demand.Reporter{}
		p.reporters[service] = r
	}
	return r
}

// collectors returns the collectors of a service.
func (p *demandComponent) collectors(service coltsfootward.ServiceName) collectorList {
	now := p.node.now.Monotonic
	list, ok := p.lists[service]
	if ok && now < list.expires {
		return list
	}
	var servers []coltsfootward.Instance
	if s, known := p.node.placement.pools[service]; known {
		servers = s.pool.Instances()
	}
	all := demand.Collectors(service, servers)
	list = collectorList{all: all, nearest: demand.Nearest(p.node.options.Self, all), expires: now + collectorsLifetime}
	p.lists[service] = list
	return list
}

func (p *demandComponent) tick() {
	if !p.active() {
		return
	}
	now := p.node.now.Monotonic
	for _, service := range slices.Sorted(maps.Keys(p.reporters)) {
		if p.reporters[service].Due(now) {
			p.report(service)
		}
	}
	p.exchange()
	if now >= p.nextPrune {
		p.nextPrune = now + time.Second
		p.prune(now)
	}
}

func (p *demandComponent) prune(now time.Duration) {
	maps.DeleteFunc(p.reporters, func(_ coltsfootward.ServiceName, r *demand.Reporter) bool { return !r.Contended(now) })
	maps.DeleteFunc(p.summaries, func(_ coltsfootward.ServiceName, s demand.Summary) bool { return !s.Valid(now) })
	maps.DeleteFunc(p.lists, func(_ coltsfootward.ServiceName, l collectorList) bool { return now >= l.expires })
	maps.DeleteFunc(p.users, func(_ coltsfootward.InstanceID, at time.Duration) bool { return now-at >= invitedAfterCall })
	p.meter.Prune(now)
}

// report sends the demand for a service to a collector.
func (p *demandComponent) report(service coltsfootward.ServiceName) {
	now := p.node.now.Monotonic
	var reachable []coltsfootward.Instance
	for _, c := range p.collectors(service).nearest {
		if p.node.membership.machine.Reachable(c.Domain) {
			reachable = append(reachable, c)
		}
	}
	reporter := p.reporters[service]
	to, skipped, ok := reporter.Choose(now, reachable)
	if skipped != "" {
		p.node.report(record.CollectorSkipped, field("service", string(service)), field("instance", string(skipped)), field("next", string(to.ID)))
	}
	if !ok {
		return
	}
	r := p.meter.Report(now, service)
	r.Contended = reporter.SeenContended(now)
	if to.ID == p.node.options.Self.ID {
		p.reportReceived(to.ID, r)
		return
	}
	p.node.act(Send{To: to, Message: &message.DemandReport{Report: r}})
}

// collects reports whether this node may collect the demand for a service. It accepts
// reports even if it would choose other collectors itself: the sender may know other
// servers.
func (p *demandComponent) collects(service coltsfootward.ServiceName) bool {
	if !p.active() || service == "" || service != p.node.membership.local.Service {
		return false
	}
	if p.collected != service {
		p.collector, p.collected = demand.Collector{}, service
	}
	return true
}

func (p *demandComponent) reportReceived(from coltsfootward.InstanceID, r demand.Report) {
	instance, ok := p.node.membership.instance(from)
	now := p.node.now.Monotonic
	if !ok || !p.collects(r.Service) || !p.collector.Report(now, from, instance.Domain, r) {
		return
	}
	p.sendSummary(instance, p.collector.Summary(now, r.Service))
}

func (p *demandComponent) sendSummary(to coltsfootward.Instance, s demand.Summary) {
	if to.ID == p.node.options.Self.ID {
		p.summaryReceived(to.ID, s)
		return
	}
	p.node.act(Send{To: to, Message: &message.DemandSummary{Summary: s}})
}

func (p *demandComponent) summaryReceived(from coltsfootward.InstanceID, s demand.Summary) {
	if _, known := p.node.placement.pools[s.Service]; !p.active() || !known {
		return
	}
	s = s.Received(p.node.now.Monotonic)
	p.reporter(s.Service).Answered(s.At, from, s)
	p.summaries[s.Service] = s
}

func (p *demandComponent) exchangeReceived(from coltsfootward.InstanceID, sum demand.Summary) {
	if p.collects(sum.Service) {
		p.collector.Exchange(p.node.now.Monotonic, from, sum)
	}
}

// exchange sends the collected demand to the other collectors, and tells entry nodes of
// the contended service that do not report.
func (p *demandComponent) exchange() {
	if p.collector.Idle() || !p.collects(p.node.membership.local.Service) {
		return
	}
	now, self := p.node.now.Monotonic, p.node.options.Self.ID
	others := slices.DeleteFunc(slices.Clone(p.collectors(p.collected).all), func(i coltsfootward.Instance) bool { return i.ID == self })
	due, receivers := p.collector.ExchangeDue(now, others)
	if !due {
		return
	}
	if len(receivers) > 0 {
		sum := p.collector.Sum(now, p.collected)
		for _, to := range receivers {
			p.node.act(Send{To: to, Message: &message.DemandExchange{Sum: sum}})
		}
	}
	p.invite(now)
}

// invite sends the summary to entry nodes that use the local backend server and do not
// report. They see no contention themselves, but the demand that enters at them counts.
func (p *demandComponent) invite(now time.Duration) {
	s := p.collector.Summary(now, p.collected)
	if !s.Contended {
		return
	}
	sent := 0
	for _, id := range slices.Sorted(maps.Keys(p.users)) {
		if p.collector.Reports(id) || now-p.users[id] >= invitedAfterCall {
			continue
		}
		if instance, ok := p.node.membership.instance(id); ok {
			p.sendSummary(instance, s)
			// The node is invited again after its next call.
			delete(p.users, id)
			sent++
		}
		if sent >= maxInvitations {
			return
		}
	}
}

// Demand returns the demand of the fleet for a service, or false if the service is not
// contended or no collector has answered of late.
func (n *Node) Demand(service coltsfootward.ServiceName) (demand.Summary, bool) {
	return n.demand.summary(service)
}

// DemandStatus is the demand of the fleet for a contended service.
type DemandStatus struct {
	Summary demand.Summary
	// Age is the time since the summary arrived.
	Age time.Duration
}

// Demands returns the demand of the fleet for each contended service, sorted by service.
func (n *Node) Demands() []DemandStatus {
	var all []DemandStatus
	for _, service := range slices.Sorted(maps.Keys(n.demand.summaries)) {
		if s, ok := n.demand.summary(service); ok {
			all = append(all, DemandStatus{Summary: s, Age: n.now.Monotonic - s.At})
		}
	}
	return all
}
