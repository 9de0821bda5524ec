package pressure

import (
	"time"

	"coltsfootward"
)

const (
	// Calls to a route are counted by the class of their request, instead of estimated,
	// once that class is known for minAttributed of them and for at least
	// minAttributedShare of all.
	minAttributed      = 8.0
	minAttributedShare = 0.5
)

// CallAttributed records the start of a child call of a request of the given class.
//
// Under overload, delays and failures do not show which classes make calls: the calls of
// the more important requests are served first, so that their requests are neither
// delayed nor failed by the shortage. Estimated from these, a class that is served
// because it is important seems not to need the service, and entry nodes then refuse only
// the other classes.
func (c *Callees) CallAttributed(now time.Duration, route, class coltsfootward.RouteName) {
	c.class(class)
	c.CallStarted(now, route)
	m := c.route(route)
	m.attributed[c.index[class]]++
	m.attributedCount++
}

// attributes reports whether the classes that make the calls to the route are known.
func (m *routeStats) attributes() bool {
	return m.attributedCount >= minAttributed && m.attributedCount >= minAttributedShare*m.startedCount
}

// attributedCalls returns the calls per request of the class at index i, with the calls of
// unknown requests distributed like the others.
func (m *routeStats) attributedCalls(i int, requests float64) float64 {
	if requests <= 0 {
		return 0
	}
	return m.attributed[i] / m.attributedCount * m.startedCount / requests
}

func (m *routeStats) decayAttributed() {
	for i := range m.attributed {
		m.attributed[i] *= windowDecay
	}
	m.attributedCount *= windowDecay
	m.startedCount *= windowDecay
}
