package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootward"
)

// A node in a fleet of hundreds has hundreds of connections, and most of them are idle
// most of the time, so each connection holds little memory.
const (
	// writeQueueLength is the capacity, in frames, of the queue between the senders
	// and the connection's writer goroutine.
	writeQueueLength = 64
	// readBufferSize is the size of a connection's read buffer in bytes. Larger frames
	// bypass it.
	readBufferSize = 2 << 10
	// writeBufferSize is the size in bytes of the buffer that a connection borrows from
	// a pool while it writes.
	writeBufferSize = 16 << 10
)

// errConnectionClosed reports that the connection failed or was closed.
var errConnectionClosed = errors.New("peer: connection closed: the call may be sent to another instance")

// errPeerLeaving reports that the peer accepts no further calls on the connection,
// because it is shutting down.
var errPeerLeaving = errors.New("peer: the peer is shutting down: the call may be sent to another instance")

// writeRequest is an entry of a connection's write queue: a frame, or a flush.
type writeRequest struct {
	frame frame
	// beginSend is called before the first byte is written. If it returns false, the
	// frame is skipped. If it is nil, the frame is always written.
	beginSend func() bool
	// flushed, if not nil, is closed once everything queued before has been
	// written to the socket. Such an entry holds no frame.
	flushed chan struct{}
}

// connection is one TCP connection with its reader and writer goroutines. Only the
// writer goroutine writes to the socket; senders append to writeQueue.
type connection struct {
	net        net.Conn
	clock      func() coltsfootward.Instant
	remote     coltsfootward.Instance
	writeQueue chan writeRequest
	done       chan struct{}
	closeOnce  sync.Once
	// openLock is held while a call is given its ID and its first frame is queued. It
	// is a channel so that waiting for it can end with a context.
	openLock chan struct{}

	mu      sync.Mutex
	streams map[uint32]*stream
	lastID  uint32
	// peerLeaving is set once a goodbye frame has arrived from the peer.
	peerLeaving bool
	// goodbyeSent is set once this node has queued its goodbye frame;
	// goodbyeAcknowledged, once the peer has replied that it sends no further call.
	goodbyeSent, goodbyeAcknowledged bool
	clockOffset                      clockOffset
	// lastUsed is when a call or message was last sent, by Instant.Monotonic.
	lastUsed time.Duration
	// receivedSinceProbe is set if a call or message has arrived since the last probe.
	// The age of other frames is not used.
	receivedSinceProbe atomic.Bool
}

func newConnection(c net.Conn, remote coltsfootward.Instance, clock func() coltsfootward.Instant) *connection {
	return &connection{
		net:        c,
		clock:      clock,
		remote:     remote,
		writeQueue: make(chan writeRequest, writeQueueLength),
		done:       make(chan struct{}),
		openLock:   make(chan struct{}, 1),
		streams:    make(map[uint32]*stream),
	}
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		c.net.Close()
		c.mu.Lock()
		streams := c.streams
		c.streams = make(map[uint32]*stream)
		c.mu.Unlock()
		for _, s := range streams {
			s.fail(errConnectionClosed)
		}
	})
}

func (c *connection) closed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// send queues a frame. It blocks while the write queue is full.
func (c *connection) send(ctx context.Context, kind frameKind, id uint32, payload []byte) error {
	return c.enqueue(ctx, writeRequest{frame: frame{Kind: kind, Stream: id, Payload: payload}})
}

