package daemon

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootward"
	"coltsfootward/core/backend"
	"coltsfootward/core/node"
	"coltsfootward/core/record"
	"coltsfootward/io/caller"
	"coltsfootward/io/document"
	"coltsfootward/io/upstream"
	"coltsfootward/platform"

	"github.com/gorilla/mux"
	"go.uber.org/zap"
)

const (
	// defaultConnections is how many connections the backend server beside the
	// node is held to accept, in multiples of its slots, until the configuration
	// says.
	defaultConnections = 2
	// joinWait is how long a node that has started waits for another one before
	// it says that it is ready alone. Ready sooner it would refuse what others
	// could serve.
	joinWait = 3 * time.Second
	// documentWait is the time between two looks whether a configuration is known,
	// healthWait that between two health checks of a backend server that has not
	// been heard since the node started.
	documentWait = 20 * time.Millisecond
	healthWait   = 250 * time.Millisecond
	// healthPatience is how long the node looks. A backend server sends its
	// heartbeats more often than that.
	healthPatience = 4 * time.Second
	// backendNotice is how long before the node lets callers go it takes no new
	// work for its backend server. The news of that spreads within three rounds
	// of gossip, and whoever has not heard it is refused and goes elsewhere.
	backendNotice = 800 * time.Millisecond
	// finishMargin is how much of the time for a stop is left for closing.
	finishMargin = 300 * time.Millisecond
)

// hosted is what a node has besides on the users' hosting platform.
type hosted struct {
	parts    *parts
	upstream *upstream.Server
	server   *caller.Server
	watcher  *document.Watcher
	started  time.Time
	done     chan struct{}
	wait     sync.WaitGroup
	leaving  atomic.Bool
	joined   atomic.Bool
	// away is set while the platform does not answer the document's watcher.
	away    atomic.Bool
	current atomic.Pointer[coltsfootward.Configuration]

	mu      sync.Mutex
	machine backend.Machine
}

// startHosted opens the faces of a hosted deployment and begins to follow its
// configuration.
func (p *parts) startHosted(faces listeners, server *upstream.Server, documents coltsfootward.Documents) {
	fields := platform.Fields()
	h := &hosted{parts: p, upstream: server, started: time.Now(), done: make(chan struct{})}
	h.machine.Service = coltsfootward.ServiceName(p.settings.Backend.Service)
	h.machine.Address = p.settings.Backend.Address
	h.current.Store(&coltsfootward.Configuration{})
	p.hosted = h
	face := caller.NewWithOptions(p.loop, p.transport, caller.Options{Routed: &fields})
	h.server = caller.NewServer(http.HandlerFunc(face.ServeRouted), caller.ServerOptions{
		Limits: func() coltsfootward.Limits { return h.current.Load().Limits() },
		Eager:  caller.EagerIn(func() coltsfootward.Configuration { return *h.current.Load() }),
	})
	p.wait.Go(func() {
		if err := h.server.Serve(faces.callers); !errors.Is(err, http.ErrServerClosed) {
			p.reporter.logger.Error("serve", zap.Error(err))
		}
	})
	p.serve(faces.backend, h.heartbeatRouter())
	p.serve(faces.ready, h.readyRouter())
	h.watcher = document.New(document.Options{
		Source:     documents,
		Task:       h.documentDuty,
		OnDocument: h.documentFound,
		OnError:    h.platformFailed,
		OnResponse: h.platformAnswered,
	})
	h.wait.Go(h.findBackend)
}

func (h *hosted) documentDuty() node.DocumentTask {
	duty := node.DocumentNone
	h.parts.loop.Inspect(func(n *node.Node) { duty = n.DocumentTask() })
	return duty
}

// documentFound hands what was read to the machine: the domains first, so that no
// request is placed by the new configuration in a domain that gets no work.
func (h *hosted) documentFound(d coltsfootward.Document) {
	h.parts.loop.Post(node.DomainsRead{OutOfService: d.OutOfService})
	if d.Configuration.Revision() > 0 {
		h.parts.loop.Post(node.ConfigurationRead{Configuration: d.Configuration})
	}
}

// platformFailed reports a document that can't be used, and the first call that the
// platform did not answer.
func (h *hosted) platformFailed(err error) {
	if !errors.Is(err, coltsfootward.ErrUnavailable) {
		h.parts.reporter.event(record.DocumentUnread, "error", err.Error())
		return
	}
	if !h.away.Swap(true) {
		h.parts.reporter.event(record.PlatformUnavailable, "error", err.Error())
	}
}

// platformAnswered reports that the platform answers again.
func (h *hosted) platformAnswered() {
	if h.away.Swap(false) {
		h.parts.reporter.event(record.PlatformAvailable, "by", "document")
	}
}

// inForce notes the configuration that the machine has put in force, for the
// faces, which read it on every request.
func (h *hosted) inForce(c coltsfootward.Configuration) { h.current.Store(&c) }

func (h *hosted) heartbeatRouter() *mux.Router {
	router := mux.NewRouter()
	platform.RegisterHeartbeats(router, h)
	return router
}

