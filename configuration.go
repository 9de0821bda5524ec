package coltsfootward

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"
)

// KeyDigest is the SHA-256 digest of a caller's key, in hexadecimal. The keys
// themselves are never stored and are never sent to other nodes.
type KeyDigest string

// DigestKey returns the digest under which key is stored and compared.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:]))
}

// Rate limits an organisation's requests over all instances together: in every
// window of w seconds at most Burst + PerSecond·w requests start.
type Rate struct {
	// PerSecond is the sustained rate in requests per second.
	PerSecond float64 `msgpack:"per_second" json:"per_second"`
	// Burst is the number of requests that may start at once.
	Burst int64 `msgpack:"burst" json:"burst"`
}

// Organisation is a tenant and its rate limit.
type Organisation struct {
	Name OrganisationName `msgpack:"name" json:"name"`
	Rate Rate             `msgpack:"rate" json:"rate"`
	// Unlimited is set if Rate does not apply to the organisation.
	Unlimited bool `msgpack:"unlimited,omitempty" json:"unlimited,omitempty"`
	// Priority overrides the route's priority unless it is empty.
	Priority Priority `msgpack:"priority,omitempty" json:"priority,omitempty"`
	Revision Revision `msgpack:"revision" json:"revision"`
}

// Key is the record of a caller's credential. It holds only the credential's digest.
type Key struct {
	// ID is the name that operators use for the key. It is not secret.
	ID           string           `msgpack:"id" json:"id"`
	Digest       KeyDigest        `msgpack:"digest" json:"digest"`
	Organisation OrganisationName `msgpack:"organisation" json:"organisation"`
	// Withdrawn is set once and never cleared.
	Withdrawn bool     `msgpack:"withdrawn" json:"withdrawn"`
	Revision  Revision `msgpack:"revision" json:"revision"`
}

// Mark sets the priority of the requests that it matches, and whether they may be
// retried. An empty Method matches every method. Of several marks that match, the
// one with the longest PathPrefix applies.
type Mark struct {
	Method     string   `msgpack:"method" json:"method"`
	PathPrefix string   `msgpack:"path_prefix" json:"path_prefix"`
	Priority   Priority `msgpack:"priority" json:"priority"`
	// Unrepeatable means that a request must run at most once and is not retried
	// once it may have run.
	Unrepeatable bool `msgpack:"unrepeatable" json:"unrepeatable"`
}

// Service is a service of the call graph. Operators create services; backend
// servers that announce a service which does not exist receive no requests.
type Service struct {
	Name  ServiceName `msgpack:"name" json:"name"`
	Marks []Mark      `msgpack:"marks" json:"marks"`
	// Attempts limits the attempts of one request over the whole call chain that
	// starts at this service. Zero means the node's setting.
	Attempts int `msgpack:"attempts" json:"attempts"`
	// Timeout applies to requests that carry no timeout of their own. Zero means
	// the node's setting.
	Timeout time.Duration `msgpack:"timeout" json:"timeout"`
	// HealthPath is the path of the health check of the service's backend
	// servers. Connections is the number of connections that each of them accepts.
	// Both are set in hosted deployments only.
	HealthPath  string `msgpack:"health_path,omitempty" json:"health_path,omitempty"`
	Connections int    `msgpack:"connections,omitempty" json:"connections,omitempty"`
	// ColdRate is the number of requests per second that each backend server of
	// the service can handle while it is cold. ColdTime is how long a backend
	// server is cold after its start. A ColdRate of zero means that the backend
	// servers have their full capacity from the start.
	ColdRate float64       `msgpack:"cold_rate,omitempty" json:"cold_rate,omitempty"`
	ColdTime time.Duration `msgpack:"cold_time,omitempty" json:"cold_time,omitempty"`
	Revision Revision      `msgpack:"revision" json:"revision"`
}

