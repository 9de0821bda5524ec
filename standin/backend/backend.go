// Package backend is a stand-in for a backend server. It simulates a limited number of
// slots, service times, draining, cold starts, deadlines and cancellation, child calls,
// load shedding, load reports that are late or wrong, range downloads and broken
// connections, and records the requests that it received.
//
// The query of a request controls its treatment: time_ms=N sets its service time in
// milliseconds, size=N appends N bytes to the response, status=N sets the response's
// status, break_after=N breaks the connection after N bytes of the body, and
// break_times=K limits that to the first K requests for the same URL.
package backend

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"coltsfootward/io/upstream"
)

// Options configure a Backend.
type Options struct {
	// Announcement is sent to the local node. Address and Draining are filled in by the
	// Backend.
	Announcement upstream.Announcement
	// NodeAddress is the local node's address for backend servers.
	NodeAddress string
	// ServiceTime is how long a request occupies a slot.
	ServiceTime time.Duration
	// Jitter is the maximum random time added to ServiceTime.
	Jitter time.Duration
	// ColdStart is how long after the start requests take twice their service time.
	ColdStart time.Duration
	// ChildPaths are the paths, /{service}/{path}, of the child calls that the server
	// makes one after the other while it serves a request.
	ChildPaths []string
	// AnnounceInterval is the time between two announcements. Zero means 1 s.
	AnnounceInterval time.Duration
	// Shed makes the server respond 503 while every slot is taken, instead of queueing
	// the request.
	Shed bool
	// ReportLag is the age of the load in a load report.
	ReportLag time.Duration
	// ReportFactor multiplies the reported load; zero means 1.
	ReportFactor float64
	// DiscardRuns keeps no record of single requests, for measurements under load.
	DiscardRuns bool
}

// Run is a request that the stand-in received.
type Run struct {
	Path           string
	Organisation   string
	Request        string
	IdempotencyKey string
	Header         http.Header
	// Completed is false if the request ended before the server wrote its response, for
	// example because the caller cancelled the request.
	Completed bool
}

// Backend is a running stand-in. Create it with New. It is safe for concurrent use.
type Backend struct {
	options  Options
	listener net.Listener
	server   *http.Server
	client   *http.Client
	slots    chan struct{}
	started  time.Time
	done     chan struct{}
	wait     sync.WaitGroup

	mu          sync.Mutex
	runs        []Run
	total       int
	behaviour   Behaviour
	breakCounts map[string]int
	loadSamples []loadSample
}

// New starts a backend server on listener.
func New(listener net.Listener, options Options) *Backend {
	if options.AnnounceInterval <= 0 {
		options.AnnounceInterval = time.Second
	}
	b := &Backend{
		options:     options,
		listener:    listener,
		client:      &http.Client{},
		slots:       make(chan struct{}, options.Announcement.Slots),
		started:     time.Now(),
		done:        make(chan struct{}),
		behaviour:   Behaviour{Shed: options.Shed},
		breakCounts: make(map[string]int),
	}
	b.server = &http.Server{Handler: b.handler(), ReadHeaderTimeout: 10 * time.Second}
	b.wait.Go(func() { _ = b.server.Serve(listener) })
	b.wait.Go(b.announce)
	return b
}

// Address returns the IP address and port at which the server listens.
func (b *Backend) Address() string { return b.listener.Addr().String() }

// Close stops the server immediately, without draining.
func (b *Backend) Close() {
	close(b.done)
	b.server.Close()
	b.wait.Wait()
	b.client.CloseIdleConnections()
}

// Drain announces to the node that the server accepts no new requests.
func (b *Backend) Drain() {
	b.updateBehaviour(func(behaviour *Behaviour) { behaviour.Draining = true })
	b.announceOnce()
}

// SetDelay adds a delay to every further request.
func (b *Backend) SetDelay(delay time.Duration) {
	b.updateBehaviour(func(behaviour *Behaviour) { behaviour.DelayMS = delay.Milliseconds() })
}

// SetCondition sets what every further response states about the server: the limit in
// requests per second that it names, nil for none, and whether it leaves.
func (b *Backend) SetCondition(limit *float64, leaving bool) {
	b.updateBehaviour(func(behaviour *Behaviour) { behaviour.Limit, behaviour.Leaving = limit, leaving })
}

// Runs returns all requests that the server has received.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.runs)
}
