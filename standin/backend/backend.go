// Package backend is a stand-in for a backend server: slots, service time,
// drain, cold start, deadlines and cancellation, further calls, shedding,
// reports that lag or lie, downloads by range, broken connections, and a count
// of what ran.
//
// The query of a request asks for special treatment: time_ms=N sets its
// service time, size=N appends N bytes to the answer, status=N answers with
// that status, break_after=N breaks the connection after N bytes of the body
// and break_times=K does so only for the first K requests of that address.
package backend

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"coltsfootward/io/upstream"
)

// Options are a stand-in's settings.
type Options struct {
	// Announcement is what it tells its node, but for Address and Draining.
	Announcement upstream.Announcement
	// NodeAddress is the local node's address for backend servers.
	NodeAddress string
	// ServiceTime is how long a request occupies a slot.
	ServiceTime time.Duration
	// Jitter is the largest random time added to ServiceTime.
	Jitter time.Duration
	// ColdStart is how long after its start requests take twice their time.
	ColdStart time.Duration
	// Children are paths, /{service}/{path}, called one after the other while a
	// request is served.
	Children []string
	// AnnounceInterval is the time between announcements. Zero means 1 s.
	AnnounceInterval time.Duration
	// Shed answers 503 at once while every slot is taken, instead of waiting.
	Shed bool
	// ReportLag is how old the load report is.
	ReportLag time.Duration
	// ReportFactor multiplies the load that is reported; zero means 1.
	ReportFactor float64
	// Forget keeps no record of single runs, for measurements under load.
	Forget bool
}

// Run is one request as the stand-in saw it.
type Run struct {
	Path           string
	Organisation   string
	Request        string
	IdempotencyKey string
	Header         http.Header
	// Completed is false if the caller left before the answer was written.
	Completed bool
}

// Backend is a running stand-in. Create it with New. It is safe for concurrent
// use.
type Backend struct {
	options  Options
	listener net.Listener
	server   *http.Server
	client   *http.Client
	slots    chan struct{}
	started  time.Time
	done     chan struct{}
	wait     sync.WaitGroup

	mu        sync.Mutex
	runs      []Run
	total     int
	behaviour Behaviour
	broken    map[string]int
	samples   []sample
}

// New starts a backend server on listener.
func New(listener net.Listener, options Options) *Backend {
	if options.AnnounceInterval <= 0 {
		options.AnnounceInterval = time.Second
	}
	b := &Backend{
		options:   options,
		listener:  listener,
		client:    &http.Client{},
		slots:     make(chan struct{}, options.Announcement.Slots),
		started:   time.Now(),
		done:      make(chan struct{}),
		behaviour: Behaviour{Shed: options.Shed},
		broken:    make(map[string]int),
	}
	b.server = &http.Server{Handler: b.handler(), ReadHeaderTimeout: 10 * time.Second}
	b.wait.Go(func() { _ = b.server.Serve(listener) })
	b.wait.Go(b.announce)
	return b
}

// Address returns the IP number and port that it serves on.
func (b *Backend) Address() string { return b.listener.Addr().String() }

// Close stops it at once.
func (b *Backend) Close() {
	close(b.done)
	b.server.Close()
	b.wait.Wait()
	b.client.CloseIdleConnections()
}

// Drain announces that it takes no new work.
func (b *Backend) Drain() {
	b.change(func(behaviour *Behaviour) { behaviour.Draining = true })
	b.announceOnce()
}

// Slow adds a delay to every request from now on.
func (b *Backend) Slow(delay time.Duration) {
	b.change(func(behaviour *Behaviour) { behaviour.DelayMS = delay.Milliseconds() })
}

// Runs returns every request that reached it.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.runs)
}