// MarkFor returns the mark for a request. If no mark matches, the request has
// normal priority and is unrepeatable unless its method is idempotent by RFC 9110.
func (s Service) MarkFor(method, path string) Mark {
	best := Mark{Method: method, Priority: PriorityNormal, Unrepeatable: !isIdempotentMethod(method)}
	bestLength := -1
	for _, m := range s.Marks {
		if m.Method != "" && m.Method != method {
			continue
		}
		if !strings.HasPrefix(path, m.PathPrefix) || len(m.PathPrefix) <= bestLength {
			continue
		}
		best = m
		bestLength = len(m.PathPrefix)
	}
	return best
}

func isIdempotentMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

// Configuration is the configuration that operators have set, at one revision. It
// is immutable: Apply and the With methods return changed copies. The zero value is
// the empty configuration. It is safe for concurrent use.
type Configuration struct {
	revision      Revision
	organisations map[OrganisationName]Organisation
	keys          map[KeyDigest]Key
	services      map[ServiceName]Service
	routes        []Route
	routeTable    routeTable
	limits        Limits
}

// NewConfiguration returns a configuration that consists of the given objects, at
// revision r.
func NewConfiguration(r Revision, organisations []Organisation, keys []Key, services []Service) Configuration {
	c := Configuration{
		revision:      r,
		organisations: make(map[OrganisationName]Organisation, len(organisations)),
		keys:          make(map[KeyDigest]Key, len(keys)),
		services:      make(map[ServiceName]Service, len(services)),
	}
	for _, o := range organisations {
		c.organisations[o.Name] = o
	}
	for _, k := range keys {
		c.keys[k.Digest] = k
	}
	for _, s := range services {
		s.Marks = slices.Clone(s.Marks)
		c.services[s.Name] = s
	}
	return c
}

// Revision returns the revision of the last change that has been applied.
func (c Configuration) Revision() Revision {
	return c.revision
}

// Organisation returns the organisation of that name.
func (c Configuration) Organisation(name OrganisationName) (Organisation, bool) {
	o, ok := c.organisations[name]
	return o, ok
}

// Key returns the key with that digest, withdrawn or not.
func (c Configuration) Key(digest KeyDigest) (Key, bool) {
	k, ok := c.keys[digest]
	return k, ok
}

// Service returns the service of that name.
func (c Configuration) Service(name ServiceName) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Organisations returns every organisation, sorted by name.
func (c Configuration) Organisations() []Organisation {
	return sortedValues(c.organisations)
}

// Keys returns every key, sorted by digest.
func (c Configuration) Keys() []Key {
	return sortedValues(c.keys)
}

// Services returns every service, sorted by name.
func (c Configuration) Services() []Service {
	return sortedValues(c.services)
}

// WithRevision returns a copy at revision r.
func (c Configuration) WithRevision(r Revision) Configuration {
	c.revision = r
	return c
}

// WithOrganisation returns a copy in which o replaces any organisation of the same
// name.
func (c Configuration) WithOrganisation(o Organisation) Configuration {
	c.organisations = withEntry(c.organisations, o.Name, o)
	return c
}

// WithKey returns a copy in which k replaces any key with the same digest. A
// withdrawn key stays withdrawn even if k.Withdrawn is false.
func (c Configuration) WithKey(k Key) Configuration {
	c.keys = withEntry(c.keys, k.Digest, keepWithdrawn(c.keys, k))
	return c
}

// keepWithdrawn returns k, marked as withdrawn if the present key with the same
// digest is withdrawn.
func keepWithdrawn(keys map[KeyDigest]Key, k Key) Key {
	if old, ok := keys[k.Digest]; ok && old.Withdrawn {
		k.Withdrawn = true
	}
	return k
}

// WithService returns a copy in which s replaces any service of the same name.
func (c Configuration) WithService(s Service) Configuration {
	s.Marks = slices.Clone(s.Marks)
	c.services = withEntry(c.services, s.Name, s)
	return c
}

func withEntry[K comparable, V any](entries map[K]V, key K, value V) map[K]V {
	changed := make(map[K]V, len(entries)+1)
	maps.Copy(changed, entries)
	changed[key] = value
	return changed
}

func sortedValues[K ~string, V any](entries map[K]V) []V {
	names := slices.Sorted(maps.Keys(entries))
	values := make([]V, 0, len(names))
	for _, name := range names {
		values = append(values, entries[name])
	}
	return values
}
