package nodetest

import (
	"math/rand/v2"
	"net/http"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"
	"coltsfootward/core/record"
)

// Member is one node of a rig with its backend server.
type Member struct {
	// Instance says which node it is; the incarnation grows with each restart.
	Instance coltsfootward.Instance
	// Backend is the fake backend server beside the node.
	Backend *Backend
	// Records holds what the node reported.
	Records []record.Record
	// Drained is set once the node said that nothing is left to do.
	Drained bool

	rig     *Rig
	options node.Options
	machine *node.Node
	boots   int
	booted  time.Duration
	alive   bool
	paused  bool
	// frozen is how long the monotonic clock stood still.
	frozen    time.Duration
	suspended bool
	pausedAt  time.Duration
	// held are the events that arrived during a pause.
	held    []func()
	nextID  node.CallID
	entries map[node.CallID]*entry
	serving map[node.CallID]*served
}

// entry is a request at the node that its caller reached.
type entry struct {
	outcome *Outcome
	// attempt counts forwards, so that news of an old one is told apart.
	attempt int
	target  *Member
	remote  node.CallID
}

// served is a call that another node sent here.
type served struct {
	origin  *Member
	call    node.CallID
	attempt int
	head    node.PeerCallArrived
	// status is what its backend server answers.
	status int
}

// Request is what a caller sends.
type Request struct {
	Key            coltsfootward.KeyDigest
	Service        coltsfootward.ServiceName
	Method         string
	Path           string
	IdempotencyKey string
	// Body stands for the request's body.
	Body    uint64
	Attempt int
	Timeout time.Duration
	// Token is set for calls of a backend server.
	Token node.CallToken
	// Host has the request routed by host and path; Service is left empty then.
	Host string
}

// Outcome is what became of a request. It fills in as time passes.
type Outcome struct {
	// Done is set once the caller has its final answer.
	Done bool
	// Answered is set if a backend server answered whole, with Status.
	Answered bool
	Status   int
	// Replayed is set if the answer is that of an earlier request with its key.
	Replayed bool
	// Refusal is set if the request was refused.
	Refusal *coltsfootward.Refusal
	// Sent and Ended are times of the rig.
	Sent, Ended time.Duration
	// By is the instance whose backend server answered.
	By coltsfootward.InstanceID
	// Attempts is how many times the entry node forwarded the request.
	Attempts int

	member *Member
	call   node.CallID
	notify func()
}

func newMember(r *Rig, options node.Options) *Member {
	m := &Member{Instance: options.Self, rig: r, options: options}
	m.Backend = newBackend(m)
	return m
}

// Node returns the machine, to be looked at.
func (m *Member) Node() *node.Node { return m.machine }

// Alive reports whether the node runs; a paused node does.
func (m *Member) Alive() bool { return m.alive }

// Paused reports whether the node is paused or suspended.
func (m *Member) Paused() bool { return m.paused }

func (m *Member) boot() {
	m.boots++
	m.Instance.Incarnation = coltsfootward.Incarnation(m.boots)
	m.options.Self = m.Instance
	m.booted = m.rig.now
	m.frozen = 0
	m.alive = true
	m.Drained = false
	m.entries = make(map[node.CallID]*entry)
	m.serving = make(map[node.CallID]*served)
	seed := m.rig.source.Uint64()
	m.machine = node.New(m.options, rand.New(rand.NewPCG(seed, uint64(m.boots))), m.instant())
	m.tick(m.boots)
}

func (m *Member) tick(boot int) {
	if !m.alive || m.boots != boot {
		return
	}
	if !m.paused {
		m.handle(node.Tick{})
	}
	m.rig.After(m.machine.NextTick(), func() { m.tick(boot) })
}

func (m *Member) instant() coltsfootward.Instant {
	elapsed := m.rig.now - m.booted
	frozen := m.frozen
	if m.suspended {
		frozen += m.rig.now - m.pausedAt
	}
	return coltsfootward.Instant{
		Monotonic: start + elapsed - frozen,
		Expiry:    start + elapsed,
		Wall:      m.rig.Wall(),
	}
}

// event delivers an event unless the node is dead; a paused node gets it at
// the end of its pause, with the time of then.
func (m *Member) event(build func() node.Event) {
	if !m.alive {
		return
	}
	if m.paused {
		m.held = append(m.held, func() { m.handle(build()) })
		return
	}
	m.handle(build())
}

func (m *Member) handle(event node.Event) {
	for _, action := range m.machine.Handle(m.instant(), event) {
		m.perform(action)
	}
}

// Pause stops the node between two events, as a scheduler or SIGSTOP would.
func (m *Member) Pause() {
	m.paused = true
	m.pausedAt = m.rig.now
}

// Suspend pauses the node and stops its monotonic clock, as a suspended
// machine would.
func (m *Member) Suspend() {
	m.Pause()
	m.suspended = true
}

