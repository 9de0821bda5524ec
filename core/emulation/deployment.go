package emulation

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/crossing"
	"coltsfootward/core/node"
)

// Service describes a service and the actual properties of its backend servers.
type Service struct {
	Name coltsfootward.ServiceName
	// Upstreams is the number of backend servers, distributed over the domains.
	Upstreams int
	// Slots is how many requests each backend server serves at once.
	Slots int
	// Speeds are assigned to the backend servers in rotation; 1 is the normal
	// speed.
	Speeds []float64
}

// ChildCalls are the calls that each request of a class makes to further
// services.
type ChildCalls struct {
	Class coltsfootward.RouteName
	Count int
	// Parallel makes all calls at once, otherwise one after the other.
	Parallel bool
}

// Class is a kind of request with a route of its own.
type Class struct {
	Name    coltsfootward.RouteName
	Service coltsfootward.ServiceName
	// PerSecond is the rate of callers' requests without a disturbance; with
	// zero, only backend servers send requests of this class.
	PerSecond float64
	// Work is the mean service time of a request at normal speed, without its
	// child calls.
	Work time.Duration
	// Objective is the latency up to which a response has its full worth,
	// Deadline the total time that a caller waits, Timeout the timeout of the
	// route.
	Objective, Deadline, Timeout time.Duration
	// Worth is the value of a response within the objective, LateWorth that of
	// a later one.
	Worth, LateWorth float64
	Priority         coltsfootward.Priority
	Unrepeatable     bool
	ChildCalls       ChildCalls
	// Bytes is the size of a request and its response.
	Bytes int64
}

// Organisation is a part of the callers.
type Organisation struct {
	Name coltsfootward.OrganisationName
	// Demand is the organisation's part of all callers' requests, relative to others.
	Demand float64
	// Entries are the instances at which its requests enter; all if it is empty.
	Entries []coltsfootward.InstanceID
}

// Deployment is a set of services, the classes of requests that they serve, and
// the failure domains that they run in.
type Deployment struct {
	Name     string
	Domains  []coltsfootward.FailureDomain
	Services []Service
	Classes  []Class
	// RetryShare and RetryBurst limit the retries of each service.
	RetryShare, RetryBurst float64
	// CallsExpireWithParent makes child calls expire at their parent's deadline, or at
	// the Deadline of their class after the start of their parent if that is earlier,
	// instead of at the Deadline of their class after they are made.
	CallsExpireWithParent bool
	// Attribution is the node.Options.Attribution of all nodes.
	Attribution string
	// RetryGrants lets the nodes of backend servers grant the retries.
	RetryGrants bool
	// Organisations are the callers; without any there is one, whose requests enter at
	// all instances.
	Organisations []Organisation
	// ShareScope is the setting shares.scope.
	ShareScope node.ShareScope
	// Crossing and CrossingMargin decide which requests are sent to another domain.
	Crossing       node.Crossing
	CrossingMargin float64
}

// WithAttribution returns a copy whose child calls expire with their parent and are
// attributed in the given way.
func (d Deployment) WithAttribution(a string) Deployment {
	d.CallsExpireWithParent, d.Attribution = true, a
	return d
}

// Hosted returns a copy with the settings of the hosted deployments.
func (d Deployment) Hosted() Deployment {
	d = d.WithAttribution(node.AttributionDeadline)
	d.RetryGrants = true
	d.ShareScope = node.ShareScopeFleet
	d.Crossing, d.CrossingMargin = node.CrossingRoom, crossing.DefaultMargin
	return d
}

// class returns the class with the given name, or the zero value if there is
// none.
func (d Deployment) class(name coltsfootward.RouteName) Class {
	for _, c := range d.Classes {
		if c.Name == name {
			return c
		}
	}
	return Class{}
}

