package backend

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"coltsfootward/io/caller"
)

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	index := b.began(r)
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
		return // cancelled or out of time: the work is dropped
	}
	if status := b.callChildren(r); status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	b.completed(index)
	b.write(b.breaking(w, r), r, body)
}

// takeSlot waits for a slot, or answers 503 if it sheds.
func (b *Backend) takeSlot(w http.ResponseWriter, r *http.Request) bool {
	if b.current().Shed {
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

func (b *Backend) began(r *http.Request) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total++
	if b.options.Forget {
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

func (b *Backend) completed(index int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if index >= 0 {
		b.runs[index].Completed = true
	}
}

// serviceTime returns how long the request takes.
func (b *Backend) serviceTime(r *http.Request) time.Duration {
	d := b.options.ServiceTime + time.Duration(b.current().DelayMS)*time.Millisecond
	if asked := query(r, "time_ms", -1); asked >= 0 {
		d = time.Duration(asked) * time.Millisecond
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

// breaking returns a writer that breaks the connection where the request asks
// for it.
func (b *Backend) breaking(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	after := query(r, "break_after", -1)
	if after < 0 {
		return w
	}
	times := query(r, "break_times", 1<<30)
	b.mu.Lock()
	defer b.mu.Unlock()
	address := r.URL.String()
	b.broken[address]++
	if int64(b.broken[address]) > times {
		return w
	}
	return &breakingWriter{ResponseWriter: w, left: after}
}

// breakingWriter resets the connection once left bytes have been written.
type breakingWriter struct {
	http.ResponseWriter
	left int64
}

// Write implements http.ResponseWriter.
func (w *breakingWriter) Write(p []byte) (int, error) {
	if int64(len(p)) < w.left {
		w.left -= int64(len(p))
		return w.ResponseWriter.Write(p)
	}
	_, _ = w.ResponseWriter.Write(p[:w.left])
	w.reset()
	panic(http.ErrAbortHandler)
}

// reset sends what was written and then resets the connection. With a linger
// of zero the kernel sends a reset in place of an orderly end.
func (w *breakingWriter) reset() {
	control := http.NewResponseController(w.ResponseWriter)
	if w.left > 0 {
		_ = control.Flush()
	}
	connection, _, err := control.Hijack()
	if err != nil {
		return // ended by the panic that follows
	}
	if tcp, ok := connection.(*net.TCPConn); ok && w.left == 0 {
		_ = tcp.SetLinger(0)
	}
	connection.Close()
}
