package pressure

import (
	"maps"
	"slices"
	"time"

	"coltsfootward"
)

const (
	// calleeWindow is the time over which calls and requests in service are
	// counted together, and calleeWindows how many windows are kept open: longer
	// than nearly every request is in service. What a longer one did before counts
	// for nobody.
	calleeWindow  = 100 * time.Millisecond
	calleeWindows = 8
	// calleeFade is what remains of the sums from one window to the next: they
	// reach back a few minutes.
	calleeFade = 0.9995
	// calleeSolve is the time between two solutions of the sums.
	calleeSolve = 250 * time.Millisecond
	// calleeLeast is how many further calls a request makes on average to count
	// as one that makes them, and calleeRuns how many requests must have been seen.
	calleeLeast = 0.3
	calleeRuns  = 4.0
	// calleeShare is the part of all calls to a route that a class must make.
	// Below it refusing the class would hardly relieve the service, and what the
	// fit gives to such a class is mostly chance.
	calleeShare = 0.1
	// calleeSteps is how often the solution is improved; a few classes settle
	// within twenty.
	calleeSteps = 40
	// A class of which many requests ended while further calls failed, and of
	// whose own hardly any failed, makes none: evidenceLeast is how many failures
	// there should have been, evidenceShare the part of them that there must be,
	// evidenceFrom the part of all calls that must fail for the evidence to count.
	evidenceLeast = 3.0
	evidenceShare = 0.3
	evidenceFrom  = 0.05
	// evidenceFade is what remains of the evidence with each request.
	evidenceFade = 0.998
	// failedWeight is the weight of the newest call in the part that fails.
	failedWeight = 0.02
	// A time counts as grown when its present mean lies slowedPart of its base, and
	// slowedLeast seconds, above it: less may be chance. A request that makes such a
	// call takes longer by that much at least; delayedPart of it is asked for.
	slowedPart  = 0.5
	slowedLeast = 0.02
	delayedPart = 0.6
	// timeWeight is the weight of the newest time in the present mean, timeRuns how
	// many times make a base, and baseDrift how fast a base follows a mean above it.
	timeWeight = 0.1
	timeRuns   = 8
	baseDrift  = 0.0005
	// maximumClasses bounds the classes that are told apart, and the routes that
	// they call; the sums grow with their square. A further one takes the place of
	// the one that has been seen least of late.
	maximumClasses = 32
)

// Callees learns which further calls the requests of each class make, though the
// calls do not name the request that they are made for. Time is cut into windows.
// A request that has ended counts in each window for the part of its service that
// fell into it, and the calls per request that fit the windows' calls best, none
// of them negative, are the classes' own: least squares, each window weighted by
// the inverse of its requests, as for counts of events that come at random.
//
// Calls per request are looked for and not calls per time in service, which drop
// to a part when the services below are full: fitted to both, a class that makes
// no calls and takes as long as ever seemed to make some, and was refused for
// want of room at a service that it does not need.
//
// With much in service at once the fit is uncertain for minutes, but it matters
// only once a service below is full, and then the requests show it themselves. If
// calls to a route take longer than in calm, a request that makes one takes longer
// by as much, and one that makes none does not. Nodes that went by the fit alone
// took one class for another: entry nodes then let the least important requests
// pass, which seemed not to need the full service, and refused the most important.
// In the same way a request that makes calls fails as often as they do. The zero
// value is ready. It is not safe for concurrent use.
type Callees struct {
	index map[coltsfootward.RouteName]int
	list  []*calls
	// products holds the weighted sums of the products of two classes' requests.
	products [][]float64
	made     map[coltsfootward.RouteName]*callee
	// newest is the number of the newest window, counted from time zero.
	newest int64
	solved time.Duration
	// failing is the part of the further calls that have failed of late.
	failing float64
}

// times are how long something takes, in seconds: in calm, and at present.
type times struct {
	base, current float64
	seen          int
}

func (t *times) observe(took time.Duration) {
	t.seen++
	t.current += max(timeWeight, 1/float64(t.seen)) * (took.Seconds() - t.current)
	switch {
	case t.seen < timeRuns:
	case t.seen == timeRuns || t.current < t.base:
		t.base = t.current
	default:
		t.base += baseDrift * (t.current - t.base)
	}
}

// grown returns by how much it takes longer than in calm; zero if nothing is known.
func (t *times) grown() float64 {
	if t.seen < timeRuns {
		return 0
	}
	return t.current - t.base
}

