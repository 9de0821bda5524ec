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
	errAdmissionOver = errors.New("upstream: admission ended before the request was sent: it did not run")
	errWithdrawn     = errors.New("upstream: request withdrawn before it was sent: it did not run")
	errSentBefore    = errors.New("upstream: request was sent on another connection before: it is not sent twice")
)

// gate stands before the first byte of one dispatch. It settles at one place
// whether the request may have reached the backend server: a byte passes only
// through an open gate, and a gate that was closed first never opens.
//
// Three failures show without it. A request that waited for a connection
// longer than its admission lasts is sent all the same. A request whose caller
// left is answered "not run" while the transport's own goroutine still sends
// it. And net/http sends a request again by itself, on a reused connection
// that broke, if it is a GET or carries an Idempotency-Key: an order runs
// twice while the node has counted one attempt.
type gate struct {
	// admitted is asked once, just before the first byte.
	admitted func() bool

	mu     sync.Mutex
	conn   *gatedConn
	closed bool
}

// pass is called for every write of the request on conn.
func (g *gate) pass(conn *gatedConn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.conn == conn:
		return nil
	case g.conn != nil:
		return errSentBefore
	case g.closed:
		return errWithdrawn
	case !g.admitted():
		g.closed = true
		return errAdmissionOver
	}
	g.conn = conn
	return nil
}

// withdraw closes the gate and reports whether no byte has passed it.
func (g *gate) withdraw() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.conn == nil
}

// gatedConn is a connection to the backend server. HTTP/1.1 serves one request
// on it at a time, so it has one gate at a time.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if g := c.gate.Load(); g != nil {
		if err := g.pass(c); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// dialTimeout bounds the making of a connection to the backend server, which
// is on the same machine.
const dialTimeout = time.Second

func dialGated(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := socket.Dialer(dialTimeout).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: c}, nil
}
