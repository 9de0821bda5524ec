package soak

import (
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// A server that names a limit may get limitMargin times what the limit allows, and
	// limitSlack requests more, in any limitWindow that begins contactTime after it
	// first named the limit.
	limitWindow = 4 * time.Second
	limitMargin = 1.5
	limitSlack  = 5
	// limitedTime is how long a server names a limit.
	limitedTime = 9 * time.Second
	// leavingTime is how long a server says that it leaves before a new start takes its
	// place. From drainTimeAfterWord after its first such answer on, no request may reach
	// it.
	leavingTime        = 4 * time.Second
	drainTimeAfterWord = 2 * time.Second
)

// limits are the limits that servers name, in requests per second.
var limits = []float64{0, 0.5, 3, 10, 30}

// conditionSpan is a time in which a backend server names a limit or says that it
// leaves.
type conditionSpan struct {
	node     int
	limit    float64
	leaving  bool
	from, to time.Duration
	// answered is when the server first said so in an answer; zero if it has not.
	answered time.Duration
}

// arrival is a request or a health check that reached a backend server.
type arrival struct {
	at     time.Duration
	health bool
}

// countArrivals returns a handler that records the requests that reach the backend
// server of a node.
func (f *soakFleet) countArrivals(i int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		due := f.ledger.recordArrival(i, r)
		next.ServeHTTP(w, r)
		f.ledger.recordAnswer(due, w.Header())
	})
}

// nameLimit makes a random backend server name a limit for a while.
func (r *run) nameLimit(n *node) {
	if !r.ledger.beginCondition(conditionSpan{node: n.Number(), limit: limits[r.source.IntN(len(limits))]}, n.applyCondition) {
		return
	}
	r.countFault("limit", n.Number(), limitedTime)
	r.wait.Go(func() {
		time.Sleep(limitedTime)
		r.ledger.endCondition(n.Number())
		n.backend.RemoveLimit()
		r.ledger.faultEnded(n.Number())
	})
}

// leave makes a backend server say in its answers that it leaves. Its heartbeats say
// that it is ready until a new start takes its place.
func (r *run) leave(n *node) {
	if !r.ledger.beginCondition(conditionSpan{node: n.Number(), leaving: true}, n.applyCondition) {
		return
	}
	r.countFault("leaving", n.Number(), leavingTime)
	r.wait.Go(func() {
		time.Sleep(leavingTime)
		r.ledger.endCondition(n.Number())
		n.crash()
		r.ledger.faultEnded(n.Number())
	})
}

func (n *node) applyCondition(s conditionSpan) {
	if s.leaving {
		n.backend.SetLeaving(true)
		return
	}
	n.backend.SetLimit(s.limit)
}

// beginCondition begins a span, unless the server's latest one has not ended. apply
// makes the server state the condition.
func (l *ledger) beginCondition(s conditionSpan, apply func(conditionSpan)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.currentCondition(s.node) != nil {
		return false
	}
	s.from = l.now()
	l.conditions = append(l.conditions, s)
	apply(s)
	return true
}

// endCondition ends the present span of a server, if there is one.
func (l *ledger) endCondition(node int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.currentCondition(node); s != nil {
		s.to = l.now()
	}
}

// currentCondition must be called with the lock held.
func (l *ledger) currentCondition(node int) *conditionSpan {
	if i := l.currentIndex(node); i != noCondition {
		return &l.conditions[i]
	}
	return nil
}

// currentIndex returns the index of a server's present condition, or noCondition. It must
// be called with the lock held.
func (l *ledger) currentIndex(node int) int {
	return slices.IndexFunc(l.conditions, func(s conditionSpan) bool { return s.node == node && s.to == 0 })
}

// noCondition is returned by recordArrival if the server states nothing.
const noCondition = -1

// recordArrival records a request that reaches a backend server. It returns the index of
// the condition that the answer has to state, or noCondition.
func (l *ledger) recordArrival(node int, r *http.Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[node] = append(l.arrivals[node], arrival{at: l.now(), health: r.URL.Path == "/health"})
	due := l.currentIndex(node)
	if due != noCondition {
		l.log.Info("request_arrived", l.elapsed(), zap.Int("node", node), zap.String("path", r.URL.Path))
	}
	return due
}

// recordAnswer records the header of an answer and the condition that it had to state
// unless that has ended meanwhile. An answer that lacks it is a fault of the soak, which
// would expect the node to know what no server has stated.
func (l *ledger) recordAnswer(due int, header http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if due == noCondition || l.conditions[due].to != 0 {
		return
	}
	s := &l.conditions[due]
	l.log.Info("request_answered", l.elapsed(), zap.Int("node", s.node),
		zap.Strings("limit", header.Values(fields.Limit)), zap.Strings("leaving", header.Values(fields.Leaving)))
	field := fields.Limit
	if s.leaving {
		field = fields.Leaving
	}
	switch {
	case header.Get(field) == "":
		l.addFinding("the backend server of node %d did not state its condition at %v: %s is missing", s.node, l.now(), field)
	case s.answered == 0:
		s.answered = l.now()
	}
}

// disturbed records that a fault has hit a node or the connections to its backend
// server. The node may then have forgotten, or not received, what the server states.
func (l *ledger) disturbed(node int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disturbances[node] = append(l.disturbances[node], l.now())
}

// checkConditions adds a finding for each server that got more requests than its limit
// allows, and for each that got one after it had said that it leaves. It must be called
// with the lock held.
func (l *ledger) checkConditions() {
	for _, s := range l.conditions {
		if s.answered == 0 {
			continue
		}
		if s.to == 0 {
			s.to = l.now()
		}
		if s.leaving {
			l.checkLeaving(s)
			continue
		}
		l.checkLimit(s)
	}
}

func (l *ledger) checkLimit(s conditionSpan) {
	allowed := int(limitMargin*s.limit*limitWindow.Seconds()) + limitSlack
	var times []time.Duration
	for _, a := range l.arrivals[s.node] {
		if a.at < s.answered+contactTime || a.at > s.to {
			continue
		}
		times = append(times, a.at)
		for a.at-times[0] > limitWindow {
			times = times[1:]
		}
		if len(times) > allowed {
			l.addFinding("%d requests reached the backend server of node %d in the %v up to %v, want at most %d at a limit of %v a second",
				len(times), s.node, limitWindow, a.at, allowed, s.limit)
			return
		}
	}
}

func (l *ledger) checkLeaving(s conditionSpan) {
	from := s.answered + drainTimeAfterWord
	for _, at := range l.disturbances[s.node] {
		if at > s.from-limitedTime && at < s.to {
			return
		}
	}
	for _, a := range l.arrivals[s.node] {
		if !a.health && a.at > from && a.at < s.to {
			l.addFinding("a request reached the backend server of node %d at %v, later than %v after it had said that it leaves", s.node, a.at, drainTimeAfterWord)
			return
		}
	}
}
