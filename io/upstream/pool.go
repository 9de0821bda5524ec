package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"coltsfootward/io/wire"
)

const (
	// idleTimeout is the default idle timeout. It is less than the common 5 s of
	// backend servers, so that connections are closed by this side first. If a
	// request is sent on a connection that the backend server is just closing, its
	// outcome is unknown, and a request that must not run twice is not retried then.
	idleTimeout = 4 * time.Second
	// idleMargin is subtracted from the timeout in a backend server's Keep-Alive
	// field, since the backend server counts from when it has sent its response.
	idleMargin = 500 * time.Millisecond
	// unrepeatableIdleTimeout is the maximum idle time of a connection for a request
	// that must not run twice. If a backend server drops connections earlier than
	// announced, it resets the next request, whose outcome is then unknown and which
	// can't be retried. A new connection costs 1 ms.
	unrepeatableIdleTimeout = 200 * time.Millisecond
	// maximumResponseHeader is the maximum size of the header of a backend server's
	// response in bytes. The header must fit into one frame to the entry node.
	maximumResponseHeader = 256 << 10
	// connBufferSize is the size in bytes of each of a connection's two buffers.
	connBufferSize = 4096
	// maximumInterim is the maximum number of responses that are read for a request,
	// all but the last of them interim (1xx).
	maximumInterim = 5
)

// backendConn is a buffered connection to the backend server. It carries one request
// at a time.
type backendConn struct {
	conn      *gatedConn
	limit     *wire.LimitedReader
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	expires   time.Time
	// reused is set once the connection has carried a request.
	reused bool
}

// pool limits the number of connections to one backend server and keeps the idle
// ones for reuse.
type pool struct {
	address string
	// slots holds an entry for each connection in use and limits their number.
	slots chan struct{}

	mu     sync.Mutex
	idle   []*backendConn
	closed bool
}

// newPool returns a pool with the given maximum number of connections in use.
func newPool(address string, connections int) *pool {
	return &pool{address: address, slots: make(chan struct{}, connections)}
}

// get returns an idle connection that is usable and has been idle for at most
// maximumIdle, or else a new one. It blocks while the maximum number of connections
// is in use.
func (p *pool) get(ctx context.Context, maximumIdle time.Duration) (*backendConn, error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	for {
		c := p.pop(maximumIdle)
		if c == nil {
			break
		}
		if c.isUsable() {
			return c, nil
		}
		c.conn.Close()
	}
	c, err := p.dial(ctx)
	if err != nil {
		<-p.slots
	}
	return c, err
}

func (p *pool) dial(ctx context.Context) (*backendConn, error) {
	conn, err := dialGated(ctx, "tcp", p.address)
	if err != nil {
		return nil, fmt.Errorf("upstream: connect: %w", err)
	}
	gated := conn.(*gatedConn)
	c := &backendConn{conn: gated, limit: &wire.LimitedReader{Source: gated}}
	c.reader = bufio.NewReaderSize(c.limit, connBufferSize)
	c.writer = bufio.NewWriterSize(gated, connBufferSize)
	return c, nil
}

// pop removes and returns the most recently used idle connection, which is the least
// likely to have been closed by the backend server. It returns nil if there is none
// that has been idle for at most maximumIdle. It closes expired connections.
func (p *pool) pop(maximumIdle time.Duration) *backendConn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired(now)
	if len(p.idle) == 0 {
		return nil
	}
	last := p.idle[len(p.idle)-1]
	if now.Sub(last.idleSince) > maximumIdle {
		return nil
	}
	p.idle = p.idle[:len(p.idle)-1]
	return last
}

// dropExpired closes expired idle connections. The caller must hold p.mu.
func (p *pool) dropExpired(now time.Time) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.expires) {
			kept = append(kept, c)
			continue
		}
		c.conn.Close()
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// put ends the use of a connection. If reusable is set, the connection stays in the
// pool and expires after keepAlive; otherwise it is closed. A connection with unread
// bytes is always closed, and so is every connection once the pool is closed.
func (p *pool) put(c *backendConn, reusable bool, keepAlive time.Duration) {
	<-p.slots
	c.conn.gate.Store(nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reusable || p.closed || c.reader.Buffered() > 0 || keepAlive <= 0 {
		c.conn.Close()
		return
	}
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(keepAlive)
	c.reused = true
	p.idle = append(p.idle, c)
}

// close closes the idle connections. Those in use are closed by put.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.conn.Close()
	}
	p.idle = nil
}

// isUsable reports whether an idle connection is open and has no unread bytes.
//
// If a faulty backend server sends a response twice, the second copy is unread, and
// it would be taken for the response to the next request.
func (c *backendConn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.conn.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && usable
}

// roundTrip sends a request and reads the head of its response, skipping interim
// responses.
func (c *backendConn) roundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Write(c.writer); err != nil {
		return nil, fmt.Errorf("upstream: send: %w", err)
	}
	if err := c.writer.Flush(); err != nil {
		return nil, fmt.Errorf("upstream: send: %w", err)
	}
	for range maximumInterim {
		c.limit.SetLimit(maximumResponseHeader)
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, fmt.Errorf("upstream: receive: %w", err)
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			c.limit.RemoveLimit()
			return response, nil
		}
	}
	return nil, errors.New("upstream: receive: too many interim responses")
}

// keepAlive returns how long a connection may stay idle after a response, from the
// timeout in its Keep-Alive field and at most idleTimeout.
func keepAlive(response *http.Response) time.Duration {
	for parameter := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return min(time.Duration(seconds)*time.Second-idleMargin, idleTimeout)
		}
	}
	return idleTimeout
}