// slowed reports whether it takes longer beyond chance.
func (t *times) slowed() bool { return t.grown() > max(slowedPart*t.base, slowedLeast) }

// calls is what is known of one class.
type calls struct {
	name coltsfootward.RouteName
	runs float64
	// took is how long its requests that did not fail were in service.
	took times
	// delayed says for each route whether its requests take longer when calls to
	// the route do; a route that never did is missing.
	delayed map[coltsfootward.RouteName]bool
	// windows holds the requests in each open window, by the window's number
	// modulo calleeWindows; total counts those of closed ones.
	windows [calleeWindows]float64
	total   float64
	// expected is how many requests should have failed if the class made calls,
	// failed how many did.
	expected, failed float64
}

// callee is what is known of the calls to one route.
type callee struct {
	// took is how long those took that did not fail, calls how many there were.
	took    times
	calls   float64
	windows [calleeWindows]float64
	// sums holds, for each class, the weighted sum of its requests times the calls.
	sums []float64
	// rates is the solution: calls per request of each class.
	rates []float64
}

func (c *Callees) class(name coltsfootward.RouteName) *calls {
	if c.index == nil {
		c.index = make(map[coltsfootward.RouteName]int)
	}
	if i, ok := c.index[name]; ok {
		return c.list[i]
	}
	k := &calls{name: name, delayed: make(map[coltsfootward.RouteName]bool)}
	if len(c.list) >= maximumClasses {
		c.replace(k)
		return k
	}
	c.index[name] = len(c.list)
	c.list = append(c.list, k)
	for i := range c.products {
		c.products[i] = append(c.products[i], 0)
	}
	c.products = append(c.products, make([]float64, len(c.list)))
	for _, m := range c.made {
		m.sums = append(m.sums, 0)
		m.rates = append(m.rates, 0)
	}
	return k
}

// replace puts a class in the place of the one that has been seen least of late.
//
// Routes get new names with new configurations. Without it the first 32 names
// ever seen, probes of single requests among them, would keep the places for good,
// and a node that has run for weeks would know nothing of the present ones.
func (c *Callees) replace(k *calls) {
	place := 0
	for i, old := range c.list {
		if old.runs < c.list[place].runs {
			place = i
		}
	}
	delete(c.index, c.list[place].name)
	c.index[k.name] = place
	c.list[place] = k
	for i := range c.products {
		c.products[i][place] = 0
		c.products[place][i] = 0
	}
	for _, m := range c.made {
		m.sums[place] = 0
		m.rates[place] = 0
	}
}

// callee returns what is known of the calls to a route.
func (c *Callees) callee(route coltsfootward.RouteName) *callee {
	if c.made == nil {
		c.made = make(map[coltsfootward.RouteName]*callee)
	}
	if m, ok := c.made[route]; ok {
		return m
	}
	if len(c.made) >= maximumClasses {
		least := route
		for _, name := range slices.Sorted(maps.Keys(c.made)) {
			if least == route || c.made[name].calls < c.made[least].calls {
				least = name
			}
		}
		delete(c.made, least)
		for _, k := range c.list {
			delete(k.delayed, least)
		}
	}
	m := &callee{sums: make([]float64, len(c.list)), rates: make([]float64, len(c.list))}
	c.made[route] = m
	return m
}

// advance closes the windows that are too old for the time now.
func (c *Callees) advance(now time.Duration) {
	number := int64(now / calleeWindow)
	if number-c.newest > calleeWindows {
		c.newest = max(c.newest, number-2*calleeWindows)
	}
	for c.newest < number {
		c.newest++
		c.closeWindow(int(c.newest % calleeWindows))
	}
}

// closeWindow takes the window at a place into the sums and empties the place.
func (c *Callees) closeWindow(place int) {
	total := 0.0
	for _, k := range c.list {
		total += k.windows[place]
	}
	if total > 0 {
		c.sum(place, total)
	}
	for _, k := range c.list {
		k.total = k.total*calleeFade + k.windows[place]
		k.runs *= calleeFade
		k.windows[place] = 0
	}
	for _, m := range c.made {
		m.calls = m.calls*calleeFade + m.windows[place]
		m.windows[place] = 0
	}
}

