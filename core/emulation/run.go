package emulation

import (
	"fmt"
	"math/rand/v2"
	"path"
	"slices"
	"strconv"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"
)

const (
	host = "mesh.example"
	// formationTime is the time before callers send requests, in which the nodes
	// discover each other and load the configuration.
	formationTime = 8 * time.Second
	// nearDelay and farDelay are the one-way network delays within a failure
	// domain and between two domains.
	nearDelay = 200 * time.Microsecond
	farDelay  = 1400 * time.Microsecond
	// maxTransit is the longest time that a message between a node and its backend
	// server takes. A call expires up to twice as much later than expected.
	maxTransit = 500 * time.Microsecond
	// unlimitedRate is a rate limit that no organisation reaches.
	unlimitedRate = 100000
	// slowdownThreshold is the share of busy slots above which a backend server
	// takes slowdownFactor times as long.
	slowdownThreshold = 0.95
	slowdownFactor    = 1.3
)

// key is the digest of the callers' key.
const key = coltsfootward.KeyDigest("digest of the callers' key")

// Span is a time span of a run, relative to the start of the traffic.
type Span struct{ From, To time.Duration }

func (s Span) contains(t time.Duration) bool { return t >= s.From && t < s.To }

// Disturbance describes a burst of requests and the faults of a service during
// a run. The zero value means none.
type Disturbance struct {
	// Burst multiplies the rate of callers' requests during BurstSpan; zero
	// means 1.
	Burst     float64
	BurstSpan Span
	// BurstClass is the only class that the burst concerns; all if it is empty.
	BurstClass coltsfootward.RouteName
	// Service is the service that the following fields concern.
	Service coltsfootward.ServiceName
	// LostServers is how many of its backend servers are killed at LostAt and
	// not restarted.
	LostServers int
	LostAt      time.Duration
	// RejectShare is the fraction of requests that its backend servers reject
	// during RejectSpan, whatever their load.
	RejectShare float64
	RejectSpan  Span
	// FailShare is the fraction of requests that its backend servers execute but
	// do not answer during FailSpan.
	FailShare float64
	FailSpan  Span
	// Limit is the limit in requests per second that LimitedServers of its backend
	// servers name during LimitSpan.
	Limit          float64
	LimitedServers int
	LimitSpan      Span
	// LeavingServers is how many of its backend servers say that they leave from
	// LeavingAt on.
	LeavingServers int
	LeavingAt      time.Duration
	// Slowdown, if not zero, is how many times as long as usual work takes at one of its backend
	// servers during SlowSpan. Another server is slow after each SlowTurn. StatesLoad makes all
	// its servers state their load.
	Slowdown   float64
	SlowTurn   time.Duration
	SlowSpan   Span
	StatesLoad bool
	// Wave is the part by which the demand that enters in each domain varies around its
	// mean, as a sine of WavePeriod that reaches the domains one after the other.
	Wave       float64
	WavePeriod time.Duration
}

// Run runs a deployment with traffic for the given length of time and returns
// the outcome. The result depends only on the arguments.
func Run(d Deployment, disturbance Disturbance, length time.Duration, seed uint64) *Outcome {
	w := &world{deployment: d, disturbance: disturbance, length: length, rig: nodetest.New(seed), source: rand.New(rand.NewPCG(seed, 7))}
	w.rig.Delay = func(from, to coltsfootward.Instance) time.Duration {
		if from.Domain == to.Domain {
			return nearDelay
		}
		return farDelay
	}
	w.outcome = newOutcome(d, length)
	w.start()
	w.findEntries()
	w.rig.Run(formationTime)
	w.trafficStart = w.rig.Now()
	w.scheduleLosses()
	w.scheduleConditions()
	w.scheduleSlowdowns()
	for _, c := range d.Classes {
		if c.PerSecond > 0 {
			w.scheduleArrival(c)
		}
	}
	w.rig.Run(length + 10*time.Second)
	w.countArrivals()
	w.measureUse()
	return w.outcome
}

// world is the state of one run.
type world struct {
	deployment  Deployment
	disturbance Disturbance
	length      time.Duration
	rig         *nodetest.Rig
	source      *rand.Rand
	members     []*nodetest.Member
	services    map[*nodetest.Member]Service
	// entries holds, for each organisation, the indexes of the members at which its
	// requests enter.
	entries      [][]int
	trafficStart time.Duration
	outcome      *Outcome
}

// now returns the time since the start of the traffic.
func (w *world) now() time.Duration { return w.rig.Now() - w.trafficStart }

