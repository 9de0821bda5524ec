package pressure

import (
	"maps"
	"slices"
	"time"

	"coltsfootward"
)

const (
	// callWindow is the length of the windows in which calls and requests in service
	// are counted, and openWindows is the number of windows kept open. Nearly every
	// request spends less time in service than the open windows cover together. The
	// part of a longer request before the oldest open window is not counted.
	callWindow  = 100 * time.Millisecond
	openWindows = 8
	// windowDecay is the factor by which the sums of the fit decay with each closed
	// window, so that they cover the last few minutes.
	windowDecay = 0.9995
	// solveInterval is the time between two solutions of the fit.
	solveInterval = 250 * time.Millisecond
	// minCallsPerRequest is the average number of calls per request from which a
	// class counts as a caller of a route. minClassRequests is the number of requests
	// that must have ended before the calls of a class are reported.
	minCallsPerRequest = 0.3
	minClassRequests   = 4.0
	// minCallShare is the share of all calls to a route that a class must make to
	// count as a caller. Refusing a class below this share would hardly relieve the
	// service, and the calls that the fit attributes to such a class are mostly
	// noise.
	minCallShare = 0.1
	// solveIterations is the number of iterations per solution; with a few classes
	// the fit converges within 20.
	solveIterations = 40
	// A class is taken to make no child calls if many of its requests ended while
	// child calls were failing, and hardly any of these requests failed.
	// minExpectedFailures is the number of failures that must have been expected of
	// the class for that decision. A class with less than minFailureShare of its
	// expected failures makes no calls. Failures are counted only while at least
	// minFailureRate of all child calls fail.
	minExpectedFailures = 3.0
	minFailureShare     = 0.3
	minFailureRate      = 0.05
	// A class with at least affectedShare of its expected failures makes calls.
	affectedShare = 0.6
	// failureDecay is the factor by which the failure counts of a class decay with
	// each of its requests.
	failureDecay = 0.998
	// failureRateWeight is the EWMA weight of the newest call in the failure rate.
	failureRateWeight = 0.02
	// A mean latency counts as increased when it exceeds its baseline by more than
	// slowedFraction of the baseline and by more than slowedMinSeconds; a smaller
	// increase may be noise. A request that makes a slower call takes longer by at
	// least the increase of that call. A class counts as delayed from delayedFraction
	// of this increase.
	slowedFraction   = 0.5
	slowedMinSeconds = 0.02
	delayedFraction  = 0.6
	// latencyWeight is the EWMA weight of the newest sample in a mean latency,
	// latencyMinSamples is the number of samples that establish a baseline, and
	// baselineDrift is the weight with which a baseline follows a mean above it.
	latencyWeight     = 0.1
	latencyMinSamples = 8
	baselineDrift     = 0.0005
	// maximumClasses bounds the number of classes, and of the routes that they call;
	// memory for the sums grows with its square. A further class or route replaces
	// the one with the fewest recent requests or calls.
	maximumClasses = 32
)

// Callees estimates how many calls to each route the requests of a class make,
// although the calls do not name their parent request. Time is divided into windows.
// A request that has ended counts in each window with the share of its service time
// that falls into the window. The estimate is the non-negative least-squares fit of
// calls per request to the calls in the windows, with each window weighted by the
// inverse of its number of requests, as is usual for counts of random events.
//
// The fit is for calls per request and not for calls per time in service, because the
// latter drops to a fraction while the called services are saturated. A fit of calls
// per time in service, over windows with and without saturation, attributed calls to a
// class that makes none and whose service time had not changed. That class was then
// refused for lack of capacity at a service that it does not need.
//
// With many requests in service at once, the fit remains uncertain for minutes. It
// matters only once a called service is saturated, and then the requests themselves
// show whether they depend on it. While calls to a route take longer than their
// baseline, a request that makes such a call takes longer by the same amount, and a
// request that makes none does not. Nodes that used the fit alone confused the
// classes, and entry nodes then admitted the least important requests, which seemed
// not to need the saturated service, and refused the most important ones. Similarly,
// requests that make child calls fail as often as these calls do.
//
// The zero value is ready for use. Callees is not safe for concurrent use.
type Callees struct {
	// FailuresConfirm makes a class that fails as often as the child calls count as
	// their caller although its requests do not seem delayed. While nearly all of its
	// requests fail, the few that are answered do not show the delay.
	FailuresConfirm bool

	index   map[coltsfootward.RouteName]int
	classes []*classStats
	// normalMatrix is the matrix of the normal equations: for each pair of classes,
	// the weighted sum of the products of their requests per window.
	normalMatrix [][]float64
	routes       map[coltsfootward.RouteName]*routeStats
	// newestWindow is the number of the newest window, counted from time zero.
	newestWindow int64
	solvedAt     time.Duration
	// failureRate is the moving average of the fraction of child calls that fail.
	failureRate float64
}

