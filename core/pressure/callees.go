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
	calleeRuns  = 10.0
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
	// maximumClasses bounds the classes that are told apart; the sums grow with
	// their square. Later ones are taken to make no calls.
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
// With much in service at once the fit is uncertain. Where further calls fail it
// does not matter, and there a second look decides: a request of a class that
// makes such calls fails as often as they do. The zero value is ready. It is not
// safe for concurrent use.
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

// calls is what is known of one class.
type calls struct {
	runs float64
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
	if len(c.list) >= maximumClasses {
		return &calls{}
	}
	k := &calls{}
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
	if c.failing < evidenceFrom {
		return
	}
	k.expected = k.expected*evidenceFade + c.failing
	k.failed *= evidenceFade
	if failed {
		k.failed++
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

// CallEnded counts the end of a further call, and whether it failed.
func (c *Callees) CallEnded(failed bool) {
	c.failing -= failedWeight * c.failing
	if failed {
		c.failing += failedWeight
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
	m, ok := c.made[route]
	if !ok {
		if len(c.made) >= maximumClasses {
			return
		}
		if c.made == nil {
			c.made = make(map[coltsfootward.RouteName]*callee)
		}
		m = &callee{sums: make([]float64, len(c.list)), rates: make([]float64, len(c.list))}
		c.made[route] = m
	}
	m.windows[c.newest%calleeWindows]++
}

// Of returns the routes that requests of a class call, sorted.
func (c *Callees) Of(now time.Duration, class coltsfootward.RouteName) []coltsfootward.RouteName {
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
	var found []coltsfootward.RouteName
	for _, route := range slices.Sorted(maps.Keys(c.made)) {
		own := c.made[route].rates[i]
		if own >= calleeLeast && own*k.total >= calleeShare*c.all(c.made[route]) {
			found = append(found, route)
		}
	}
	return found
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