func (c *Callees) sum(place int, total float64) {
	for i, a := range c.list {
		for j, b := range c.list {
			c.products[i][j] = c.products[i][j]*calleeFade + a.windows[place]*b.windows[place]/total
		}
		for _, m := range c.made {
			m.sums[i] = m.sums[i]*calleeFade + a.windows[place]*m.windows[place]/total
		}
	}
}

// Ended counts a request that was in service since began, and whether the backend
// server failed it.
func (c *Callees) Ended(now, began time.Duration, class coltsfootward.RouteName, failed bool) {
	c.advance(now)
	k := c.class(class)
	k.runs++
	k.spread(began, now)
	if !failed {
		k.took.observe(now - began)
	}
	c.compare(k)
	if c.failing < evidenceFrom {
		return
	}
	k.expected = k.expected*evidenceFade + c.failing
	k.failed *= evidenceFade
	if failed {
		k.failed++
	}
}

// compare looks which routes' calls take longer than in calm, and whether requests
// of the class do so too.
func (c *Callees) compare(k *calls) {
	if k.took.seen < timeRuns {
		return
	}
	for route, m := range c.made {
		if m.took.slowed() {
			k.delayed[route] = k.took.grown() >= delayedPart*m.took.grown()
		}
	}
}

// spread counts one request in the windows that its service fell into.
func (k *calls) spread(began, ended time.Duration) {
	whole := max(ended-began, 1)
	for from := max(began, ended-(calleeWindows-1)*calleeWindow); from < ended; {
		to := min((from/calleeWindow+1)*calleeWindow, ended)
		k.windows[int(from/calleeWindow)%calleeWindows] += float64(to-from) / float64(whole)
		from = to
	}
}

// CallEnded counts the end of a further call, how long it took, and whether it
// failed.
func (c *Callees) CallEnded(route coltsfootward.RouteName, took time.Duration, failed bool) {
	c.failing -= failedWeight * c.failing
	if failed {
		c.failing += failedWeight
		return
	}
	if m, ok := c.made[route]; ok {
		m.took.observe(took)
	}
}

// spared reports whether the class has been seen not to suffer from calls that
// failed.
func (k *calls) spared() bool {
	return k.expected >= evidenceLeast && k.failed < evidenceShare*k.expected
}

// Called counts a further call.
func (c *Callees) Called(now time.Duration, route coltsfootward.RouteName) {
	c.advance(now)
	c.callee(route).windows[c.newest%calleeWindows]++
}

// Callee is a route that requests of a class call.
type Callee struct {
	Route coltsfootward.RouteName
	// PerRequest is how many calls a request makes on average.
	PerRequest float64
}

// Of returns the routes that requests of a class call, sorted.
func (c *Callees) Of(now time.Duration, class coltsfootward.RouteName) []Callee {
	i, ok := c.index[class]
	if !ok || c.list[i].runs < calleeRuns {
		return nil
	}
	if now-c.solved >= calleeSolve {
		c.solved = now
		c.solve()
	}
	k := c.list[i]
	if k.spared() {
		return nil
	}
	var found []Callee
	for _, route := range slices.Sorted(maps.Keys(c.made)) {
		if c.makes(i, route) {
			found = append(found, Callee{Route: route, PerRequest: max(c.made[route].rates[i], calleeLeast)})
		}
	}
	return found
}

// makes reports whether requests of a class make calls to a route: if the fit says
// so, and the class takes longer when such calls do. A class whose own work has
// become slower for another reason, on a server that is nearly full, seems delayed
// by calls that it doesn't make; taken for a caller, it would be refused for a
// service that it doesn't need.
func (c *Callees) makes(i int, route coltsfootward.RouteName) bool {
	k, m := c.list[i], c.made[route]
	if delayed, known := k.delayed[route]; known && !delayed {
		return false
	}
	return m.rates[i] >= calleeLeast && m.rates[i]*k.total >= calleeShare*c.all(m)
}

// all returns how many calls to a route the fit gives to all classes.
func (c *Callees) all(m *callee) float64 {
	sum := 0.0
	for i, k := range c.list {
		sum += m.rates[i] * k.total
	}
	return sum
}

// solve finds the rates by improving one class's at a time.
func (c *Callees) solve() {
	for _, m := range c.made {
		for range calleeSteps {
			for i := range c.list {
				if c.products[i][i] > 0 {
					m.rates[i] = max(m.rates[i]+(m.sums[i]-dot(c.products[i], m.rates))/c.products[i][i], 0)
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