// latency tracks a mean latency in seconds: the baseline without overload, and the
// current value.
type latency struct {
	baseline, mean float64
	samples        int
}

func (l *latency) observe(took time.Duration) {
	l.samples++
	l.mean += max(latencyWeight, 1/float64(l.samples)) * (took.Seconds() - l.mean)
	switch {
	case l.samples < latencyMinSamples:
	case l.samples == latencyMinSamples || l.mean < l.baseline:
		l.baseline = l.mean
	default:
		l.baseline += baselineDrift * (l.mean - l.baseline)
	}
}

// increase returns by how much the current mean exceeds the baseline, in seconds. It
// is zero while there is no baseline.
func (l *latency) increase() float64 {
	if l.samples < latencyMinSamples {
		return 0
	}
	return l.mean - l.baseline
}

// slowed reports whether the current mean exceeds the baseline by more than noise.
func (l *latency) slowed() bool {
	return l.increase() > max(slowedFraction*l.baseline, slowedMinSeconds)
}

// classStats holds the observations of one class of requests.
type classStats struct {
	name coltsfootward.RouteName
	// requests is the decayed number of requests that have ended.
	requests float64
	// latency is the time in service of the requests that did not fail.
	latency latency
	// delayed records for each route whether requests of the class take longer while
	// calls to the route do. It has no entry for a route whose calls have never
	// slowed down.
	delayed map[coltsfootward.RouteName]bool
	// windows holds the number of requests in each open window, indexed by the number
	// of the window modulo openWindows. closedTotal is the decayed sum over the
	// closed windows.
	windows     [openWindows]float64
	closedTotal float64
	// expectedFailures is the number of requests that would have failed if the class
	// made child calls, and failures is the number that did fail. Both decay.
	expectedFailures, failures float64
}

// routeStats holds the observations of the calls to one route.
type routeStats struct {
	// latency is the duration of the calls that did not fail, callCount the decayed
	// number of all calls.
	latency   latency
	callCount float64
	windows   [openWindows]float64
	// normalVector is the right-hand side of the normal equations: for each class,
	// the weighted sum of the products of its requests and the calls per window.
	normalVector []float64
	// callsPerRequest is the solution of the fit for each class.
	callsPerRequest []float64
	// attributed is the decayed number of calls for each class that are known to be
	// made by its requests, attributedCount that for all classes, and startedCount the
	// decayed number of all calls.
	attributed                    []float64
	attributedCount, startedCount float64
}

func (c *Callees) class(name coltsfootward.RouteName) *classStats {
	if c.index == nil {
		c.index = make(map[coltsfootward.RouteName]int)
	}
	if i, ok := c.index[name]; ok {
		return c.classes[i]
	}
	k := &classStats{name: name, delayed: make(map[coltsfootward.RouteName]bool)}
	if len(c.classes) >= maximumClasses {
		c.replaceLeastSeen(k)
		return k
	}
	c.index[name] = len(c.classes)
	c.classes = append(c.classes, k)
	for i := range c.normalMatrix {
		c.normalMatrix[i] = append(c.normalMatrix[i], 0)
	}
	c.normalMatrix = append(c.normalMatrix, make([]float64, len(c.classes)))
	for _, m := range c.routes {
		m.normalVector = append(m.normalVector, 0)
		m.callsPerRequest = append(m.callsPerRequest, 0)
		m.attributed = append(m.attributed, 0)
	}
	return k
}