func (w *world) start() {
	w.services = make(map[*nodetest.Member]Service)
	document := w.document()
	for _, s := range w.deployment.Services {
		for i := range s.Upstreams {
			domain := w.deployment.Domains[i%len(w.deployment.Domains)]
			id := coltsfootward.InstanceID(fmt.Sprintf("%s-%d", s.Name, i+1))
			m := w.rig.Add(node.Options{
				Self: nodetest.Instance(id, domain), Domains: w.deployment.Domains, Routed: true, Service: s.Name,
				ConfigurationSpread: 2 * time.Second,
				RetryShare:          w.deployment.RetryShare, RetryBurst: w.deployment.RetryBurst,
				Attribution: w.deployment.Attribution,
				RetryGrants: w.deployment.RetryGrants,
				ShareScope:  w.deployment.ShareScope,
				Crossing:    w.deployment.Crossing, CrossingMargin: w.deployment.CrossingMargin,
			})
			w.members = append(w.members, m)
			w.services[m] = s
			m.ReadConfiguration(document)
			w.configureBackend(m, s, s.Speeds[i%len(s.Speeds)])
			m.Announce(s.Name, s.Slots)
		}
	}
}

func (w *world) document() coltsfootward.Configuration {
	var routes []coltsfootward.Route
	for _, c := range w.deployment.Classes {
		routes = append(routes, coltsfootward.Route{
			Name: c.Name, Host: host, PathPrefix: pathOf(c),
			Targets: []coltsfootward.RouteTarget{{Service: c.Service, Weight: 1}},
			Timeout: c.Timeout, Objective: c.Objective, Attempts: 2, Priority: c.Priority,
			Unrepeatable: c.Unrepeatable, Public: c.PerSecond == 0,
		})
	}
	organisations := []coltsfootward.Organisation{{Name: "callers", Rate: coltsfootward.Rate{PerSecond: unlimitedRate, Burst: unlimitedRate}}}
	keys := []coltsfootward.Key{{ID: "k", Digest: key, Organisation: "callers"}}
	for i, o := range w.deployment.Organisations {
		organisations = append(organisations, coltsfootward.Organisation{Name: o.Name, Rate: organisations[0].Rate})
		keys = append(keys, coltsfootward.Key{ID: string(o.Name), Digest: w.key(i), Organisation: o.Name})
	}
	return coltsfootward.NewConfiguration(1, organisations, keys, nil).WithRoutes(routes)
}

// key returns the digest of an organisation's key.
func (w *world) key(organisation int) coltsfootward.KeyDigest {
	if len(w.deployment.Organisations) == 0 {
		return key
	}
	return coltsfootward.KeyDigest("digest of the key of " + w.deployment.Organisations[organisation].Name)
}

// findEntries determines the members at which each organisation's requests enter.
func (w *world) findEntries() {
	for _, o := range w.deployment.Organisations {
		var entries []int
		for i, m := range w.members {
			if len(o.Entries) == 0 || slices.Contains(o.Entries, m.Instance.ID) {
				entries = append(entries, i)
			}
		}
		w.entries = append(w.entries, entries)
	}
}

func pathOf(c Class) string { return "/" + string(c.Name) + "/" }

// configureBackend sets the service times, child calls and faults of a backend
// server.
func (w *world) configureBackend(m *nodetest.Member, s Service, speed float64) {
	b := m.Backend
	b.RespondsOnFailure = true
	b.ServiceTime = func(call message.Call) time.Duration {
		work := w.deployment.class(call.Route).Work.Seconds() / speed * (0.6 + 0.8*w.source.Float64())
		if float64(b.Running()) > slowdownThreshold*float64(s.Slots) {
			work *= slowdownFactor
		}
		return time.Duration(work * float64(time.Second))
	}
	b.Size = func(call message.Call) int64 { return w.deployment.class(call.Route).Bytes }
	b.Children = func(call message.Call) []nodetest.Request {
		calls := w.deployment.class(call.Route).ChildCalls
		children := make([]nodetest.Request, calls.Count)
		for i := range children {
			c := w.deployment.class(calls.Class)
			children[i] = nodetest.Request{Host: host, Path: pathOf(c), Timeout: c.Deadline}
			if w.deployment.CallsExpireWithParent {
				children[i].Path += rootOf(call)
				children[i].ExpiresWithParent, children[i].ParentLimit = true, c.Deadline
			}
		}
		return children
	}
	if w.deployment.CallsExpireWithParent {
		b.Transit = func() time.Duration { return time.Duration(w.source.Int64N(int64(maxTransit))) }
	}
	for _, c := range w.deployment.Classes {
		b.Parallel = b.Parallel || c.Service == s.Name && c.ChildCalls.Parallel
	}
	if s.Name != w.disturbance.Service {
		return
	}
	b.Reject = func(message.Call) bool {
		return w.disturbance.RejectSpan.contains(w.now()) && w.source.Float64() < w.disturbance.RejectShare
	}
	b.Fail = func(message.Call) bool {
		return w.disturbance.FailSpan.contains(w.now()) && w.source.Float64() < w.disturbance.FailShare
	}
}

