package attribution

import (
	"maps"
	"math"
	"slices"
	"time"

	"coltsfootward"
)

const (
	// binWidth is the resolution and binCount the length of the histogram in which the
	// limit of a called route is searched. Longer limits are not found; few requests
	// have more than 4 s left.
	binWidth = time.Millisecond
	binCount = 4096
	// windowBins is the width of a limit's window in bins: the spread of the times at
	// which calls expire, rounded up. surroundingBins is how many bins on either side
	// give the number of votes that the window would hold by chance.
	windowBins      = 3
	surroundingBins = 40
	// minLimit is the shortest limit that is learned. A shorter one is rather the timeout
	// of a call that the request can do without, and a deadline capped to it would take
	// most of the request's time.
	minLimit = 200 * time.Millisecond
	// minExplained is the fraction of the unmatched calls that a limit must explain. If
	// calls have timeouts from when they are made, those that a request makes at once
	// seem to have a limit, but those that it makes later do not.
	// minDeviations is how many standard deviations of chance its votes must exceed. With
	// 4096 windows, four deviations occur by chance now and then.
	minExplained  = 0.8
	minDeviations = 6.0
	// searchInterval is the number of unmatched calls between two searches, voteWindow
	// the number of calls after which the votes are halved.
	searchInterval = 16
	voteWindow     = 512
	// minContradictions is the number of calls that expire beyond a learned limit, at the
	// stated deadline of a request, after which the limit is dropped. The calls that
	// expire at the limit must not be a quarter as many.
	minContradictions   = 16
	contradictionFactor = 4
	// limitOffset is the distance of a limit from the first bin of its window: calls at
	// the limit expire between earliest and latest, and their middle is that of the
	// window.
	limitOffset = (windowBins*binWidth - (latest + earliest)) / 2
	// minCallsPerRequest is the number of attributed calls per request from which a class
	// counts as a caller of a route; fewer may be calls with a wrong parent. It is judged
	// once minRequests have started. After requestWindow requests the counts are halved.
	minCallsPerRequest = 0.25
	minRequests        = 32
	requestWindow      = 512
	// maximumRoutes and maximumClasses bound the memory.
	maximumRoutes  = 32
	maximumClasses = 32
)

// Limit is a limit that was learned: calls of the route expire at the latest this long
// after the start of their parent or, with FromCall, nearly never earlier than this long
// after they are made. After zero means that the limit was dropped.
type Limit struct {
	Route    coltsfootward.RouteName
	After    time.Duration
	FromCall bool
}

// limits learns the limits of called routes from calls that match no stated deadline.
//
// Such a call votes, for each request in service, for the time between the start of the
// request and the expiry of the call. The votes for the true parent fall on the same
// time with every call, and the others spread. The limits of a class's calls determine
// the cap of the deadlines that are stated with its requests.
type limits struct {
	routes  map[coltsfootward.RouteName]*routeLimit
	classes map[coltsfootward.RouteName]*classCalls
	changes []Limit
}

// routeLimit is what is known of the calls of one route.
type routeLimit struct {
	votes [binCount]float32
	// calls is the number of calls that have voted, unsearched how many of them have
	// done so since the last search.
	calls, unsearched int
	limit             time.Duration
	// confirmed counts the calls that expired at the limit, contradicted those that
	// expired beyond it at a stated deadline.
	confirmed, contradicted int
	timeout                 callTimeout
}

// classCalls counts the requests of one class and their calls.
type classCalls struct {
	requests int
	calls    map[coltsfootward.RouteName]int
	// sinceTrial counts the requests since the last one whose deadline was capped to
	// find out whether the class makes calls with timeouts of their own.
	sinceTrial int
	// sinceUncapped counts the requests since the last one that was not capped.
	sinceUncapped int
}

func newLimits() limits {
	return limits{
		routes:  make(map[coltsfootward.RouteName]*routeLimit),
		classes: make(map[coltsfootward.RouteName]*classCalls),
	}
}

// of returns the limit of a called route, if one is known.
func (l *limits) of(route coltsfootward.RouteName) (time.Duration, bool) {
	r, ok := l.routes[route]
	if !ok || r.limit == 0 {
		return 0, false
	}
	return r.limit, true
}

// cap counts a request and returns the time after its start to which its stated deadline
// is capped. That is the longest limit of the calls that requests of its class make. There
// is no cap unless all of these calls have limits: the time after a shorter one can be used
// by the others.
func (l *limits) cap(request Request) (time.Duration, bool) {
	c, ok := l.classes[request.Class]
	if !ok {
		if len(l.classes) >= maximumClasses {
			return 0, false
		}
		c = &classCalls{calls: make(map[coltsfootward.RouteName]int)}
		l.classes[request.Class] = c
	}
	c.requests++
	if c.requests > requestWindow {
		c.halve()
	}
	longest := time.Duration(0)
	for route, calls := range c.calls {
		if c.requests < minRequests || float64(calls) < minCallsPerRequest*float64(c.requests) {
			continue
		}
		limit, ok := l.of(route)
		if ok {
			limit -= capMargin
		} else if limit, ok = l.timeoutOf(route); !ok || !request.sparesAfter(limit) {
			return 0, false
		}
		longest = max(longest, limit)
	}
	if longest == 0 {
		return l.trialCap(c, request)
	}
	c.sinceUncapped++
	if c.sinceUncapped >= uncappedInterval {
		c.sinceUncapped = 0
		return 0, false
	}
	return longest, true
}