// SlotTime returns how long one request of a class occupies slots of a service
// in all, including its direct and indirect child calls there.
func (d Deployment) SlotTime(name coltsfootward.RouteName, service coltsfootward.ServiceName) time.Duration {
	c := d.class(name)
	total := time.Duration(0)
	if c.Service == service {
		total = c.Work
	}
	if c.ChildCalls.Count > 0 {
		total += time.Duration(c.ChildCalls.Count) * d.SlotTime(c.ChildCalls.Class, service)
	}
	return total
}

// Publisher returns the deployment of a publisher of price bulletins. Its live
// quotes are the deepest service and have few slots; an order makes eight calls
// to it.
func Publisher() Deployment {
	return Deployment{
		Name:    "publisher",
		Domains: []coltsfootward.FailureDomain{"north", "east", "south", "west"},
		Services: []Service{
			{Name: "archives", Upstreams: 4, Slots: 133, Speeds: []float64{0.7, 1, 1.3}},
			{Name: "subscriptions", Upstreams: 4, Slots: 133, Speeds: []float64{0.7, 1, 1.3}},
			{Name: "publications", Upstreams: 4, Slots: 133, Speeds: []float64{0.7, 1, 1.3}},
			{Name: "quotes", Upstreams: 4, Slots: 12, Speeds: []float64{0.7, 0.7, 1.6}},
		},
		Classes: []Class{
			{Name: "archive", Service: "archives", PerSecond: 244, Work: 60 * time.Millisecond, Objective: 1200 * time.Millisecond, Deadline: 5 * time.Second, Timeout: 2 * time.Second, Worth: 1, LateWorth: 0.3, Priority: coltsfootward.PriorityNormal, ChildCalls: ChildCalls{Class: "ledger", Count: 1}},
			{Name: "order", Service: "subscriptions", PerSecond: 90, Work: 78 * time.Millisecond, Objective: 1200 * time.Millisecond, Deadline: 5 * time.Second, Timeout: 2 * time.Second, Worth: 3, LateWorth: 0.6, Priority: coltsfootward.PriorityCritical, Unrepeatable: true, ChildCalls: ChildCalls{Class: "index", Count: 2, Parallel: true}},
			{Name: "file", Service: "publications", PerSecond: 42, Work: 48 * time.Millisecond, Objective: 250 * time.Millisecond, Deadline: time.Second, Timeout: time.Second, Worth: 1, LateWorth: 0.3, Priority: coltsfootward.PriorityNormal},
			{Name: "quote", Service: "quotes", PerSecond: 80, Work: 24 * time.Millisecond, Objective: 100 * time.Millisecond, Deadline: 400 * time.Millisecond, Timeout: 400 * time.Millisecond, Worth: 2, LateWorth: 0.6, Priority: coltsfootward.PriorityHigh},
			{Name: "ledger", Service: "subscriptions", Work: 15 * time.Millisecond, Deadline: 2500 * time.Millisecond, Timeout: 2500 * time.Millisecond, ChildCalls: ChildCalls{Class: "index", Count: 1}},
			{Name: "index", Service: "publications", Work: 15 * time.Millisecond, Deadline: 2 * time.Second, Timeout: 2 * time.Second, ChildCalls: ChildCalls{Class: "feed", Count: 4}},
			{Name: "feed", Service: "quotes", Work: 15 * time.Millisecond, Deadline: 700 * time.Millisecond, Timeout: 700 * time.Millisecond},
		},
		RetryShare: 0.2, RetryBurst: 48,
	}
}

