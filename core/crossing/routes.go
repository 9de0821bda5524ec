package crossing

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"coltsfootward"
)

const (
	// routesTime is the time constant of the demand by route. It spans several requests
	// of a route that is used once a second.
	routesTime = 5 * time.Second
	// routesInterval is the time between two computations of the order.
	routesInterval = 200 * time.Millisecond
	// minRouteDemand is the demand, in slots, below which a route is dropped.
	minRouteDemand = 1e-4
)

// Routes divides the fraction of the demand that crosses between the routes of an entry
// node: those with the fewest bytes per second of slot time cross first, because bytes
// between domains are expensive and slots are what the domain lacks. The zero value is
// ready for use. Routes is not safe for concurrent use.
type Routes struct {
	demand map[coltsfootward.RouteName]float64
	at     time.Duration
	// order holds the part of the demand that crosses before each route, and the
	// route's own part. It is computed again at next.
	order map[coltsfootward.RouteName]part
	next  time.Duration
}

type part struct{ before, own float64 }

// Record adds a request of the route that takes slotTime seconds at the service.
func (r *Routes) Record(now time.Duration, route coltsfootward.RouteName, slotTime float64) {
	if r.demand == nil {
		r.demand, r.at = make(map[coltsfootward.RouteName]float64), now
	}
	r.advance(now)
	r.demand[route] += slotTime / routesTime.Seconds()
}

// Share returns the fraction of a route's requests that cross if the given fraction of
// the demand does. bytesPerSecond returns the bytes of request and response for each
// second of slot time.
func (r *Routes) Share(now time.Duration, route coltsfootward.RouteName, fraction float64, bytesPerSecond func(coltsfootward.RouteName) float64) float64 {
	if now >= r.next {
		r.arrange(now, bytesPerSecond)
	}
	p, ok := r.order[route]
	if !ok {
		return fraction
	}
	return min(max((fraction-p.before)/p.own, 0), 1)
}

// advance decays the demand by route. It also runs while nothing crosses, so that the
// order is known when crossing begins.
func (r *Routes) advance(now time.Duration) {
	if now-r.at < routesInterval {
		return
	}
	factor := math.Exp(-(now - r.at).Seconds() / routesTime.Seconds())
	r.at = now
	for route := range r.demand {
		r.demand[route] *= factor
		if r.demand[route] < minRouteDemand {
			delete(r.demand, route)
		}
	}
}

func (r *Routes) arrange(now time.Duration, bytesPerSecond func(coltsfootward.RouteName) float64) {
	r.advance(now)
	r.next = now + routesInterval
	r.order = make(map[coltsfootward.RouteName]part, len(r.demand))
	weights := make(map[coltsfootward.RouteName]float64, len(r.demand))
	for route := range r.demand {
		weights[route] = bytesPerSecond(route)
	}
	sorted := slices.SortedFunc(maps.Keys(r.demand), func(a, b coltsfootward.RouteName) int {
		return cmp.Or(cmp.Compare(weights[a], weights[b]), cmp.Compare(a, b))
	})
	total := 0.0
	for _, route := range sorted {
		total += r.demand[route]
	}
	before := 0.0
	for _, route := range sorted {
		own := r.demand[route] / total
		r.order[route] = part{before: before, own: own}
		before += own
	}
}
