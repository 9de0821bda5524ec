package scenario

import (
	"math/rand/v2"
	"time"

	"coltsfootward"
)

// Variant names a system under test.
type Variant string

// The variants.
const (
	// VariantNaive has no limit, serves first come first served, places round
	// robin, retries three times in each layer and cancels nothing.
	VariantNaive Variant = "naive"
	// VariantColtsfootward is the node machines.
	VariantColtsfootward Variant = "coltsfootward"
)

// Variants returns every variant, the naive one first.
func Variants() []Variant { return []Variant{VariantNaive, VariantColtsfootward} }

// request is one try of a caller.
type request struct {
	organisation Organisation
	service      coltsfootward.ServiceName
	path         string
	attempt      int
	timeout      time.Duration
}

// reply is what the caller is told.
type reply struct {
	answered   bool
	retryAfter time.Duration
}

// world is a running system under a virtual clock.
type world interface {
	now() time.Duration
	after(d time.Duration, f func())
	run(d time.Duration)
	// send sends a request to the instance of that number and returns what
	// makes the caller leave. done runs at most once.
	send(entry int, r request, done func(reply)) (leave func())
	// entries is the number of instances that callers may reach.
	entries() int
	// begin and end start and stop the trouble that is no matter of demand or
	// service time.
	begin()
	end()
	// work counts the services that began since the trouble did, at all backend
	// servers.
	work() int
}

// The paths of requests by their class.
const (
	pathCritical = "/critical/"
	pathNormal   = "/normal/"
	pathLow      = "/low/"
	longSuffix   = "long"
)

// marks give each class its priority.
func marks() []coltsfootward.Mark {
	return []coltsfootward.Mark{
		{PathPrefix: pathCritical, Priority: coltsfootward.PriorityCritical},
		{PathPrefix: pathNormal, Priority: coltsfootward.PriorityNormal},
		{PathPrefix: pathLow, Priority: coltsfootward.PriorityLow},
	}
}

// path draws the class of a request: a tenth critical, a fifth low.
func (s Scenario) path(source *rand.Rand) string {
	path := pathNormal
	switch x := source.Float64(); {
	case x < 0.1:
		path = pathCritical
	case x > 0.8:
		path = pathLow
	}
	if s.Long > 0 && source.Float64() < s.Long {
		path += longSuffix
	}
	return path
}

// serviceTime draws the time of one request, spread evenly over half to one
// and a half of the mean.
func (s Scenario) serviceTime(d Deployment, h host, index int, path string, t time.Duration, source *rand.Rand) time.Duration {
	mean := h.service.ServiceTime.Seconds() * s.slowness(d, h.service.Name, index, t)
	if s.Long > 0 {
		mean /= 1 - s.Long + s.Long*longFactor
		if isLong(path) {
			mean *= longFactor
		}
	}
	return time.Duration(mean * (0.5 + source.Float64()) * float64(time.Second))
}

func isLong(path string) bool {
	return len(path) > len(longSuffix) && path[len(path)-len(longSuffix):] == longSuffix
}
