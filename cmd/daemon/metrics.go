package daemon

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"
	"coltsfootward/io/loop"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// metrics counts what one node does. Each node has a map of its own, so that
// several may run in one process. docs/OPERATIONS.md explains each name.
type metrics struct {
	all *expvar.Map
	// counters holds the counters of all by their names, for those who count.
	counters map[string]*expvar.Int
	// refusals counts refusals to callers by kind, peerRefusals those to peers.
	refusals, peerRefusals *expvar.Map
	// entries holds since when callers have calls in hand here. Only the loop's
	// goroutine uses it.
	entries map[node.CallID]time.Time
	// connections counts those with peers.
	connections connections
	// gauges reads the machine's gauges; nil before the node runs.
	gauges func() gauges

	mu        sync.Mutex
	latencies latencies
}

func newMetrics() *metrics {
	m := &metrics{
		all:          new(expvar.Map),
		counters:     make(map[string]*expvar.Int),
		refusals:     new(expvar.Map),
		peerRefusals: new(expvar.Map),
		entries:      make(map[node.CallID]time.Time),
		latencies:    newLatencies(),
	}
	for _, name := range counterNames {
		m.counters[name] = new(expvar.Int)
		m.all.Set(name, m.counters[name])
	}
	m.connections.made, m.connections.broken = m.counters[countConnected], m.counters[countLost]
	for _, kind := range coltsfootward.SortedRefusalKinds() {
		m.refusals.Add(string(kind), 0)
		m.peerRefusals.Add(string(kind), 0)
	}
	m.all.Set("refusals", m.refusals)
	m.all.Set("peer_refusals", m.peerRefusals)
	return m
}

// The counters' names.
const (
	countRequests         = "requests"
	countAnswersWhole     = "answers_whole"
	countAnswersBroken    = "answers_broken"
	countCallersLeft      = "callers_left"
	countAttempts         = "attempts"
	countAttemptsLost     = "attempts_lost"
	countPeerCalls        = "peer_calls"
	countDispatches       = "dispatches"
	countDispatchesFailed = "dispatches_failed"
	countMessagesSent     = "messages_sent"
	countMessagesReceived = "messages_received"
	countPlatform         = "platform_operations"
	countPlatformFailures = "platform_failures"
	countEvents           = "loop_events"
	countBusy             = "loop_busy_microseconds"
	countWaited           = "loop_waited_microseconds"
	countSlow             = "loop_slow_events"
	countConnected        = "peers_connected"
	countLost             = "peers_lost"
)

var counterNames = []string{
	countRequests, countAnswersWhole, countAnswersBroken, countCallersLeft, countAttempts, countAttemptsLost,
	countPeerCalls, countDispatches, countDispatchesFailed, countMessagesSent, countMessagesReceived,
	countPlatform, countPlatformFailures, countEvents, countBusy, countWaited, countSlow, countConnected, countLost,
}

func (m *metrics) add(name string, delta int64) { m.counters[name].Add(delta) }

// slowEvent is how long an event may wait for the machine before it counts as
// slow: at the target the whole node adds 1.3 ms to a call.
const slowEvent = time.Millisecond

// observe counts one event and what followed. The loop calls it on its own
// goroutine.
func (m *metrics) observe(o loop.Observation) {
	m.add(countEvents, 1)
	m.add(countBusy, o.Took.Microseconds())
	m.add(countWaited, o.Waited.Microseconds())
	if o.Waited > slowEvent {
		m.add(countSlow, 1)
	}
	m.event(o.Event)
	for _, action := range o.Actions {
		m.action(action)
	}
}

func (m *metrics) event(event node.Event) {
	switch e := event.(type) {
	case node.RequestArrived:
		m.entries[e.Call] = time.Now()
		m.add(countRequests, 1)
	case node.CallerLeft:
		if _, ok := m.entries[e.Call]; ok {
			m.add(countCallersLeft, 1)
		}
		delete(m.entries, e.Call)
	case node.CallDone:
		m.done(e)
	case node.AttemptEnded:
		if e.Kind == node.AttemptLost {
			m.add(countAttemptsLost, 1)
		}
	case node.PeerCallArrived:
		m.add(countPeerCalls, 1)
	case node.DispatchEnded:
		if e.Kind == node.DispatchFailed || e.Kind == node.DispatchUnsent {
			m.add(countDispatchesFailed, 1)
		}
	case node.MessageArrived:
		m.add(countMessagesReceived, 1)
	case node.TableResult:
		if e.Err != nil && e.Err != coltsfootward.ErrConflict {
			m.add(countPlatformFailures, 1)
		}
	}
}

