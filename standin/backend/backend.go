// Package backend is a stand-in for a backend server: slots, service time,
// drain, deadlines and cancellation, further calls, and a count of what ran.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"coltsfootward/io/caller"
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

// Backend is a running stand-in. Create it with New.
type Backend struct {
	options  Options
	listener net.Listener
	server   *http.Server
	client   *http.Client
	slots    chan struct{}
	started  time.Time
	done     chan struct{}
	wait     sync.WaitGroup

	mu       sync.Mutex
	runs     []Run
	draining bool
	delay    time.Duration
}

// New starts a backend server on listener.
func New(listener net.Listener, options Options) *Backend {
	if options.AnnounceInterval <= 0 {
		options.AnnounceInterval = time.Second
	}
	b := &Backend{
		options:  options,
		listener: listener,
		client:   &http.Client{},
		slots:    make(chan struct{}, options.Announcement.Slots),
		started:  time.Now(),
		done:     make(chan struct{}),
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: 10 * time.Second}
	b.wait.Go(func() { _ = b.server.Serve(listener) })
	b.wait.Go(b.announce)
	return b
}

// Close stops it at once.
func (b *Backend) Close() {
	close(b.done)
	b.server.Close()
	b.wait.Wait()
	b.client.CloseIdleConnections()
}

// Drain announces that it takes no new work.
func (b *Backend) Drain() {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.announceOnce()
}

// Slow adds a delay to every request from now on.
func (b *Backend) Slow(delay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay = delay
}

// Runs returns every request that reached it.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.runs)
}

func (b *Backend) announce() {
	ticker := time.NewTicker(b.options.AnnounceInterval)
	defer ticker.Stop()
	for {
		b.announceOnce()
		select {
		case <-ticker.C:
		case <-b.done:
			return
		}
	}
}

func (b *Backend) announceOnce() {
	a := b.options.Announcement
	a.Address = b.listener.Addr().String()
	b.mu.Lock()
	a.Draining = b.draining
	b.mu.Unlock()
	data, err := json.Marshal(a)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+b.options.NodeAddress+upstream.AnnouncePath, bytes.NewReader(data))
	if err != nil {
		return
	}
	response, err := b.client.Do(request)
	if err != nil {
		return // the node may not run yet; the next announcement follows
	}
	response.Body.Close()
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	index := b.began(r)
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-r.Context().Done():
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(b.serviceTime(r)):
	case <-r.Context().Done():
		return
	}
	if status := b.callChildren(r); status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	b.completed(index)
	b.write(w, r, body)
}

func (b *Backend) began(r *http.Request) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, Run{
		Path:           r.URL.Path,
		Organisation:   r.Header.Get(caller.HeaderOrganisation),
		Request:        r.Header.Get(caller.HeaderRequest),
		IdempotencyKey: r.Header.Get(caller.HeaderIdempotencyKey),
		Header:         maps.Clone(r.Header),
	})
	return len(b.runs) - 1
}

func (b *Backend) completed(index int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[index].Completed = true
}

// serviceTime returns how long the request takes; a query of time_ms=N sets it.
func (b *Backend) serviceTime(r *http.Request) time.Duration {
	b.mu.Lock()
	d := b.options.ServiceTime + b.delay
	b.mu.Unlock()
	if n, err := strconv.Atoi(r.URL.Query().Get("time_ms")); err == nil && n >= 0 {
		d = time.Duration(n) * time.Millisecond
	}
	if b.options.Jitter > 0 {
		d += rand.N(b.options.Jitter)
	}
	if time.Since(b.started) < b.options.ColdStart {
		d *= 2
	}
	return d
}

func (b *Backend) callChildren(r *http.Request) int {
	for _, path := range b.options.Children {
		request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+b.options.NodeAddress+path, nil)
		if err != nil {
			return http.StatusInternalServerError
		}
		request.Header.Set(caller.HeaderCallToken, r.Header.Get(caller.HeaderCallToken))
		response, err := b.client.Do(request)
		if err != nil {
			return http.StatusBadGateway
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			return http.StatusBadGateway
		}
	}
	return http.StatusOK
}

// write answers with the request's own path and body, so that a caller can
// tell whether the answer is its own. A query of size=N appends N bytes.
func (b *Backend) write(w http.ResponseWriter, r *http.Request, body []byte) {
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil || size < 0 {
		size = 0
	}
	head := fmt.Sprintf("%s %s %s\n%s\n", r.Method, r.URL.Path, r.Header.Get(caller.HeaderRequest), body)
	w.Header().Set("Content-Length", strconv.Itoa(len(head)+size))
	_, _ = io.WriteString(w, head)
	_, _ = io.Copy(w, io.LimitReader(repeat{}, int64(size))) // the caller may have left
}

// repeat reads as an endless row of the letter x.
type repeat struct{}

// Read implements io.Reader.
func (repeat) Read(p []byte) (int, error) {
	return copy(p, strings.Repeat("x", len(p))), nil
}
