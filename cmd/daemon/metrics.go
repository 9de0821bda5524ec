package daemon

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"coltsfootward"
	"coltsfootward/core/attribution"
	"coltsfootward/core/node"
	"coltsfootward/io/loop"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// metrics holds the metrics of one node. Each node has its own map, so that several
// nodes may run in one process. docs/OPERATIONS.md explains each name.
type metrics struct {
	vars *expvar.Map
	// counters holds the counters of vars by their names.
	counters map[string]*expvar.Int
	// refusals counts refusals sent to callers, by kind; peerRefusals counts those sent
	// to peers.
	refusals, peerRefusals *expvar.Map
	// arrivals holds the arrival times of the callers' requests that are in progress.
	// Only the loop's goroutine uses it.
	arrivals map[node.CallID]time.Time
	// connections counts the connections with peers.
	connections connections
	// gauges reads the gauges from the state machine. It is nil before the node runs.
	gauges func() gauges

	mu        sync.Mutex
	latencies latencies
}

func newMetrics() *metrics {
	m := &metrics{
		vars:         new(expvar.Map),
		counters:     make(map[string]*expvar.Int),
		refusals:     new(expvar.Map),
		peerRefusals: new(expvar.Map),
		arrivals:     make(map[node.CallID]time.Time),
		latencies:    newLatencies(),
	}
	for _, name := range counterNames {
		m.counters[name] = new(expvar.Int)
		m.vars.Set(name, m.counters[name])
	}
	m.connections.opened, m.connections.lostCount = m.counters[countConnected], m.counters[countLost]
	for _, kind := range coltsfootward.SortedRefusalKinds() {
		m.refusals.Add(string(kind), 0)
		m.peerRefusals.Add(string(kind), 0)
	}
	m.vars.Set("refusals", m.refusals)
	m.vars.Set("peer_refusals", m.peerRefusals)
	return m
}

// Names of the counters.
const (
	countRequests           = "requests"
	countResponsesComplete  = "answers_whole"
	countResponsesTruncated = "answers_broken"
	countCallersLeft        = "callers_left"
	countBodiesRefused      = "bodies_refused"
	countAttempts           = "attempts"
	countAttemptsLost       = "attempts_lost"
	countPeerCalls          = "peer_calls"
	countDispatches         = "dispatches"
	countDispatchesFailed   = "dispatches_failed"
	countMessagesSent       = "messages_sent"
	countMessagesReceived   = "messages_received"
	countPlatform           = "platform_operations"
	countPlatformFailures   = "platform_failures"
	countEvents             = "loop_events"
	countBusy               = "loop_busy_microseconds"
	countWaited             = "loop_waited_microseconds"
	countSlow               = "loop_slow_events"
	countConnected          = "peers_connected"
	countLost               = "peers_lost"
)

var counterNames = []string{
	countRequests, countResponsesComplete, countResponsesTruncated, countCallersLeft, countBodiesRefused, countAttempts, countAttemptsLost,
	countPeerCalls, countDispatches, countDispatchesFailed, countMessagesSent, countMessagesReceived,
	countPlatform, countPlatformFailures, countEvents, countBusy, countWaited, countSlow, countConnected, countLost,
}

func (m *metrics) add(name string, delta int64) { m.counters[name].Add(delta) }

// slowEventThreshold is the time that an event may wait for the state machine before it
// counts as slow. At the latency target the node adds 1.3 ms to a call in total.
const slowEventThreshold = time.Millisecond

// observe counts one event and the resulting actions. The loop calls it on its own
// goroutine.
func (m *metrics) observe(o loop.Observation) {
	m.add(countEvents, 1)
	m.add(countBusy, o.Took.Microseconds())
	m.add(countWaited, o.Waited.Microseconds())
	if o.Waited > slowEventThreshold {
		m.add(countSlow, 1)
	}
	m.countEvent(o.Event)
	for _, action := range o.Actions {
		m.countAction(action)
	}
}

