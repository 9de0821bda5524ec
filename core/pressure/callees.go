package pressure

import (
	"maps"
	"slices"
	"time"

	"coltsfootward"
)

const (
	// calleeWindow is the time over which calls and requests in service are
	// counted together: about as long as a request is in service.
	calleeWindow = 100 * time.Millisecond
	// calleeFade is what remains of the sums from one window to the next: they
	// reach back a few minutes.
	calleeFade = 0.9995
	// calleeSolve is the time between two solutions of the sums.
	calleeSolve = time.Second
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
// calls do not name the request that they are made for. In each window it counts
// the calls, and for how long requests of each class were in service. The calls
// per time in service that fit these counts best, none of them negative, are the
// classes' own: least squares, each window weighted by the inverse of its total,
// as for counts of events that come at random.
//
// With much in service at once the fit is uncertain. Where further calls fail it
// does not matter, and there a second look decides: a request of a class that
// makes such calls fails as often as they do. The zero value is ready. It is not
// safe for concurrent use.
type Callees struct {
	index map[coltsfootward.RouteName]int
	list  []*calls
	// products holds the weighted sums of the products of two classes' times.
	products [][]float64
	made     map[coltsfootward.RouteName]*callee
	at       time.Duration
	began    time.Duration
	solved   time.Duration
	// failing is the part of the further calls that have failed of late.
	failing float64
}

// calls is what is known of one class.
type calls struct {
	running int
	runs    float64
	// window is the time in service in the present window, total that of all
	// windows, both in seconds summed over the requests.
	window, total float64
	// expected is how many requests should have failed if the class made calls,
	// failed how many did.
	expected, failed float64
}

// callee is what is known of the calls to one route.
type callee struct {
	window float64
	// sums holds, for each class, the weighted sum of its time times the calls.
	sums []float64
	// rates is the solution: calls per second in service of each class.
	rates []float64
}

func (c *Callees) class(name coltsfootward.RouteName) *calls {
	if c.index == nil {
		c.index = make(map[coltsfootward.RouteName]int)
		c.made = make(map[coltsfootward.RouteName]*callee)
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

// advance counts the time since the last event and closes windows that are over.
func (c *Callees) advance(now time.Duration) {
	passed := max(now-c.at, 0).Seconds()
	c.at = now
	for _, k := range c.list {
		k.window += passed * float64(k.running)
	}
	if now-c.began >= calleeWindow {
		c.began = now
		c.closeWindow()
	}
}

func (c *Callees) closeWindow() {
	total := 0.0
	for _, k := range c.list {
		total += k.window
	}
	if total > 0 {
		c.sum(total)
	}
	for _, k := range c.list {
		k.total = k.total*calleeFade + k.window
		k.runs *= calleeFade
		k.window = 0
	}
	for _, m := range c.made {
		m.window = 0
	}
}

func (c *Callees) sum(total float64) {
	for i, a := range c.list {
		for j, b := range c.list {
			c.products[i][j] = c.products[i][j]*calleeFade + a.window*b.window/total
		}
		for _, m := range c.made {
			m.sums[i] = m.sums[i]*calleeFade + a.window*m.window/total
		}
	}
}

// Began counts a request that began its service.
func (c *Callees) Began(now time.Duration, class coltsfootward.RouteName) {
	c.advance(now)
	k := c.class(class)
	k.running++
	k.runs++
}

// Ended counts one that ended it, and whether the backend server failed it.
func (c *Callees) Ended(now time.Duration, class coltsfootward.RouteName, failed bool) {
	c.advance(now)
	k := c.class(class)
	k.running = max(k.running-1, 0)
	if c.failing < evidenceFrom {
		return
	}
	k.expected = k.expected*evidenceFade + c.failing
	k.failed *= evidenceFade
	if failed {
		k.failed++
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
	if len(c.list) == 0 {
		return // nothing is in service: it is nobody's further call
	}
	m, ok := c.made[route]
	if !ok {
		if len(c.made) >= maximumClasses {
			return
		}
		m = &callee{sums: make([]float64, len(c.list)), rates: make([]float64, len(c.list))}
		c.made[route] = m
	}
	m.window++
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
		own := c.made[route].rates[i] * k.total
		if own/k.runs >= calleeLeast && own >= calleeShare*c.all(c.made[route]) {
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
