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
	// VariantNaive has no limits, serves in order of arrival, places by round
	// robin, makes up to three attempts in each layer and cancels nothing.
	VariantNaive Variant = "naive"
	// VariantColtsfootward is a deployment of node state machines.
	VariantColtsfootward Variant = "coltsfootward"
)

// Variants returns every variant, the naive one first.
func Variants() []Variant { return []Variant{VariantNaive, VariantColtsfootward} }

// request is one attempt of a caller.
type request struct {
	organisation Organisation
	service      coltsfootward.ServiceName
	path         string
	attempt      int
	timeout      time.Duration
}

// reply is the outcome of an attempt for the caller.
type reply struct {
	answered   bool
	retryAfter time.Duration
}

// system is a running system under a virtual clock.
type system interface {
	now() time.Duration
	after(d time.Duration, f func())
	run(d time.Duration)
	// send sends a request to the instance with the given index and returns a
	// function that cancels the request. done is called at most once.
	send(entry int, r request, done func(reply)) (cancel func())
	// entryCount is the number of instances that callers can reach.
	entryCount() int
	// startDisturbance and endDisturbance start and end the part of the
	// disturbance that is not a change of demand or of service time.
	startDisturbance()
	endDisturbance()
	// executionsStarted returns how many executions have started at all backend
	// servers since the start of the disturbance.
	executionsStarted() int
}

// The paths of requests by priority. longSuffix marks a long request.
const (
	pathCritical = "/critical/"
	pathNormal   = "/normal/"
	pathLow      = "/low/"
	longSuffix   = "long"
)

// marks returns the rules that give each path prefix its priority.
func marks() []coltsfootward.Mark {
	return []coltsfootward.Mark{
		{PathPrefix: pathCritical, Priority: coltsfootward.PriorityCritical},
		{PathPrefix: pathNormal, Priority: coltsfootward.PriorityNormal},
		{PathPrefix: pathLow, Priority: coltsfootward.PriorityLow},
	}
}

// randomPath draws the path of a request, which determines its priority and whether
// it is long: a tenth of the requests is critical, a fifth low.
func (s Scenario) randomPath(source *rand.Rand) string {
	path := pathNormal
	switch x := source.Float64(); {
	case x < 0.1:
		path = pathCritical
	case x > 0.8:
		path = pathLow
	}
	if s.LongShare > 0 && source.Float64() < s.LongShare {
		path += longSuffix
	}
	return path
}

// serviceTime draws the service time of one request, uniformly distributed
// between 0.5 and 1.5 times the mean.
func (s Scenario) serviceTime(d Deployment, h host, index int, path string, t time.Duration, source *rand.Rand) time.Duration {
	mean := h.service.ServiceTime.Seconds() * s.slowdown(d, h.service.Name, index, t)
	if s.LongShare > 0 {
		mean /= 1 - s.LongShare + s.LongShare*longFactor
		if isLong(path) {
			mean *= longFactor
		}
	}
	return time.Duration(mean * (0.5 + source.Float64()) * float64(time.Second))
}

func isLong(path string) bool {
	return len(path) > len(longSuffix) && path[len(path)-len(longSuffix):] == longSuffix
}
