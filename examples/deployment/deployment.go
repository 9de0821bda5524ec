// Package deployment describes two example deployments and generates their
// settings files in examples/bennani and examples/consortium.
package deployment

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Service is one service of a deployment and the size of its backend servers.
type Service struct {
	Name string
	// Upstreams is the number of backend servers, distributed over the failure
	// domains in their order.
	Upstreams int
	// Slots and Connections are the limits of each backend server.
	Slots, Connections int
	// Marks are rules that give the service's requests, by method and path
	// prefix, a priority and mark those that must run at most once. Their syntax
	// is that of coltsfootctl service set --mark.
	Marks []string
}

// Organisation is one organisation and its rate limit: Rate in requests per
// second, Burst in requests.
type Organisation struct {
	Name  string
	Rate  float64
	Burst int
}

// Deployment is an example deployment.
type Deployment struct {
	Name string
	// Network is the first two octets of the instances' IPv4 addresses.
	Network       string
	Domains       []string
	Services      []Service
	Organisations []Organisation
	// Timeout applies to requests that specify none.
	Timeout time.Duration
}

// Instance is one node and the backend server beside it.
type Instance struct {
	ID, Domain, Address string
	Service             Service
}

// Bennani publishes prices: orders must run at most once, and live quotes need
// low latency.
func Bennani() Deployment {
	return Deployment{
		Name: "bennani", Network: "10.10", Timeout: 5 * time.Second,
		Domains: []string{"casablanca-a", "casablanca-b", "casablanca-c", "casablanca-d"},
		Services: []Service{
			{"archives", 4, 120, 800, []string{"GET /bulletins low"}},
			{"subscriptions", 4, 120, 800, []string{"POST /orders critical unrepeatable"}},
			{"publications", 4, 120, 800, []string{"POST / high unrepeatable"}},
			{"quotations", 4, 10, 170, []string{"GET /live high"}},
		},
		Organisations: []Organisation{
			{"cooperative-union", 400, 800}, {"port-importers", 300, 600}, {"atlas-traders", 120, 240}, {"rif-brokers", 80, 160},
			{"souss-cooperative", 40, 80}, {"gharb-cooperative", 40, 80}, {"tadla-growers", 20, 40}, {"oriental-growers", 20, 40},
		},
	}
}

// Consortium tests road surfaces: filings must run at most once, and run logs
// are large.
func Consortium() Deployment {
	return Deployment{
		Name: "consortium", Network: "10.20", Timeout: 10 * time.Second,
		Domains: []string{"andina-1", "andina-2", "andina-3"},
		Services: []Service{
			{"results", 4, 70, 530, []string{"GET /results high"}},
			{"certifications", 3, 75, 540, []string{"POST /filings critical unrepeatable"}},
			{"run-logs", 3, 75, 540, []string{"GET /logs normal", "GET /logs/archive low"}},
			{"road-status", 3, 30, 290, []string{"GET /sections high"}},
		},
		Organisations: []Organisation{
			{"ministry", 300, 600}, {"concession-north", 200, 400}, {"concession-south", 150, 300}, {"contractor-lopez", 60, 120},
			{"contractor-quispe", 60, 120}, {"laboratory-sur", 30, 60}, {"field-crews", 30, 60}, {"auditors", 15, 30},
		},
	}
}

// Instances returns every instance. The backend servers of a service are
// assigned to the failure domains in rotation.
func (d Deployment) Instances() []Instance {
	var all []Instance
	perDomain := make([]int, len(d.Domains))
	for _, service := range d.Services {
		for i := range service.Upstreams {
			domain := i % len(d.Domains)
			perDomain[domain]++
			all = append(all, Instance{
				ID:      fmt.Sprintf("%s-%d", service.Name, i+1),
				Domain:  d.Domains[domain],
				Address: fmt.Sprintf("%s.%d.%d", d.Network, domain+1, perDomain[domain]),
				Service: service,
			})
		}
	}
	return all
}

// Settings returns the content of an instance's settings file.
func (d Deployment) Settings(i Instance) string {
	var domains []string
	for _, domain := range d.Domains {
		domains = append(domains, fmt.Sprintf("%q", domain))
	}
	return fmt.Sprintf(`# The node beside the backend server of %[1]s: %[2]d slots, %[3]d connections.

[instance]
id = %[4]q
domain = %[5]q
domains = [%[6]s]

[listen]
callers = "%[7]s:7001"
backend = "127.0.0.1:7002"
peers = "%[7]s:7003"
operators = "%[7]s:7004"

[platform]
url = "http://%[8]s.0.1:7000"

[requests]
timeout = %[9]q
`, i.Service.Name, i.Service.Slots, i.Service.Connections, i.ID, i.Domain, strings.Join(domains, ", "), i.Address, d.Network, d.Timeout)
}

// Configure returns a script that sets the services, organisations and keys.
func (d Deployment) Configure() string {
	var b strings.Builder
	b.WriteString(`#!/usr/bin/env bash
# Sets the services, organisations and first keys of a fresh deployment through
# the node named by COLTSFOOTWARD_NODE. Prints each organisation and its key.
set -euo pipefail
`)
	for _, s := range d.Services {
		fmt.Fprintf(&b, "coltsfootctl service set %s", s.Name)
		for _, mark := range s.Marks {
			fmt.Fprintf(&b, " --mark '%s'", mark)
		}
		b.WriteString(" >&2\n")
	}
	for _, o := range d.Organisations {
		fmt.Fprintf(&b, "coltsfootctl organisation set %s --rate %g --burst %d >&2\n", o.Name, o.Rate, o.Burst)
	}
	for _, o := range d.Organisations {
		fmt.Fprintf(&b, "echo %[1]s \"$(coltsfootctl key issue %[1]s-1 --organisation %[1]s)\"\n", o.Name)
	}
	return b.String()
}

// Deployments returns both deployments, sorted by name.
func Deployments() []Deployment {
	all := []Deployment{Bennani(), Consortium()}
	slices.SortFunc(all, func(a, b Deployment) int { return strings.Compare(a.Name, b.Name) })
	return all
}
