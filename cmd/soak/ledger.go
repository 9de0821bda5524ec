package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
)

// ledger records the outcomes that callers saw and the requests that backend servers
// ran. It is safe for concurrent use.
type ledger struct {
	began time.Time
	log   *zap.Logger

	mu       sync.Mutex
	outcomes map[string]outcome
	runs     map[string]int
	poorRuns []time.Duration
	findings []string
	// crashes holds the runs of the request that crashes backend servers, and
	// lastFault when the last other fault ended.
	crashes   []crashRun
	lastFault time.Duration
	// conditions holds what backend servers stated about themselves, arrivals what
	// reached the backend server of each node, and disturbances when faults began that
	// hit each node.
	conditions   []conditionSpan
	arrivals     map[int][]arrival
	disturbances map[int][]time.Duration
}

// outcome is the result of one request as its caller saw it.
type outcome struct {
	order bool
	// status is the response's status code, or zero if there was no complete response.
	// notConnected is set if the connection could not be established.
	status       int
	notConnected bool
	// complete is set if the response has the body that belongs to the request, and a
	// stamp.
	complete bool
	node     int
	// sent is when the request was sent, as the time since the ledger was created.
	sent time.Duration
}

func newLedger() *ledger {
	return &ledger{
		began: time.Now(), log: zap.NewNop(), outcomes: make(map[string]outcome), runs: make(map[string]int),
		arrivals: make(map[int][]arrival), disturbances: make(map[int][]time.Duration),
	}
}

func (l *ledger) now() time.Duration { return time.Since(l.began) }

// recordRun records a request that a backend server runs. It adds a finding if the
// request still carries its API key, or has the wrong organisation or path.
func (l *ledger) recordRun(r *http.Request) {
	id := r.Header.Get(fields.Request)
	organisation, _, _ := strings.Cut(id, "-")
	if routeOf(id) == callRoute {
		organisation = "" // calls of backend servers carry no key
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	if organisation == "poor" {
		l.poorRuns = append(l.poorRuns, l.now())
	}
	if r.Header.Get("Authorization") != "" {
		l.addFinding("request %s reached a backend server with its key", id)
	}
	if got := r.Header.Get(fields.Organisation); got != organisation {
		l.addFinding("request %s ran for organisation %q", id, got)
	}
	if want := "/" + routeOf(id) + "/" + id; r.URL.Path != want {
		l.addFinding("request %s ran with path %s, want %s", id, r.URL.Path, want)
	}
}

// routeOf returns the route that a request's id names.
func routeOf(id string) string {
	switch {
	case strings.Contains(id, "-call-"):
		return callRoute
	case strings.Contains(id, "-order-"):
		return "order"
	default:
		return "urea"
	}
}

// addFinding must be called with the lock held.
func (l *ledger) addFinding(format string, args ...any) {
	l.findings = append(l.findings, fmt.Sprintf(format, args...))
}

func (l *ledger) recordOutcome(id string, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[id] = o
}

// stopWindow is a period in which one node was stopped as planned and no fault was
// active.
type stopWindow struct {
	node     int
	from, to time.Duration
}

// check compares the outcomes with the runs and returns a finding for each violated
// guarantee.
func (l *ledger) check(stops []stopWindow) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, o := range l.outcomes {
		l.checkRequest(id, o, stops)
	}
	l.checkRate()
	l.checkCrashes()
	l.checkConditions()
	slices.Sort(l.findings)
	return l.findings
}

func (l *ledger) checkRequest(id string, o outcome, stops []stopWindow) {
	runs := l.runs[id]
	switch {
	case o.order && runs > 1:
		l.addFinding("order %s ran %d times", id, runs)
	case o.order && meansNotRun(o.status) && runs > 0:
		l.addFinding("order %s was answered %d and has run", id, o.status)
	}
	switch {
	case o.status >= http.StatusOK && o.status < http.StatusMultipleChoices:
		if !o.complete || runs == 0 {
			l.addFinding("request %s was answered %d, whole: %t, runs: %d", id, o.status, o.complete, runs)
		}
	case o.status >= http.StatusBadRequest && o.status < http.StatusInternalServerError && !meansNotRun(o.status):
		l.addFinding("request %s, which is allowed, was answered %d", id, o.status)
	case o.status == 0 && !o.notConnected && runs > 0 && sentDuringStop(o, stops):
		l.addFinding("request %s to node %d was cut off by a planned stop (sent at %v)", id, o.node, o.sent.Round(time.Millisecond))
	}
}

// meansNotRun reports whether a response with that status guarantees that no backend
// server has run the request.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

func sentDuringStop(o outcome, stops []stopWindow) bool {
	return slices.ContainsFunc(stops, func(w stopWindow) bool {
		return w.node == o.node && o.sent >= w.from && o.sent <= w.to
	})
}

// An organisation may run at most its rate and burst in any rateWindow. rateMargin
// allows a tenth more, and rateSlack allows for requests that reach the stand-ins late.
const (
	rateWindow = 5 * time.Second
	rateMargin = 1.1
	rateSlack  = 20
)

func (l *ledger) checkRate() {
	limit := int((poorRate*rateWindow.Seconds()+poorBurst)*rateMargin) + rateSlack
	from := 0
	for i, at := range l.poorRuns {
		for at-l.poorRuns[from] > rateWindow {
			from++
		}
		if i-from+1 > limit {
			l.addFinding("%d requests of the limited organisation ran in the %v up to %v, want at most %d", i-from+1, rateWindow, at, limit)
			return
		}
	}
}

// statusCounts counts the requests that were sent at or after since, without those of
// the rate-limited organisation. It returns the number that were served, the number of
// all, and their numbers by status.
func (l *ledger) statusCounts(since time.Duration) (served, all int, byStatus map[int]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byStatus = make(map[int]int)
	for id, o := range l.outcomes {
		if o.sent < since || strings.HasPrefix(id, "poor") {
			continue
		}
		all++
		byStatus[o.status]++
		if o.status == http.StatusOK {
			served++
		}
	}
	return served, all, byStatus
}

func (l *ledger) served(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outcomes[id].status == http.StatusOK
}
