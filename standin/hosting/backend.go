package hosting

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is the time between two heartbeats.
const heartbeatInterval = 100 * time.Millisecond

// Backend is a backend server beside a node. Its fields are set before Start.
// Create it with NewBackend. It implements http.Handler and is safe for
// concurrent use.
type Backend struct {
	ID, Service, Address string
	Slots                int
	// Control is where its node takes heartbeats.
	Control string
	// Serve answers requests that are this server's; the id's echo and the stamp
	// are set. Nil means a short body.
	Serve http.HandlerFunc
	// Forget has the server keep no list of its runs.
	Forget bool

	mu       sync.Mutex
	sequence uint64
	draining bool
	// coldUntil is when the server is warm.
	coldUntil time.Time
	born      int64
	runs      []*http.Request
	done      chan struct{}
	wait      sync.WaitGroup
}

// NewBackend returns a backend server that has not started.
func NewBackend(id, service, address, control string, slots int) *Backend {
	return &Backend{ID: id, Service: service, Address: address, Control: control, Slots: slots,
		born: time.Now().UnixMilli(), done: make(chan struct{})}
}

// Start begins to send heartbeats until Close.
func (b *Backend) Start() {
	b.wait.Go(func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			_ = b.Beat() // the node may not run yet; the next one comes soon
			select {
			case <-ticker.C:
			case <-b.done:
				return
			}
		}
	})
}

// Close ends the heartbeats.
func (b *Backend) Close() {
	close(b.done)
	b.wait.Wait()
}

// Drain sends a heartbeat that says that the server leaves, and returns an error
// unless it was acknowledged.
func (b *Backend) Drain() error {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	return b.Beat()
}

// GoCold makes the server cold for that long. Its next heartbeat says so.
func (b *Backend) GoCold(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldUntil = time.Now().Add(d)
}

// coldMilliseconds is called with the lock held.
func (b *Backend) coldMilliseconds() int64 {
	return max(time.Until(b.coldUntil).Milliseconds(), 0)
}

// Beat sends one heartbeat.
func (b *Backend) Beat() error {
	b.mu.Lock()
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": b.Service, "address": b.Address, "zone": "north", "version": "v1", "slots": b.Slots,
		"state": state, "cold_remaining": fmt.Sprintf("%dms", b.coldMilliseconds()), "sequence": b.sequence, "born": b.born,
	})
	b.mu.Unlock()
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+b.Control+"/instances/"+b.ID+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("hosting: heartbeat answered %d", response.StatusCode)
	}
	return nil
}

// Runs returns the requests that the server has run.
func (b *Backend) Runs() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*http.Request(nil), b.runs...)
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	draining, cold := b.draining, b.coldMilliseconds()
	b.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set("Coltsfootward-Cold-Remaining-Ms", strconv.FormatInt(cold, 10))
		w.Header().Set("Coltsfootward-Instance-Id", b.ID)
		w.Header().Set("Coltsfootward-Server-Load", fmt.Sprintf("0,0,%d", b.Slots))
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get("Coltsfootward-Expect-Instance"); expected != "" && expected != b.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !b.Forget {
		b.mu.Lock()
		b.runs = append(b.runs, r)
		b.mu.Unlock()
	}
	w.Header().Set("Coltsfootward-Request-Id", r.Header.Get("Coltsfootward-Request-Id"))
	w.Header().Set("Coltsfootward-Response-Stamp", "stamp-of-"+b.ID)
	if b.Serve != nil {
		b.Serve(w, r)
		return
	}
	fmt.Fprintf(w, "answer of %s to %s", b.ID, r.URL.RequestURI())
}
