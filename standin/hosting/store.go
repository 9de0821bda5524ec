// Package hosting is a small stand-in for the users' hosting platform: its store, its
// operator, and the backend servers that run beside nodes. It implements the platform's
// protocol and uses the platform's names.
package hosting

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Row is a row of the store.
type Row struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	RowVersion uint64 `json:"row_version,omitempty"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

// Store is the platform's store. Create it with NewStore. It implements http.Handler and
// is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[rowID]Row
	history []Row
	version uint64
	// droppedVersion is the newest row version whose history was dropped.
	droppedVersion uint64
	changed        chan struct{}
	// lost is closed when the waiting feeds are lost.
	lost       chan struct{}
	started    time.Time
	failStatus int
	silent     bool
	calls      int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: make(map[rowID]Row), changed: make(chan struct{}), lost: make(chan struct{}), started: time.Now()}
}

// Fail makes every call fail with that status and without an effect. Zero ends the
// failure.
func (s *Store) Fail(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failStatus = status
}

// SetSilent sets whether calls are left without a response. Calls that are made while the
// store is silent get none later either.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// LoseFeeds leaves the feeds that wait for a change without a response for good.
func (s *Store) LoseFeeds() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.lost)
	s.lost = make(chan struct{})
}

// DropHistory drops the history of changes, so that feeds that start before the present
// version get 410 Gone.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.droppedVersion = s.version
}

// Calls returns the number of calls received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Write sets a row as the operator does.
func (s *Store) Write(table, key string, value []byte) {
	s.applyChange(Row{Table: table, Key: key, Value: value})
}

// Remove removes a row as the operator does.
func (s *Store) Remove(table, key string) {
	s.applyChange(Row{Table: table, Key: key, Tombstone: true})
}

func (s *Store) applyChange(r Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r.RowVersion = s.version
	s.apply(r)
	s.notifyWatchers()
}

func (s *Store) apply(r Row) {
	id := rowID{r.Table, r.Part, r.Key}
	if r.Tombstone {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	status, silent := s.failStatus, s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /rows-get":
		s.get(w, r)
	case "GET /rows-feed":
		s.feed(w, r)
	case "POST /rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// respond must be called with the lock held.
func (s *Store) respond(w http.ResponseWriter, status int, rows []Row, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{ // the caller may have disconnected
		"rows": rows, "has_more": more, "row_version": s.version,
		"now": strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms",
	})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []Row{}
	for id, row := range s.rows {
		matches := id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("range_start")
		if matches && (q.Get("target") == "" || id.key < q.Get("target")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	more := len(rows) > limit
	s.respond(w, http.StatusOK, rows[:min(limit, len(rows))], more)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || wait < 0 || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	lost := s.lost
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if after < s.droppedVersion {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		changes := s.changesSince(q.Get("table"), after)
		changed := s.changed
		if len(changes) > 0 {
			s.respond(w, http.StatusOK, changes, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-lost:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		case <-timeout:
			s.mu.Lock()
			s.respond(w, http.StatusOK, []Row{}, false)
			s.mu.Unlock()
			return
		}
	}
}

// changesSince must be called with the lock held.
func (s *Store) changesSince(table string, after uint64) []Row {
	var changes []Row
	for _, row := range s.history {
		if row.Table == table && row.RowVersion > after {
			changes = append(changes, row)
		}
	}
	return changes
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRevision []Row `json:"expected_revision"`
		Writes           []Row `json:"writes"`
		Remove           []Row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range slices.Concat(t.Writes, t.Remove) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, e := range t.ExpectedRevision {
		current := s.rows[rowID{e.Table, e.Part, e.Key}]
		if current.RowVersion != e.RowVersion {
			s.respond(w, http.StatusPreconditionFailed, []Row{current}, false)
			return
		}
	}
	s.version++
	for _, row := range t.Writes {
		row.RowVersion = s.version
		s.apply(row)
	}
	for _, row := range t.Remove {
		row.RowVersion, row.Tombstone = s.version, true
		s.apply(row)
	}
	s.notifyWatchers()
	s.respond(w, http.StatusOK, nil, false)
}
