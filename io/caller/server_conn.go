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
	// maximumPipelined is how many requests of one connection may be in hand.
	maximumPipelined = 32
	// headerSlop is how much more than a header may be read with it: what the
	// buffer holds of the body and of further requests.
	headerSlop = 4096
	// connBuffer is the size of a connection's buffers in bytes.
	connBuffer = 4096
	// lingerTimeout bounds how long a closed connection is still read. Closed
	// with bytes unread the socket is reset, and the reset takes the answer
	// that was sent last with it.
	lingerTimeout = 600 * time.Millisecond
	// idleSlack is how much longer than the limit an idle connection stays: a
	// request sent within the limit is still on its way then.
	idleSlack = 500 * time.Millisecond
	// writeTimeout bounds how long a caller may leave an answer unread.
	writeTimeout = 20 * time.Second
)

// serverConn is one connection of a caller. One goroutine reads requests, each
// request has one, and the turn to write passes from each to the next.
type serverConn struct {
	server *Server
	net    net.Conn
	limit  *wire.LimitedReader
	reader *bufio.Reader
	writer *bufio.Writer
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{}

	mu sync.Mutex
	// inHand counts the requests that have been read and not yet answered.
	inHand int
	// retired is set once the connection is to be closed as soon as possible.
	retired bool
	// closed is set once the last answer has been written.
	closed bool
	// idleLimit is how long the connection may stay idle, as its caller was last
	// told; zero means the limit in force.
	idleLimit time.Duration
}

// connReaders keeps read buffers for the next connections: callers that are refused
// come back on a new one each.
var connReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, connBuffer) }}

func newServerConn(s *Server, n net.Conn) *serverConn {
	c := &serverConn{server: s, net: n, slots: make(chan struct{}, maximumPipelined)}
	c.limit = &wire.LimitedReader{Source: n}
	c.reader = connReaders.Get().(*bufio.Reader)
	c.reader.Reset(c.limit)
	c.writer = bufio.NewWriterSize(n, connBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// read reads requests until the caller leaves or the connection is closed.
func (c *serverConn) read() {
	defer func() {
		c.reader.Reset(nil)
		connReaders.Put(c.reader)
	}()
	defer c.server.forget(c)
	defer c.net.Close()
	defer c.cancel()
	turn := make(chan struct{})
	close(turn)
	for {
		if !c.awaitRequest() {
			return
		}
		arrived := time.Now()
		request, body, failed := c.readRequest()
		w := newResponder(c, request, arrived, turn)
		turn = w.done
		if failed != nil {
			c.refuse(w, *failed)
			return
		}
		select {
		case c.slots <- struct{}{}:
		case <-c.ctx.Done():
			return
		}
		c.count(1)
		c.server.start(func() { c.serve(w, request, body) })
	}
}

// awaitRequest waits for the first byte of a request. The idle limit counts only
// while nothing is in hand.
func (c *serverConn) awaitRequest() bool {
	c.limit.Unbound()
	for {
		c.armIdle()
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
		if c.idle() {
			return false
		}
	}
}

func (c *serverConn) armIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setIdleDeadline()
}

// setIdleDeadline is called with the lock held.
func (c *serverConn) setIdleDeadline() {
	deadline := time.Time{}
	switch {
	case c.closed:
		deadline = time.Now().Add(lingerTimeout)
	case c.inHand == 0 && c.retired:
		deadline = time.Now()
	case c.inHand == 0:
		limit := c.idleLimit
		if limit == 0 {
			limit = c.server.limits().IdleTimeout
		}
		deadline = time.Now().Add(limit + idleSlack)
	}
	_ = c.net.SetReadDeadline(deadline) // a closed connection shows at the next read
}

// announceIdle tells the caller in an answer's header how long the connection may
// stay idle behind it, where that is shorter than it may think.
func (c *serverConn) announceIdle(h http.Header) {
	limit, shorter := c.server.idleLimit()
	if !shorter {
		limit = 0
	} else {
		h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(limit/time.Second)))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleLimit = limit
}

// idle reports whether nothing is in hand, so that the connection may end.
func (c *serverConn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inHand == 0
}

