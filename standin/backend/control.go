package backend

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

// The control paths, for tests and operators. Requests to them occupy no slot.
const (
	PathHealth    = "/.standin/health"
	PathLoad      = "/.standin/load"
	PathRuns      = "/.standin/runs"
	PathBehaviour = "/.standin/behaviour"
)

// Behaviour holds the settings that can be changed at run time, by PUT to
// PathBehaviour.
type Behaviour struct {
	// Draining announces that the server accepts no new requests.
	Draining bool `json:"draining"`
	// Shed makes the server respond 503 while every slot is taken.
	Shed bool `json:"shed"`
	// Unhealthy makes the health check fail. The server still serves requests.
	Unhealthy bool `json:"unhealthy"`
	// DelayMS is added to every request, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// Limit, if not null, is the limit in requests per second that every response names.
	Limit *float64 `json:"limit"`
	// Leaving makes every response say that the server leaves. The announcements don't
	// change.
	Leaving bool `json:"leaving"`
}

// Health is the response at PathHealth.
type Health struct {
	Healthy bool `json:"healthy"`
}

// Load is the load report at PathLoad. Options.ReportLag and Options.ReportFactor
// falsify it.
type Load struct {
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

// RunCounts is the response at PathRuns: the number of requests received in total, and
// by idempotency key.
type RunCounts struct {
	Total int            `json:"total"`
	ByKey map[string]int `json:"by_key"`
}

// loadSample is the load at one point in time.
type loadSample struct {
	at      time.Time
	running int
}

// maximumSamples is the maximum length of the load history.
const maximumSamples = 1024

func (b *Backend) handler() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc(PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, Health{Healthy: !b.currentBehaviour().Unhealthy})
	})
	router.HandleFunc(PathLoad, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.reportedLoad()) })
	router.HandleFunc(PathRuns, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.runCounts()) })
	router.HandleFunc(PathBehaviour, b.setBehaviour).Methods(http.MethodPut)
	router.PathPrefix("/").HandlerFunc(b.serve)
	return router
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the client may have disconnected
}

func (b *Backend) setBehaviour(w http.ResponseWriter, r *http.Request) {
	var wanted Behaviour
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<10)).Decode(&wanted); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.updateBehaviour(func(behaviour *Behaviour) { *behaviour = wanted })
	b.announceOnce()
	w.WriteHeader(http.StatusNoContent)
}

func (b *Backend) updateBehaviour(f func(*Behaviour)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(&b.behaviour)
}

func (b *Backend) currentBehaviour() Behaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.behaviour
}

func (b *Backend) sampleLoad() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loadSamples = append(b.loadSamples, loadSample{time.Now(), len(b.slots)})
	if len(b.loadSamples) > maximumSamples {
		b.loadSamples = b.loadSamples[1:]
	}
}

// reportedLoad returns the load report: the load of ReportLag ago, multiplied by
// ReportFactor.
func (b *Backend) reportedLoad() Load {
	running := len(b.slots)
	if b.options.ReportLag > 0 {
		running = b.loadAt(time.Now().Add(-b.options.ReportLag))
	}
	if b.options.ReportFactor > 0 {
		running = int(float64(running) * b.options.ReportFactor)
	}
	return Load{Running: running, Slots: cap(b.slots)}
}

func (b *Backend) loadAt(at time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	running := 0
	for _, s := range b.loadSamples {
		if s.at.After(at) {
			break
		}
		running = s.running
	}
	return running
}

func (b *Backend) runCounts() RunCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := RunCounts{Total: b.total, ByKey: make(map[string]int)}
	for _, run := range b.runs {
		if run.IdempotencyKey != "" {
			counts.ByKey[run.IdempotencyKey]++
		}
	}
	return counts
}
