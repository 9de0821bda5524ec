package node

import (
	"time"

	"coltsfootward/core/message"
	"coltsfootward/core/record"
)

// measure takes in how full the backend server has been since the last look. It comes
// before each change of that, so the time between two looks does not matter.
func (p *upstreamPart) measure() {
	p.node.meter.Observe(p.node.now.Monotonic, p.admission.Running(), p.admission.Backlog())
}

func (p *upstreamPart) reportOverload() {
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

// reportLimit reports the limit's moves, at most once a second. The first limit
// is what the backend server announced and has been reported as such.
func (p *upstreamPart) reportLimit() {
	limit, now := p.admission.Limit(), p.node.now.Monotonic
	if limit == p.reportedLimit || now < p.nextReport {
		return
	}
	first := p.reportedLimit == 0
	p.reportedLimit = limit
	if first {
		return
	}
	p.nextReport = now + time.Second
	p.node.report(record.LimitChanged, field("limit", number(limit)), field("slots", number(p.node.membership.local.Slots)))
}

// load is what goes back with every answer to such a request.
func (p *upstreamPart) load(head message.Call) message.Load {
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

// routedLoad tells how full this upstream is, and what entry nodes are to refuse
// for it and for the services that such requests need further down.
func (p *upstreamPart) routedLoad(head message.Call) message.Load {
	load := message.Load{
		Running: p.admission.Running(),
		Queued:  p.admission.Queued(),
		Limit:   p.admission.Limit(),
		Cold:    p.coldLeft(),
		Excess:  p.node.throttle.Excess(),
		Cost:    p.admission.Estimate(classOf(head)).Seconds(),
	}
	for _, r := range p.node.gates.Below(p.node.now.Monotonic, p.node.callees.Of(p.node.now.Monotonic, head.Route)) {
		load.Below = append(load.Below, message.Pressure{Service: r.Service, Excess: r.Excess, Cost: r.Cost})
	}
	return load
}

// Load returns the state of the node's own upstream, without a shed level.
func (n *Node) Load() message.Load {
	return n.upstream.load(message.Call{})
}

// LoadFor returns what goes back with the answer to a request: the upstream's
// state and the shed level for such requests.
func (n *Node) LoadFor(head message.Call) message.Load {
	return n.upstream.load(head)
}
