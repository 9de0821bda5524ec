package backend

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

// The paths that tests and operators use; they reach no slot.
const (
	PathHealth    = "/.standin/health"
	PathLoad      = "/.standin/load"
	PathRuns      = "/.standin/runs"
	PathBehaviour = "/.standin/behaviour"
)

// Behaviour is what can be switched while it runs, at PUT PathBehaviour.
type Behaviour struct {
	// Draining announces that it takes no new work.
	Draining bool `json:"draining"`
	// Shed answers 503 at once while every slot is taken.
	Shed bool `json:"shed"`
	// Unhealthy reports ill health; it goes on serving.
	Unhealthy bool `json:"unhealthy"`
	// DelayMS is added to every request, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
}

// Health answers at PathHealth.
type Health struct {
	Healthy bool `json:"healthy"`
}

// Load answers at PathLoad. It may lag or lie, as Options say.
type Load struct {
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

// Runs answers at PathRuns: how often each idempotency key ran, and how many
// requests ran in all.
type Runs struct {
	Total int            `json:"total"`
	ByKey map[string]int `json:"by_key"`
}

// sample is the load at one time.
type sample struct {
	at      time.Time
	running int
}

// maximumSamples bounds the load's history.
const maximumSamples = 1024

func (b *Backend) handler() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc(PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, Health{Healthy: !b.current().Unhealthy})
	})
	router.HandleFunc(PathLoad, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.load()) })
	router.HandleFunc(PathRuns, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.counts()) })
	router.HandleFunc(PathBehaviour, b.setBehaviour).Methods(http.MethodPut)
	router.PathPrefix("/").HandlerFunc(b.serve)
	return router
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the reader may have left
}

func (b *Backend) setBehaviour(w http.ResponseWriter, r *http.Request) {
	var wanted Behaviour
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<10)).Decode(&wanted); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.change(func(behaviour *Behaviour) { *behaviour = wanted })
	b.announceOnce()
	w.WriteHeader(http.StatusNoContent)
}

func (b *Backend) change(f func(*Behaviour)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(&b.behaviour)
}

func (b *Backend) current() Behaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.behaviour
}

func (b *Backend) sampleLoad() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.samples = append(b.samples, sample{time.Now(), len(b.slots)})
	if len(b.samples) > maximumSamples {
		b.samples = b.samples[1:]
	}
}

// load returns the report: the load of ReportLag ago, multiplied by ReportFactor.
func (b *Backend) load() Load {
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
	for _, s := range b.samples {
		if s.at.After(at) {
			break
		}
		running = s.running
	}
	return running
}

func (b *Backend) counts() Runs {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := Runs{Total: b.total, ByKey: make(map[string]int)}
	for _, run := range b.runs {
		if run.IdempotencyKey != "" {
			counts.ByKey[run.IdempotencyKey]++
		}
	}
	return counts
}
