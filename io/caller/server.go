package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"coltsfootward"
	"coltsfootward/io/worker"
)

// The defaults of what callers may send, for a configuration that sets none.
const (
	defaultHeaderBytes   = 32 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 3 * time.Minute
	// maximumBodies bounds the memory for the bodies of all requests in hand, in
	// bytes. Beyond it requests with a body are refused: a node that is killed
	// for its memory refuses everything.
	maximumBodies = 48 << 20
	// crowdedConnections is how many connections may be open before callers are
	// asked to give idle ones up sooner than the limit says, and shortestIdle the
	// shortest time that they are asked for.
	//
	// Callers that are refused come back on a new connection each and keep the old
	// one. Under an overload of 20 s a node held 1,800 of them, all idle, which was
	// a third of its memory.
	crowdedConnections = 128
	shortestIdle       = time.Second
)

// ServerOptions are a server's settings. The zero value works.
type ServerOptions struct {
	// Limits returns what callers may send now; nil means the defaults.
	Limits func() coltsfootward.Limits
	// Eager reports whether a request may be begun before those ahead of it on
	// its connection have been answered; nil means that none may.
	Eager func(*http.Request) bool
	// MaximumBody bounds a request's body in bytes where the limits set nothing.
	// Zero means DefaultMaximumBody.
	MaximumBody int64
}

// Server serves HTTP/1.1 to callers. Create it with NewServer. It is safe for
// concurrent use.
//
// It differs from http.Server in what callers that pipeline need: requests are
// read ahead and may run side by side, their answers go out in order, and a
// caller that leaves is noticed whatever of its requests lies unread.
// http.Server reads nothing ahead while a handler runs, so that a caller's second
// request waits for the first, and it notices no close behind unread bytes, so
// that backend servers work on for callers that have left.
type Server struct {
	handler http.Handler
	options ServerOptions
	wait    sync.WaitGroup
	workers *worker.Pool

	mu          sync.Mutex
	listener    net.Listener
	connections map[*serverConn]struct{}
	closing     bool
	bodies      int64
}

// NewServer returns a server that serves nothing until Serve.
func NewServer(handler http.Handler, options ServerOptions) *Server {
	if options.Limits == nil {
		options.Limits = func() coltsfootward.Limits { return coltsfootward.Limits{} }
	}
	if options.Eager == nil {
		options.Eager = func(*http.Request) bool { return false }
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
			// Running out of descriptors is passing; ending the server is not.
			time.Sleep(acceptPause)
			continue
		}
		s.begin(accepted)
	}
}

// acceptPause is how long accepting waits after a failure.
const acceptPause = 20 * time.Millisecond

func (s *Server) begin(accepted net.Conn) {
	c := newServerConn(s, accepted)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		accepted.Close()
		return
	}
	s.connections[c] = struct{}{}
	s.start(c.read)
}

// start runs a task that Shutdown waits for.
func (s *Server) start(task func()) {
	s.wait.Add(1)
	s.workers.Go(func() {
		defer s.wait.Done()
		task()
	})
}

// idleLimit returns how long a connection may stay idle from now on, in whole
// seconds if that is less than the limit in force, and whether it is.
func (s *Server) idleLimit() (limit time.Duration, shorter bool) {
	s.mu.Lock()
	open := len(s.connections)
	s.mu.Unlock()
	limit = s.limits().IdleTimeout
	if open <= crowdedConnections || limit <= shortestIdle {
		return limit, false
	}
	reduced := limit * crowdedConnections / time.Duration(open)
	return max(reduced.Truncate(time.Second), shortestIdle), true
}

func (s *Server) forget(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// Retire lets callers go without cutting any off: connections with nothing in
// hand are closed, the others with their next answer. New ones are still served.
func (s *Server) Retire() {
	for _, c := range s.all() {
		c.retire()
	}
}

// Shutdown takes no new connection, ends the idle ones and waits until the
// others have had their answers, or until ctx ends; what is left then is cut.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
	s.Retire()
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
	for _, c := range s.all() {
		c.cut()
	}
	<-finished
	return ctx.Err()
}

func (s *Server) all() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*serverConn, 0, len(s.connections))
	for c := range s.connections {
		all = append(all, c)
	}
	return all
}

// takeBody reserves memory for a body.
func (s *Server) takeBody(bytes int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bodies+bytes > maximumBodies {
		return false
	}
	s.bodies += bytes
	return true
}

func (s *Server) returnBody(bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodies -= bytes
}

// limits returns what callers may send, with the defaults filled in.
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
