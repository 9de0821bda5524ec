package hosting

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is the time between two heartbeats.
const heartbeatInterval = 100 * time.Millisecond

// Backend is a backend server beside a node. Create it with NewBackend and set its
// fields before Start. It implements http.Handler and is safe for concurrent use.
type Backend struct {
	ID, Service, Address string
	Slots                int
	// NodeAddress is where the node receives heartbeats.
	NodeAddress string
	// Serve responds to requests that are addressed to this server; the request id and
	// the stamp are already set in the response's header. Nil means a short default
	// body.
	Serve http.HandlerFunc
	// DiscardRuns keeps no record of the requests that ran.
	DiscardRuns bool

	mu       sync.Mutex
	sequence uint64
	draining bool
	// crashed is set from Crash until Restart. starts counts the calls of Restart.
	crashed bool
	starts  int
	// coldUntil is when the server becomes warm.
	coldUntil time.Time
	// limit is the value of the field with which responses name a limit; empty without
	// one. leaving is set if responses say that the server leaves.
	limit   string
	leaving bool
	// slowdown is the fourth figure of the load field; empty without one.
	slowdown          string
	startMilliseconds int64
	runs              []*http.Request
	running           int
	done              chan struct{}
	wait              sync.WaitGroup
}

// NewBackend returns a backend server that does not send heartbeats yet.
func NewBackend(id, service, address, nodeAddress string, slots int) *Backend {
	return &Backend{ID: id, Service: service, Address: address, NodeAddress: nodeAddress, Slots: slots,
		startMilliseconds: time.Now().UnixMilli(), done: make(chan struct{})}
}

// Start sends heartbeats until Close is called.
func (b *Backend) Start() {
	b.wait.Go(func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			_ = b.SendHeartbeat() // the node may not be running yet; the next heartbeat follows soon
			select {
			case <-ticker.C:
			case <-b.done:
				return
			}
		}
	})
}

// Close stops the heartbeats.
func (b *Backend) Close() {
	close(b.done)
	b.wait.Wait()
}

// Crash stops the heartbeats, as the end of the process does. The caller has to end its
// connections. What the server states about itself ends with it; what is set until
// Restart holds for the next start. It returns false if the server has crashed already.
func (b *Backend) Crash() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.crashed {
		return false
	}
	b.crashed = true
	b.limit, b.leaving, b.slowdown = "", false, ""
	return true
}

// Restart begins a new start of the server after Crash, under a new ID.
func (b *Backend) Restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	b.sequence = 0
	b.startMilliseconds = time.Now().UnixMilli()
	b.crashed = false
}

// currentID returns the ID of the current start. It must be called with the lock held.
func (b *Backend) currentID() string {
	if b.starts == 0 {
		return b.ID
	}
	return fmt.Sprintf("%s-%d", b.ID, b.starts)
}

// Drain sends a heartbeat with the state draining. It returns an error unless the node
// acknowledges it.
func (b *Backend) Drain() error {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	return b.SendHeartbeat()
}

// SetCold makes the server cold for the duration d. The next heartbeat reports it.
func (b *Backend) SetCold(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldUntil = time.Now().Add(d)
}

// SetLimit makes the server name a limit in requests per second in all its responses.
func (b *Backend) SetLimit(perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = strconv.FormatFloat(perSecond, 'f', -1, 64)
}

// RemoveLimit makes the server name no limit any more.
func (b *Backend) RemoveLimit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = ""
}

// SetLeaving sets whether the server says in all its responses that it leaves. Its
// heartbeats don't change.
func (b *Backend) SetLeaving(leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = leaving
}

// SetSlowdown makes the server state in all its responses how long work takes, in percent of
// the usual duration. The text is not checked, so that tests can state bad figures.
func (b *Backend) SetSlowdown(percent string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slowdown = percent
}

// setCondition sets the fields in which the server states its condition. It must be
// called with the lock held.
func (b *Backend) setCondition(h http.Header) {
	if b.limit != "" {
		h.Set("Server-Limit", b.limit)
	}
	if b.leaving {
		h.Set("Server-Leaving", "1")
	}
	load := fmt.Sprintf("%d,0,%d", b.running, b.Slots)
	if b.slowdown != "" {
		load += "," + b.slowdown
	}
	h.Set("Coltsfootward-Server-Load", load)
}

// coldMilliseconds returns the remaining cold time. It must be called with the lock
// held.
func (b *Backend) coldMilliseconds() int64 {
	return max(time.Until(b.coldUntil).Milliseconds(), 0)
}

// SendHeartbeat sends one heartbeat. It returns an error unless the node acknowledges
// it.
func (b *Backend) SendHeartbeat() error {
	b.mu.Lock()
	if b.crashed {
		b.mu.Unlock()
		return errors.New("hosting: the backend server has crashed")
	}
	id := b.currentID()
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": b.Service, "address": b.Address, "zone": "north", "version": "v1", "slots": b.Slots,
		"state": state, "cold_remaining": fmt.Sprintf("%dms", b.coldMilliseconds()), "sequence": b.sequence, "born": b.startMilliseconds,
	})
	b.mu.Unlock()
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+b.NodeAddress+"/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("hosting: heartbeat got status %d", response.StatusCode)
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
	id, draining, cold := b.currentID(), b.draining || b.leaving, b.coldMilliseconds()
	b.setCondition(w.Header())
	b.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set("Coltsfootward-Cold-Remaining-Ms", strconv.FormatInt(cold, 10))
		w.Header().Set("Coltsfootward-Instance-Id", id)
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get("Coltsfootward-Expect-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.countRun(r)
	defer b.countEnd()
	w.Header().Set("Coltsfootward-Request-Id", r.Header.Get("Coltsfootward-Request-Id"))
	w.Header().Set("Coltsfootward-Response-Stamp", "stamp-of-"+id)
	if b.Serve != nil {
		b.Serve(w, r)
		return
	}
	fmt.Fprintf(w, "answer of %s to %s", id, r.URL.RequestURI())
}

// countRun records that a request runs.
func (b *Backend) countRun(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running++
	if !b.DiscardRuns {
		b.runs = append(b.runs, r)
	}
}

func (b *Backend) countEnd() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}
