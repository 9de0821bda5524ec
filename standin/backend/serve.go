package backend

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"coltsfootward/io/caller"
)

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	index := b.recordRun(r)
	b.stateCondition(w.Header())
	if !b.takeSlot(w, r) {
		return
	}
	defer func() { <-b.slots }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(b.serviceTime(r)):
	case <-r.Context().Done():
		return // cancelled or past its deadline: stop the work
	}
	if status := b.callChildren(r); status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	b.markCompleted(index)
	b.writeResponse(b.breakingResponse(w, r), r, body)
}

// stateCondition sets the fields in which responses state the server's condition.
func (b *Backend) stateCondition(h http.Header) {
	behaviour := b.currentBehaviour()
	if behaviour.Limit != nil {
		h.Set(caller.HeaderServerLimit, strconv.FormatFloat(*behaviour.Limit, 'f', -1, 64))
	}
	if behaviour.Leaving {
		h.Set(caller.HeaderServerLeaving, "1")
	}
}

// takeSlot waits for a slot, or responds 503 if the server sheds load and no slot is
// free. It reports whether the request has a slot.
func (b *Backend) takeSlot(w http.ResponseWriter, r *http.Request) bool {
	if b.currentBehaviour().Shed {
		select {
		case b.slots <- struct{}{}:
			return true
		default:
			w.Header().Set("Retry-After", "1")
			http.Error(w, "every slot is taken", http.StatusServiceUnavailable)
			return false
		}
	}
	select {
	case b.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (b *Backend) recordRun(r *http.Request) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total++
	if b.options.DiscardRuns {
		return -1
	}
	b.runs = append(b.runs, Run{
		Path:           r.URL.Path,
		Organisation:   r.Header.Get(caller.HeaderOrganisation),
		Request:        r.Header.Get(caller.HeaderRequest),
		IdempotencyKey: r.Header.Get(caller.HeaderIdempotencyKey),
		Header:         r.Header.Clone(),
	})
	return len(b.runs) - 1
}

func (b *Backend) markCompleted(index int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if index >= 0 {
		b.runs[index].Completed = true
	}
}

// serviceTime returns how long the request occupies its slot.
func (b *Backend) serviceTime(r *http.Request) time.Duration {
	d := b.options.ServiceTime + time.Duration(b.currentBehaviour().DelayMS)*time.Millisecond
	if requested := queryInt(r, "time_ms", -1); requested >= 0 {
		d = time.Duration(requested) * time.Millisecond
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
	for _, path := range b.options.ChildPaths {
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

// breakingResponse returns w, or a writer that breaks the connection if the request's
// query demands it.
func (b *Backend) breakingResponse(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	after := queryInt(r, "break_after", -1)
	if after < 0 {
		return w
	}
	maxBreaks := queryInt(r, "break_times", 1<<30)
	b.mu.Lock()
	defer b.mu.Unlock()
	url := r.URL.String()
	b.breakCounts[url]++
	if int64(b.breakCounts[url]) > maxBreaks {
		return w
	}
	return &breakingWriter{ResponseWriter: w, remaining: after}
}

// breakingWriter breaks the connection once the remaining number of bytes has been
// written.
type breakingWriter struct {
	http.ResponseWriter
	remaining int64
}

// Write implements http.ResponseWriter.
func (w *breakingWriter) Write(p []byte) (int, error) {
	if int64(len(p)) < w.remaining {
		w.remaining -= int64(len(p))
		return w.ResponseWriter.Write(p)
	}
	_, _ = w.ResponseWriter.Write(p[:w.remaining])
	w.endConnection()
	panic(http.ErrAbortHandler)
}

// endConnection flushes the bytes written so far and closes the connection. With
// break_after=0 nothing is flushed, and a linger of zero makes the kernel send a reset
// instead of an orderly close.
func (w *breakingWriter) endConnection() {
	control := http.NewResponseController(w.ResponseWriter)
	if w.remaining > 0 {
		_ = control.Flush()
	}
	connection, _, err := control.Hijack()
	if err != nil {
		return // the panic that follows ends the connection
	}
	if tcp, ok := connection.(*net.TCPConn); ok && w.remaining == 0 {
		_ = tcp.SetLinger(0)
	}
	connection.Close()
}
