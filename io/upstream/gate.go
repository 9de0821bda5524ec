package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootward/io/socket"
)

var (
	// errAdmissionExpired reports that the time until which the request may start,
	// node.Dispatch.StartBy, passed before the request was sent.
	errAdmissionExpired = errors.New("upstream: admission ended before the request was sent: it did not run")
	errWithdrawn        = errors.New("upstream: request withdrawn before it was sent: it did not run")
	errAlreadySent      = errors.New("upstream: request was sent on another connection before: it is not sent twice")
)

// sendGate guards the first byte of a dispatched request. It is the only place that
// decides whether the request may have reached the backend server: bytes are
// written only if the gate admits the first one, and a gate that was closed before
// that stays closed.
//
// It prevents three failures. A request that waited for a connection for longer
// than its admission is valid would still be sent. A request whose caller has
// disconnected would be reported as "not run" while a goroutine of the transport
// still sends it. And net/http retries a request that is a GET or has an
// Idempotency-Key when a reused connection fails, so that the request runs twice
// while the node has counted one attempt.
type sendGate struct {
	// admitted reports whether the admission is still valid. It is called once, just
	// before the first byte is written.
	admitted func() bool

	mu     sync.Mutex
	conn   *gatedConn
	closed bool
}

// check is called before every write of the request on conn. It returns an error
// unless this connection may carry the request.
func (g *sendGate) check(conn *gatedConn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.conn == conn:
		return nil
	case g.conn != nil:
		return errAlreadySent
	case g.closed:
		return errWithdrawn
	case !g.admitted():
		g.closed = true
		return errAdmissionExpired
	}
	g.conn = conn
	return nil
}

// withdraw closes the gate and reports whether no byte of the request was written.
func (g *sendGate) withdraw() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.conn == nil
}

// gatedConn is a connection to the backend server. With HTTP/1.1 it carries one
// request at a time, so it has at most one gate.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[sendGate]
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if g := c.gate.Load(); g != nil {
		if err := g.check(c); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// dialTimeout limits the time to connect to the backend server, which runs on the
// same machine.
const dialTimeout = time.Second

func dialGated(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := socket.Dialer(dialTimeout).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: c}, nil
}