func (m *metrics) countEvent(event node.Event) {
	switch e := event.(type) {
	case node.RequestArrived:
		m.arrivals[e.Call] = time.Now()
		m.add(countRequests, 1)
	case node.CallCancelled:
		if _, ok := m.arrivals[e.Call]; ok {
			m.add(countCallersLeft, 1)
		}
		delete(m.arrivals, e.Call)
	case node.CallDone:
		m.countCallDone(e)
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

func (m *metrics) countCallDone(e node.CallDone) {
	m.recordCallLatency(e.Call, m.latencies.answered)
	delete(m.arrivals, e.Call)
	if e.Complete {
		m.add(countResponsesComplete, 1)
		return
	}
	m.add(countResponsesTruncated, 1)
}

func (m *metrics) countAction(action node.Action) {
	switch a := action.(type) {
	case node.Refuse:
		m.countRefusal(a)
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

func (m *metrics) countRefusal(a node.Refuse) {
	if _, ok := m.arrivals[a.Call]; ok {
		m.recordCallLatency(a.Call, m.latencies.refused)
		m.refusals.Add(string(a.Refusal.Kind), 1)
		delete(m.arrivals, a.Call)
		return
	}
	m.peerRefusals.Add(string(a.Refusal.Kind), 1)
}

// recordCallLatency records the time since a caller's request arrived. It does nothing
// for calls that are not in progress here.
func (m *metrics) recordCallLatency(call node.CallID, h *hdrhistogram.Histogram) {
	arrival, ok := m.arrivals[call]
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	recordLatency(h, time.Since(arrival))
}

// gauges are values read from the state machine on request.
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
	// ColdMilliseconds is the remaining time for which the local backend server is
	// cold. ColdPassed and ColdRefused count the requests that were sent to it and
	// refused on its behalf while it was cold.
	ColdMilliseconds int64 `json:"cold_milliseconds"`
	ColdPassed       int   `json:"cold_passed"`
	ColdRefused      int   `json:"cold_refused"`
	// NamedLimit is the limit that the local backend server names, in requests per
	// second, or -1 if it names none. LimitPassed and LimitRefused count the requests
	// that were sent to it and refused on its behalf while it named one.
	NamedLimit   float64 `json:"named_limit"`
	LimitPassed  int     `json:"limit_passed"`
	LimitRefused int     `json:"limit_refused"`
	// Slowdown is how many times as long as usual work takes at the local backend server, as it
	// stated SlowdownAgeMilliseconds ago; 0 if it states nothing.
	Slowdown                float64 `json:"slowdown"`
	SlowdownAgeMilliseconds int64   `json:"slowdown_age_milliseconds"`
	// LoadNoticesSent and LoadNoticesReceived count the load notices of this node.
	LoadNoticesSent     int `json:"load_notices_sent"`
	LoadNoticesReceived int `json:"load_notices_received"`
	// RetriesGranted and RetriesDenied count the retries that the node granted and
	// denied. RetryExcess is the fraction of the demand for the local service that the
	// retries cannot carry, and RetriesLeft the number of retries left.
	RetriesGranted int     `json:"retries_granted"`
	RetriesDenied  int     `json:"retries_denied"`
	RetriesLeft    float64 `json:"retries_left"`
	RetryExcess    float64 `json:"retry_excess"`
	// Demand and Crossing describe the services whose demand is exchanged and the traffic
	// to other failure domains.
	Demand   []demandGauge   `json:"demand"`
	Crossing []crossingGauge `json:"crossing"`
	// Quarantined are the fingerprints of the requests that are withheld because
	// they have crashed backend servers.
	Quarantined []string `json:"quarantined"`
	// Attributions counts the child calls of the local backend server by whether they
	// were attributed to one of its requests.
	Attributions attribution.Counts `json:"attributions"`
	// CallLimits holds, by route, how many milliseconds after the start of their parent
	// those calls expire at the latest, where the node has learned it.
	CallLimits map[coltsfootward.RouteName]int64 `json:"call_limits"`
	// Entered and Received count the requests of the last second, by route, importance
	// and depth: those that entered at the node, and the calls for its backend server.
	Entered  []routeCount `json:"entered"`
	Received []routeCount `json:"received"`
	// Shares are the services whose capacity is divided between organisations, with the
	// organisations that compete for it.
	Shares []serviceShares `json:"shares"`
}

// registerGauges adds the gauges to vars. They are read from the state machine each
// time the metrics are requested.
func (m *metrics) registerGauges(l *loop.Loop) {
	m.gauges = func() gauges {
		var g gauges
		l.Inspect(func(n *node.Node) { g = readGauges(n) })
		return g
	}
	m.vars.Set("node", expvar.Func(func() any { return m.gauges() }))
}

func readGauges(n *node.Node) gauges {
	stated := n.StatedLoad()
	status, load, cold, limit, grants := n.Status(), n.Load(), n.Cold(), n.Limit(), n.RetryGrants()
	namedLimit := -1.0
	if limit.Named {
		namedLimit = limit.PerSecond
	}
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
		ColdPassed:        cold.Admitted,
		ColdRefused:       cold.Refused,
		NamedLimit:        namedLimit,
		LimitPassed:       limit.Passed,
		LimitRefused:      limit.Refused,
		RetriesGranted:    grants.Granted,
		RetriesDenied:     grants.Denied,
		RetriesLeft:       grants.Left,
		RetryExcess:       grants.Excess,
		Demand:            demandGauges(n),
		Crossing:          crossingGauges(n),
		Quarantined:       quarantinedTexts(n),

		Slowdown:                stated.Slowdown,
		SlowdownAgeMilliseconds: stated.Age.Milliseconds(),
		LoadNoticesSent:         stated.NoticesSent,
		LoadNoticesReceived:     stated.NoticesReceived,
		Attributions:            n.Attributions(),
		CallLimits:              callLimits(n),
		Entered:                 routeCounts(n.RouteCounts().Entered),
		Received:                routeCounts(n.RouteCounts().Received),
		Shares:                  sharesOf(n),
	}
}

func callLimits(n *node.Node) map[coltsfootward.RouteName]int64 {
	limits := make(map[coltsfootward.RouteName]int64)
	for _, limit := range n.CallLimits() {
		limits[limit.Route] = limit.After.Milliseconds()
	}
	return limits
}

func quarantinedTexts(n *node.Node) []string {
	texts := []string{}
	for _, f := range n.Quarantined() {
		texts = append(texts, f.String())
	}
	return texts
}

// serve writes this node's metrics and those of the whole process as JSON.
func (m *metrics) serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintf(w, "{\n%q: %s", "coltsfootward", m.vars)
	expvar.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value) })
	fmt.Fprintf(w, "\n}\n")
}