func (m *metrics) done(e node.CallDone) {
	m.waited(e.Call, m.latencies.answered)
	delete(m.entries, e.Call)
	if e.Complete {
		m.add(countAnswersWhole, 1)
		return
	}
	m.add(countAnswersBroken, 1)
}

func (m *metrics) action(action node.Action) {
	switch a := action.(type) {
	case node.Refuse:
		m.refused(a)
	case node.Forward:
		m.add(countAttempts, 1)
	case node.Dispatch:
		m.add(countDispatches, 1)
	case node.Send:
		m.add(countMessagesSent, 1)
	case node.ReadTable, node.ScanTable, node.TransactTable:
		m.add(countPlatform, 1)
	}
}

func (m *metrics) refused(a node.Refuse) {
	if _, ok := m.entries[a.Call]; ok {
		m.waited(a.Call, m.latencies.refused)
		m.refusals.Add(string(a.Refusal.Kind), 1)
		delete(m.entries, a.Call)
		return
	}
	m.peerRefusals.Add(string(a.Refusal.Kind), 1)
}

// waited records how long a caller waited.
func (m *metrics) waited(call node.CallID, h *hdrhistogram.Histogram) {
	since, ok := m.entries[call]
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	recordLatency(h, time.Since(since))
}

// gauges are what the machine says of itself when it is asked.
type gauges struct {
	Instance          coltsfootward.InstanceID    `json:"instance"`
	Domain            coltsfootward.FailureDomain `json:"domain"`
	Incarnation       coltsfootward.Incarnation   `json:"incarnation"`
	Revision          coltsfootward.Revision      `json:"revision"`
	Draining          bool                        `json:"draining"`
	PlatformAvailable bool                        `json:"platform_available"`
	Peers             int                         `json:"peers"`
	Upstreams         int                         `json:"upstreams"`
	Running           int                         `json:"running"`
	Queued            int                         `json:"queued"`
	Limit             int                         `json:"limit"`
	ShedLevel         uint32                      `json:"shed_level"`
	// OutOfService are the failure domains that operators have taken out of service.
	OutOfService []coltsfootward.FailureDomain `json:"out_of_service"`
	// ColdMilliseconds is how much longer the local backend server is cold,
	// ColdPassed and ColdRefused what it was given and spared while cold.
	ColdMilliseconds int64 `json:"cold_milliseconds"`
	ColdPassed       int   `json:"cold_passed"`
	ColdRefused      int   `json:"cold_refused"`
}

// inspect adds the gauges, read from the machine whenever someone asks.
func (m *metrics) inspect(l *loop.Loop) {
	m.gauges = func() gauges {
		var g gauges
		l.Inspect(func(n *node.Node) { g = read(n) })
		return g
	}
	m.all.Set("node", expvar.Func(func() any { return m.gauges() }))
}

func read(n *node.Node) gauges {
	status, load, cold := n.Status(), n.Load(), n.Cold()
	return gauges{
		Instance:          status.Self.ID,
		Domain:            status.Self.Domain,
		Incarnation:       status.Self.Incarnation,
		Revision:          status.Revision,
		Draining:          status.Draining,
		PlatformAvailable: status.PlatformAvailable,
		Peers:             len(status.Peers),
		Upstreams:         len(status.Upstreams),
		Running:           load.Running,
		Queued:            load.Queued,
		Limit:             load.Limit,
		ShedLevel:         load.ShedLevel,
		OutOfService:      n.OutOfService().Domains,
		ColdMilliseconds:  cold.Remaining.Milliseconds(),
		ColdPassed:        cold.Passed,
		ColdRefused:       cold.Refused,
	}
}

// serve answers with this node's metrics and those of the whole process.
func (m *metrics) serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintf(w, "{\n%q: %s", "coltsfootward", m.all)
	expvar.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value) })
	fmt.Fprintf(w, "\n}\n")
}
