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
	// Instance identifies the node. Its incarnation increases with each restart.
	Instance coltsfootward.Instance
	// Backend is the fake backend server beside the node.
	Backend *Backend
	// Records holds the log and timeline records that the node reported.
	Records []record.Record
	// Drained is set once the node has reported that it has no work left.
	Drained bool

	rig      *Rig
	options  node.Options
	machine  *node.Node
	boots    int
	bootedAt time.Duration
	alive    bool
	paused   bool
	// clockStopped is the total time for which the monotonic clock stood still.
	clockStopped time.Duration
	suspended    bool
	pausedAt     time.Duration
	// deferred delivers the events that arrived during a pause, in their order.
	deferred      []func()
	nextID        node.CallID
	entryRequests map[node.CallID]*entryRequest
	peerCalls     map[node.CallID]*peerCall
}

// entryRequest is a pending request at its entry node.
type entryRequest struct {
	outcome *Outcome
	body    uint64
	// attempt is the number of the latest attempt; reports about an earlier
	// attempt are ignored.
	attempt    int
	target     *Member
	remoteCall node.CallID
}

// peerCall is a call that an entry node forwarded to this node.
type peerCall struct {
	origin  *Member
	call    node.CallID
	attempt int
	head    node.PeerCallArrived
	// status is the HTTP status of the backend server's response.
	status int
	// size is the number of bytes of the bodies of the request and the response.
	size int64
}

// Request is a request of a caller or of a backend server.
type Request struct {
	Key            coltsfootward.KeyDigest
	Service        coltsfootward.ServiceName
	Method         string
	Path           string
	IdempotencyKey string
	// Body is a digest that stands for the request's body.
	Body    uint64
	Attempt int
	Timeout time.Duration
	// Token is set for child calls of a backend server.
	Token node.CallToken
	// Host, if set, makes the node route the request by host and path. Service is
	// empty then.
	Host string
	// ExpiresWithParent makes a child call expire at its parent's deadline, as the
	// backend server knows it, instead of after Timeout. With a positive ParentLimit the
	// call expires at the latest that long after the start of its parent.
	ExpiresWithParent bool
	ParentLimit       time.Duration
}

// Outcome is the outcome of a request. Its fields are set as the virtual time
// advances.
type Outcome struct {
	// Done is set once the request has ended: by a response, by a refusal, by the
	// caller's cancellation or by the death of the entry node.
	Done bool
	// Answered is set if the caller received a complete response. Status is the
	// response's HTTP status; a replayed response leaves it zero.
	Answered bool
	Status   int
	// Replayed is set if the response is the retained one of an earlier request
	// with the same idempotency key.
	Replayed bool
	// Refusal is set if the request was refused.
	Refusal *coltsfootward.Refusal
	// Sent and Ended are virtual times, as returned by Rig.Now.
	Sent, Ended time.Duration
	// By is the instance whose backend server produced the response.
	By coltsfootward.InstanceID
	// Attempts is how many times the entry node forwarded the request.
	Attempts int

	member *Member
	call   node.CallID
	onDone func()
}

func newMember(r *Rig, options node.Options) *Member {
	m := &Member{Instance: options.Self, rig: r, options: options}
	m.Backend = newBackend(m)
	return m
}

// Node returns the node's state machine for inspection.
func (m *Member) Node() *node.Node { return m.machine }

// Alive reports whether the node runs. A paused node counts as alive.
func (m *Member) Alive() bool { return m.alive }

// Paused reports whether the node is paused or suspended.
func (m *Member) Paused() bool { return m.paused }

func (m *Member) boot() {
	m.boots++
	m.Instance.Incarnation = coltsfootward.Incarnation(m.boots)
	m.options.Self = m.Instance
	m.bootedAt = m.rig.now
	m.clockStopped = 0
	m.alive = true
	m.Drained = false
	m.entryRequests = make(map[node.CallID]*entryRequest)
	m.peerCalls = make(map[node.CallID]*peerCall)
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
	elapsed := m.rig.now - m.bootedAt
	clockStopped := m.clockStopped
	if m.suspended {
		clockStopped += m.rig.now - m.pausedAt
	}
	return coltsfootward.Instant{
		Monotonic: initialTime + elapsed - clockStopped,
		Expiry:    initialTime + elapsed,
		Wall:      m.rig.Wall(),
	}
}

// deliver passes an event to the node unless the node is dead. A paused node
// receives the event at the end of its pause; build runs only then, so that the
// event carries the age that it has by that time.
func (m *Member) deliver(build func() node.Event) {
	if !m.alive {
		return
	}
	if m.paused {
		m.deferred = append(m.deferred, func() { m.handle(build()) })
		return
	}
	m.handle(build())
}

func (m *Member) handle(event node.Event) {
	for _, action := range m.machine.Handle(m.instant(), event) {
		m.perform(action)
	}
}

// Pause stops the node between two events, as descheduling or SIGSTOP does.
func (m *Member) Pause() {
	m.paused = true
	m.pausedAt = m.rig.now
}

// Suspend pauses the node and stops its monotonic clock, as the suspension of a
// virtual machine does.
func (m *Member) Suspend() {
	m.Pause()
	m.suspended = true
}

// Resume ends a pause. The events that arrived during it are handled now.
func (m *Member) Resume() {
	if m.suspended {
		m.clockStopped += m.rig.now - m.pausedAt
	}
	m.paused = false
	m.suspended = false
	deferred := m.deferred
	m.deferred = nil
	for _, deliver := range deferred {
		if m.alive {
			deliver()
		}
	}
}

