package daemon

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
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
	// defaultConnectionsPerSlot is the assumed number of connections that the local
	// backend server accepts, per slot, if the configuration doesn't set it.
	defaultConnectionsPerSlot = 2
	// joinTimeout is how long a started node waits for another node before it reports
	// that it is ready without one. A node that reported so earlier would refuse requests
	// that other nodes could serve.
	joinTimeout = 3 * time.Second
	// configurationCheckInterval is the time between two checks whether the node has a
	// configuration. healthCheckInterval is the time between two health checks of a
	// backend server that has sent no heartbeat since the node started.
	configurationCheckInterval = 20 * time.Millisecond
	healthCheckInterval        = 250 * time.Millisecond
	// findBackendTimeout bounds the time after its start in which a node makes these
	// health checks. It is longer than the interval of a backend server's heartbeats.
	findBackendTimeout = 4 * time.Second
	// backendNotice is how long the node refuses new work for its backend server before
	// it closes the callers' connections. Gossip spreads this state to the other nodes
	// within three rounds. A node that has not received the update yet is refused and
	// chooses another backend server.
	backendNotice = 800 * time.Millisecond
	// closeMargin is the part of the grace period that is reserved for closing the
	// connections.
	closeMargin = 300 * time.Millisecond
)

// hosted holds the components that only a node on the users' hosting platform has.
type hosted struct {
	components *components
	upstream   *upstream.Server
	server     *caller.Server
	watcher    *document.Watcher
	// documentChecks holds a request for a check of the configuration document.
	documentChecks chan struct{}
	started        time.Time
	// nextCheck is when the limit that the backend server names allows the next health
	// check. Only findBackend uses it.
	nextCheck time.Time
	done      chan struct{}
	wait      sync.WaitGroup
	// stopping is set once the node is stopping.
	stopping atomic.Bool
	// joined is set once a readiness check has found that the node knows another node.
	joined atomic.Bool
	// platformDown is set while the platform does not respond to the watcher.
	platformDown atomic.Bool
	// current is the configuration in force.
	current atomic.Pointer[coltsfootward.Configuration]

	mu             sync.Mutex
	backendMachine backend.Tracker
}

// startHosted serves the listeners of a hosted deployment and starts watching its
// configuration.
func (c *components) startHosted(l listeners, server *upstream.Server, documents coltsfootward.Documents) {
	fields := platform.Fields()
	h := &hosted{components: c, upstream: server, started: time.Now(), done: make(chan struct{}), documentChecks: make(chan struct{}, 1)}
	h.backendMachine.Service = coltsfootward.ServiceName(c.settings.Backend.Service)
	h.backendMachine.Address = c.settings.Backend.Address
	h.current.Store(&coltsfootward.Configuration{})
	c.hosted = h
	handler := caller.NewWithOptions(c.loop, c.transport, caller.Options{Routed: &fields})
	current := func() coltsfootward.Configuration { return *h.current.Load() }
	h.server = caller.NewServer(http.HandlerFunc(handler.ServeRouted), caller.ServerOptions{
		Limits: func() coltsfootward.Limits { return h.current.Load().Limits() },
		Eager:  caller.EagerIfRepeatable(current),
		Bodies: c.bodies,
		Owner:  caller.BodyOwner(current),
		Refuse: handler.RefuseRouted,
		OnBodyRefused: func(r *http.Request, owner string, size int64) {
			c.reportBodyRefused(r.Header.Get(fields.Request), owner, size)
		},
	})
	c.wait.Go(func() {
		if err := h.server.Serve(l.callers); !errors.Is(err, http.ErrServerClosed) {
			c.reporter.logger.Error("serve", zap.Error(err))
		}
	})
	c.serve(l.backend, h.heartbeatRouter())
	c.serve(l.ready, h.readyRouter())
	h.watcher = document.New(document.Options{
		Source:      documents,
		Task:        h.documentTask,
		Checks:      h.documentChecks,
		OnDocument:  h.applyDocument,
		OnConfirmed: h.documentConfirmed,
		OnPollLost:  h.documentPollLost,
		OnError:     h.platformFailed,
		OnResponse:  h.platformResponded,
	})
	h.wait.Go(h.findBackend)
}

