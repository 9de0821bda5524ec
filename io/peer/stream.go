package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"coltsfootward/core/message"
)

// ErrTruncated is returned by a body's reader when the request or response was
// aborted before its end. The part that was read so far is incomplete.
var ErrTruncated = errors.New("peer: body truncated: do not use the part that was read as the complete body")

// stream is the state of one call on a connection, on the calling or the serving side.
type stream struct {
	connection *connection
	id         uint32
	// sendState records whether a byte of the call may have been sent; see sendQueued.
	sendState atomic.Int32
	// head receives the head of the response, on the calling side.
	head chan message.Response
	// chunks receives the body. Its capacity is the flow-control window, so it is
	// never full for a peer that observes the window.
	chunks chan []byte
	// credits holds a token for each chunk that may be sent.
	credits chan struct{}
	// done is closed when either side has cancelled, reset or finished the call, or the
	// connection has closed.
	done     chan struct{}
	failOnce sync.Once
	// cancelServing is called when done is closed, on the serving side; it may be nil.
	cancelServing context.CancelFunc
	// endReceived is closed when the peer's end frame has arrived.
	endReceived chan struct{}
	// hasEnd is set by the first end frame, to detect a second one.
	hasEnd atomic.Bool
	end    message.ResponseEnd
	err    error
	unread []byte
}

// The values of stream.sendState. The state changes once, from sendQueued to either
// sendBegun, by the writer, or sendWithdrawn, by a caller that gives up; the writer then
// skips the call's frame.
const (
	sendQueued int32 = iota
	sendBegun
	sendWithdrawn
)

// beginSend is called before the first byte is written. It returns false if the call
// was withdrawn and must not be sent.
func (s *stream) beginSend() bool {
	return s.sendState.CompareAndSwap(sendQueued, sendBegun)
}

// withdraw prevents the call from being sent. It returns false if sending has begun, so
// that the peer may have received the call.
func (s *stream) withdraw() bool {
	return s.sendState.CompareAndSwap(sendQueued, sendWithdrawn)
}

func newStream(c *connection, id uint32) *stream {
	s := &stream{
		connection:  c,
		id:          id,
		head:        make(chan message.Response, 1),
		chunks:      make(chan []byte, windowChunks),
		credits:     make(chan struct{}, windowChunks),
		done:        make(chan struct{}),
		endReceived: make(chan struct{}),
	}
	for range windowChunks {
		s.credits <- struct{}{}
	}
	return s
}

// fail ends the call with err. Only the first call of fail has an effect.
func (s *stream) fail(err error) {
	s.failOnce.Do(func() {
		s.err = err
		close(s.done)
		if s.cancelServing != nil {
			s.cancelServing()
		}
	})
}

// handleFrame handles a frame from the peer. The caller closes the connection on an
// error.
func (s *stream) handleFrame(f frame) error {
	switch f.Kind {
	case frameAnswer:
		return s.handleHead(f.Payload)
	case frameWhole:
		return s.handleCompleteResponse(f.Payload)
	case frameBody:
		return s.handleChunk(f.Payload)
	case frameCredit:
		return s.handleCredit()
	case frameEnd:
		return s.handleEnd(f.Payload)
	case frameReset:
		s.connection.removeStream(s.id)
		s.fail(ErrTruncated)
		return nil
	default:
		return &FrameError{Reason: "unexpected frame " + string(f.Kind)}
	}
}

func (s *stream) handleHead(payload []byte) error {
	var head message.Response
	if err := decode(payload, &head); err != nil {
		return err
	}
	return s.deliverHead(head)
}

func (s *stream) deliverHead(head message.Response) error {
	select {
	case s.head <- head:
		return nil
	default:
		return &FrameError{Reason: "second response to one call"}
	}
}

