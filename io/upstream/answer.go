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

// errUnframed is returned for a response whose body is delimited only by the end of
// the connection, so that a truncated body can't be detected.
var errUnframed = errors.New("upstream: response without Content-Length or chunked encoding: have the backend server set either")

// checkHead rejects responses that can't be relayed safely. A body that is delimited
// by the end of the connection looks complete even if the backend server was killed
// before its end; in a routed deployment such responses are part of the protocol.
// A 101 response is rejected, since upgrades are not requested.
func (d *dispatch) checkHead(r *http.Response) error {
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Request.Method == http.MethodHead
	if r.StatusCode < http.StatusOK || !framed && d.server.options.Routed == nil {
		return errUnframed
	}
	d.reusable = framed && !r.Close
	d.keepAlive = keepAlive(r)
	d.failed = r.StatusCode >= http.StatusInternalServerError
	return nil
}

// responseFields returns the header fields of the response that are forwarded to the
// caller.
func (d *dispatch) responseFields(h http.Header) map[string][]string {
	if fields := d.server.options.Routed; fields != nil {
		return fields.ResponseFields(h)
	}
	return caller.ResponseFields(h)
}

// relay sends the response to the entry node and returns how the dispatch ended.
//
// In a routed deployment it sends nothing before the buffer is full or the body is
// complete. A response that is truncated before that counts as a failed attempt,
// and a request that may run twice is sent to another backend server; otherwise its
// caller would receive a truncated response. A response that is complete by then is
// sent together with its ResponseEnd.
func (d *dispatch) relay(ctx context.Context, response *http.Response, cancel context.CancelFunc) node.DispatchKind {
	reusable := d.reusable
	d.reusable = false
	stallTimer := time.AfterFunc(stallTimeout, cancel)
	defer stallTimer.Stop()
	pooled := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(pooled)
	buffer := pooled[:]
	n, complete := 0, false
	var err error
	if d.server.options.Routed != nil {
		n, err = io.ReadFull(response.Body, buffer)
		complete = errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && d.isComplete(response, n)
		if err != nil && !complete {
			return d.failureKind(ctx, err)
		}
	}
	if complete {
		d.buffered = &completeResponse{status: response.StatusCode, header: d.responseFields(response.Header), body: append([]byte(nil), buffer[:n]...)}
	} else if kind := d.sendHead(response, buffer[:n]); kind != "" {
		return kind
	}
	for !complete {
		stallTimer.Reset(stallTimeout)
		n, err = response.Body.Read(buffer)
		if n > 0 {
			if _, writeErr := d.writer.Write(buffer[:n]); writeErr != nil {
				return node.DispatchCancelled
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			complete = true
		case err != nil && ctx.Err() != nil:
			return node.DispatchCancelled
		case err != nil:
			return node.DispatchTruncated
		}
	}
	d.reusable = reusable && d.stop()
	return node.DispatchAnswered
}

// isComplete reports whether a body that ended after n bytes is complete.
// io.ReadFull returns the same error for a body that is shorter than the buffer and
// for one that is shorter than its Content-Length.
func (d *dispatch) isComplete(response *http.Response, n int) bool {
	if response.ContentLength >= 0 {
		return int64(n) == response.ContentLength
	}
	_, err := response.Body.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// completeResponse is a buffered response that is to be sent with its ResponseEnd.
type completeResponse struct {
	status int
	header map[string][]string
	body   []byte
}

// sendEnd sends the ResponseEnd, together with the response itself if that is buffered.
// Errors are ignored, since the entry node may have disconnected.
func (d *dispatch) sendEnd(a node.EndResponse) {
	end := message.ResponseEnd{Attempts: a.Attempts, Needed: a.Needed}
	if d.buffered == nil {
		_ = d.writer.End(end)
		return
	}
	head := message.Response{Status: d.buffered.status, Header: d.buffered.header, Load: a.Load}
	_ = d.writer.Respond(head, d.buffered.body, end)
}

// sendHead sends the response's head and the first bytes of its body. It returns how
// the dispatch ended, or the empty string if it goes on.
func (d *dispatch) sendHead(response *http.Response, first []byte) node.DispatchKind {
	var load message.Load
	d.server.loop.Inspect(func(n *node.Node) { load = n.LoadFor(d.head) })
	head := message.Response{Status: response.StatusCode, Header: d.responseFields(response.Header), Load: load}
	if d.writer.Head(head) != nil {
		return node.DispatchCancelled
	}
	if _, err := d.writer.Write(first); err != nil {
		return node.DispatchCancelled
	}
	return ""
}
