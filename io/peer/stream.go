package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"coltsfootward/core/message"
)

// ErrTruncated is returned by a body's reader when the answer or request broke
// off before its end. What was read so far is not whole.
var ErrTruncated = errors.New("peer: body broke off before its end: do not use what was read as whole")

// stream is one call on a connection, seen from either side.
type stream struct {
	connection *connection
	id         uint32
	// departure says whether a byte of the call may have left this node.
	departure atomic.Int32
	// head receives the answer's head, on the side that opened the call.
	head chan message.Response
	// chunks receives the body. Its size is the window, so a peer that keeps
	// to the window never finds it full.
	chunks chan []byte
	// credits holds a token for each chunk that may be sent.
	credits chan struct{}
	// done is closed when the call has ended for either side.
	done chan struct{}
	once sync.Once
	// left is called then, on the side that serves the call; nil for none.
	left context.CancelFunc
	// ended is closed when the peer's end frame arrived.
	ended chan struct{}
	// endTaken is set by the first end frame.
	endTaken atomic.Bool
	end      message.ResponseEnd
	err      error
	rest     []byte
}

// The states of a call's departure. It leaves queued once, either way: the
// writer begins it, or its caller withdraws it and the writer leaves it out.
const (
	departureQueued int32 = iota
	departureBegun
	departureWithdrawn
)

// begin is called before the first byte may leave; false means not to send.
func (s *stream) begin() bool {
	return s.departure.CompareAndSwap(departureQueued, departureBegun)
}

// withdraw reports whether no byte of the call has left nor ever will.
func (s *stream) withdraw() bool {
	return s.departure.CompareAndSwap(departureQueued, departureWithdrawn)
}

func newStream(c *connection, id uint32) *stream {
	s := &stream{
		connection: c,
		id:         id,
		head:       make(chan message.Response, 1),
		chunks:     make(chan []byte, windowChunks),
		credits:    make(chan struct{}, windowChunks),
		done:       make(chan struct{}),
		ended:      make(chan struct{}),
	}
	for range windowChunks {
		s.credits <- struct{}{}
	}
	return s
}

// fail ends the call with err. Only the first end counts.
func (s *stream) fail(err error) {
	s.once.Do(func() {
		s.err = err
		close(s.done)
		if s.left != nil {
			s.left()
		}
	})
}

// take handles a frame from the peer. An error closes the connection.
func (s *stream) take(f frame) error {
	switch f.Kind {
	case frameAnswer:
		return s.takeHead(f.Payload)
	case frameWhole:
		return s.takeWhole(f.Payload)
	case frameBody:
		return s.takeChunk(f.Payload)
	case frameCredit:
		return s.takeCredit()
	case frameEnd:
		return s.takeEnd(f.Payload)
	case frameReset:
		s.connection.forget(s.id)
		s.fail(ErrTruncated)
		return nil
	default:
		return &FrameError{Reason: "unexpected frame " + string(f.Kind)}
	}
}

func (s *stream) takeHead(payload []byte) error {
	var head message.Response
	if err := decode(payload, &head); err != nil {
		return err
	}
	return s.answer(head)
}

func (s *stream) answer(head message.Response) error {
	select {
	case s.head <- head:
		return nil
	default:
		return &FrameError{Reason: "second answer to one call"}
	}
}

// takeWhole takes an answer with its body and end. The head goes last, so that
// whoever waits for it finds the rest.
func (s *stream) takeWhole(payload []byte) error {
	var whole wholeAnswer
	if err := decode(payload, &whole); err != nil {
		return err
	}
	if len(whole.Body) > 0 {
		if err := s.takeChunk(whole.Body); err != nil {
			return err
		}
	}
	if err := s.finish(whole.End); err != nil {
		return err
	}
	return s.answer(whole.Head)
}

func (s *stream) takeChunk(payload []byte) error {
	select {
	case <-s.ended:
		return &FrameError{Reason: "body after its end"}
	default:
	}
	select {
	case s.chunks <- payload:
		return nil
	default:
		return &FrameError{Reason: "body beyond its window"}
	}
}

func (s *stream) takeCredit() error {
	select {
	case s.credits <- struct{}{}:
		return nil
	default:
		return &FrameError{Reason: "credit beyond the window"}
	}
}

func (s *stream) takeEnd(payload []byte) error {
	var end message.ResponseEnd
	if err := decode(payload, &end); err != nil {
		return err
	}
	return s.finish(end)
}

// finish notes that the peer's body is whole.
func (s *stream) finish(end message.ResponseEnd) error {
	if s.endTaken.Swap(true) {
		return &FrameError{Reason: "second end of one body"}
	}
	s.end = end
	close(s.ended)
	return nil
}

// Read implements io.Reader for the body that the peer sends. It returns
// io.EOF only after the peer's end frame.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		chunk, err := s.nextChunk()
		if err != nil {
			return 0, err
		}
		s.rest = chunk
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

func (s *stream) nextChunk() ([]byte, error) {
	select {
	case chunk := <-s.chunks:
		return s.consumed(chunk)
	default:
	}
	select {
	case chunk := <-s.chunks:
		return s.consumed(chunk)
	case <-s.ended:
		return s.lastChunk()
	case <-s.done:
		return s.chunkOr(s.err)
	}
}

// chunkOr returns what arrived before the call ended. An answer that is whole
// stays whole when the connection closes behind it.
func (s *stream) chunkOr(err error) ([]byte, error) {
	select {
	case chunk := <-s.chunks:
		return chunk, nil
	default:
	}
	select {
	case <-s.ended:
		return nil, io.EOF
	default:
		return nil, err
	}
}

// lastChunk drains what arrived before the end frame.
func (s *stream) lastChunk() ([]byte, error) {
	select {
	case chunk := <-s.chunks:
		return chunk, nil
	default:
		return nil, io.EOF
	}
}

// consumed tells the peer that it may send another chunk, unless it has sent the
// last one: most bodies are a single chunk, and the frame would wake the peer for
// nothing.
func (s *stream) consumed(chunk []byte) ([]byte, error) {
	select {
	case <-s.ended:
		return chunk, nil
	default:
	}
	// The chunk is intact whatever becomes of the credit; a break shows at the
	// next read.
	_ = s.connection.send(context.Background(), frameCredit, s.id, nil)
	return chunk, nil
}

// write sends a body as far as the peer's window allows and waits for more.
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
