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
	outgoingFrames = 64
	// readBufferSize is the size of a connection's read buffer in bytes. Larger frames
	// bypass it.
	readBuffer = 2 << 10
	// writeBufferSize is the size in bytes of the buffer that a connection borrows from
	// a pool while it writes.
	writeBuffer = 16 << 10
)

// errConnectionClosed reports that the connection failed or was closed.
var errConnectionClosed = errors.New("peer: connection closed: the call may be sent to another instance")

// errPeerLeaving reports that the peer accepts no further calls on the connection,
// because it is shutting down.
var errPeerLeaving = errors.New("peer: the peer is shutting down: the call may be sent to another instance")

// writeRequest is an entry of a connection's write queue: a frame, or a flush.
type outgoing struct {
	frame frame
	// beginSend is called before the first byte is written. If it returns false, the
	// frame is skipped. If it is nil, the frame is always written.
	begin func() bool
	// flushed, if not nil, is closed once everything queued before has been
	// written to the socket. Such an entry holds no frame.
	flushed chan struct{}
}

// connection is one TCP connection with its reader and writer goroutines. Only the
// writer goroutine writes to the socket; senders append to writeQueue.
type connection struct {
	net      net.Conn
	clock    func() coltsfootward.Instant
	remote   coltsfootward.Instance
	outgoing chan outgoing
	done     chan struct{}
	once     sync.Once
	// openLock is held while a call is given its ID and its first frame is queued. It
	// is a channel so that waiting for it can end with a context.
	opening chan struct{}

	mu      sync.Mutex
	streams map[uint32]*stream
	next    uint32
	// peerLeaving is set once a goodbye frame has arrived from the peer.
	leaving bool
	// goodbyeSent is set once this node has queued its goodbye frame;
	// goodbyeAcknowledged, once the peer has replied that it sends no further call.
	told, acknowledged bool
	offsets            offsets
	// lastUsed is when a call or message was last sent, by Instant.Monotonic.
	lastUsed time.Duration
	// receivedSinceProbe is set once a call or message, whose age matters, has arrived
	// since the last probe.
	heard atomic.Bool
}

func newConnection(c net.Conn, remote coltsfootward.Instance, clock func() coltsfootward.Instant) *connection {
	return &connection{
		net:      c,
		clock:    clock,
		remote:   remote,
		outgoing: make(chan outgoing, outgoingFrames),
		done:     make(chan struct{}),
		opening:  make(chan struct{}, 1),
		streams:  make(map[uint32]*stream),
	}
}

func (c *connection) close() {
	c.once.Do(func() {
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
	return c.enqueue(ctx, outgoing{frame: frame{Kind: kind, Stream: id, Payload: payload}})
}

func (c *connection) enqueue(ctx context.Context, o outgoing) error {
	select {
	case <-c.done:
		return errConnectionClosed
	default:
	}
	if len(o.frame.Payload) > maximumPayload {
		return &FrameError{Reason: fmt.Sprintf("%d bytes are more than %d", len(o.frame.Payload), maximumPayload)}
	}
	select {
	case c.outgoing <- o:
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
	if c.enqueue(ctx, outgoing{flushed: flushed}) != nil {
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
func (c *connection) finish(ctx context.Context) {
	c.flush(ctx)
	half, ok := c.net.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
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
	case c.outgoing <- outgoing{frame: frame{Kind: frameReset, Stream: id}}:
	default:
		go func() { _ = c.send(context.Background(), frameReset, id, nil) }() // a closed connection aborts the call as well
	}
}

// trySend queues a frame and reports whether there was room in the write queue.
func (c *connection) trySend(kind frameKind, payload []byte) bool {
	return c.trySendStream(kind, 0, payload)
}

func (c *connection) trySendStream(kind frameKind, id uint32, payload []byte) bool {
	if len(payload) > maximumPayload {
		return false
	}
	select {
	case c.outgoing <- outgoing{frame: frame{Kind: kind, Stream: id, Payload: payload}}:
		return true
	default:
		return false
	}
}

func (c *connection) sendValue(kind frameKind, id uint32, value any) error {
	payload, err := encode(value)
	if err != nil {
		return err
	}
	return c.send(context.Background(), kind, id, payload)
}

// writeLoop writes queued frames until the connection closes.
func (c *connection) write() {
	defer c.close()
	for {
		select {
		case o := <-c.outgoing:
			if c.writeAll(o) != nil {
				return
			}
		case <-c.done:
			return
		}
	}
}

// frameWriterPool shares frame writers and their buffers among the connections that
// are writing.
var frameWriters = sync.Pool{New: func() any { return newFrameWriter(bufio.NewWriterSize(nil, writeBuffer)) }}

// writeBatch writes an entry and all entries queued behind it, then flushes.
func (c *connection) writeAll(o outgoing) error {
	frames := frameWriters.Get().(*frameWriter)
	defer frameWriters.Put(frames)
	frames.w.Reset(c.net)
	defer frames.w.Reset(nil)
	for {
		if err := c.writeOne(frames, o); err != nil {
			return err
		}
		select {
		case o = <-c.outgoing:
		default:
			return frames.w.Flush()
		}
	}
}

func (c *connection) writeOne(frames *frameWriter, o outgoing) error {
	if o.flushed != nil {
		defer close(o.flushed)
		return frames.w.Flush()
	}
	if o.begin != nil && !o.begin() {
		return nil
	}
	o.frame.Sent = int64(c.clock().Monotonic)
	return frames.write(o.frame)
}

// age returns an upper bound of the time since the peer sent the frame.
func (c *connection) age(f frame) time.Duration {
	now := c.clock().Expiry
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offsets.age(now, time.Duration(f.Sent))
}

// handlePong applies the peer's echo of a probe.
func (c *connection) pong(f frame) error {
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
	c.offsets.echo(now, time.Duration(p.Probe), time.Duration(f.Sent))
	return nil
}

// openCall registers a new call and queues its first frame. Both happen under
// openLock, because IDs must be queued in ascending order: the peer rejects a call
// whose ID is not above the last one as a replay and closes the connection.
func (c *connection) open(ctx context.Context, payload []byte) (*stream, error) {
	select {
	case c.opening <- struct{}{}:
		defer func() { <-c.opening }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	s, err := c.openStream()
	if err != nil {
		return nil, err
	}
	o := outgoing{frame: frame{Kind: frameCall, Stream: s.id, Payload: payload}, begin: s.begin}
	if err := c.enqueue(ctx, o); err != nil {
		c.forget(s.id)
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
	if c.leaving {
		return nil, errPeerLeaving
	}
	c.next++
	s := newStream(c, c.next)
	c.streams[s.id] = s
	return s, nil
}

// acceptStream registers a call that the peer opened. It returns nil if the peer
// already has maximumStreams calls open on the connection. cancel is called once
// the peer has aborted the call or the connection has failed.
func (c *connection) acceptStream(id uint32, left context.CancelFunc) (*stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed() {
		return nil, errConnectionClosed
	}
	if id <= c.next {
		return nil, &FrameError{Reason: fmt.Sprintf("call number %d was used before", id)}
	}
	c.next = id
	if len(c.streams) >= maximumStreams {
		return nil, nil
	}
	s := newStream(c, id)
	s.left = left
	c.streams[id] = s
	return s, nil
}

func (c *connection) stream(id uint32) *stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[id]
}

func (c *connection) forget(id uint32) {
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
func (c *connection) idle() time.Duration {
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
func (c *connection) streamFrame(f frame) error {
	s := c.stream(f.Stream)
	if s == nil {
		return nil
	}
	return s.take(f)
}