func (h *hosted) documentTask() node.DocumentTask {
	task := node.DocumentNone
	h.components.loop.Inspect(func(n *node.Node) { task = n.DocumentTask() })
	return task
}

// applyDocument passes a read document to the state machine. The domains come first, so
// that the new configuration places no request in a domain that is out of service.
func (h *hosted) applyDocument(d coltsfootward.Document) {
	h.components.loop.Post(node.DomainsRead{OutOfService: d.OutOfService})
	if d.Configuration.Revision() > 0 {
		h.components.loop.Post(node.ConfigurationRead{Configuration: d.Configuration})
	}
}

func (h *hosted) documentConfirmed(at time.Time) {
	h.components.loop.Post(node.DocumentConfirmed{Age: time.Since(at)})
}

func (h *hosted) documentPollLost(cause error) {
	h.components.reporter.event(record.DocumentPollLost, "cause", cause.Error())
}

// requestDocumentCheck requests a check of the document. It does not block: a request
// that has not been taken yet serves for this one, too.
func (h *hosted) requestDocumentCheck() {
	select {
	case h.documentChecks <- struct{}{}:
	default:
	}
}

// platformFailed logs a document that can't be used, and the first of several
// successive calls that got no usable response from the platform.
func (h *hosted) platformFailed(err error) {
	if !errors.Is(err, coltsfootward.ErrUnavailable) {
		h.components.reporter.event(record.DocumentUnread, "error", err.Error())
		return
	}
	if !h.platformDown.Swap(true) {
		h.components.reporter.event(record.PlatformUnavailable, "error", err.Error())
	}
}

// platformResponded logs that the platform responds again.
func (h *hosted) platformResponded() {
	if h.platformDown.Swap(false) {
		h.components.reporter.event(record.PlatformAvailable, "by", "document")
	}
}

// setConfiguration stores the configuration that the state machine has put in force.
// The HTTP handlers read it on every request.
func (h *hosted) setConfiguration(c coltsfootward.Configuration) { h.current.Store(&c) }

func (h *hosted) heartbeatRouter() *mux.Router {
	router := mux.NewRouter()
	platform.RegisterHeartbeats(router, h)
	return router
}

// Heartbeat implements platform.Backends. It returns once the state machine has applied
// the heartbeat, because the response acknowledges that the node acts on it.
func (h *hosted) Heartbeat(heartbeat coltsfootward.Heartbeat) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch h.backendMachine.Apply(heartbeat) {
	case backend.VerdictForeign:
		h.components.reporter.event(record.HeartbeatRefused, "backend", heartbeat.ID)
		return false
	case backend.VerdictStale:
		return true
	default:
		return h.announceBackend()
	}
}

// announceBackend passes the last known state of the backend server to the state
// machine and waits until it has been applied. The caller must hold h.mu.
func (h *hosted) announceBackend() bool {
	current, _ := h.backendMachine.Current()
	service, _ := h.current.Load().Service(current.Service)
	connections := service.Connections
	if connections <= 0 {
		connections = defaultConnectionsPerSlot * max(current.Slots, 1)
	}
	h.upstream.SetNamedBackend(current.ID, h.components.settings.Backend.Address, connections)
	h.components.loop.Post(node.BackendAnnounced{
		Service:  coltsfootward.ServiceName(h.components.settings.Backend.Service),
		Slots:    current.Slots,
		Draining: current.State != coltsfootward.BackendReady,
		Cold:     current.ColdRemaining,
		Backend:  current.ID,
		Start:    startOf(current),
	})
	return h.components.loop.Inspect(func(*node.Node) {})
}

// startOf identifies the start of the backend server that a heartbeat belongs to. A
// health check does not report the start, so the result is empty then.
func startOf(h coltsfootward.Heartbeat) string {
	if h.StartedAt.IsZero() {
		return ""
	}
	return h.ID + "@" + strconv.FormatInt(h.StartedAt.UnixMilli(), 10)
}

