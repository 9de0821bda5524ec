package peer

import (
	"context"
	"fmt"
	"io"

	"coltsfootward"
	"coltsfootward/core/message"
)

// CallError says that a call got no answer from the peer.
type CallError struct {
	// Sent is set if a byte of the call may have left this node.
	Sent bool
	Err  error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Sent {
		return fmt.Sprintf("peer: call broke off: %v: it may have run", e.Err)
	}
	return fmt.Sprintf("peer: call not sent: %v: it did not run", e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Answer is a peer's answer: its head, and its body as it arrives.
type Answer struct {
	Head   message.Response
	stream *stream
}

// Read implements io.Reader for the body. It returns io.EOF only if the body
// is whole, else ErrTruncated or the connection's error.
func (a *Answer) Read(p []byte) (int, error) { return a.stream.Read(p) }

// End returns the answer's end and true once the body is whole.
func (a *Answer) End() (message.ResponseEnd, bool) {
	select {
	case <-a.stream.ended:
		return a.stream.end, true
	default:
		return message.ResponseEnd{}, false
	}
}

// Close ends the call. If its answer is not whole, the peer is told to stop.
func (a *Answer) Close() { a.stream.leave() }

// leave forgets the call on this side and tells the peer unless it has ended.
func (s *stream) leave() {
	s.connection.forget(s.id)
	select {
	case <-s.ended:
	case <-s.done:
	default:
		s.connection.reset(s.id)
	}
	s.fail(ErrTruncated)
}

// Call sends a request and waits for the head of its answer. The error is
// always a *CallError. The caller closes the answer.
func (t *Transport) Call(ctx context.Context, to coltsfootward.Instance, head message.Call, body []byte) (*Answer, error) {
	c, err := t.dial(ctx, to)
	if err != nil {
		return nil, &CallError{Err: err}
	}
	payload, err := encode(&head)
	if err != nil {
		return nil, &CallError{Err: err}
	}
	s, err := c.open(ctx, payload)
	if err != nil {
		return nil, &CallError{Err: err}
	}
	c.touch()
	answer, err := s.call(ctx, body)
	if err != nil {
		// Withdrawn first: a call that still waits in the ring must not leave
		// after its caller was told that it had not been sent.
		sent := !s.withdraw()
		s.leave()
		return nil, &CallError{Sent: sent, Err: err}
	}
	return answer, nil
}

func (s *stream) call(ctx context.Context, body []byte) (*Answer, error) {
	written, err := s.startBody(ctx, body)
	if err != nil {
		return s.headOr(err)
	}
	for {
		select {
		case head := <-s.head:
			return &Answer{Head: head, stream: s}, nil
		case err := <-written:
			if err != nil {
				return s.headOr(err)
			}
			written = nil
		case <-s.done:
			return s.headOr(s.err)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// startBody sends the body. One that fits into the window is sent at once,
// without a goroutine to wait for the peer; the channel then stays silent.
func (s *stream) startBody(ctx context.Context, body []byte) (<-chan error, error) {
	if len(body) <= windowChunks*chunkSize {
		return nil, s.sendBody(ctx, body)
	}
	written := make(chan error, 1)
	go func() { written <- s.sendBody(ctx, body) }()
	return written, nil
}

// headOr returns the head if it arrived before the call broke.
func (s *stream) headOr(err error) (*Answer, error) {
	select {
	case head := <-s.head:
		return &Answer{Head: head, stream: s}, nil
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

// AnswerWriter answers one call. It is not safe for concurrent use.
type AnswerWriter struct {
	stream *stream
	ctx    context.Context
	ended  bool
}

// Head sends the answer's head. It is called once, before Write.
func (w *AnswerWriter) Head(head message.Response) error {
	return w.stream.connection.sendValue(frameAnswer, w.stream.id, &head)
}

// Whole sends an answer with its body and end. It is called in place of Head, Write and
// End, and spares both sides two of three frames where the body fits into one.
func (w *AnswerWriter) Whole(head message.Response, body []byte, end message.ResponseEnd) error {
	if len(body) <= chunkSize {
		w.ended = true
		return w.stream.connection.sendValue(frameWhole, w.stream.id, &wholeAnswer{Head: head, Body: body, End: end})
	}
	if err := w.Head(head); err != nil {
		return err
	}
	if _, err := w.Write(body); err != nil {
		return err
	}
	return w.End(end)
}

// Write implements io.Writer for the body and waits while the peer's window is full.
func (w *AnswerWriter) Write(p []byte) (int, error) { return w.stream.write(w.ctx, p) }

// End marks the answer as whole.
func (w *AnswerWriter) End(end message.ResponseEnd) error {
	w.ended = true
	return w.stream.connection.sendValue(frameEnd, w.stream.id, &end)
}

// finish ends the call on this side. An answer without its end is reset, so
// that the peer never takes it for whole.
func (w *AnswerWriter) finish() {
	w.stream.connection.forget(w.stream.id)
	if !w.ended {
		w.stream.connection.reset(w.stream.id)
	}
	w.stream.fail(io.ErrClosedPipe)
}