// Consortium returns the deployment of a shared testing platform. A certificate
// makes ten calls to the deepest service, which has three backend servers.
func Consortium() Deployment {
	return Deployment{
		Name:    "consortium",
		Domains: []coltsfootward.FailureDomain{"coast", "valley", "altiplano"},
		Services: []Service{
			{Name: "results", Upstreams: 4, Slots: 72, Speeds: []float64{0.5, 1, 1, 1.5}},
			{Name: "filing", Upstreams: 3, Slots: 86, Speeds: []float64{0.6, 1, 1.4}},
			{Name: "logs", Upstreams: 3, Slots: 86, Speeds: []float64{0.6, 1, 1.4}},
			{Name: "sections", Upstreams: 3, Slots: 36, Speeds: []float64{0.7, 1, 1.3}},
		},
		Classes: []Class{
			{Name: "lookup", Service: "results", PerSecond: 113, Work: 220 * time.Millisecond, Objective: 2 * time.Second, Deadline: 6 * time.Second, Timeout: 2500 * time.Millisecond, Worth: 1, LateWorth: 0.3, Priority: coltsfootward.PriorityNormal, ChildCalls: ChildCalls{Class: "ledger", Count: 1}},
			{Name: "certificate", Service: "filing", PerSecond: 49, Work: 290 * time.Millisecond, Objective: 2 * time.Second, Deadline: 6 * time.Second, Timeout: 2500 * time.Millisecond, Worth: 3, LateWorth: 0.6, Priority: coltsfootward.PriorityCritical, Unrepeatable: true, ChildCalls: ChildCalls{Class: "calibration", Count: 2, Parallel: true}},
			{Name: "run_log", Service: "logs", PerSecond: 20, Work: 180 * time.Millisecond, Objective: 600 * time.Millisecond, Deadline: 2500 * time.Millisecond, Timeout: 2500 * time.Millisecond, Worth: 1, LateWorth: 0.3, Priority: coltsfootward.PriorityNormal},
			{Name: "status", Service: "sections", PerSecond: 36, Work: 88 * time.Millisecond, Objective: 300 * time.Millisecond, Deadline: 1200 * time.Millisecond, Timeout: 1200 * time.Millisecond, Worth: 2, LateWorth: 0.6, Priority: coltsfootward.PriorityHigh},
			{Name: "ledger", Service: "filing", Work: 15 * time.Millisecond, Deadline: 3 * time.Second, Timeout: 3 * time.Second, ChildCalls: ChildCalls{Class: "calibration", Count: 1}},
			{Name: "calibration", Service: "logs", Work: 15 * time.Millisecond, Deadline: 2500 * time.Millisecond, Timeout: 2500 * time.Millisecond, ChildCalls: ChildCalls{Class: "tyre", Count: 5}},
			{Name: "tyre", Service: "sections", Work: 55 * time.Millisecond, Deadline: 700 * time.Millisecond, Timeout: 700 * time.Millisecond},
		},
		RetryShare: 0.2, RetryBurst: 47,
	}
}

// Meters returns the deployment of a service whose eight backend servers are asked 0.76 of their
// capacity. Requests have three times their mean service time.
func Meters() Deployment {
	return Deployment{
		Name:     "meters",
		Domains:  []coltsfootward.FailureDomain{"north", "south"},
		Services: []Service{{Name: "meters", Upstreams: 8, Slots: 60, Speeds: []float64{1}}},
		Classes: []Class{
			{Name: "read", Service: "meters", PerSecond: 2432, Work: 150 * time.Millisecond, Objective: 300 * time.Millisecond, Deadline: 450 * time.Millisecond, Timeout: 450 * time.Millisecond, Worth: 1, LateWorth: 0.3, Priority: coltsfootward.PriorityNormal},
		},
		RetryShare: 0.2, RetryBurst: 48,
	}
}

