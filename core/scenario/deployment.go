package scenario

import (
	"fmt"
	"time"

	"coltsfootward"
	"coltsfootward/core/nodetest"
)

// Service describes a service and the actual properties of its backend servers.
type Service struct {
	Name coltsfootward.ServiceName
	// Upstreams is the number of backend servers, distributed over the domains.
	Upstreams int
	// Slots is how many requests each backend server serves at once.
	Slots int
	// ServiceTime is the mean time that a request occupies its slot, not
	// counting its child call.
	ServiceTime time.Duration
	// Next is the service that each request calls before its own service time;
	// empty means none.
	Next coltsfootward.ServiceName
}

// Capacity returns the requests per second that all backend servers together
// can serve.
func (s Service) Capacity() float64 {
	return float64(s.Upstreams*s.Slots) / s.ServiceTime.Seconds()
}

// Organisation is a tenant with its share of a deployment's demand.
type Organisation struct {
	Name coltsfootward.OrganisationName
	// Weight is the organisation's share of the demand; all weights sum to 1.
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
	// Bottleneck is the service under overload. ChainHead is the first service
	// of the call chain that ends at the bottleneck.
	Bottleneck, ChainHead coltsfootward.ServiceName
}

// Service returns the service with the given name. It panics if there is none.
func (d Deployment) Service(name coltsfootward.ServiceName) Service {
	for _, s := range d.Services {
		if s.Name == name {
			return s
		}
	}
	panic(fmt.Sprintf("scenario: no service %q in deployment %s", name, d.Name))
}

// chain returns the services that a request to the service top passes through.
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

// hosts returns the instances, service by service, each service distributed
// over the domains.
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
// have few slots and are called by the services up the call chain.
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
		Bottleneck:    "quotes",
		ChainHead:     "subscriptions",
	}
}

// Consortium is the deployment of a shared skid testing platform. Its service
// for the status of road sections has the fewest slots.
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
		Bottleneck:    "sections",
		ChainHead:     "filing",
	}
}

// Deployments returns every deployment.
func Deployments() []Deployment {
	return []Deployment{Bennani(), Consortium()}
}

// organisations returns eight organisations, two of them large.
func organisations() []Organisation {
	weights := []float64{0.30, 0.20, 0.10, 0.10, 0.10, 0.08, 0.07, 0.05}
	all := make([]Organisation, len(weights))
	for i, w := range weights {
		all[i] = Organisation{Name: coltsfootward.OrganisationName(fmt.Sprintf("organisation-%d", i+1)), Weight: w}
	}
	return all
}
