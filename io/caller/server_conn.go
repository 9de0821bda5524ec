package caller

import (
	"bufio"
	"bytes"
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
		request, body, refused := c.readRequest()
		w := newResponder(c, request, arrived, previous)
		previous = w.done
		if refused != nil {
			c.refuseAndClose(w, *refused)
			return
		}
		select {
		case c.slots <- struct{}{}:
		case <-c.ctx.Done():
			return
		}
		c.addPending(1)
		c.server.startTask(func() { c.serve(w, request, body) })
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
			c.linger()
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

// readRequest reads a request and its complete body. It returns a refusal if the
// request is invalid, too large or too slow.
func (c *serverConn) readRequest() (*http.Request, []byte, *coltsfootward.Refusal) {
	limits := c.server.limits()
	_ = c.netConn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) // on a closed connection the read fails
	c.limit.SetLimit(limits.HeaderBytes + headerReadAhead)
	request, err := http.ReadRequest(c.reader)
	c.limit.RemoveLimit()
	if err != nil {
		return nil, nil, headerRefusal(err)
	}
	body, refused := c.readBody(request, limits)
	return request, body, refused
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
// limit, arrives too slowly or is truncated.
func (c *serverConn) readBody(r *http.Request, limits coltsfootward.Limits) ([]byte, *coltsfootward.Refusal) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limits.BodyBytes {
		return nil, newRefusal(coltsfootward.RefusalTooLarge, "the body is larger than allowed")
	}
	if r.Header.Get("Expect") == "100-continue" && c.isIdle() {
		if _, err := c.netConn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, newRefusal(coltsfootward.RefusalBadRequest, "the caller has left")
		}
	}
	var buffer bytes.Buffer
	if r.ContentLength > 0 {
		buffer.Grow(int(r.ContentLength))
	}
	_ = c.netConn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout + bodyTimeout)) // on a closed connection the read fails
	n, err := io.Copy(&buffer, io.LimitReader(r.Body, limits.BodyBytes+1))
	switch {
	case n > limits.BodyBytes:
		return nil, newRefusal(coltsfootward.RefusalTooLarge, "the body is larger than allowed")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, newRefusal(coltsfootward.RefusalSlowRequest, "the body did not arrive in time")
	case err != nil:
		return nil, newRefusal(coltsfootward.RefusalBadRequest, "the body broke off before its end")
	}
	return buffer.Bytes(), nil
}

// bodyTimeout limits how long a body may take to arrive, in addition to the header
// timeout.
const bodyTimeout = 60 * time.Second

// refuseAndClose writes a refusal for a request that could not be read, and closes
// the connection, since the start of the next request is unknown.
func (c *serverConn) refuseAndClose(w *responder, r coltsfootward.Refusal) {
	w.close = true
	writeRefusal(w, r)
	w.finish()
	c.linger()
}

// linger discards further input for up to lingerTimeout after the last response.
func (c *serverConn) linger() {
	_ = c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout)) // on a closed connection the copy ends
	_, _ = io.Copy(io.Discard, c.netConn)                        // requests are no longer served
}

// serve runs the handler for one request.
func (c *serverConn) serve(w *responder, r *http.Request, body []byte) {
	defer func() {
		<-c.slots
		c.addPending(-1)
	}()
	defer c.recoverAbort(w)
	if !c.server.options.Eager(r) && !w.awaitPrevious() {
		return
	}
	if !c.server.reserveBody(int64(len(body))) {
		writeRefusal(w, coltsfootward.NewRefusal(coltsfootward.RefusalOverloaded, "the node holds as many request bodies as it has memory for").
			WithRetryAfter(time.Second))
		w.finish()
		return
	}
	defer c.server.releaseBody(int64(len(body)))
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	c.server.handler.ServeHTTP(w, r.WithContext(c.ctx))
	w.finish()
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