// findBackend determines the backend server's state after the node has started.
//
// A node may be killed right after it has acknowledged that its backend server is
// shutting down. The restarted node has no record of that and must not send it work.
// So it waits for a heartbeat, or for a health check that reports that the server
// accepts work, whichever comes first.
func (h *hosted) findBackend() {
	for time.Since(h.started) < findBackendTimeout {
		wait := configurationCheckInterval
		if h.current.Load().Revision() > 0 {
			if h.recoverBackend() {
				return
			}
			wait = healthCheckInterval
		}
		select {
		case <-time.After(wait):
		case <-h.done:
			return
		}
	}
}

// recoverBackend checks the backend server's health unless a heartbeat has arrived. It
// reports whether the server's state is known.
func (h *hosted) recoverBackend() bool {
	h.mu.Lock()
	_, known := h.backendMachine.Current()
	h.mu.Unlock()
	if known {
		return true
	}
	if time.Now().Before(h.nextCheck) {
		return false
	}
	health, err := h.checkHealth()
	if err != nil || !health.Ready {
		h.nextCheck = time.Now().Add(node.LimitInterval(health.Condition))
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	recovered := h.backendMachine.Recover(coltsfootward.Heartbeat{
		ID: health.ID, Service: h.backendMachine.Service, Address: h.backendMachine.Address,
		Slots: health.Slots, ColdRemaining: health.ColdRemaining, State: coltsfootward.BackendReady,
	})
	if recovered {
		h.components.reporter.event(record.BackendFound, "backend", health.ID)
		h.postHealth(health) // first, so that no request is dispatched before what the server states is known
		h.announceBackend()
	}
	return true
}

func (h *hosted) checkHealth() (upstream.Health, error) {
	backend := h.components.settings.Backend
	service, _ := h.current.Load().Service(coltsfootward.ServiceName(backend.Service))
	return upstream.CheckHealth(backend.Address, service.HealthPath, platform.Fields())
}

// checkBackend starts a health check and passes the remaining time for which the backend
// server is cold to the state machine. If the check fails, the state machine keeps the
// time that it assumes.
func (h *hosted) checkBackend() {
	if h.stopping.Load() {
		return
	}
	h.wait.Go(func() {
		health, err := h.checkHealth()
		if err != nil {
			h.components.reporter.event(record.BackendUnchecked, "error", err.Error())
			if errors.Is(err, syscall.ECONNREFUSED) {
				h.components.loop.Post(node.BackendLost{})
			}
			return
		}
		h.postHealth(health)
	})
}

func (h *hosted) postHealth(health upstream.Health) {
	h.components.loop.Post(node.BackendChecked{
		Cold: health.ColdRemaining, Condition: health.Condition, Load: health.Load, UnusableLoad: health.UnusableLoad,
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

// ready reports whether the platform should route callers to this node: the node has a
// configuration, has found another node or has waited joinTimeout for one, and is not
// stopping.
func (h *hosted) ready() bool {
	if h.stopping.Load() || h.current.Load().Revision() == 0 {
		return false
	}
	if h.joined.Load() || time.Since(h.started) > joinTimeout {
		return true
	}
	members := 0
	h.components.loop.Inspect(func(n *node.Node) { members = n.Members() })
	if members > 1 {
		h.joined.Store(true)
	}
	return members > 1
}

// stop closes the callers' connections gracefully and finishes the running requests.
// Callers keep sending requests until the platform has seen two failed readiness checks
// and has redirected them; connections closed earlier would lose requests that had
// arrived completely. The backend server gets work until shortly before that: otherwise
// a service of three servers whose nodes are replaced one after the other would lack a
// third of its capacity for the whole notice period.
func (h *hosted) stop(ctx context.Context) error {
	h.stopping.Store(true)
	// Requests that still run goodbyeTimeout before the deadline are aborted, so that
	// the goodbyes reach the peers in time.
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-goodbyeTimeout))
		defer cancel()
	}
	notice := h.components.settings.Stop.Notice
	drainNotice := min(notice, backendNotice)
	sleep(ctx, notice-drainNotice)
	h.components.loop.Post(node.DrainRequested{})
	sleep(ctx, drainNotice)
	err := h.server.Shutdown(ctx)
	h.components.loop.Post(node.FinishRequested{})
	select {
	case <-h.components.drained:
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