func (c *connection) enqueue(ctx context.Context, request writeRequest) error {
	select {
	case <-c.done:
		return errConnectionClosed
	default:
	}
	if len(request.frame.Payload) > maximumPayloadSize {
		return &FrameError{Reason: fmt.Sprintf("%d bytes are more than %d", len(request.frame.Payload), maximumPayloadSize)}
	}
	select {
	case c.writeQueue <- request:
		return nil
	case <-c.done:
		return errConnectionClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// flush waits until everything queued so far has been written to the socket.
func (c *connection) flush(ctx context.Context) {
	flushed := make(chan struct{})
	if c.enqueue(ctx, writeRequest{flushed: flushed}) != nil {
		return
	}
	select {
	case <-flushed:
	case <-c.done:
	case <-ctx.Done():
	}
}

// shutdown flushes the write queue, closes the sending direction and waits until
// the peer has closed the connection.
//
// If the socket were closed at once while credits or pongs were still unread, the
// kernel would reset it. A reset makes the peer's kernel discard data that it has
// received but that was not read yet, such as the end of a response that was sent
// completely.
func (c *connection) shutdown(ctx context.Context) {
	c.flush(ctx)
	halfCloser, ok := c.net.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	select {
	case <-c.done:
	case <-ctx.Done():
	}
}

// reset sends the peer a frame that aborts the call. It never blocks: if the write
// queue is full, a goroutine that ends with the connection sends the frame.
func (c *connection) reset(id uint32) {
	select {
	case c.writeQueue <- writeRequest{frame: frame{Kind: frameReset, Stream: id}}:
	default:
		go func() { _ = c.send(context.Background(), frameReset, id, nil) }() // a closed connection aborts the call as well
	}
}

// trySend queues a frame and reports whether there was room in the write queue.
func (c *connection) trySend(kind frameKind, payload []byte) bool {
	return c.trySendStream(kind, 0, payload)
}

func (c *connection) trySendStream(kind frameKind, id uint32, payload []byte) bool {
	if len(payload) > maximumPayloadSize {
		return false
	}
	select {
	case c.writeQueue <- writeRequest{frame: frame{Kind: kind, Stream: id, Payload: payload}}:
		return true
	default:
		return false
	}
}

// sendValue encodes value and queues it as the payload of a frame.
func (c *connection) sendValue(kind frameKind, id uint32, value any) error {
	payload, err := encode(value)
	if err != nil {
		return err
	}
	return c.send(context.Background(), kind, id, payload)
}

// writeLoop writes queued frames until the connection closes.
func (c *connection) writeLoop() {
	defer c.close()
	for {
		select {
		case request := <-c.writeQueue:
			if c.writeBatch(request) != nil {
				return
			}
		case <-c.done:
			return
		}
	}
}

// frameWriterPool shares frame writers and their buffers among the connections that
// are writing.
var frameWriterPool = sync.Pool{New: func() any { return newFrameWriter(bufio.NewWriterSize(nil, writeBufferSize)) }}

// writeBatch writes an entry and all entries queued behind it, then flushes.
func (c *connection) writeBatch(request writeRequest) error {
	writer := frameWriterPool.Get().(*frameWriter)
	defer frameWriterPool.Put(writer)
	writer.w.Reset(c.net)
	defer writer.w.Reset(nil)
	for {
		if err := c.writeOne(writer, request); err != nil {
			return err
		}
		select {
		case request = <-c.writeQueue:
		default:
			return writer.w.Flush()
		}
	}
}

// writeOne writes the frame of an entry to the buffer, or flushes the buffer.
func (c *connection) writeOne(writer *frameWriter, request writeRequest) error {
	if request.flushed != nil {
		defer close(request.flushed)
		return writer.w.Flush()
	}
	if request.beginSend != nil && !request.beginSend() {
		return nil
	}
	request.frame.Sent = int64(c.clock().Monotonic)
	return writer.write(request.frame)
}

// age returns an upper bound of the time since the peer sent the frame.
func (c *connection) age(f frame) time.Duration {
	now := c.clock().Expiry
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clockOffset.age(now, time.Duration(f.Sent))
}

// handlePong applies the peer's echo of a probe.
func (c *connection) handlePong(f frame) error {
	var p probe
	if err := decode(f.Payload, &p); err != nil {
		return err
	}
	now := c.clock().Expiry
	if p.Probe < 0 || time.Duration(p.Probe) > now {
		return &FrameError{Reason: "echo of a probe that was not sent"}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clockOffset.update(now, time.Duration(p.Probe), time.Duration(f.Sent))
	return nil
}

// openCall registers a new call and queues its first frame. Both happen under
// openLock, because IDs must be queued in ascending order: the peer rejects a call
// whose ID is not above the last one as a replay and closes the connection.
func (c *connection) openCall(ctx context.Context, payload []byte) (*stream, error) {
	select {
	case c.openLock <- struct{}{}:
		defer func() { <-c.openLock }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	s, err := c.openStream()
	if err != nil {
		return nil, err
	}
	request := writeRequest{frame: frame{Kind: frameCall, Stream: s.id, Payload: payload}, beginSend: s.beginSend}
	if err := c.enqueue(ctx, request); err != nil {
		c.removeStream(s.id)
		return nil, err
	}
	return s, nil
}

// openStream registers a new call under the next ID.
func (c *connection) openStream() (*stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed() {
		return nil, errConnectionClosed
	}
	if c.peerLeaving {
		return nil, errPeerLeaving
	}
	c.lastID++
	s := newStream(c, c.lastID)
	c.streams[s.id] = s
	return s, nil
}

// acceptStream registers a call that the peer opened. It returns nil if the peer
// already has maximumStreams calls open on the connection. cancel is called once
// the peer has aborted the call or the connection has failed.
func (c *connection) acceptStream(id uint32, cancel context.CancelFunc) (*stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed() {
		return nil, errConnectionClosed
	}
	if id <= c.lastID {
		return nil, &FrameError{Reason: fmt.Sprintf("call ID %d was used before", id)}
	}
	c.lastID = id
	if len(c.streams) >= maximumStreams {
		return nil, nil
	}
	s := newStream(c, id)
	s.cancelServing = cancel
	c.streams[id] = s
	return s, nil
}

func (c *connection) stream(id uint32) *stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[id]
}

func (c *connection) removeStream(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, id)
}

// touch records that the connection is in use, which restarts its idle time.
func (c *connection) touch() {
	now := c.clock().Monotonic
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = now
}

// idleTime returns the time since the connection was last used; zero while calls are
// open.
func (c *connection) idleTime() time.Duration {
	now := c.clock().Monotonic
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.streams) > 0 {
		return 0
	}
	return now - c.lastUsed
}

// handleStreamFrame dispatches a frame to its call. A frame for a call that has ended
// is dropped. Since IDs are never reused on a connection, a late response cannot
// reach another call.
func (c *connection) handleStreamFrame(f frame) error {
	s := c.stream(f.Stream)
	if s == nil {
		return nil
	}
	return s.handleFrame(f)
}
