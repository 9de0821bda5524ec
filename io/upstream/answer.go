package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/io/caller"
)

// errUnframed says that the end of an answer's body could not be told from a
// connection that broke.
var errUnframed = errors.New("upstream: answer without Content-Length or chunks: have the backend server frame its answers")

// checkHead refuses answers that cannot be passed on whole. A body that ends
// with its connection looks whole when the backend server is killed half-way;
// in a routed deployment such answers are part of the protocol. An answer to an
// upgrade was not asked for.
func (d *dispatch) checkHead(r *http.Response) error {
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Request.Method == http.MethodHead
	if r.StatusCode < http.StatusOK || !framed && d.server.options.Routed == nil {
		return errUnframed
	}
	d.keep = framed && !r.Close
	d.lives = lives(r)
	d.failed = r.StatusCode >= http.StatusInternalServerError
	return nil
}

// answerFields returns the fields of the answer that go back to the caller.
func (d *dispatch) answerFields(h http.Header) map[string][]string {
	if fields := d.server.options.Routed; fields != nil {
		return fields.AnswerFields(h)
	}
	return caller.AnswerFields(h)
}

// passOn passes the answer to the peer and reports how that ended.
//
// In a routed deployment nothing is sent before the buffer is full or the body
// whole: an answer that breaks off within it is then a failed attempt, after
// which a request that may run twice is sent elsewhere, and not an answer that
// its caller sees break. One that is whole by then goes with its end.
func (d *dispatch) passOn(ctx context.Context, response *http.Response, cancel context.CancelFunc) node.DispatchKind {
	keep := d.keep
	d.keep = false
	stall := time.AfterFunc(stallTimeout, cancel)
	defer stall.Stop()
	pooled := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(pooled)
	buffer := pooled[:]
	n, whole := 0, false
	var err error
	if d.server.options.Routed != nil {
		n, err = io.ReadFull(response.Body, buffer)
		whole = errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && d.atEnd(response, n)
		if err != nil && !whole {
			return d.failedKind(ctx, err)
		}
	}
	if whole {
		d.whole = &wholeAnswer{status: response.StatusCode, header: d.answerFields(response.Header), body: append([]byte(nil), buffer[:n]...)}
	} else if kind := d.begin(response, buffer[:n]); kind != "" {
		return kind
	}
	for !whole {
		stall.Reset(stallTimeout)
		n, err = response.Body.Read(buffer)
		if n > 0 {
			if _, failed := d.writer.Write(buffer[:n]); failed != nil {
				return node.DispatchCancelled
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			whole = true
		case err != nil && ctx.Err() != nil:
			return node.DispatchCancelled
		case err != nil:
			return node.DispatchTruncated
		}
	}
	d.keep = keep && d.stop()
	return node.DispatchAnswered
}

// atEnd reports whether a body that ended after n bytes is whole. The library
// gives one error for a body that ends before a buffer is full and for one that
// ends before its own length.
func (d *dispatch) atEnd(response *http.Response, n int) bool {
	if response.ContentLength >= 0 {
		return int64(n) == response.ContentLength
	}
	_, err := response.Body.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// wholeAnswer is an answer that waits for its end.
type wholeAnswer struct {
	status int
	header map[string][]string
	body   []byte
}

// end sends the end of the answer, and the answer with it if it is whole. The peer may
// have left.
func (d *dispatch) end(a node.EndResponse) {
	end := message.ResponseEnd{Attempts: a.Attempts, Needed: a.Needed}
	if d.whole == nil {
		_ = d.writer.End(end)
		return
	}
	head := message.Response{Status: d.whole.status, Header: d.whole.header, Load: a.Load}
	_ = d.writer.Whole(head, d.whole.body, end)
}

// begin sends the answer's head and the first part of its body; it returns how
// the dispatch ended, or nothing.
func (d *dispatch) begin(response *http.Response, first []byte) node.DispatchKind {
	var load message.Load
	d.server.loop.Inspect(func(n *node.Node) { load = n.LoadFor(d.head) })
	head := message.Response{Status: response.StatusCode, Header: d.answerFields(response.Header), Load: load}
	if d.writer.Head(head) != nil {
		return node.DispatchCancelled
	}
	if _, err := d.writer.Write(first); err != nil {
		return node.DispatchCancelled
	}
	return ""
}
