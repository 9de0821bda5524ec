package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"coltsfootward"
	"coltsfootward/io/wire"
	"coltsfootward/io/worker"
)

// Default limits, used where the configuration sets none.
const (
	defaultHeaderBytes   = 32 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 3 * time.Minute
	// reducedIdleThreshold is the number of open connections above which the idle
	// timeout that is announced to callers is reduced. It is not reduced below
	// minimumIdleTimeout.
	//
	// Callers that are refused retry on a new connection and keep the old one open.
	// In an overload of 20 s, 1,800 idle connections took a third of a node's
	// memory.
	reducedIdleThreshold = 128
	minimumIdleTimeout   = time.Second
)

// ServerOptions are the settings of a Server. The zero value is valid.
type ServerOptions struct {
	// Limits returns the current limits on requests and connections; nil means the
	// defaults.
	Limits func() coltsfootward.Limits
	// Eager reports whether a request may be started before the responses to the
	// preceding requests on its connection are written; nil means that none may.
	Eager func(*http.Request) bool
	// MaximumBody is the maximum size of a request body in bytes if Limits sets
	// none. Zero means DefaultMaximumBody.
	MaximumBody int64
	// Bodies limits the memory for the bodies of all requests; nil means that there is
	// no limit.
	Bodies *wire.Budget
	// Owner returns whose part of Bodies the body of a request is counted for, from the
	// request's header alone. For a request that will not be served it returns the
	// reason; only a small body is then read. Nil means that all bodies have the same
	// owner.
	Owner func(*http.Request) (string, *coltsfootward.Refusal)
	// Refuse writes a refusal of a request that was not passed to the handler. The
	// request is nil if its header could not be read. Nil means the format of the own
	// deployments.
	Refuse func(http.ResponseWriter, *http.Request, coltsfootward.Refusal)
	// OnBodyRefused, if not nil, is called for a request that was refused because there
	// is no memory for its body. size is -1 if the body's size is not known.
	OnBodyRefused func(r *http.Request, owner string, size int64)
}

// Server serves HTTP/1.1 to callers. Create it with NewServer. It is safe for
// concurrent use.
//
// Unlike http.Server, it supports callers that pipeline requests: it reads
// requests ahead and may handle them concurrently, it writes the responses in the
// order of the requests, and it detects that a caller has disconnected even when
// further requests are unread. http.Server does not read ahead while a handler
// runs, so a caller's second request waits for the first. Nor does it detect that
// a connection was closed while there are unread bytes, so backend servers
// continue to work for callers that have disconnected.
type Server struct {
	handler http.Handler
	options ServerOptions
	wait    sync.WaitGroup
	workers *worker.Pool

	mu          sync.Mutex
	listener    net.Listener
	connections map[*serverConn]struct{}
	closing     bool
}

// NewServer returns a server. Call Serve to accept connections.
func NewServer(handler http.Handler, options ServerOptions) *Server {
	if options.Limits == nil {
		options.Limits = func() coltsfootward.Limits { return coltsfootward.Limits{} }
	}
	if options.Eager == nil {
		options.Eager = func(*http.Request) bool { return false }
	}
	if options.Owner == nil {
		options.Owner = func(*http.Request) (string, *coltsfootward.Refusal) { return "", nil }
	}
	if options.Refuse == nil {
		options.Refuse = func(w http.ResponseWriter, _ *http.Request, r coltsfootward.Refusal) { writeRefusal(w, r) }
	}
	if options.OnBodyRefused == nil {
		options.OnBodyRefused = func(*http.Request, string, int64) {}
	}
	if options.MaximumBody <= 0 {
		options.MaximumBody = DefaultMaximumBody
	}
	return &Server{handler: handler, options: options, connections: make(map[*serverConn]struct{}), workers: worker.NewPool()}
}

// Serve accepts connections until the listener is closed. It returns
// http.ErrServerClosed after Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for {
		accepted, err := listener.Accept()
		if err != nil {
			if s.isClosing() || errors.Is(err, net.ErrClosed) {
				return http.ErrServerClosed
			}
			// Accept may fail temporarily, as when the process has run out of file
			// descriptors. The server must not stop because of that.
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.startConnection(accepted)
	}
}

// acceptRetryDelay is the delay between a failed Accept and the next one.
const acceptRetryDelay = 20 * time.Millisecond

func (s *Server) startConnection(accepted net.Conn) {
	c := newServerConn(s, accepted)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		accepted.Close()
		return
	}
	s.connections[c] = struct{}{}
	s.startTask(c.readRequests)
}

// startTask runs a task on the worker pool. Shutdown waits for its end.
func (s *Server) startTask(task func()) {
	s.wait.Add(1)
	s.workers.Go(func() {
		defer s.wait.Done()
		task()
	})
}

// currentIdleTimeout returns the idle timeout for the present number of open
// connections, and whether it is less than the configured one. A reduced timeout
// is a whole number of seconds.
func (s *Server) currentIdleTimeout() (timeout time.Duration, shorter bool) {
	s.mu.Lock()
	open := len(s.connections)
	s.mu.Unlock()
	timeout = s.limits().IdleTimeout
	if open <= reducedIdleThreshold || timeout <= minimumIdleTimeout {
		return timeout, false
	}
	reduced := timeout * reducedIdleThreshold / time.Duration(open)
	return max(reduced.Truncate(time.Second), minimumIdleTimeout), true
}

func (s *Server) removeConnection(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// CloseAfterResponses closes the open connections without aborting requests: a
// connection without pending requests is closed at once, any other after its next
// response. New connections are still served.
func (s *Server) CloseAfterResponses() {
	for _, c := range s.openConnections() {
		c.retire()
	}
}

// Shutdown stops accepting connections, closes the idle ones and waits until the
// others have received their responses. When ctx ends, it aborts the remaining
// connections and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
	s.CloseAfterResponses()
	finished := make(chan struct{})
	go func() {
		s.wait.Wait()
		s.workers.Close()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
	}
	for _, c := range s.openConnections() {
		c.abort()
	}
	<-finished
	return ctx.Err()
}

func (s *Server) openConnections() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*serverConn, 0, len(s.connections))
	for c := range s.connections {
		all = append(all, c)
	}
	return all
}

// limits returns the current limits, with defaults for those that are not set.
func (s *Server) limits() coltsfootward.Limits {
	l := s.options.Limits()
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = s.options.MaximumBody
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}
