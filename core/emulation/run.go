package emulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"
)

const (
	host = "mesh.example"
	// formation is the time before callers come: nodes find each other and the
	// configuration is read.
	formation = 8 * time.Second
	// nearDelay and farDelay are the one-way delays within a failure domain and
	// between two.
	nearDelay = 200 * time.Microsecond
	farDelay  = 1400 * time.Microsecond
	// unlimitedRate is a rate that no organisation reaches.
	unlimitedRate = 100000
	// fullFrom is the part of its slots from which on a backend server is slower,
	// by fullSlowness.
	fullFrom     = 0.95
	fullSlowness = 1.3
)

// key is the digest of the callers' key.
const key = coltsfootward.KeyDigest("digest of the callers' key")

// Span is a part of a run, from its traffic's start.
type Span struct{ From, To time.Duration }

func (s Span) holds(t time.Duration) bool { return t >= s.From && t < s.To }

// Trouble is what a run is put through. The zero value is a calm day.
type Trouble struct {
	// Burst multiplies the callers' requests during BurstSpan; zero means 1.
	Burst     float64
	BurstSpan Span
	// Service is the service that the following concerns.
	Service coltsfootward.ServiceName
	// Lost is how many of its backend servers are gone for good from LostAt on.
	Lost   int
	LostAt time.Duration
	// Rejects is the part of what its backend servers get that they reject during
	// RejectSpan, whatever their load.
	Rejects    float64
	RejectSpan Span
	// Fails is the part of its runs that end without an answer during FailSpan.
	Fails    float64
	FailSpan Span
}

// Run plays a deployment for the given time of traffic. Everything follows from
// the seed.
func Run(d Deployment, t Trouble, length time.Duration, seed uint64) *Outcome {
	w := &world{deployment: d, trouble: t, length: length, rig: nodetest.New(seed), source: rand.New(rand.NewPCG(seed, 7))}
	w.rig.Delay = func(from, to coltsfootward.Instance) time.Duration {
		if from.Domain == to.Domain {
			return nearDelay
		}
		return farDelay
	}
	w.outcome = newOutcome(d, length)
	w.start()
	w.rig.Run(formation)
	w.began = w.rig.Now()
	w.plan()
	for _, c := range d.Classes {
		if c.PerSecond > 0 {
			w.schedule(c)
		}
	}
	w.rig.Run(length + 10*time.Second)
	w.count()
	return w.outcome
}

type world struct {
	deployment Deployment
	trouble    Trouble
	length     time.Duration
	rig        *nodetest.Rig
	source     *rand.Rand
	members    []*nodetest.Member
	services   map[*nodetest.Member]Service
	began      time.Duration
	outcome    *Outcome
}

// now is the time since traffic began.
func (w *world) now() time.Duration { return w.rig.Now() - w.began }

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
				RetryShare:          w.deployment.RetryShare, RetryCapacity: w.deployment.RetryCapacity,
			})
			w.members = append(w.members, m)
			w.services[m] = s
			m.Read(document)
			w.equip(m, s, s.Speeds[i%len(s.Speeds)])
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
	return coltsfootward.NewConfiguration(1, organisations, keys, nil).WithRoutes(routes)
}

func pathOf(c Class) string { return "/" + string(c.Name) + "/" }

// equip gives a backend server its service times, further calls and troubles.
func (w *world) equip(m *nodetest.Member, s Service, speed float64) {
	b := m.Backend
	b.AnswersFailures = true
	b.ServiceTime = func(call message.Call) time.Duration {
		work := w.deployment.class(call.Route).Work.Seconds() / speed * (0.6 + 0.8*w.source.Float64())
		if float64(b.Running()) > fullFrom*float64(s.Slots) {
			work *= fullSlowness
		}
		return time.Duration(work * float64(time.Second))
	}
	b.Children = func(call message.Call) []nodetest.Request {
		calls := w.deployment.class(call.Route).Calls
		children := make([]nodetest.Request, calls.Times)
		for i := range children {
			c := w.deployment.class(calls.Class)
			children[i] = nodetest.Request{Host: host, Path: pathOf(c), Timeout: c.Deadline}
		}
		return children
	}
	for _, c := range w.deployment.Classes {
		b.Parallel = b.Parallel || c.Service == s.Name && c.Calls.Together
	}
	if s.Name != w.trouble.Service {
		return
	}
	b.Reject = func(message.Call) bool {
		return w.trouble.RejectSpan.holds(w.now()) && w.source.Float64() < w.trouble.Rejects
	}
	b.Fail = func(message.Call) bool {
		return w.trouble.FailSpan.holds(w.now()) && w.source.Float64() < w.trouble.Fails
	}
}

// plan has the lost backend servers lost in time.
func (w *world) plan() {
	lost := 0
	for _, m := range w.members {
		if w.services[m].Name == w.trouble.Service && lost < w.trouble.Lost {
			lost++
			w.rig.After(w.trouble.LostAt, m.Kill)
		}
	}
}

// count notes what the backend servers did.
func (w *world) count() {
	for _, m := range w.members {
		service := w.services[m].Name
		w.outcome.arrivals[service] += len(m.Backend.Runs)
	}
}