// handleCompleteResponse handles a response in one frame. The head is delivered last,
// so that body and end are available to the goroutine that waits for the head.
func (s *stream) handleCompleteResponse(payload []byte) error {
	var response completeResponse
	if err := decode(payload, &response); err != nil {
		return err
	}
	if len(response.Body) > 0 {
		if err := s.handleChunk(response.Body); err != nil {
			return err
		}
	}
	if err := s.setEnd(response.End); err != nil {
		return err
	}
	return s.deliverHead(response.Head)
}

func (s *stream) handleChunk(payload []byte) error {
	select {
	case <-s.endReceived:
		return &FrameError{Reason: "body chunk after the end frame"}
	default:
	}
	select {
	case s.chunks <- payload:
		return nil
	default:
		return &FrameError{Reason: "body chunk beyond the flow-control window"}
	}
}

func (s *stream) handleCredit() error {
	select {
	case s.credits <- struct{}{}:
		return nil
	default:
		return &FrameError{Reason: "credit beyond the flow-control window"}
	}
}

func (s *stream) handleEnd(payload []byte) error {
	var end message.ResponseEnd
	if err := decode(payload, &end); err != nil {
		return err
	}
	return s.setEnd(end)
}

// setEnd records that the peer's body is complete.
func (s *stream) setEnd(end message.ResponseEnd) error {
	if s.hasEnd.Swap(true) {
		return &FrameError{Reason: "second end frame for one body"}
	}
	s.end = end
	close(s.endReceived)
	return nil
}

// Read implements io.Reader for the body that the peer sends. It returns
// io.EOF only after the peer's end frame.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.unread) == 0 {
		chunk, err := s.nextChunk()
		if err != nil {
			return 0, err
		}
		s.unread = chunk
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

func (s *stream) nextChunk() ([]byte, error) {
	select {
	case chunk := <-s.chunks:
		return s.sendCredit(chunk)
	default:
	}
	select {
	case chunk := <-s.chunks:
		return s.sendCredit(chunk)
	case <-s.endReceived:
		return s.remainingChunk()
	case <-s.done:
		return s.chunkOrError(s.err)
	}
}

// chunkOrError returns a chunk that arrived before the call ended, else io.EOF if the
// body is complete, else err. A complete response thus stays readable after the
// connection has closed.
func (s *stream) chunkOrError(err error) ([]byte, error) {
	select {
	case chunk := <-s.chunks:
		return chunk, nil
	default:
	}
	select {
	case <-s.endReceived:
		return nil, io.EOF
	default:
		return nil, err
	}
}

// remainingChunk returns a chunk that arrived before the end frame, or io.EOF if all
// were read.
func (s *stream) remainingChunk() ([]byte, error) {
	select {
	case chunk := <-s.chunks:
		return chunk, nil
	default:
		return nil, io.EOF
	}
}

// sendCredit allows the peer to send another chunk, and returns the given one. It sends
// no credit if the peer has sent its last chunk: most bodies are a single chunk, and
// the credit would wake up the peer for nothing.
func (s *stream) sendCredit(chunk []byte) ([]byte, error) {
	select {
	case <-s.endReceived:
		return chunk, nil
	default:
	}
	// The chunk is valid even if the credit cannot be sent; the next read then returns
	// the connection's error.
	_ = s.connection.send(context.Background(), frameCredit, s.id, nil)
	return chunk, nil
}

// write sends a body in chunks. It blocks while the flow-control window is full.
func (s *stream) write(ctx context.Context, p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		if err := s.waitCredit(ctx); err != nil {
			return written, err
		}
		n := min(len(p), chunkSize)
		chunk := append([]byte(nil), p[:n]...)
		if err := s.connection.send(ctx, frameBody, s.id, chunk); err != nil {
			return written, err
		}
		written += n
		p = p[n:]
	}
	return written, nil
}

func (s *stream) waitCredit(ctx context.Context) error {
	select {
	case <-s.credits:
		return nil
	case <-s.done:
		return s.err
	case <-ctx.Done():
		return ctx.Err()
	}
}
