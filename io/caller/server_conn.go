package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"coltsfootward"
	"coltsfootward/io/wire"
)

const (
	// maximumPipelined is the maximum number of pending requests per connection.
	maximumPipelined = 32
	// headerReadAhead is the number of bytes that may be read beyond the maximum
	// size of a header: the buffer may also receive a part of the body and of
	// further requests.
	headerReadAhead = 4096
	// connBufferSize is the size in bytes of each of a connection's two buffers.
	connBufferSize = 4096
	// lingerTimeout limits how long bytes are still read from a connection after
	// its last response. If a socket is closed while it has unread bytes, TCP sends
	// a reset, and the caller may lose the last response.
	lingerTimeout = 600 * time.Millisecond
	// idleGrace is added to the idle timeout, since a request that was sent just
	// before the timeout may still be in transit.
	idleGrace = 500 * time.Millisecond
	// writeTimeout limits how long a write may be blocked by a caller that does not
	// read its response.
	writeTimeout = 20 * time.Second
)

// serverConn is a connection from a caller. One goroutine reads the requests,
// and each request is handled in a goroutine of its own. The responses are written
// in the order of the requests.
type serverConn struct {
	server  *Server
	netConn net.Conn
	limit   *wire.LimitedReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	ctx     context.Context
	cancel  context.CancelFunc
	// slots holds an entry for each pending request and limits their number.
	slots chan struct{}

	mu sync.Mutex
	// pending counts the requests that have been read and have no complete
	// response yet.
	pending int
	// retired is set if the connection is to be closed after the next response, or
	// at once while no request is pending.
	retired bool
	// closed is set once the last response has been written.
	closed bool
	// announcedIdleTimeout is the reduced idle timeout in the last Keep-Alive
	// field; zero means that the configured timeout applies.
	announcedIdleTimeout time.Duration
}

// connReaders is a pool of read buffers. New connections are frequent while callers
// are refused, since each retry uses a new connection.
var connReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, connBufferSize) }}

func newServerConn(s *Server, n net.Conn) *serverConn {
	c := &serverConn{server: s, netConn: n, slots: make(chan struct{}, maximumPipelined)}
	c.limit = &wire.LimitedReader{Source: n}
	c.reader = connReaders.Get().(*bufio.Reader)
	c.reader.Reset(c.limit)
	c.writer = bufio.NewWriterSize(n, connBufferSize)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// readRequests reads and starts requests until the caller disconnects or the
// connection is closed.
func (c *serverConn) readRequests() {
	defer func() {
		c.reader.Reset(nil)
		connReaders.Put(c.reader)
	}()
	defer c.server.removeConnection(c)
	defer c.netConn.Close()
	defer c.cancel()
	previous := make(chan struct{})
	close(previous)
	for {
		if !c.awaitRequest() {
			return
		}
		arrived := time.Now()
		r, refused := c.readRequest()
		w := newResponder(c, r.request, arrived, previous)
		previous = w.done
		if refused != nil {
			c.refuseAndClose(w, *refused)
			return
		}
		select {
		case c.slots <- struct{}{}:
		case <-c.ctx.Done():
			r.memory.Release()
			return
		}
		c.addPending(1)
		c.server.startTask(func() { c.serve(w, r) })
	}
}

// awaitRequest waits for the first byte of a request and reports whether it
// arrived. The idle timeout applies only while no request is pending.
func (c *serverConn) awaitRequest() bool {
	c.limit.RemoveLimit()
	for {
		c.setIdleDeadline()
		_, err := c.reader.Peek(1)
		if err == nil && c.isClosed() {
			c.linger(lingerTimeout)
			return false
		}
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		if c.isIdle() {
			return false
		}
	}
}

func (c *serverConn) setIdleDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setIdleDeadlineLocked()
}

// setIdleDeadlineLocked sets the read deadline of a connection that waits for a
// request. The caller must hold c.mu.
func (c *serverConn) setIdleDeadlineLocked() {
	deadline := time.Time{}
	switch {
	case c.closed:
		deadline = time.Now().Add(lingerTimeout)
	case c.pending == 0 && c.retired:
		deadline = time.Now()
	case c.pending == 0:
		timeout := c.announcedIdleTimeout
		if timeout == 0 {
			timeout = c.server.limits().IdleTimeout
		}
		deadline = time.Now().Add(timeout + idleGrace)
	}
	_ = c.netConn.SetReadDeadline(deadline) // on a closed connection the next read fails
}

// announceIdleTimeout sets Keep-Alive in a response's header if the idle timeout
// after that response is less than the configured one.
func (c *serverConn) announceIdleTimeout(h http.Header) {
	timeout, shorter := c.server.currentIdleTimeout()
	if !shorter {
		timeout = 0
	} else {
		h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(timeout/time.Second)))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announcedIdleTimeout = timeout
}

func (c *serverConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0
}

func (c *serverConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *serverConn) addPending(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending += delta
	if c.pending == 0 {
		c.setIdleDeadlineLocked()
	}
}

// retire closes the connection after the next response, or at once if no request is
// pending.
func (c *serverConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	if c.pending == 0 {
		c.setIdleDeadlineLocked()
	}
}

func (c *serverConn) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired
}

func (c *serverConn) abort() {
	c.cancel()
	c.netConn.Close()
}

// received is a request whose body has been read.
type received struct {
	request *http.Request
	body    wire.Body
	// memory is the body's part of the server's memory for bodies.
	memory *wire.Reservation
}

