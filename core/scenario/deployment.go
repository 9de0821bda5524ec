package scenario

import (
	"fmt"
	"time"

	"coltsfootward"
	"coltsfootward/core/nodetest"
)

// Service is a service of a deployment, as its backend servers truly are.
type Service struct {
	Name coltsfootward.ServiceName
	// Upstreams is the number of backend servers, spread over the domains.
	Upstreams int
	// Slots is how many requests each of them serves at once.
	Slots int
	// ServiceTime is the mean time of a request in its slot.
	ServiceTime time.Duration
	// Next is the service that each request calls first; empty means none.
	Next coltsfootward.ServiceName
}

// Capacity returns the requests per second that all upstreams can serve.
func (s Service) Capacity() float64 {
	return float64(s.Upstreams*s.Slots) / s.ServiceTime.Seconds()
}

// Organisation is a tenant's share of a deployment's demand.
type Organisation struct {
	Name coltsfootward.OrganisationName
	// Weight is its part of the demand; all weights together are 1.
	Weight float64
}

// Key returns the digest of the organisation's only key.
func (o Organisation) Key() coltsfootward.KeyDigest {
	return coltsfootward.KeyDigest("digest of " + string(o.Name))
}

// Deployment is a set of services and the organisations that use them.
type Deployment struct {
	Name          string
	Domains       []coltsfootward.FailureDomain
	Services      []Service
	Organisations []Organisation
	// Focus is the service under pressure, Top the head of the call chain that
	// ends there.
	Focus, Top coltsfootward.ServiceName
}

// Service returns the service of that name; it must exist.
func (d Deployment) Service(name coltsfootward.ServiceName) Service {
	for _, s := range d.Services {
		if s.Name == name {
			return s
		}
	}
	panic(fmt.Sprintf("scenario: no service %q in deployment %s", name, d.Name))
}

// chain returns the services that a request to the top one passes.
func (d Deployment) chain(top coltsfootward.ServiceName) []Service {
	var all []Service
	for name := top; name != ""; {
		s := d.Service(name)
		all = append(all, s)
		name = s.Next
	}
	return all
}

// host is one instance and the service of its backend server.
type host struct {
	instance coltsfootward.Instance
	service  Service
}

// hosts returns the instances, service by service, each spread over the domains.
func (d Deployment) hosts() []host {
	var all []host
	for _, s := range d.Services {
		for i := range s.Upstreams {
			domain := d.Domains[i%len(d.Domains)]
			id := coltsfootward.InstanceID(fmt.Sprintf("%s-%d", s.Name, i+1))
			all = append(all, host{instance: nodetest.Instance(id, domain), service: s})
		}
	}
	return all
}

// Bennani is the deployment of a publisher of price bulletins. Its live quotes
// have few slots and feed the services above them.
func Bennani() Deployment {
	return Deployment{
		Name:    "bennani",
		Domains: []coltsfootward.FailureDomain{"north", "east", "south", "west"},
		Services: []Service{
			{Name: "archives", Upstreams: 4, Slots: 120, ServiceTime: 100 * time.Millisecond},
			{Name: "subscriptions", Upstreams: 4, Slots: 120, ServiceTime: 20 * time.Millisecond, Next: "publications"},
			{Name: "publications", Upstreams: 4, Slots: 120, ServiceTime: 20 * time.Millisecond, Next: "quotes"},
			{Name: "quotes", Upstreams: 4, Slots: 10, ServiceTime: 60 * time.Millisecond},
		},
		Organisations: organisations(),
		Focus:         "quotes",
		Top:           "subscriptions",
	}
}

// Consortium is the deployment of a shared skid testing platform. Its road
// section status has the fewest slots.
func Consortium() Deployment {
	return Deployment{
		Name:    "consortium",
		Domains: []coltsfootward.FailureDomain{"coast", "valley", "altiplano"},
		Services: []Service{
			{Name: "run_logs", Upstreams: 3, Slots: 75, ServiceTime: 200 * time.Millisecond},
			{Name: "filing", Upstreams: 3, Slots: 75, ServiceTime: 20 * time.Millisecond, Next: "results"},
			{Name: "results", Upstreams: 4, Slots: 70, ServiceTime: 20 * time.Millisecond, Next: "sections"},
			{Name: "sections", Upstreams: 3, Slots: 30, ServiceTime: 150 * time.Millisecond},
		},
		Organisations: organisations(),
		Focus:         "sections",
		Top:           "filing",
	}
}

// Deployments returns every deployment.
func Deployments() []Deployment {
	return []Deployment{Bennani(), Consortium()}
}

// organisations returns eight tenants, two of them large.
func organisations() []Organisation {
	weights := []float64{0.30, 0.20, 0.10, 0.10, 0.10, 0.08, 0.07, 0.05}
	all := make([]Organisation, len(weights))
	for i, w := range weights {
		all[i] = Organisation{Name: coltsfootward.OrganisationName(fmt.Sprintf("organisation-%d", i+1)), Weight: w}
	}
	return all
}
