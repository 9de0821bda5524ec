package node

import (
	"maps"
	"math"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/demand"
	"coltsfootward/core/fairshare"
	"coltsfootward/core/message"
	"coltsfootward/core/pressure"
	"coltsfootward/core/record"
)

// ShareScope is whose demand an entry node considers when it refuses requests.
type ShareScope string

// The scopes.
const (
	// ShareScopeEntry considers the demand at the entry node itself.
	ShareScopeEntry ShareScope = "entry"
	// ShareScopeFleet considers the demand of the whole fleet, and divides what does
	// not fit between organisations.
	ShareScopeFleet ShareScope = "fleet"
)

const (
	// fleetLimitUse is the part of the limits that the admitted demand is to fill. It is
	// above 1 because entry nodes send the most urgent requests first, so that only less
	// important ones find no room. With four servers that name 15 a second each, 0.85 to
	// 0.87 of the limits were used at 0.95, and 0.94 to 0.98 are.
	fleetLimitUse = 1.15
	// fittingUrgency is the urgency, in placement.Request, of callers' requests that are
	// admitted whole. They may exceed the node's share of a limit for longer than others;
	// the server's node, which holds the limit, serves them before less important ones.
	fittingUrgency = 3.0
	// importantHeadroom is by how much a node's share of a limit exceeds its demand for
	// requests that are admitted whole. Chance would else leave some of them without
	// room at a limit of a few requests a second: 0.92 to 0.98 of them were served
	// without it and fittingUrgency, and 0.98 to 1.00 are with both.
	importantHeadroom = 0.25
)

// sharesComponent connects the demand of the fleet with the gates, the limits that
// servers name and the queue of the local backend server.
type sharesComponent struct {
	node *Node
	// divided holds the services whose division was in force at the last report.
	divided map[coltsfootward.ServiceName]bool
}

func newSharesComponent(n *Node) *sharesComponent {
	n.meter.SetQueueAllowed(n.options.sharesFleet())
	return &sharesComponent{
		node:    n,
		divided: make(map[coltsfootward.ServiceName]bool),
	}
}

func (p *sharesComponent) fleet() bool { return p.node.options.sharesFleet() }

// sharesFleet reports whether the demand of the whole fleet decides what is refused.
func (o Options) sharesFleet() bool { return o.Routed && o.ShareScope == ShareScopeFleet }

// closeGates passes the demand of the fleet for a service to its gate.
func (p *sharesComponent) closeGates(service coltsfootward.ServiceName) {
	if !p.fleet() {
		return
	}
	if s, ok := p.node.demand.summary(service); ok {
		p.node.gates.SetDemand(p.node.now.Monotonic, s, p.node.options.ShareWeights)
	}
}

// limitShortfall returns the fraction of the fleet's demand for a service that does not
// fit the limits that all its servers name. ok is false if it is not known.
func (p *sharesComponent) limitShortfall(name coltsfootward.ServiceName, s *servicePool) (shortfall float64, ok bool) {
	now := p.node.now.Monotonic
	summary, known := p.node.demand.summary(name)
	if !known || !p.fleet() {
		return 0, false
	}
	limit, limited := s.pool.Limit(now)
	if !limited || s.callCost <= 0 {
		return 0, false
	}
	perSecond := summary.Total.Total() / s.callCost
	return max(1-fleetLimitUse*limit/max(perSecond, limit), 0), true
}

// fits reports whether all requests of the call's importance are admitted while less
// important ones are not.
func (p *sharesComponent) fits(call *entryCall) bool {
	d, ok := p.node.gates.Division(call.head.Service)
	return ok && d.Contended() < demand.Bands && pressure.Band(call.head.ShedRank) < d.Contended()
}

