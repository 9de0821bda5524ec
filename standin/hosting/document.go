package hosting

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Document is the operators' configuration.
type Document struct {
	Version       int
	Services      []Service
	Organisations []Organisation
	Routes        []Route
}

// Service is a service of a Document.
type Service struct {
	Name           string
	MaxConnections int
}

// Organisation is an organisation of a Document, with its API key, its rate limit in
// requests per second and its burst.
type Organisation struct {
	Name, Key   string
	Rate, Burst int
}

// Route is a route of a Document. Its path prefix is "/" + Name + "/".
type Route struct {
	Host, Name, Service string
	// Idempotent means that a request may safely run twice.
	Idempotent bool
	// Public means that a request needs no key.
	Public bool
	// Priority orders the routes; the lowest value is the most important.
	Priority int
}

// Configure writes the operators' configuration.
func (s *Store) Configure(d Document) error {
	text, err := d.encode()
	if err != nil {
		return fmt.Errorf("hosting: configuration: %w", err)
	}
	s.Write("op", "config", text)
	return nil
}

func (d Document) encode() ([]byte, error) {
	type object = map[string]any
	var services, organisations, hosts []object
	for _, v := range d.Services {
		services = append(services, object{"name": v.Name, "health_path": "/health", "max_connections": v.MaxConnections})
	}
	for _, o := range d.Organisations {
		organisations = append(organisations, object{"name": o.Name, "api_keys": []string{o.Key}, "rate_per_s": o.Rate, "burst": o.Burst})
	}
	paths := make(map[string][]object)
	for _, r := range d.Routes {
		kind := "non_idempotent"
		if r.Idempotent {
			kind = "idempotent"
		}
		paths[r.Host] = append(paths[r.Host], object{
			"name": r.Name, "prefix": "/" + r.Name + "/", "kind": kind, "timeout": "2s", "target_latency": "500ms",
			"priority": r.Priority, "max_attempts": 2, "service": r.Service, "public": r.Public,
		})
	}
	for _, host := range slices.Sorted(maps.Keys(paths)) {
		hosts = append(hosts, object{"host": host, "paths": paths[host]})
	}
	return json.Marshal(object{"version": fmt.Sprintf("r%d", d.Version), "services": services, "tenants": organisations, "virtual_hosts": hosts})
}
