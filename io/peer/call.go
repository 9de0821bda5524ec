package peer

import (
	"context"
	"fmt"
	"io"

	"coltsfootward"
	"coltsfootward/core/message"
)

// CallError is the error of a call that got no response from the peer.
type CallError struct {
	// Sent is set if this node may have sent any byte of the call, so that the peer
	// may have executed it.
	Sent bool
	Err  error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Sent {
		return fmt.Sprintf("peer: call failed after it was sent: %v: the peer may have executed it", e.Err)
	}
	return fmt.Sprintf("peer: call not sent: %v: the peer did not execute it", e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Response is the response to a call: the head, and the body as a stream.
type Response struct {
	Head   message.Response
	stream *stream
}

// Read implements io.Reader for the body. It returns io.EOF only after the
// complete body, else ErrTruncated or the connection's error.
func (r *Response) Read(p []byte) (int, error) { return r.stream.Read(p) }

// End returns the trailer of the response and true once the end frame has arrived.
func (r *Response) End() (message.ResponseEnd, bool) {
	select {
	case <-r.stream.endReceived:
		return r.stream.end, true
	default:
		return message.ResponseEnd{}, false
	}
}

// Close ends the call. It sends the peer a reset if the response is incomplete.
func (r *Response) Close() { r.stream.cancel() }

// cancel removes the call on this side and sends the peer a reset, unless the call
// has ended already.
func (s *stream) cancel() {
	s.connection.removeStream(s.id)
	select {
	case <-s.endReceived:
	case <-s.done:
	default:
		s.connection.reset(s.id)
	}
	s.fail(ErrTruncated)
}

// Call sends a request and waits for the head of the response. The error is
// always a *CallError. The caller must close the response.
func (t *Transport) Call(ctx context.Context, to coltsfootward.Instance, head message.Call, body []byte) (*Response, error) {
	c, err := t.dial(ctx, to)
	if err != nil {
		return nil, &CallError{Err: err}
	}
	payload, err := encode(&head)
	if err != nil {
		return nil, &CallError{Err: err}
	}
	s, err := c.openCall(ctx, payload)
	if err != nil {
		return nil, &CallError{Err: err}
	}
	c.touch()
	response, err := s.roundTrip(ctx, body)
	if err != nil {
		// The call is withdrawn first. If its frame is still in the write queue, the
		// frame must not be sent after Call has reported the call as not sent.
		sent := !s.withdraw()
		s.cancel()
		return nil, &CallError{Sent: sent, Err: err}
	}
	return response, nil
}

// roundTrip sends the body and waits for the head of the response.
func (s *stream) roundTrip(ctx context.Context, body []byte) (*Response, error) {
	written, err := s.startBody(ctx, body)
	if err != nil {
		return s.responseOrError(err)
	}
	for {
		select {
		case head := <-s.head:
			return &Response{Head: head, stream: s}, nil
		case err := <-written:
			if err != nil {
				return s.responseOrError(err)
			}
			written = nil
		case <-s.done:
			return s.responseOrError(s.err)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// startBody sends the body. A body that fits into the flow-control window is sent
// at once, without a goroutine that waits for credits, and the returned channel is
// nil. Otherwise the channel receives the result of sending.
func (s *stream) startBody(ctx context.Context, body []byte) (<-chan error, error) {
	if len(body) <= windowChunks*chunkSize {
		return nil, s.sendBody(ctx, body)
	}
	written := make(chan error, 1)
	go func() { written <- s.sendBody(ctx, body) }()
	return written, nil
}

// responseOrError returns the response if its head arrived before the call failed,
// else err.
func (s *stream) responseOrError(err error) (*Response, error) {
	select {
	case head := <-s.head:
		return &Response{Head: head, stream: s}, nil
	default:
		return nil, err
	}
}

func (s *stream) sendBody(ctx context.Context, body []byte) error {
	if _, err := s.write(ctx, body); err != nil {
		return err
	}
	return s.connection.sendValue(frameEnd, s.id, &message.ResponseEnd{})
}

// ResponseWriter writes the response to one call. It is not safe for concurrent use.
type ResponseWriter struct {
	stream *stream
	ctx    context.Context
	ended  bool
}

// Head sends the head of the response. It must be called once, before Write.
func (w *ResponseWriter) Head(head message.Response) error {
	return w.stream.connection.sendValue(frameAnswer, w.stream.id, &head)
}

// Respond sends a complete response. It replaces the calls of Head, Write and End, and
// sends one frame instead of three if the body fits into a chunk.
func (w *ResponseWriter) Respond(head message.Response, body []byte, end message.ResponseEnd) error {
	if len(body) <= chunkSize {
		w.ended = true
		return w.stream.connection.sendValue(frameWhole, w.stream.id, &completeResponse{Head: head, Body: body, End: end})
	}
	if err := w.Head(head); err != nil {
		return err
	}
	if _, err := w.Write(body); err != nil {
		return err
	}
	return w.End(end)
}

// Write implements io.Writer for the body. It blocks while the flow-control window
// is full.
func (w *ResponseWriter) Write(p []byte) (int, error) { return w.stream.write(w.ctx, p) }

// End completes the response.
func (w *ResponseWriter) End(end message.ResponseEnd) error {
	w.ended = true
	return w.stream.connection.sendValue(frameEnd, w.stream.id, &end)
}

// finish ends the call on this side. It resets a response that was not completed,
// so that the peer cannot mistake it for a complete one.
func (w *ResponseWriter) finish() {
	w.stream.connection.removeStream(w.stream.id)
	if !w.ended {
		w.stream.connection.reset(w.stream.id)
	}
	w.stream.fail(io.ErrClosedPipe)
}
