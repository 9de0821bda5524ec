package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"coltsfootward"
	"coltsfootward/core/claim"
	"coltsfootward/core/node"
	"coltsfootward/io/loop"
	"coltsfootward/io/peer"
)

// copyBufferSize is the size of the buffers for response bodies in bytes.
const copyBufferSize = 32 << 10

// copyBuffers is a pool of buffers for response bodies. Without it, a buffer per
// call made up a third of all memory that a node allocated.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// exchange is a caller's request and the response to it.
type exchange struct {
	handler *Handler
	call    *loop.Call
	request *http.Request
	writer  http.ResponseWriter
	body    []byte
	header  map[string][]string
	// refuse writes a refusal in the deployment's format.
	refuse func(http.ResponseWriter, coltsfootward.Refusal)
	// retainable is set while the response may still be retained for repeated
	// requests with the same Idempotency-Key; retainedBody is the part of its body
	// that has been received.
	retainable   bool
	retainedBody []byte
	// download is the state of the response that the caller is receiving.
	download download
}

// run carries out the state machine's actions for the request until the response
// is complete. It panics with http.ErrAbortHandler to abort a response that was
// begun.
func (e *exchange) run() {
	for {
		select {
		case action := <-e.call.Actions:
			if e.perform(action) {
				return
			}
		case <-e.request.Context().Done():
			e.handler.loop.Post(node.CallCancelled{Call: e.call.ID})
			return
		case <-e.handler.loop.Done():
			if e.download.begun {
				panic(http.ErrAbortHandler)
			}
			e.refuse(e.writer, coltsfootward.NewRefusal(coltsfootward.RefusalDraining, "the node has stopped").
				WithExecution(coltsfootward.ExecutionUnknown))
			return
		}
	}
}

// perform carries out an action and reports whether the request has ended.
func (e *exchange) perform(action node.Action) bool {
	switch a := action.(type) {
	case node.Refuse:
		if e.download.begun {
			panic(http.ErrAbortHandler) // the caller must not take a truncated response for a complete one
		}
		e.refuse(e.writer, a.Refusal)
		return true
	case node.Replay:
		e.replay(a)
		return true
	case node.Forward:
		return e.forward(a)
	default:
		return false
	}
}

// forward makes one attempt and reports whether the request has ended.
func (e *exchange) forward(a node.Forward) bool {
	ctx, cancel := context.WithTimeout(e.request.Context(), a.Head.Timeout)
	defer cancel()
	a.Head.Header = e.download.rangeHeader(e.header)
	response, err := e.handler.transport.Call(ctx, a.To, a.Head, e.body)
	if err != nil {
		e.handler.loop.Post(node.AttemptEnded{Call: e.call.ID, Kind: failureKind(err)})
		return false
	}
	defer response.Close()
	if response.Head.Refusal != nil {
		return e.endRefused(response)
	}
	e.handler.loop.Post(node.AttemptEnded{
		Call: e.call.ID, Kind: node.AttemptAnswered, Load: response.Head.Load, Status: response.Head.Status,
	})
	return e.relayResponse(response)
}

func failureKind(err error) node.AttemptKind {
	var callErr *peer.CallError
	if errors.As(err, &callErr) && !callErr.Sent {
		return node.AttemptUnsent
	}
	return node.AttemptLost
}

// endRefused reports to the state machine that a node refused the attempt. The
// number of used attempts is in the message that ends the refusal; it is -1 if
// that message was not received.
func (e *exchange) endRefused(response *peer.Response) bool {
	ended := node.AttemptEnded{
		Call: e.call.ID, Kind: node.AttemptRefused, Refusal: *response.Head.Refusal, Load: response.Head.Load,
		Attempts: -1, RetryGranted: response.Head.RetryGranted,
	}
	if _, err := io.Copy(io.Discard, response); err == nil {
		end, _ := response.End()
		ended.Attempts = end.Attempts
	}
	e.handler.loop.Post(ended)
	return false
}

// relayResponse forwards the response to the caller and reports whether the
// request has ended. If the body is truncated, the remainder is requested where
// that is possible. Otherwise the connection to the caller is closed, so that the
// caller does not take a truncated response for a complete one.
func (e *exchange) relayResponse(response *peer.Response) bool {
	if !e.beginResponse(response) {
		e.handler.loop.Post(node.CallDone{Call: e.call.ID, Attempts: -1})
		response.Close()
		panic(http.ErrAbortHandler)
	}
	e.retainable = e.request.Header.Get(HeaderIdempotencyKey) != ""
	complete := e.copyBody(response)
	if !complete && e.download.resumable() && e.request.Context().Err() == nil {
		e.handler.loop.Post(node.ResponseTruncated{Call: e.call.ID})
		return false
	}
	end, ok := response.End()
	if !ok {
		end.Attempts = -1
	}
	e.handler.loop.Post(node.CallDone{Call: e.call.ID, Attempts: end.Attempts, Needed: end.Needed, Complete: complete,
		Size: int64(len(e.body)) + e.download.written, Response: e.retainedResponse(response, complete)})
	if !complete {
		response.Close()
		panic(http.ErrAbortHandler)
	}
	return true
}

// beginResponse sends the response's head to the caller. If a part of an earlier
// response was sent already, it instead reports whether this one continues it.
func (e *exchange) beginResponse(response *peer.Response) bool {
	if e.download.begun {
		return e.download.isContinuation(response)
	}
	e.download.begin(e.request.Method, response)
	h := e.writer.Header()
	for name, values := range response.Head.Header {
		h[name] = values
	}
	e.writer.WriteHeader(response.Head.Status)
	return true
}

// retainedResponse returns the response to retain for repeated requests, or nil if
// it is incomplete, too large or not to be retained.
func (e *exchange) retainedResponse(response *peer.Response, complete bool) *claim.RetainedResponse {
	if !complete || !e.retainable {
		return nil
	}
	return &claim.RetainedResponse{Status: response.Head.Status, Header: response.Head.Header, Body: e.retainedBody}
}

// replay writes the retained response of the first request with the same
// Idempotency-Key.
func (e *exchange) replay(a node.Replay) {
	h := e.writer.Header()
	for name, values := range a.Response.Header {
		h[name] = values
	}
	h.Set(HeaderReplayed, "true")
	e.writer.WriteHeader(a.Response.Status)
	_, _ = e.writer.Write(a.Response.Body) // the caller may have disconnected
}

// retain adds p to the retained body. It discards the body once the size exceeds
// node.MaximumRetainedResponseBytes.
func (e *exchange) retain(p []byte) {
	if !e.retainable {
		return
	}
	e.retainedBody = append(e.retainedBody, p...)
	if len(e.retainedBody) > node.MaximumRetainedResponseBytes {
		e.retainable = false
		e.retainedBody = nil
	}
}

// copyBody forwards the body as it arrives and reports whether it is complete.
func (e *exchange) copyBody(response *peer.Response) bool {
	flusher := http.NewResponseController(e.writer)
	pooled := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(pooled)
	buffer := pooled[:]
	for {
		n, err := response.Read(buffer)
		if n > 0 {
			e.retain(buffer[:n])
			if _, writeErr := e.writer.Write(buffer[:n]); writeErr != nil {
				e.download.validator = "" // the caller has disconnected, so the remainder must not be requested
				return false
			}
			e.download.written += int64(n)
			if n < copyBufferSize {
				_ = flusher.Flush() // if the caller has disconnected, the next write fails
			}
		}
		if errors.Is(err, io.EOF) {
			return true
		}
		if err != nil || e.request.Context().Err() != nil {
			return false
		}
	}
}