// scheduleLosses schedules the loss of backend servers.
func (w *world) scheduleLosses() {
	lost := 0
	for _, m := range w.members {
		if w.services[m].Name == w.disturbance.Service && lost < w.disturbance.LostServers {
			lost++
			w.rig.After(w.disturbance.LostAt, m.Kill)
		}
	}
}

// scheduleConditions schedules what backend servers state about themselves.
func (w *world) scheduleConditions() {
	d := w.disturbance
	index := 0
	for _, m := range w.members {
		if w.services[m].Name != d.Service {
			continue
		}
		index++
		if index <= d.LimitedServers {
			w.rig.After(d.LimitSpan.From, func() { m.Backend.Condition.Limited, m.Backend.Condition.Limit = true, d.Limit })
			w.rig.After(d.LimitSpan.To, func() { m.Backend.Condition.Limited = false })
		}
		if index <= d.LeavingServers {
			w.rig.After(d.LeavingAt, func() { m.Backend.Condition.Leaving = true })
		}
	}
}

// scheduleSlowdowns makes one backend server after the other slow, in a random order.
func (w *world) scheduleSlowdowns() {
	d := w.disturbance
	var servers []*nodetest.Member
	for _, m := range w.members {
		if w.services[m].Name == d.Service {
			m.Backend.StatesLoad = d.StatesLoad
			servers = append(servers, m)
		}
	}
	if d.Slowdown == 0 || d.SlowTurn <= 0 {
		return
	}
	for from := d.SlowSpan.From; from < d.SlowSpan.To; from += d.SlowTurn {
		slow := servers[w.source.IntN(len(servers))].Backend
		w.rig.After(from, func() { slow.Slowdown = d.Slowdown })
		w.rig.After(from+d.SlowTurn-1, func() { slow.Slowdown = 1 })
	}
}

// rootOf returns the rank of the root request that led to a call. The path of a child
// call ends in it, so that a run can compare it with the rank that the call was given.
func rootOf(call message.Call) string {
	if call.Depth == 0 {
		return strconv.FormatUint(uint64(call.ShedRank), 10)
	}
	return path.Base(call.Path)
}

// countAttributions records whether a child call was attributed, and to which root
// request.
func (w *world) countAttributions(run *nodetest.Run) {
	if run.Head.Depth == 0 || !w.deployment.CallsExpireWithParent {
		return
	}
	n := w.outcome.attributions[run.Head.Route]
	n.Calls++
	switch {
	case !run.Head.Attributed:
	case rootOf(run.Head) == strconv.FormatUint(uint64(run.Head.ShedRank), 10):
		n.Right++
	default:
		n.Wrong++
	}
	w.outcome.attributions[run.Head.Route] = n
}

// countArrivals records how many requests reached the backend servers.
func (w *world) countArrivals() {
	for _, m := range w.members {
		service := w.services[m].Name
		w.outcome.arrivals[service] += len(m.Backend.Runs)
		for _, run := range m.Backend.Runs {
			w.countAttributions(run)
			if run.From != m.Instance.Domain {
				w.outcome.crossed[service]++
				w.outcome.CrossedBytes += w.deployment.class(run.Head.Route).Bytes
			}
		}
		if service == w.disturbance.Service {
			w.outcome.limitSpanRates[m.Instance.ID] = w.rateWithin(m, w.disturbance.LimitSpan)
		}
	}
}

// rateWithin returns how many requests per second reached a backend server during a span.
func (w *world) rateWithin(m *nodetest.Member, s Span) float64 {
	if s.To <= s.From {
		return 0
	}
	count := 0
	for _, run := range m.Backend.Runs {
		if s.contains(run.Arrived - w.trafficStart) {
			count++
		}
	}
	return float64(count) / (s.To - s.From).Seconds()
}