// replaceLeastSeen replaces the class with the fewest recent requests by k.
//
// New configurations bring new route names. Without replacement, the first 32 names
// ever seen, including those of single probes, would stay for good, and a node that
// has run for weeks would have no estimate for any current route.
func (c *Callees) replaceLeastSeen(k *classStats) {
	least := 0
	for i, old := range c.classes {
		if old.requests < c.classes[least].requests {
			least = i
		}
	}
	delete(c.index, c.classes[least].name)
	c.index[k.name] = least
	c.classes[least] = k
	for i := range c.normalMatrix {
		c.normalMatrix[i][least] = 0
		c.normalMatrix[least][i] = 0
	}
	for _, m := range c.routes {
		m.normalVector[least] = 0
		m.callsPerRequest[least] = 0
		m.attributed[least] = 0
	}
}

// route returns the observations of the calls to a route, and creates them if
// necessary.
func (c *Callees) route(route coltsfootward.RouteName) *routeStats {
	if c.routes == nil {
		c.routes = make(map[coltsfootward.RouteName]*routeStats)
	}
	if m, ok := c.routes[route]; ok {
		return m
	}
	if len(c.routes) >= maximumClasses {
		least := route
		for _, name := range slices.Sorted(maps.Keys(c.routes)) {
			if least == route || c.routes[name].callCount < c.routes[least].callCount {
				least = name
			}
		}
		delete(c.routes, least)
		for _, k := range c.classes {
			delete(k.delayed, least)
		}
	}
	m := &routeStats{
		normalVector: make([]float64, len(c.classes)), callsPerRequest: make([]float64, len(c.classes)),
		attributed: make([]float64, len(c.classes)),
	}
	c.routes[route] = m
	return m
}

// advance opens the windows up to now. Each takes the place of the oldest open window,
// which is closed.
func (c *Callees) advance(now time.Duration) {
	number := int64(now / callWindow)
	if number-c.newestWindow > openWindows {
		c.newestWindow = max(c.newestWindow, number-2*openWindows)
	}
	for c.newestWindow < number {
		c.newestWindow++
		c.closeWindow(int(c.newestWindow % openWindows))
	}
}

// closeWindow adds the window at a ring index to the sums and clears it.
func (c *Callees) closeWindow(index int) {
	total := 0.0
	for _, k := range c.classes {
		total += k.windows[index]
	}
	if total > 0 {
		c.accumulate(index, total)
	}
	for _, k := range c.classes {
		k.closedTotal = k.closedTotal*windowDecay + k.windows[index]
		k.requests *= windowDecay
		k.windows[index] = 0
	}
	for _, m := range c.routes {
		m.callCount = m.callCount*windowDecay + m.windows[index]
		m.decayAttributed()
		m.windows[index] = 0
	}
}

// accumulate adds the window at a ring index, with total requests, to the normal
// equations.
func (c *Callees) accumulate(index int, total float64) {
	for i, a := range c.classes {
		for j, b := range c.classes {
			c.normalMatrix[i][j] = c.normalMatrix[i][j]*windowDecay + a.windows[index]*b.windows[index]/total
		}
		for _, m := range c.routes {
			m.normalVector[i] = m.normalVector[i]*windowDecay + a.windows[index]*m.windows[index]/total
		}
	}
}

// RequestEnded records the end of a request that entered service at began. failed is
// set if the backend server failed the request.
func (c *Callees) RequestEnded(now, began time.Duration, class coltsfootward.RouteName, failed bool) {
	c.advance(now)
	k := c.class(class)
	k.requests++
	k.addToWindows(began, now)
	if !failed {
		k.latency.observe(now - began)
	}
	c.updateDelayed(k)
	if c.failureRate < minFailureRate {
		return
	}
	k.expectedFailures = k.expectedFailures*failureDecay + c.failureRate
	k.failures *= failureDecay
	if failed {
		k.failures++
	}
}

// updateDelayed records, for each route whose calls are slowed, whether requests of
// the class are delayed as well.
func (c *Callees) updateDelayed(k *classStats) {
	if k.latency.samples < latencyMinSamples {
		return
	}
	for route, m := range c.routes {
		if m.latency.slowed() {
			k.delayed[route] = k.latency.increase() >= delayedFraction*m.latency.increase()
		}
	}
}

// addToWindows adds one request to the open windows, divided in proportion to the time
// that it was in service during each.
func (k *classStats) addToWindows(began, ended time.Duration) {
	duration := max(ended-began, 1)
	for from := max(began, ended-(openWindows-1)*callWindow); from < ended; {
		to := min((from/callWindow+1)*callWindow, ended)
		k.windows[int(from/callWindow)%openWindows] += float64(to-from) / float64(duration)
		from = to
	}
}

