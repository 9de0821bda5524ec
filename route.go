package coltsfootward

import (
	"slices"
	"strings"
	"time"
)

// RouteName identifies a route, in logs and as the class that a request is counted
// under.
type RouteName string

// RouteTarget is one of the services that a route's requests are distributed over.
type RouteTarget struct {
	Service ServiceName `msgpack:"service" json:"service"`
	// Weight divided by the sum of the weights of all targets is the service's
	// share of the requests.
	Weight int `msgpack:"weight" json:"weight"`
}

// Route sets which services handle the requests for a host and path, and with which
// timeout, priority and number of attempts. A deployment whose callers name the
// service in the path has no routes.
type Route struct {
	Name RouteName `msgpack:"name" json:"name"`
	// Host is the authority of the requests, in lower case.
	Host string `msgpack:"host" json:"host"`
	// PathPrefix begins and ends with a slash. Of the routes of a host, the one with
	// the longest prefix of the request's path applies.
	PathPrefix string        `msgpack:"path_prefix" json:"path_prefix"`
	Targets    []RouteTarget `msgpack:"targets" json:"targets"`
	// Timeout is the time within which a request must get its response.
	Timeout time.Duration `msgpack:"timeout" json:"timeout"`
	// Objective is the target latency: up to it a response has its full value.
	Objective time.Duration `msgpack:"objective" json:"objective"`
	// Attempts limits the number of backend servers that one request may be sent to.
	Attempts int      `msgpack:"attempts" json:"attempts"`
	Priority Priority `msgpack:"priority" json:"priority"`
	// Unrepeatable means that a request must run at most once and is not retried
	// once it may have run.
	Unrepeatable bool `msgpack:"unrepeatable" json:"unrepeatable"`
	// Public means that callers need no key.
	Public bool `msgpack:"public" json:"public"`
}

// Limits bounds the size of callers' requests, the time to read a request's header,
// and the idle time of callers' connections. A zero field means the node's setting.
type Limits struct {
	HeaderBytes   int64         `msgpack:"header_bytes" json:"header_bytes"`
	BodyBytes     int64         `msgpack:"body_bytes" json:"body_bytes"`
	HeaderTimeout time.Duration `msgpack:"header_timeout" json:"header_timeout"`
	IdleTimeout   time.Duration `msgpack:"idle_timeout" json:"idle_timeout"`
}

// routeTable looks up routes by host and longest path prefix. Its keys are hosts.
type routeTable map[string]*hostRoutes

// hostRoutes are the routes of one host.
type hostRoutes struct {
	byPrefix map[string]Route
	// longestPrefix is the length of the longest prefix in bytes. Look-ups ignore the
	// part of a path beyond it.
	longestPrefix int
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
		h.longestPrefix = max(h.longestPrefix, len(r.PathPrefix))
	}
	return t
}

// find looks up the prefixes of the path that end with a slash, longest first. Its
// cost depends on the depth of the path and not on the number of routes.
func (t routeTable) find(host, path string) (Route, bool) {
	h, ok := t[host]
	if !ok {
		h, ok = t[strings.ToLower(host)]
	}
	if !ok {
		return Route{}, false
	}
	prefix := path[:min(len(path), h.longestPrefix)]
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

// WithRoutes returns a copy in which routes replaces all routes.
func (c Configuration) WithRoutes(routes []Route) Configuration {
	c.routes = slices.Clone(routes)
	c.routeTable = newRouteTable(c.routes)
	return c
}

// WithLimits returns a copy with the given limits.
func (c Configuration) WithLimits(l Limits) Configuration {
	c.limits = l
	return c
}

// Route returns the route of a request: of the host's routes, the one with the
// longest prefix of the path. It returns false if there is none.
func (c Configuration) Route(host, path string) (Route, bool) {
	return c.routeTable.find(host, path)
}

// Routes returns every route.
func (c Configuration) Routes() []Route { return slices.Clone(c.routes) }

// Limits returns the limits of callers' requests.
func (c Configuration) Limits() Limits { return c.limits }

// HasOrganisations reports whether any organisation exists. Without organisations
// callers need no key.
func (c Configuration) HasOrganisations() bool { return len(c.organisations) > 0 }
