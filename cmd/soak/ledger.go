package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// ledger holds what callers were told and what backend servers saw. It is safe for
// concurrent use.
type ledger struct {
	began time.Time

	mu    sync.Mutex
	told  map[string]told
	runs  map[string]int
	poor  []time.Duration
	wrong []string
}

// told is what a caller was told about one request.
type told struct {
	order bool
	// status is zero where the connection ended without an answer; refused is set
	// where it was never made.
	status  int
	refused bool
	whole   bool
	node    int
	// sent is the time since the ledger began.
	sent time.Duration
}

func newLedger() *ledger {
	return &ledger{began: time.Now(), told: make(map[string]told), runs: make(map[string]int)}
}

func (l *ledger) now() time.Duration { return time.Since(l.began) }

// ran takes in a run at a backend server.
func (l *ledger) ran(r *http.Request) {
	id := r.Header.Get(fields.Request)
	organisation, _, _ := strings.Cut(id, "-")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	if organisation == "poor" {
		l.poor = append(l.poor, l.now())
	}
	if r.Header.Get("Authorization") != "" {
		l.note("request %s reached a backend server with its key", id)
	}
	if got := r.Header.Get(fields.Organisation); got != organisation {
		l.note("request %s ran for organisation %q", id, got)
	}
	if want := "/" + kindOf(id) + "/" + id; r.URL.Path != want {
		l.note("request %s ran with path %s, want %s", id, r.URL.Path, want)
	}
}

// kindOf returns the route of a request by its name.
func kindOf(id string) string {
	if strings.Contains(id, "-order-") {
		return "order"
	}
	return "urea"
}

// note is called with the lock held.
func (l *ledger) note(format string, args ...any) {
	l.wrong = append(l.wrong, fmt.Sprintf(format, args...))
}

func (l *ledger) tell(id string, t told) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[id] = t
}

// window is a time in which one node was stopped and nothing else was wrong.
type window struct {
	node     int
	from, to time.Duration
}

// check compares both sides and returns what breaks a promise.
func (l *ledger) check(planned []window) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, t := range l.told {
		l.checkOne(id, t, planned)
	}
	l.checkRate()
	slices.Sort(l.wrong)
	return l.wrong
}

func (l *ledger) checkOne(id string, t told, planned []window) {
	runs := l.runs[id]
	switch {
	case t.order && runs > 1:
		l.note("order %s ran %d times", id, runs)
	case t.order && promisesNotRun(t.status) && runs > 0:
		l.note("order %s was answered %d and has run", id, t.status)
	}
	switch {
	case t.status >= http.StatusOK && t.status < http.StatusMultipleChoices:
		if !t.whole || runs == 0 {
			l.note("request %s was answered %d, whole: %t, runs: %d", id, t.status, t.whole, runs)
		}
	case t.status >= http.StatusBadRequest && t.status < http.StatusInternalServerError && !promisesNotRun(t.status):
		l.note("request %s, which is allowed, was answered %d", id, t.status)
	case t.status == 0 && !t.refused && runs > 0 && cutByStop(t, planned):
		l.note("request %s to node %d was cut off by a planned stop (sent at %v)", id, t.node, t.sent.Round(time.Millisecond))
	}
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

func cutByStop(t told, planned []window) bool {
	return slices.ContainsFunc(planned, func(w window) bool {
		return w.node == t.node && t.sent >= w.from && t.sent <= w.to
	})
}

// The bound on what an organisation may run in any rateWindow: its rate and burst,
// a tenth more, and rateSlack for what the stand-ins see late.
const (
	rateWindow = 5 * time.Second
	rateMargin = 1.1
	rateSlack  = 20
)

func (l *ledger) checkRate() {
	most := int((poorRate*rateWindow.Seconds()+poorBurst)*rateMargin) + rateSlack
	from := 0
	for i, at := range l.poor {
		for at-l.poor[from] > rateWindow {
			from++
		}
		if i-from+1 > most {
			l.note("%d requests of the limited organisation ran in the %v up to %v, want at most %d", i-from+1, rateWindow, at, most)
			return
		}
	}
}

// counts returns how many requests ended with each status since a time.
func (l *ledger) counts(since time.Duration) (served, all int, byStatus map[int]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byStatus = make(map[int]int)
	for id, t := range l.told {
		if t.sent < since || strings.HasPrefix(id, "poor") {
			continue
		}
		all++
		byStatus[t.status]++
		if t.status == http.StatusOK {
			served++
		}
	}
	return served, all, byStatus
}

func (l *ledger) served(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.told[id].status == http.StatusOK
}