// CallEnded records the end of a child call, its duration, and whether it failed.
func (c *Callees) CallEnded(route coltsfootward.RouteName, took time.Duration, failed bool) {
	c.failureRate -= failureRateWeight * c.failureRate
	if failed {
		c.failureRate += failureRateWeight
		return
	}
	if m, ok := c.routes[route]; ok {
		m.latency.observe(took)
	}
}

// unaffected reports whether requests of the class have succeeded while child calls
// failed, which means that the class makes no child calls.
func (k *classStats) unaffected() bool {
	return k.expectedFailures >= minExpectedFailures && k.failures < minFailureShare*k.expectedFailures
}

// affected reports whether requests of the class fail as often as child calls do at
// present, which means that the class makes child calls.
func (c *Callees) affected(k *classStats) bool {
	return c.FailuresConfirm && c.failureRate >= minFailureRate &&
		k.expectedFailures >= minExpectedFailures && k.failures >= affectedShare*k.expectedFailures
}

// CallStarted records the start of a child call of an unknown request.
func (c *Callees) CallStarted(now time.Duration, route coltsfootward.RouteName) {
	c.advance(now)
	m := c.route(route)
	m.windows[c.newestWindow%openWindows]++
	m.startedCount++
}

// Callee is a route that requests of a class call.
type Callee struct {
	Route coltsfootward.RouteName
	// CallsPerRequest is the average number of calls that a request makes.
	CallsPerRequest float64
}

// Of returns the routes that requests of a class call, sorted by name.
func (c *Callees) Of(now time.Duration, class coltsfootward.RouteName) []Callee {
	i, ok := c.index[class]
	if !ok || c.classes[i].requests < minClassRequests {
		return nil
	}
	if now-c.solvedAt >= solveInterval {
		c.solvedAt = now
		c.solve()
	}
	var callees []Callee
	for _, route := range slices.Sorted(maps.Keys(c.routes)) {
		if calls, ok := c.callsOf(i, route); ok {
			callees = append(callees, Callee{Route: route, CallsPerRequest: calls})
		}
	}
	return callees
}

// callsOf returns how many calls to a route a request of the class at index i makes. It
// returns false if the class does not count as a caller of the route.
func (c *Callees) callsOf(i int, route coltsfootward.RouteName) (float64, bool) {
	m := c.routes[route]
	if m.attributes() {
		calls := m.attributedCalls(i, c.classes[i].requests)
		return calls, calls >= minCallsPerRequest
	}
	if c.classes[i].unaffected() || !c.callsRoute(i, route) {
		return 0, false
	}
	return max(m.callsPerRequest[i], minCallsPerRequest), true
}

// callsRoute reports whether requests of the class at index i call a route. The fit
// must attribute calls to the class and, once calls to the route have slowed down,
// the class must have slowed down as well. The delay alone is not sufficient: on a
// nearly saturated server, a class whose own work has slowed down for another reason
// seems delayed by calls that it does not make. As a presumed caller it would be
// refused for lack of capacity at a service that it does not need.
func (c *Callees) callsRoute(i int, route coltsfootward.RouteName) bool {
	k, m := c.classes[i], c.routes[route]
	if delayed, known := k.delayed[route]; known && !delayed && !c.affected(k) {
		return false
	}
	return m.callsPerRequest[i] >= minCallsPerRequest && m.callsPerRequest[i]*k.closedTotal >= minCallShare*c.totalCalls(m)
}

// totalCalls returns the number of calls to a route that the fit attributes to all
// classes together.
func (c *Callees) totalCalls(m *routeStats) float64 {
	sum := 0.0
	for i, k := range c.classes {
		sum += m.callsPerRequest[i] * k.closedTotal
	}
	return sum
}

// solve computes the calls per request by coordinate descent with non-negative
// values.
func (c *Callees) solve() {
	for _, m := range c.routes {
		for range solveIterations {
			for i := range c.classes {
				if c.normalMatrix[i][i] > 0 {
					m.callsPerRequest[i] = max(m.callsPerRequest[i]+(m.normalVector[i]-dot(c.normalMatrix[i], m.callsPerRequest))/c.normalMatrix[i][i], 0)
				}
			}
		}
	}
}

func dot(a, b []float64) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}