func (c *serverConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *serverConn) count(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHand += change
	if c.inHand == 0 {
		c.setIdleDeadline()
	}
}

// retire closes the connection with the next answer, or now if it is idle.
func (c *serverConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	if c.inHand == 0 {
		c.setIdleDeadline()
	}
}

func (c *serverConn) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired
}

func (c *serverConn) cut() {
	c.cancel()
	c.net.Close()
}

// readRequest reads a request with its whole body.
func (c *serverConn) readRequest() (*http.Request, []byte, *coltsfootward.Refusal) {
	limits := c.server.limits()
	_ = c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) // a closed connection shows at the read
	c.limit.Bound(limits.HeaderBytes + headerSlop)
	request, err := http.ReadRequest(c.reader)
	c.limit.Unbound()
	if err != nil {
		return nil, nil, headerRefusal(err)
	}
	body, refused := c.readBody(request, limits)
	return request, body, refused
}

func headerRefusal(err error) *coltsfootward.Refusal {
	switch {
	case errors.Is(err, wire.ErrTooLarge):
		return refuse(coltsfootward.RefusalHeaderTooLarge, "the header is larger than allowed")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(coltsfootward.RefusalSlowRequest, "the request did not arrive in time")
	default:
		return refuse(coltsfootward.RefusalBadRequest, "the request is not in HTTP/1.1")
	}
}

// readBody reads a body of at most the limit.
func (c *serverConn) readBody(r *http.Request, limits coltsfootward.Limits) ([]byte, *coltsfootward.Refusal) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limits.BodyBytes {
		return nil, refuse(coltsfootward.RefusalTooLarge, "the body is larger than allowed")
	}
	if r.Header.Get("Expect") == "100-continue" && c.idle() {
		if _, err := c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, refuse(coltsfootward.RefusalBadRequest, "the caller has left")
		}
	}
	var buffer bytes.Buffer
	if r.ContentLength > 0 {
		buffer.Grow(int(r.ContentLength))
	}
	_ = c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout + bodyTimeout)) // a closed connection shows at the read
	n, err := io.Copy(&buffer, io.LimitReader(r.Body, limits.BodyBytes+1))
	switch {
	case n > limits.BodyBytes:
		return nil, refuse(coltsfootward.RefusalTooLarge, "the body is larger than allowed")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refuse(coltsfootward.RefusalSlowRequest, "the body did not arrive in time")
	case err != nil:
		return nil, refuse(coltsfootward.RefusalBadRequest, "the body broke off before its end")
	}
	return buffer.Bytes(), nil
}

// bodyTimeout is how long a body may take to arrive.
const bodyTimeout = 60 * time.Second

// refuse answers a request that could not be read, and ends the connection:
// where the next request begins is not known.
func (c *serverConn) refuse(w *responder, r coltsfootward.Refusal) {
	w.close = true
	writeRefusal(w, r)
	w.finish()
	c.linger()
}

// linger reads on for a short time after the last answer.
func (c *serverConn) linger() {
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout)) // a closed connection ends the copy as well
	_, _ = io.Copy(io.Discard, c.net)                        // whatever comes is not served any more
}

// serve runs the handler for one request.
func (c *serverConn) serve(w *responder, r *http.Request, body []byte) {
	defer func() {
		<-c.slots
		c.count(-1)
	}()
	defer c.recoverAbort(w)
	if !c.server.options.Eager(r) && !w.awaitTurn() {
		return
	}
	if !c.server.takeBody(int64(len(body))) {
		writeRefusal(w, coltsfootward.NewRefusal(coltsfootward.RefusalOverloaded, "the node holds as many request bodies as it has memory for").
			WithRetryAfter(time.Second))
		w.finish()
		return
	}
	defer c.server.returnBody(int64(len(body)))
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	c.server.handler.ServeHTTP(w, r.WithContext(c.ctx))
	w.finish()
}

// recoverAbort cuts the connection where a handler gave an answer up half-way,
// so that the caller does not take what it has for whole.
func (c *serverConn) recoverAbort(w *responder) {
	if r := recover(); r != nil {
		c.cut()
		w.abandon()
		if r != http.ErrAbortHandler { //nolint:errorlint // the value that was passed to panic
			panic(r)
		}
	}
}