func (c *classCalls) halve() {
	c.requests /= 2
	for route := range c.calls {
		c.calls[route] /= 2
	}
}

// matched records the call of a route by a request in service.
func (l *limits) matched(now time.Duration, route coltsfootward.RouteName, parent *entry) {
	if c, ok := l.classes[parent.Class]; ok && (c.calls[route] > 0 || len(c.calls) < maximumRoutes) {
		c.calls[route]++
	}
	if r, ok := l.routes[route]; ok && r.limit > 0 && parent.Start+r.limit < parent.stated {
		r.confirmed++
	}
	if r, ok := l.routes[route]; ok && r.timeout.matched(now) {
		l.changes = append(l.changes, Limit{Route: route, FromCall: true})
	}
}

// unmatched records a call that no request in service can have made by what is known of
// the limits.
func (l *limits) unmatched(now time.Duration, route coltsfootward.RouteName, expires time.Duration, inService []entry) {
	r, ok := l.routes[route]
	if !ok {
		if len(l.routes) >= maximumRoutes {
			return
		}
		r = &routeLimit{}
		l.routes[route] = r
	}
	if r.limit == 0 && r.timeout.unmatched(now, expires-now) {
		l.changes = append(l.changes, Limit{Route: route, After: r.timeout.learned, FromCall: true})
	}
	r.vote(expires, inService)
	if r.limit > 0 && r.isContradicted(expires, inService) {
		l.set(route, 0)
	}
	if r.unsearched < searchInterval {
		return
	}
	r.unsearched = 0
	if limit, ok := r.search(); ok && (limit-r.limit).Abs() > binWidth {
		l.set(route, limit)
	}
}

// set sets the limit of a route. The calls per class are counted anew, because wrong
// parents were found for part of the calls while the limit was not known.
func (l *limits) set(route coltsfootward.RouteName, limit time.Duration) {
	*l.routes[route] = routeLimit{limit: limit}
	clear(l.classes)
	l.changes = append(l.changes, Limit{Route: route, After: limit})
}

// isContradicted counts the call if it expires at a stated deadline beyond the limit, and
// reports whether the limit no longer holds.
func (r *routeLimit) isContradicted(expires time.Duration, inService []entry) bool {
	for _, e := range inService {
		difference := expires - e.stated
		if difference >= earliest && difference <= latest && e.stated > e.Start+r.limit+spacing {
			r.contradicted++
			break
		}
	}
	if r.contradicted < minContradictions {
		return false
	}
	holds := r.confirmed*contradictionFactor >= r.contradicted
	r.confirmed, r.contradicted = 0, 0
	return !holds
}

// vote counts the time from the start of each request in service that has more time
// left than the call.
func (r *routeLimit) vote(expires time.Duration, inService []entry) {
	for _, e := range inService {
		bin := int((expires - e.Start) / binWidth)
		if e.stated > expires && bin >= 0 && bin < binCount {
			r.votes[bin]++
		}
	}
	r.calls++
	r.unsearched++
	if r.calls >= voteWindow {
		r.calls /= 2
		for i := range r.votes {
			r.votes[i] /= 2
		}
	}
}

// search returns the limit that explains the unmatched calls, if there is one.
func (r *routeLimit) search() (time.Duration, bool) {
	best, most := 0, float32(0)
	for i := int(minLimit / binWidth); i+windowBins <= binCount; i++ {
		if sum := r.sum(i, i+windowBins); sum > most {
			best, most = i, sum
		}
	}
	from, to := max(best-surroundingBins, 0), min(best+windowBins+surroundingBins, binCount)
	chance := float64(r.sum(from, to)-most) * windowBins / float64(to-from-windowBins)
	excess := float64(most) - chance
	if excess < minExplained*float64(r.calls) || excess < minDeviations*math.Sqrt(chance+1) {
		return 0, false
	}
	return time.Duration(best)*binWidth + limitOffset, true
}

func (r *routeLimit) sum(from, to int) float32 {
	total := float32(0)
	for _, n := range r.votes[from:to] {
		total += n
	}
	return total
}

// Changes returns the limits that were learned or dropped since the last call.
func (x *Index) Changes() []Limit {
	changes := x.limits.changes
	x.limits.changes = nil
	return changes
}

// Limits returns the limits that are known, ordered by route.
func (x *Index) Limits() []Limit {
	var known []Limit
	for _, route := range slices.Sorted(maps.Keys(x.limits.routes)) {
		if limit, ok := x.limits.of(route); ok {
			known = append(known, Limit{Route: route, After: limit})
		}
	}
	return known
}