// account returns the organisation that a call counts for in the queue of the local
// backend server, and its weight.
func (p *sharesComponent) account(head message.Call) (coltsfootward.OrganisationName, float64) {
	if !p.fleet() {
		organisation, _ := p.node.configuration.current.Organisation(head.Organisation)
		return head.Organisation, organisation.Rate.PerSecond
	}
	name := head.Organisation
	if head.Account != "" {
		name = head.Account
	}
	return name, p.node.options.ShareWeights.Of(name)
}

// configurationChanged reports weights of organisations that the configuration does not
// hold. They have no effect until it does.
func (p *sharesComponent) configurationChanged() {
	for _, name := range p.node.options.ShareWeights.Names() {
		if _, ok := p.node.configuration.current.Organisation(name); !ok {
			p.node.report(record.WeightUnknown, field("organisation", string(name)),
				field("revision", p.node.configuration.current.Revision().String()))
		}
	}
}

// report reports the services whose capacity began or ceased to be divided between
// organisations.
func (p *sharesComponent) report() {
	for _, name := range slices.Sorted(maps.Keys(p.node.placement.pools)) {
		d, ok := p.node.gates.Division(name)
		divided := ok && d.Contended() < demand.Bands
		if divided == p.divided[name] {
			continue
		}
		if !divided {
			delete(p.divided, name)
			p.node.report(record.SharesEnded, field("service", string(name)))
			continue
		}
		p.divided[name] = true
		s, _ := p.node.demand.summary(name)
		p.node.report(record.SharesBegan, field("service", string(name)), field("band", number(d.Contended())),
			field("level", decimal(levelOf(d))), field("demand", decimal(s.Total.Total())),
			field("age", rounded(p.node.now.Monotonic-s.At)), field("entries", number(s.Entries)))
	}
}

// evidence returns the log fields that show the share of a refused call's organisation.
func (p *sharesComponent) evidence(call *entryCall, service coltsfootward.ServiceName) []record.Field {
	d, ok := p.node.gates.Division(service)
	if !ok {
		return nil
	}
	s, _ := p.node.demand.summary(service)
	fields := []record.Field{
		field("band", number(queuePriority(call.head))), field("contended_band", number(d.Contended())),
		field("summary_age", rounded(p.node.now.Monotonic-s.At)),
	}
	divided, ok := d.Band(pressure.Band(call.head.ShedRank))
	if !ok {
		return fields
	}
	share, named := divided.Share(call.head.Organisation)
	account := "others"
	if named {
		account = string(share.Organisation)
	}
	return append(fields, field("account", account), field("weight", decimal(p.node.options.ShareWeights.Of(call.head.Organisation))),
		field("asked", decimal(share.Demand)), field("share", decimal(share.Admitted)))
}

// ServiceShares is how the capacity of a service is divided between organisations.
type ServiceShares struct {
	Service coltsfootward.ServiceName
	// Band is an importance band that is admitted in part. Shares holds the organisations
	// that compete in it, most demand first, and Others the remaining ones together.
	Band   int
	Shares []fairshare.Share
	Others fairshare.Share
	// Age is the age of the summary of the fleet's demand.
	Age time.Duration
}

// levelOf returns the level of the most important band that is admitted in part.
func levelOf(d fairshare.Division) float64 {
	divided, ok := d.Band(d.Contended())
	if !ok {
		return math.Inf(1)
	}
	return divided.Level()
}

// DividedServices returns how the capacity is divided of each service for which it is
// divided, sorted by service and band.
func (n *Node) DividedServices() []ServiceShares {
	var all []ServiceShares
	for _, service := range slices.Sorted(maps.Keys(n.placement.pools)) {
		d, ok := n.gates.Division(service)
		if !ok || d.Contended() >= demand.Bands {
			continue
		}
		s, _ := n.demand.summary(service)
		for band := range demand.Bands {
			if divided, ok := d.Band(band); ok {
				all = append(all, ServiceShares{
					Service: service, Band: band, Shares: divided.Shares(), Others: divided.Others(),
					Age: n.now.Monotonic - s.At,
				})
			}
		}
	}
	return all
}