// Payroll returns the deployment of a payroll office. Every domain is nearly full, and
// the deepest service has five backend servers in three domains.
func Payroll() Deployment {
	return Deployment{
		Name:    "payroll",
		Domains: []coltsfootward.FailureDomain{"hill", "lake", "shore"},
		Services: []Service{
			{Name: "portal", Upstreams: 9, Slots: 40, Speeds: []float64{0.8, 1, 1.2}},
			{Name: "slips", Upstreams: 6, Slots: 60, Speeds: []float64{0.8, 1, 1.2}},
			{Name: "ledgers", Upstreams: 5, Slots: 60, Speeds: []float64{1}},
		},
		Classes: []Class{
			{Name: "payslip", Service: "portal", PerSecond: 680, Work: 60 * time.Millisecond, Objective: 1200 * time.Millisecond, Deadline: 4 * time.Second, Timeout: 2 * time.Second, Worth: 1, LateWorth: 0.3, Priority: coltsfootward.PriorityNormal, ChildCalls: ChildCalls{Class: "slip", Count: 1}, Bytes: 24000},
			{Name: "payment", Service: "portal", PerSecond: 200, Work: 60 * time.Millisecond, Objective: 1200 * time.Millisecond, Deadline: 4 * time.Second, Timeout: 2 * time.Second, Worth: 3, LateWorth: 0.6, Priority: coltsfootward.PriorityCritical, Unrepeatable: true, ChildCalls: ChildCalls{Class: "slip", Count: 1}, Bytes: 3000},
			{Name: "balance", Service: "ledgers", PerSecond: 1400, Work: 60 * time.Millisecond, Objective: 250 * time.Millisecond, Deadline: time.Second, Timeout: time.Second, Worth: 1, LateWorth: 0.3, Priority: coltsfootward.PriorityHigh, Bytes: 2000},
			{Name: "slip", Service: "slips", Work: 50 * time.Millisecond, Deadline: 1500 * time.Millisecond, Timeout: 1500 * time.Millisecond, ChildCalls: ChildCalls{Class: "entry", Count: 4}, Bytes: 8000},
			{Name: "entry", Service: "ledgers", Work: 70 * time.Millisecond, Deadline: 700 * time.Millisecond, Timeout: 700 * time.Millisecond, Bytes: 4000},
		},
		RetryShare: 0.2, RetryBurst: 48,
	}
}

// Bureau returns the deployment of a municipal payroll office on many small instances.
// A payslip view makes eight calls to the deepest service one after the other, and a
// deduction, which is less important, makes eight in two parallel chains.
func Bureau() Deployment {
	return Deployment{
		Name:    "bureau",
		Domains: []coltsfootward.FailureDomain{"north", "east", "south"},
		Services: []Service{
			{Name: "portal", Upstreams: 12, Slots: 67, Speeds: []float64{0.5, 1, 1, 1.5}},
			{Name: "deductions", Upstreams: 9, Slots: 95, Speeds: []float64{0.5, 1, 1, 1.5}},
			{Name: "disbursement", Upstreams: 4, Slots: 225, Speeds: []float64{0.6, 1, 1.4}},
			{Name: "advances", Upstreams: 5, Slots: 20, Speeds: []float64{1.6, 1.6, 1.6, 1.6, 0.7}},
		},
		Classes: []Class{
			{Name: "payslip", Service: "portal", PerSecond: 526, Work: 90 * time.Millisecond, Objective: 1200 * time.Millisecond, Deadline: 5 * time.Second, Timeout: 800 * time.Millisecond, Worth: 0.96, LateWorth: 0.48, Priority: coltsfootward.PriorityHigh, ChildCalls: ChildCalls{Class: "tax", Count: 2}},
			{Name: "deduction", Service: "deductions", PerSecond: 217, Work: 120 * time.Millisecond, Objective: 3 * time.Second, Deadline: 5 * time.Second, Timeout: 800 * time.Millisecond, Worth: 1.4, LateWorth: 0.72, Priority: coltsfootward.PriorityNormal, Unrepeatable: true, ChildCalls: ChildCalls{Class: "account", Count: 2, Parallel: true}},
			{Name: "transfer", Service: "disbursement", PerSecond: 149, Work: 63 * time.Millisecond, Objective: 200 * time.Millisecond, Deadline: 800 * time.Millisecond, Timeout: 800 * time.Millisecond, Worth: 5.5, LateWorth: 1.1, Priority: coltsfootward.PriorityCritical, Unrepeatable: true},
			{Name: "advance", Service: "advances", PerSecond: 70, Work: 72 * time.Millisecond, Objective: 250 * time.Millisecond, Deadline: time.Second, Timeout: time.Second, Worth: 0.96, LateWorth: 0.48, Priority: coltsfootward.PriorityHigh, Unrepeatable: true},
			{Name: "tax", Service: "deductions", Work: 15 * time.Millisecond, Deadline: 2500 * time.Millisecond, Timeout: 2500 * time.Millisecond, ChildCalls: ChildCalls{Class: "account", Count: 1}},
			{Name: "account", Service: "disbursement", Work: 15 * time.Millisecond, Deadline: 2 * time.Second, Timeout: 2 * time.Second, ChildCalls: ChildCalls{Class: "contract", Count: 4}},
			{Name: "contract", Service: "advances", Work: 22 * time.Millisecond, Deadline: 700 * time.Millisecond, Timeout: 700 * time.Millisecond},
		},
		RetryShare: 0.2, RetryBurst: 37,
	}
}