// Kill stops the node at once, and its backend server with it.
func (m *Member) Kill() {
	m.alive = false
	m.paused = false
	m.deferred = nil
	m.Backend.reset()
	for _, id := range sortedIDs(m.peerCalls) {
		m.breakConnection(m.peerCalls[id])
	}
	for _, id := range sortedIDs(m.entryRequests) {
		e := m.entryRequests[id]
		m.endOutcome(e.outcome, func(o *Outcome) { o.Done = true })
		if e.target != nil {
			m.cancelRemote(e)
		}
	}
	for _, other := range m.rig.Members() {
		if other != m && other.alive {
			m.rig.After(m.rig.delay(m.Instance, other.Instance), func() {
				other.deliver(func() node.Event { return node.PeerLost{Instance: m.Instance.ID} })
			})
		}
	}
}

// Restart starts a killed node again with a higher incarnation and without any
// state of the previous run.
func (m *Member) Restart() {
	m.boot()
}

// Announce delivers an announcement of the backend server: its service and its number
// of slots.
func (m *Member) Announce(service coltsfootward.ServiceName, slots int) {
	m.Backend.service = service
	m.Backend.Slots = slots
	m.deliver(func() node.Event { return node.BackendAnnounced{Service: service, Slots: slots} })
}

// AnnounceStart delivers an announcement of the backend server that names its current
// start.
func (m *Member) AnnounceStart(start string) {
	m.deliver(func() node.Event {
		return node.BackendAnnounced{Service: m.Backend.service, Slots: m.Backend.Slots, Start: start}
	})
}

// AnnounceCold makes the backend server cold for the given time and delivers an
// announcement that reports the remaining cold time with the service and the slots.
func (m *Member) AnnounceCold(service coltsfootward.ServiceName, slots int, cold time.Duration) {
	m.Backend.service = service
	m.Backend.Slots = slots
	m.Backend.SetCold(cold)
	m.deliver(func() node.Event { return node.BackendAnnounced{Service: service, Slots: slots, Cold: cold} })
}

// ReadDomains delivers the failure domains out of service, as read from the
// platform.
func (m *Member) ReadDomains(o coltsfootward.OutOfService) {
	m.deliver(func() node.Event { return node.DomainsRead{OutOfService: o} })
}

// ReadConfiguration delivers a configuration document, as read from the platform.
func (m *Member) ReadConfiguration(c coltsfootward.Configuration) {
	m.deliver(func() node.Event { return node.ConfigurationRead{Configuration: c} })
}

// DrainBackend delivers an announcement that reports that the backend server is
// draining and accepts no new requests.
func (m *Member) DrainBackend() {
	m.deliver(func() node.Event {
		return node.BackendAnnounced{Service: m.Backend.service, Slots: m.Backend.Slots, Draining: true}
	})
}

// Drain requests a graceful shutdown of the node.
func (m *Member) Drain() {
	m.deliver(func() node.Event { return node.DrainRequested{} })
}

// Finish reports that the callers have been disconnected, so that a draining node stops.
func (m *Member) Finish() {
	m.deliver(func() node.Event { return node.FinishRequested{} })
}

// Send sends a request to this node. On a dead node the request ends at once,
// without a response or a refusal.
func (m *Member) Send(request Request) *Outcome {
	o := &Outcome{Sent: m.rig.Now(), member: m}
	if !m.alive {
		o.Done = true
		o.Ended = m.rig.Now()
		return o
	}
	m.nextID++
	o.call = m.nextID
	m.entryRequests[o.call] = &entryRequest{outcome: o, body: request.Body}
	if request.Method == "" {
		request.Method = "GET"
	}
	if request.Path == "" {
		request.Path = "/"
	}
	m.deliver(func() node.Event {
		return node.RequestArrived{
			Call: o.call, Key: request.Key, Token: request.Token, Service: request.Service,
			Method: request.Method, Path: request.Path, IdempotencyKey: request.IdempotencyKey, Body: request.Body,
			Attempt: max(request.Attempt, 1), Timeout: request.Timeout,
			Routed: request.Host != "", Host: request.Host,
		}
	})
	return o
}

// Succeeded reports whether the caller received a complete response with a status
// below 500.
func (o *Outcome) Succeeded() bool { return o.Answered && o.Status < http.StatusInternalServerError }

// OnDone runs f once the request has ended, or immediately if it has already
// ended. A later call replaces f.
func (o *Outcome) OnDone(f func()) {
	if o.Done {
		f()
		return
	}
	o.onDone = f
}

// Cancel cancels the request as its caller does by disconnecting.
func (o *Outcome) Cancel() {
	m := o.member
	e, ok := m.entryRequests[o.call]
	if !ok || o.Done {
		return
	}
	m.endOutcome(o, func(o *Outcome) { o.Done = true })
	delete(m.entryRequests, o.call)
	m.deliver(func() node.Event { return node.CallCancelled{Call: o.call} })
	if e.target != nil {
		m.cancelRemote(e)
	}
}

func (m *Member) endOutcome(o *Outcome, fill func(*Outcome)) {
	if o.Done {
		return
	}
	fill(o)
	o.Ended = m.rig.Now()
	if o.onDone != nil {
		o.onDone()
	}
}