// Resume ends a pause; what arrived meanwhile is handled now.
func (m *Member) Resume() {
	if m.suspended {
		m.frozen += m.rig.now - m.pausedAt
	}
	m.paused = false
	m.suspended = false
	held := m.held
	m.held = nil
	for _, deliver := range held {
		if m.alive {
			deliver()
		}
	}
}

// Kill ends the node at once. Its backend server goes with it.
func (m *Member) Kill() {
	m.alive = false
	m.paused = false
	m.held = nil
	m.Backend.reset()
	for _, id := range sortedIDs(m.serving) {
		m.breakCall(m.serving[id])
	}
	for _, id := range sortedIDs(m.entries) {
		e := m.entries[id]
		m.endOutcome(e.outcome, func(o *Outcome) { o.Done = true })
		if e.target != nil {
			m.leaveRemote(e)
		}
	}
	for _, other := range m.rig.Members() {
		if other != m && other.alive {
			m.rig.After(m.rig.delay(m.Instance, other.Instance), func() {
				other.event(func() node.Event { return node.PeerLost{Instance: m.Instance.ID} })
			})
		}
	}
}

// Restart boots a killed node anew, with a higher incarnation and no memory.
func (m *Member) Restart() {
	m.boot()
}

// Announce tells the node what its backend server offers.
func (m *Member) Announce(service coltsfootward.ServiceName, slots int) {
	m.Backend.service = service
	m.Backend.Slots = slots
	m.event(func() node.Event { return node.BackendAnnounced{Service: service, Slots: slots} })
}

// AnnounceCold tells the node what its backend server offers, and that it is cold
// for that long.
func (m *Member) AnnounceCold(service coltsfootward.ServiceName, slots int, cold time.Duration) {
	m.Backend.service = service
	m.Backend.Slots = slots
	m.Backend.GoCold(cold)
	m.event(func() node.Event { return node.BackendAnnounced{Service: service, Slots: slots, Cold: cold} })
}

// ReadDomains tells the node which failure domains are out of service.
func (m *Member) ReadDomains(o coltsfootward.OutOfService) {
	m.event(func() node.Event { return node.DomainsRead{OutOfService: o} })
}

// Read tells the node of a configuration document that the platform stores.
func (m *Member) Read(c coltsfootward.Configuration) {
	m.event(func() node.Event { return node.ConfigurationRead{Configuration: c} })
}

// DrainBackend tells the node that its backend server takes no new work.
func (m *Member) DrainBackend() {
	m.event(func() node.Event {
		return node.BackendAnnounced{Service: m.Backend.service, Slots: m.Backend.Slots, Draining: true}
	})
}

// Drain asks the node to leave gracefully.
func (m *Member) Drain() {
	m.event(func() node.Event { return node.DrainRequested{} })
}

// Send sends a request to this node.
func (m *Member) Send(request Request) *Outcome {
	o := &Outcome{Sent: m.rig.Now(), member: m}
	if !m.alive {
		o.Done = true
		o.Ended = m.rig.Now()
		return o
	}
	m.nextID++
	o.call = m.nextID
	m.entries[o.call] = &entry{outcome: o}
	if request.Method == "" {
		request.Method = "GET"
	}
	if request.Path == "" {
		request.Path = "/"
	}
	m.event(func() node.Event {
		return node.RequestArrived{
			Call: o.call, Key: request.Key, Token: request.Token, Service: request.Service,
			Method: request.Method, Path: request.Path, IdempotencyKey: request.IdempotencyKey, Body: request.Body,
			Attempt: max(request.Attempt, 1), Timeout: request.Timeout,
			Routed: request.Host != "", Host: request.Host,
		}
	})
	return o
}

// Served reports whether a backend server answered with success.
func (o *Outcome) Served() bool { return o.Answered && o.Status < http.StatusInternalServerError }

// OnDone runs f once the caller has its final answer; at once if it has it
// already. A later call replaces f.
func (o *Outcome) OnDone(f func()) {
	if o.Done {
		f()
		return
	}
	o.notify = f
}

// Leave makes the caller of a request give up on it.
func (o *Outcome) Leave() {
	m := o.member
	e, ok := m.entries[o.call]
	if !ok || o.Done {
		return
	}
	m.endOutcome(o, func(o *Outcome) { o.Done = true })
	delete(m.entries, o.call)
	m.event(func() node.Event { return node.CallerLeft{Call: o.call} })
	if e.target != nil {
		m.leaveRemote(e)
	}
}

func (m *Member) endOutcome(o *Outcome, fill func(*Outcome)) {
	if o.Done {
		return
	}
	fill(o)
	o.Ended = m.rig.Now()
	if o.notify != nil {
		o.notify()
	}
}