// Fleet returns the deployment of a publisher of price bulletins on many small
// instances. Each instance gets about three callers' requests per second, so it
// seldom receives load reports of the services that those requests need.
func Fleet() Deployment {
	return Deployment{
		Name:    "fleet",
		Domains: []coltsfootward.FailureDomain{"a", "b", "c", "d", "e", "f"},
		Services: []Service{
			{Name: "archives", Upstreams: 32, Slots: 18, Speeds: []float64{0.5, 1, 1, 1.5}},
			{Name: "subscriptions", Upstreams: 21, Slots: 18, Speeds: []float64{0.5, 1, 1, 1.5}},
			{Name: "publications", Upstreams: 7, Slots: 33, Speeds: []float64{0.5, 1, 1, 1.5}},
			{Name: "quotes", Upstreams: 4, Slots: 20, Speeds: []float64{0.7, 0.7, 1.6}},
		},
		Classes: []Class{
			{Name: "archive", Service: "archives", PerSecond: 106, Work: 220 * time.Millisecond, Objective: 1500 * time.Millisecond, Deadline: 5 * time.Second, Timeout: 1500 * time.Millisecond, Worth: 1, LateWorth: 0.3, Priority: coltsfootward.PriorityNormal, ChildCalls: ChildCalls{Class: "ledger", Count: 1}},
			{Name: "order", Service: "subscriptions", PerSecond: 39, Work: 290 * time.Millisecond, Objective: 2 * time.Second, Deadline: 5 * time.Second, Timeout: 2 * time.Second, Worth: 3, LateWorth: 0.6, Priority: coltsfootward.PriorityCritical, Unrepeatable: true, ChildCalls: ChildCalls{Class: "index", Count: 2, Parallel: true}},
			{Name: "file", Service: "publications", PerSecond: 18, Work: 180 * time.Millisecond, Objective: 1200 * time.Millisecond, Deadline: 5 * time.Second, Timeout: 2 * time.Second, Worth: 1, LateWorth: 0.3, Priority: coltsfootward.PriorityNormal},
			{Name: "quote", Service: "quotes", PerSecond: 35, Work: 92 * time.Millisecond, Objective: 500 * time.Millisecond, Deadline: 2 * time.Second, Timeout: time.Second, Worth: 2, LateWorth: 0.6, Priority: coltsfootward.PriorityHigh},
			{Name: "ledger", Service: "subscriptions", Work: 15 * time.Millisecond, Deadline: 2500 * time.Millisecond, Timeout: 2500 * time.Millisecond, ChildCalls: ChildCalls{Class: "index", Count: 1}},
			{Name: "index", Service: "publications", Work: 15 * time.Millisecond, Deadline: 2 * time.Second, Timeout: 2 * time.Second, ChildCalls: ChildCalls{Class: "feed", Count: 4}},
			{Name: "feed", Service: "quotes", Work: 57 * time.Millisecond, Deadline: 700 * time.Millisecond, Timeout: 700 * time.Millisecond},
		},
		RetryShare: 0.2, RetryBurst: 100,
	}
}