// Heartbeat implements platform.Backends. It returns once what the heartbeat
// says is in force, since the answer is an acknowledgement that binds.
func (h *hosted) Heartbeat(heartbeat coltsfootward.Heartbeat) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch h.machine.Take(heartbeat) {
	case backend.VerdictForeign:
		h.parts.reporter.event(record.HeartbeatRefused, "backend", heartbeat.ID)
		return false
	case backend.VerdictOld:
		return true
	default:
		return h.announce()
	}
}

// announce puts in force what is known of the backend server. It is called with
// the lock held.
func (h *hosted) announce() bool {
	current, _ := h.machine.Current()
	service, _ := h.current.Load().Service(current.Service)
	connections := service.Connections
	if connections <= 0 {
		connections = defaultConnections * max(current.Slots, 1)
	}
	h.upstream.UseBackend(current.ID, h.parts.settings.Backend.Address, connections)
	h.parts.loop.Post(node.BackendAnnounced{
		Service:  coltsfootward.ServiceName(h.parts.settings.Backend.Service),
		Slots:    current.Slots,
		Draining: current.State != coltsfootward.BackendReady,
		Cold:     current.ColdRemaining,
	})
	return h.parts.loop.Inspect(func(*node.Node) {})
}

// findBackend asks the backend server itself at the node's start.
//
// A node may be killed right after it has acknowledged that its backend server
// leaves. Started again it must not send it work, and it knows nothing: so it
// waits for a heartbeat, or for a health check that says that the server takes
// work, whichever comes first.
func (h *hosted) findBackend() {
	for time.Since(h.started) < healthPatience {
		wait := documentWait
		if h.current.Load().Revision() > 0 {
			if h.recoverBackend() {
				return
			}
			wait = healthWait
		}
		select {
		case <-time.After(wait):
		case <-h.done:
			return
		}
	}
}

// recoverBackend reports whether the backend server is known.
func (h *hosted) recoverBackend() bool {
	h.mu.Lock()
	_, known := h.machine.Current()
	h.mu.Unlock()
	if known {
		return true
	}
	health, err := h.checkHealth()
	if err != nil || !health.Ready {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	recovered := h.machine.Recover(coltsfootward.Heartbeat{
		ID: health.ID, Service: h.machine.Service, Address: h.machine.Address,
		Slots: health.Slots, ColdRemaining: health.Cold, State: coltsfootward.BackendReady,
	})
	if recovered {
		h.parts.reporter.event(record.BackendFound, "backend", health.ID)
		h.announce()
	}
	return true
}

func (h *hosted) checkHealth() (upstream.Health, error) {
	backend := h.parts.settings.Backend
	service, _ := h.current.Load().Service(coltsfootward.ServiceName(backend.Service))
	return upstream.CheckHealth(backend.Address, service.HealthPath, platform.Fields())
}

// checkBackend tells the machine whether the backend server is cold. Without an
// answer the machine stays with what it assumes.
func (h *hosted) checkBackend() {
	if h.leaving.Load() {
		return
	}
	h.wait.Go(func() {
		health, err := h.checkHealth()
		if err != nil {
			h.parts.reporter.event(record.BackendUnchecked, "error", err.Error())
			return
		}
		h.parts.loop.Post(node.BackendChecked{Cold: health.Cold})
	})
}

func (h *hosted) readyRouter() *mux.Router {
	router := mux.NewRouter()
	router.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !h.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}

// ready reports whether callers are to be sent here: the node knows a
// configuration and other nodes, or is alone, and is not about to stop.
func (h *hosted) ready() bool {
	if h.leaving.Load() || h.current.Load().Revision() == 0 {
		return false
	}
	if h.joined.Load() || time.Since(h.started) > joinWait {
		return true
	}
	peers := 0
	h.parts.loop.Inspect(func(n *node.Node) { peers = n.Members() })
	if peers > 1 {
		h.joined.Store(true)
	}
	return peers > 1
}

// stop lets callers go and finishes what runs. Callers go on coming until the
// platform has asked twice and told them; cut off before, they would lose
// requests that had arrived whole. The backend server works on until shortly
// before: a service of three servers whose nodes are replaced one after the other
// would else be a third short for all of that time.
func (h *hosted) stop(ctx context.Context) error {
	h.leaving.Store(true)
	// What is still in hand shortly before the end is cut, so that the goodbyes to
	// the peers are in time.
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-goodbyeWait))
		defer cancel()
	}
	notice := h.parts.settings.Stop.Notice
	last := min(notice, backendNotice)
	sleep(ctx, notice-last)
	h.parts.loop.Post(node.DrainRequested{})
	sleep(ctx, last)
	err := h.server.Shutdown(ctx)
	h.parts.loop.Post(node.FinishRequested{})
	select {
	case <-h.parts.drained:
	case <-ctx.Done():
	}
	close(h.done)
	h.watcher.Close()
	h.wait.Wait()
	return err
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
