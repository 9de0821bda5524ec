package caller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// responder writes one answer in its turn. It implements http.ResponseWriter
// and http.Flusher.
type responder struct {
	conn    *serverConn
	header  http.Header
	arrived time.Time
	// turn is closed once the answers before this one have been written, done
	// once this one has.
	turn, done chan struct{}
	request    *http.Request
	begun      bool
	dead       bool
	chunked    bool
	bodiless   bool
	// left is how many bytes of the announced length are still to come;
	// negative if none was announced.
	left int64
	// close is set if the connection ends with this answer.
	close bool
}

func newResponder(c *serverConn, r *http.Request, arrived time.Time, turn chan struct{}) *responder {
	return &responder{conn: c, header: make(http.Header), arrived: arrived, turn: turn, done: make(chan struct{}), request: r, left: -1}
}

// Arrived returns when the request's first byte had arrived.
func (w *responder) Arrived() time.Time { return w.arrived }

// Header implements http.ResponseWriter.
func (w *responder) Header() http.Header { return w.header }

// awaitTurn reports whether the answers before this one have gone out.
func (w *responder) awaitTurn() bool {
	select {
	case <-w.turn:
	case <-w.conn.ctx.Done():
		return false
	}
	return w.conn.ctx.Err() == nil && !w.conn.isClosed()
}

// WriteHeader implements http.ResponseWriter.
func (w *responder) WriteHeader(status int) {
	if w.begun {
		return
	}
	w.begun = true
	if !w.awaitTurn() {
		w.dead = true
		return
	}
	_ = w.conn.net.SetWriteDeadline(time.Now().Add(writeTimeout)) // a closed connection shows at the write
	w.frame(status)
	out := w.conn.writer
	fmt.Fprintf(out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if err := w.header.Write(out); err != nil {
		w.fail()
		return
	}
	if _, err := io.WriteString(out, "\r\n"); err != nil {
		w.fail()
	}
}

// frame chooses how the end of the body shows.
func (w *responder) frame(status int) {
	w.bodiless = status == http.StatusNoContent || status == http.StatusNotModified ||
		w.request != nil && w.request.Method == http.MethodHead
	w.header.Del("Transfer-Encoding")
	if w.request != nil && w.request.Close || w.conn.isRetired() {
		w.close = true
	}
	if length := w.header.Get("Content-Length"); length != "" {
		if n, err := strconv.ParseInt(length, 10, 64); err == nil && n >= 0 {
			w.left = n
		}
	} else if !w.bodiless {
		w.frameUnknown()
	}
	if w.close {
		w.header.Set("Connection", "close")
		return
	}
	w.conn.announceIdle(w.header)
}

// frameUnknown frames a body of unknown length.
func (w *responder) frameUnknown() {
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
	if w.dead {
		return 0, errCallerLeft
	}
	if w.bodiless || len(p) == 0 {
		return len(p), nil
	}
	if w.left >= 0 && int64(len(p)) > w.left {
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
		w.fail()
		return 0, err
	}
	if w.left >= 0 {
		w.left -= int64(len(p))
	}
	return len(p), nil
}

// FlushError implements what http.ResponseController asks for.
func (w *responder) FlushError() error {
	if w.dead || !w.begun {
		return nil
	}
	_ = w.conn.net.SetWriteDeadline(time.Now().Add(writeTimeout)) // a closed connection shows at the write
	if err := w.conn.writer.Flush(); err != nil {
		w.fail()
		return err
	}
	return nil
}

// Flush implements http.Flusher.
func (w *responder) Flush() { _ = w.FlushError() } // a caller that left shows in the request's context

// fail ends a connection that can't be written to.
func (w *responder) fail() {
	w.dead = true
	w.conn.cut()
}

// errCallerLeft says that the caller has left before its answer was written.
var errCallerLeft = errors.New("caller: the caller has left: stop making the answer")

// finish writes the end of the answer and passes the turn on. An answer that is
// shorter than announced is cut, so that it does not look whole.
func (w *responder) finish() {
	w.WriteHeader(http.StatusOK)
	if w.dead {
		w.abandon()
		return
	}
	if w.left > 0 && !w.bodiless {
		w.fail()
		w.abandon()
		return
	}
	if w.chunked {
		_, _ = io.WriteString(w.conn.writer, "0\r\n\r\n") // an error stays with the writer and shows at the flush
	}
	if w.FlushError() == nil && w.close {
		w.conn.closeBehind()
	}
	close(w.done)
}

// abandon passes the turn on from an answer that can't be written: what is
// behind it finds the connection ended.
func (w *responder) abandon() {
	w.dead = true
	select {
	case <-w.done:
	default:
		close(w.done)
	}
}

// closeBehind ends the connection behind the answer written last. What the
// caller has sent behind it is not served; the caller sends it again elsewhere.
func (c *serverConn) closeBehind() {
	c.mu.Lock()
	c.closed = true
	c.setIdleDeadline()
	c.mu.Unlock()
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // the connection is closed in any case
	}
	c.cancel()
}
