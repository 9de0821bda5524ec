package node

import (
	"time"

	"coltsfootward/core/message"
	"coltsfootward/core/record"
)

// observeLoad records the backend server's load since the last observation. It
// is called before each change of the load, so the interval between two
// observations does not matter.
func (p *upstreamComponent) observeLoad() {
	p.node.meter.Observe(p.node.now.Monotonic, p.admission.Running(), p.admission.Backlog())
}

func (p *upstreamComponent) reportOverload() {
	overloaded := p.admission.Overloaded(p.node.now.Expiry)
	if overloaded == p.overloaded {
		return
	}
	p.overloaded = overloaded
	code := record.OverloadEnded
	if overloaded {
		code = record.OverloadBegan
	}
	p.node.report(code, field("service", string(p.node.membership.local.Service)), field("queued", number(p.admission.Queued())))
}

// reportLimit reports changes of the concurrency limit, at most once a second.
// The first limit is not reported, because it is the one that the backend
// server announced and that has been reported as such.
func (p *upstreamComponent) reportLimit() {
	limit, now := p.admission.Limit(), p.node.now.Monotonic
	if limit == p.reportedLimit || now < p.nextLimitReport {
		return
	}
	first := p.reportedLimit == 0
	p.reportedLimit = limit
	if first {
		return
	}
	p.nextLimitReport = now + time.Second
	p.node.report(record.LimitChanged, field("limit", number(limit)), field("slots", number(p.node.membership.local.Slots)))
}

// load returns the load report that is sent with the response to a request with
// the given head.
func (p *upstreamComponent) load(head message.Call) message.Load {
	if head.Route != "" {
		return p.routedLoad(head)
	}
	return message.Load{
		Running:   p.admission.Running(),
		Queued:    p.admission.Queued(),
		Limit:     p.admission.Limit(),
		ShedLevel: p.admission.Level(head.Organisation, classOf(head)),
	}
}

// routedLoad returns the load report for a routed request: the load of this
// upstream, and the fraction of the demand that entry nodes are to refuse, for
// this service and for the services that such requests need further down the
// call chain.
func (p *upstreamComponent) routedLoad(head message.Call) message.Load {
	load := message.Load{
		Running: p.admission.Running(),
		Queued:  p.admission.Queued(),
		Limit:   p.admission.Limit(),
		Cold:    p.coldRemaining(),
		Excess:  p.node.throttle.Excess(),
		Cost:    p.admission.Estimate(classOf(head)).Seconds(),
	}
	for _, r := range p.node.gates.ReportsFor(p.node.now.Monotonic, p.node.callees.Of(p.node.now.Monotonic, head.Route)) {
		load.Downstream = append(load.Downstream, message.Pressure{Service: r.Service, Excess: r.Excess, Cost: r.Cost, Resource: r.Resource})
	}
	load.Downstream = append(load.Downstream, p.node.grants.pressure()...)
	return p.stated.addTo(load)
}

// Load returns the load of the node's own upstream, without a shed level.
func (n *Node) Load() message.Load {
	return n.upstream.load(message.Call{})
}

// LoadFor returns the load report that is sent with the response to a request:
// the upstream's load and the shed level for such requests.
func (n *Node) LoadFor(head message.Call) message.Load {
	return n.upstream.load(head)
}