// readRequest reads a request and its complete body. It returns a refusal if the
// request is invalid, too large or too slow, or if there is no memory for its body.
func (c *serverConn) readRequest() (received, *coltsfootward.Refusal) {
	limits := c.server.limits()
	_ = c.netConn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) // on a closed connection the read fails
	c.limit.SetLimit(limits.HeaderBytes + headerReadAhead)
	request, err := http.ReadRequest(c.reader)
	c.limit.RemoveLimit()
	if err != nil {
		return received{}, headerRefusal(err)
	}
	r := received{request: request}
	if request.ContentLength == 0 {
		return r, nil
	}
	refused := c.readBody(&r, limits)
	if refused != nil {
		r.memory.Release()
	}
	return r, refused
}

func headerRefusal(err error) *coltsfootward.Refusal {
	switch {
	case errors.Is(err, wire.ErrTooLarge):
		return newRefusal(coltsfootward.RefusalHeaderTooLarge, "the header is larger than allowed")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newRefusal(coltsfootward.RefusalSlowRequest, "the request did not arrive in time")
	default:
		return newRefusal(coltsfootward.RefusalBadRequest, "the request is not in HTTP/1.1")
	}
}

// readBody reads a request's body. It refuses a body that is larger than the
// limit, arrives too slowly or is truncated, or for which there is no memory.
func (c *serverConn) readBody(r *received, limits coltsfootward.Limits) *coltsfootward.Refusal {
	owner, unserved := c.server.options.Owner(r.request)
	limit := limits.BodyBytes
	if unserved != nil {
		limit = min(limit, maximumUnservedBody)
	}
	if c.server.options.Bodies != nil {
		r.memory = c.server.options.Bodies.Reserve(owner)
	}
	if r.request.Header.Get("Expect") == "100-continue" && c.isIdle() && r.request.ContentLength <= limit {
		if _, err := c.netConn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return newRefusal(coltsfootward.RefusalBadRequest, "the caller has left")
		}
	}
	_ = c.netConn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout + bodyTimeout)) // on a closed connection the read fails
	var err error
	r.body, err = wire.ReadBody(r.request.Body, r.request.ContentLength, limit, r.memory)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, wire.ErrBodyTooLarge) && unserved != nil:
		return unserved
	case errors.Is(err, wire.ErrBodyTooLarge):
		return newRefusal(coltsfootward.RefusalTooLarge, "the body is larger than allowed")
	case errors.Is(err, wire.ErrNoRoom):
		c.server.options.OnBodyRefused(r.request, owner, r.request.ContentLength)
		refused := noRoomRefusal()
		return &refused
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newRefusal(coltsfootward.RefusalSlowRequest, "the body did not arrive in time")
	default:
		return newRefusal(coltsfootward.RefusalBadRequest, "the body broke off before its end")
	}
}

const (
	// bodyTimeout limits how long a body may take to arrive, in addition to the header
	// timeout.
	bodyTimeout = 60 * time.Second
	// maximumUnservedBody is the maximum size in bytes of a body that is read although
	// its request will not be served, so that its connection stays usable.
	maximumUnservedBody = 64 << 10
	// bodyLingerTimeout is lingerTimeout for a request whose body was not read. Its
	// caller may read the response only after it has sent the body.
	bodyLingerTimeout = 5 * time.Second
)

// refuseAndClose writes a refusal for a request that could not be read, and closes
// the connection, since the start of the next request is unknown.
func (c *serverConn) refuseAndClose(w *responder, r coltsfootward.Refusal) {
	w.close = true
	c.server.options.Refuse(w, w.request, r)
	w.finish()
	if w.request != nil && !c.isRetired() {
		c.linger(bodyLingerTimeout)
		return
	}
	c.linger(lingerTimeout)
}

// linger discards further input for up to the timeout after the last response.
func (c *serverConn) linger(timeout time.Duration) {
	_ = c.netConn.SetReadDeadline(time.Now().Add(timeout)) // on a closed connection the copy ends
	_, _ = io.Copy(io.Discard, c.netConn)                  // requests are no longer served
}

// serve runs the handler for one request.
func (c *serverConn) serve(w *responder, r received) {
	defer func() {
		r.memory.Release()
		<-c.slots
		c.addPending(-1)
	}()
	defer c.recoverAbort(w)
	if !c.server.options.Eager(r.request) && !w.awaitPrevious() {
		return
	}
	r.request.Body = &bodyReader{Reader: r.body.Reader(), body: r.body}
	r.request.ContentLength = r.body.Size()
	c.server.handler.ServeHTTP(w, r.request.WithContext(c.ctx))
	w.finish()
}

// bodyReader is the body of a request that a Server passes to its handler.
type bodyReader struct {
	io.Reader
	body wire.Body
}

// Close implements io.Closer.
func (*bodyReader) Close() error { return nil }

// readWhole returns the complete body of a request. It does not copy one that a Server has
// read.
func readWhole(r *http.Request) ([]byte, error) {
	if read, ok := r.Body.(*bodyReader); ok {
		return read.body.Bytes(), nil
	}
	return io.ReadAll(r.Body)
}

// recoverAbort closes the connection if the handler panicked, so that the caller
// does not take a truncated response for a complete one. It panics again unless
// the value is http.ErrAbortHandler.
func (c *serverConn) recoverAbort(w *responder) {
	if r := recover(); r != nil {
		c.abort()
		w.abandon()
		if r != http.ErrAbortHandler { //nolint:errorlint // the value that was passed to panic
			panic(r)
		}
	}
}
