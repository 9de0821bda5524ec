package coltsfootward

import (
	"slices"
	"strings"
	"time"
)

// RouteName names a route in logs, and requests that go the same way as one
// class of work.
type RouteName string

// RouteTarget is one of the services that share a route's requests.
type RouteTarget struct {
	Service ServiceName `msgpack:"service" json:"service"`
	// Weight is the service's share, as a proportion of the sum of all weights.
	Weight int `msgpack:"weight" json:"weight"`
}

// Route says where requests for a host and path go and how they are treated.
// A deployment that names services in the path has no routes.
type Route struct {
	Name RouteName `msgpack:"name" json:"name"`
	// Host is the authority that the request names, in lower case.
	Host string `msgpack:"host" json:"host"`
	// PathPrefix begins and ends with a slash; the longest one that begins the
	// request's path wins.
	PathPrefix string        `msgpack:"path_prefix" json:"path_prefix"`
	Targets    []RouteTarget `msgpack:"targets" json:"targets"`
	// Timeout is how long a request may be kept waiting for its answer.
	Timeout time.Duration `msgpack:"timeout" json:"timeout"`
	// Objective is the latency up to which an answer has its full worth.
	Objective time.Duration `msgpack:"objective" json:"objective"`
	// Attempts bounds the backend servers that one request may be sent to.
	Attempts int      `msgpack:"attempts" json:"attempts"`
	Priority Priority `msgpack:"priority" json:"priority"`
	// Unrepeatable requests run at most once.
	Unrepeatable bool `msgpack:"unrepeatable" json:"unrepeatable"`
	// Public routes need no key.
	Public bool `msgpack:"public" json:"public"`
}

// Limits bound what a caller may send and how long it may take. A zero field
// means the node's setting.
type Limits struct {
	HeaderBytes   int64         `msgpack:"header_bytes" json:"header_bytes"`
	BodyBytes     int64         `msgpack:"body_bytes" json:"body_bytes"`
	HeaderTimeout time.Duration `msgpack:"header_timeout" json:"header_timeout"`
	IdleTimeout   time.Duration `msgpack:"idle_timeout" json:"idle_timeout"`
}

// routeTable finds routes by host and longest prefix.
type routeTable map[string]*hostRoutes

// hostRoutes are the routes of one host.
type hostRoutes struct {
	byPrefix map[string]Route
	// longest bounds the prefixes that are tried, in bytes.
	longest int
}

func newRouteTable(routes []Route) routeTable {
	t := make(routeTable)
	for _, r := range routes {
		h, ok := t[r.Host]
		if !ok {
			h = &hostRoutes{byPrefix: make(map[string]Route)}
			t[r.Host] = h
		}
		h.byPrefix[r.PathPrefix] = r
		h.longest = max(h.longest, len(r.PathPrefix))
	}
	return t
}

// find tries the path's prefixes that end with a slash, longest first: a look-up
// costs the path's depth and not the number of routes.
func (t routeTable) find(host, path string) (Route, bool) {
	h, ok := t[host]
	if !ok {
		h, ok = t[strings.ToLower(host)]
	}
	if !ok {
		return Route{}, false
	}
	prefix := path[:min(len(path), h.longest)]
	for {
		end := strings.LastIndexByte(prefix, '/')
		if end < 0 {
			return Route{}, false
		}
		if r, ok := h.byPrefix[prefix[:end+1]]; ok {
			return r, true
		}
		prefix = prefix[:end]
	}
}

// WithRoutes returns a copy with these routes in place of all others.
func (c Configuration) WithRoutes(routes []Route) Configuration {
	c.routes = slices.Clone(routes)
	c.routeTable = newRouteTable(c.routes)
	return c
}

// WithLimits returns a copy with other limits.
func (c Configuration) WithLimits(l Limits) Configuration {
	c.limits = l
	return c
}

// Route returns the route of a request: of the host's, the one with the longest
// prefix that begins the path.
func (c Configuration) Route(host, path string) (Route, bool) {
	return c.routeTable.find(host, path)
}

// Routes returns every route.
func (c Configuration) Routes() []Route { return slices.Clone(c.routes) }

// Limits returns what callers may send.
func (c Configuration) Limits() Limits { return c.limits }

// HasOrganisations reports whether callers need a key.
func (c Configuration) HasOrganisations() bool { return len(c.organisations) > 0 }
