package caller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// responder writes one response after the responses to the preceding requests on
// the connection. It implements http.ResponseWriter and http.Flusher.
type responder struct {
	conn    *serverConn
	header  http.Header
	arrived time.Time
	// previous is closed once the preceding responses have been written or
	// abandoned, and done once this one has.
	previous, done chan struct{}
	request        *http.Request
	wroteHeader    bool
	// failed is set once the response can't be written completely.
	failed  bool
	chunked bool
	noBody  bool
	// remaining is the number of bytes of Content-Length that have not been written;
	// it is negative if the header has no Content-Length.
	remaining int64
	// close is set if the connection is closed after this response.
	close bool
}

func newResponder(c *serverConn, r *http.Request, arrived time.Time, previous chan struct{}) *responder {
	return &responder{conn: c, header: make(http.Header), arrived: arrived, previous: previous, done: make(chan struct{}), request: r, remaining: -1}
}

// Arrived returns the time at which the request's first byte had arrived.
func (w *responder) Arrived() time.Time { return w.arrived }

// Header implements http.ResponseWriter.
func (w *responder) Header() http.Header { return w.header }

// awaitPrevious waits until the preceding responses have been written. It reports
// false if the connection has ended.
func (w *responder) awaitPrevious() bool {
	select {
	case <-w.previous:
	case <-w.conn.ctx.Done():
		return false
	}
	return w.conn.ctx.Err() == nil && !w.conn.isClosed()
}

// WriteHeader implements http.ResponseWriter.
func (w *responder) WriteHeader(status int) {
	if w.wroteHeader {
		return
	}
	w.wroteHeader = true
	if !w.awaitPrevious() {
		w.failed = true
		return
	}
	_ = w.conn.netConn.SetWriteDeadline(time.Now().Add(writeTimeout)) // on a closed connection the write fails
	w.setFraming(status)
	out := w.conn.writer
	fmt.Fprintf(out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if err := w.header.Write(out); err != nil {
		w.abortConnection()
		return
	}
	if _, err := io.WriteString(out, "\r\n"); err != nil {
		w.abortConnection()
	}
}

// setFraming sets the header fields that delimit the body: Content-Length, chunked
// encoding or the end of the connection.
func (w *responder) setFraming(status int) {
	w.noBody = status == http.StatusNoContent || status == http.StatusNotModified ||
		w.request != nil && w.request.Method == http.MethodHead
	w.header.Del("Transfer-Encoding")
	if w.request != nil && w.request.Close || w.conn.isRetired() {
		w.close = true
	}
	if length := w.header.Get("Content-Length"); length != "" {
		if n, err := strconv.ParseInt(length, 10, 64); err == nil && n >= 0 {
			w.remaining = n
		}
	} else if !w.noBody {
		w.setFramingUnknownLength()
	}
	if w.close {
		w.header.Set("Connection", "close")
		return
	}
	w.conn.announceIdleTimeout(w.header)
}

// setFramingUnknownLength uses chunked encoding for a body of unknown length. For
// HTTP/1.0 the end of the connection delimits the body.
func (w *responder) setFramingUnknownLength() {
	if w.request != nil && !w.request.ProtoAtLeast(1, 1) {
		w.close = true
		return
	}
	w.chunked = true
	w.header.Set("Transfer-Encoding", "chunked")
}

// Write implements http.ResponseWriter.
func (w *responder) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.failed {
		return 0, errCallerDisconnected
	}
	if w.noBody || len(p) == 0 {
		return len(p), nil
	}
	if w.remaining >= 0 && int64(len(p)) > w.remaining {
		return 0, http.ErrContentLength
	}
	out := w.conn.writer
	var err error
	if w.chunked {
		_, err = fmt.Fprintf(out, "%x\r\n", len(p))
	}
	if err == nil {
		_, err = out.Write(p)
	}
	if err == nil && w.chunked {
		_, err = io.WriteString(out, "\r\n")
	}
	if err != nil {
		w.abortConnection()
		return 0, err
	}
	if w.remaining >= 0 {
		w.remaining -= int64(len(p))
	}
	return len(p), nil
}

// FlushError flushes the response and returns the error. It is used by
// http.ResponseController.
func (w *responder) FlushError() error {
	if w.failed || !w.wroteHeader {
		return nil
	}
	_ = w.conn.netConn.SetWriteDeadline(time.Now().Add(writeTimeout)) // on a closed connection the write fails
	if err := w.conn.writer.Flush(); err != nil {
		w.abortConnection()
		return err
	}
	return nil
}

// Flush implements http.Flusher.
func (w *responder) Flush() { _ = w.FlushError() } // if the caller has disconnected, the request's context ends

// abortConnection closes a connection after a failed write or a truncated response.
func (w *responder) abortConnection() {
	w.failed = true
	w.conn.abort()
}

// errCallerDisconnected is returned by Write once the connection has ended.
var errCallerDisconnected = errors.New("caller: caller disconnected before its response was written: stop writing the response")

// finish writes the end of the response, after which the next response may be
// written. If the body is shorter than its Content-Length, finish closes the
// connection, so that the caller does not take the response for a complete one.
func (w *responder) finish() {
	w.WriteHeader(http.StatusOK)
	if w.failed {
		w.abandon()
		return
	}
	if w.remaining > 0 && !w.noBody {
		w.abortConnection()
		w.abandon()
		return
	}
	if w.chunked {
		_, _ = io.WriteString(w.conn.writer, "0\r\n\r\n") // bufio.Writer keeps the error, and FlushError returns it
	}
	if w.FlushError() == nil && w.close {
		w.conn.closeAfterResponse()
	}
	close(w.done)
}

// abandon ends the wait of the next response without writing this one. Since the
// connection has ended, the following responses are not written either.
func (w *responder) abandon() {
	w.failed = true
	select {
	case <-w.done:
	default:
		close(w.done)
	}
}

// closeAfterResponse closes the connection for writing after the last response.
// Further requests on it are not served; the caller sends them again on another
// connection.
func (c *serverConn) closeAfterResponse() {
	c.mu.Lock()
	c.closed = true
	c.setIdleDeadlineLocked()
	c.mu.Unlock()
	if half, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // after an error the connection is closed all the same
	}
	c.cancel()
}
