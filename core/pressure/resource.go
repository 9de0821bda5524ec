package pressure

import (
	"cmp"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
)

const (
	// leastShortage is the excess from which a shortage of retries is reported to the
	// services above. Slots are always reported, since the reports also tell which
	// services a class needs.
	leastShortage = 0.001
	// sparedRetries is the expected number of retries below which a request is not
	// refused for lack of them. Most such requests need a single call, which succeeds
	// without a retry often enough that refusing it costs more than its retries.
	sparedRetries = 2
)

// Key names what a gate is for: a resource of a service.
type Key struct {
	Service  coltsfootward.ServiceName
	Resource message.Resource
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Service, other.Service), cmp.Compare(k.Resource, other.Resource))
}

// spares reports whether requests with the need are never refused for the resource.
func (k Key) spares(n need) bool {
	return k.Resource == message.ResourceRetries && n.cost < sparedRetries
}

// StateOf returns the state of the gate for a resource of a service.
func (g *Gates) StateOf(now time.Duration, key Key) State {
	return g.gate(key).state(now, key)
}

func (r Report) key() Key { return Key{Service: r.Service, Resource: r.Resource} }

// withoutShortage returns the reports, with an excess of zero added for the retries of
// each service that reports its slots only, if the class has needed them. A server with
// enough retries does not report them, and without this addition a single server of a
// service that is short would close the gate for all of them.
func withoutShortage(reports []Report, needs map[Key]need) []Report {
	for _, r := range reports[:len(reports):len(reports)] {
		retries := Key{Service: r.Service, Resource: message.ResourceRetries}
		if _, seen := needs[retries]; r.Resource != message.ResourceSlots || !seen || reported(reports, retries) {
			continue
		}
		reports = append(reports, Report{Service: r.Service, Resource: message.ResourceRetries})
	}
	return reports
}

func reported(reports []Report, key Key) bool {
	for _, r := range reports {
		if r.key() == key {
			return true
		}
	}
	return false
}
