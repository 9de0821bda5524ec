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

// A node among hundreds has as many connections, and most of them are silent most of
// the time, so what each one keeps is small.
const (
	// outgoingFrames is the size of the ring between those who send and the
	// goroutine that writes.
	outgoingFrames = 64
	// readBuffer is the size of a connection's read buffer in bytes. Larger frames
	// pass around it.
	readBuffer = 2 << 10
	// writeBuffer is the size in bytes of the buffer that a connection has while it
	// writes.
	writeBuffer = 16 << 10
)

// errConnectionClosed says that the connection broke or was closed.
var errConnectionClosed = errors.New("peer: connection closed: the call may be sent to another instance")

// errPeerLeaving says that the peer takes no further call on the connection.
var errPeerLeaving = errors.New("peer: the peer is leaving: the call may be sent to another instance")

// outgoing is a frame on its way to the writer.
type outgoing struct {
	frame frame
	// begin is called before the first byte may leave; if it returns false the
	// frame is left out. Nil always sends.
	begin func() bool
	// flushed, if not nil, is closed once everything queued before has been
	// handed to the network. Such an entry holds no frame.
	flushed chan struct{}
}

// connection is one TCP connection with its reader and writer goroutines. The
// ring between them and done are all that its users touch.
type connection struct {
	net      net.Conn
	clock    func() coltsfootward.Instant
	remote   coltsfootward.Instance
	outgoing chan outgoing
	done     chan struct{}
	once     sync.Once
	// opening is held while a call takes its number and queues its first frame.
	opening chan struct{}

	mu      sync.Mutex
	streams map[uint32]*stream
	next    uint32
	// leaving is set once the peer has said goodbye.
	leaving bool
	// told is set once this node has said goodbye, acknowledged once the peer
	// has promised to send no further call.
	told, acknowledged bool
	offsets            offsets
	// lastUsed is when a call or message last passed, by Instant.Monotonic.
	lastUsed time.Duration
	// heard is set once a frame whose age matters has come since the last probe.
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

// send queues a frame and waits for room in the ring.
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

// flush waits until everything queued so far has been handed to the network.
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

// finish hands over everything queued so far, says that nothing follows and
// waits until the peer has closed its side.
//
// Closed at once with credits or pongs unread, the socket would be reset, and
// the reset makes the peer's kernel drop what it has received but not read: the
// end of an answer that was sent whole.
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

// reset tells the peer that this side has left the call. It never waits: with
// the ring full, a goroutine that ends with the connection does.
func (c *connection) reset(id uint32) {
	select {
	case c.outgoing <- outgoing{frame: frame{Kind: frameReset, Stream: id}}:
	default:
		go func() { _ = c.send(context.Background(), frameReset, id, nil) }() // a closed connection tells the peer as well
	}
}

// trySend queues a frame if there is room.
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

// write runs until the connection closes.
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

// frameWriters keeps writers for the connections that write just now.
var frameWriters = sync.Pool{New: func() any { return newFrameWriter(bufio.NewWriterSize(nil, writeBuffer)) }}

// writeAll writes the frame and those that wait behind it.
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

// pong takes in the echo of a probe.
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

// open registers a new call and queues its first frame. Both happen under one
// lock: the peer takes a call whose number is below one that it has seen for a
// replay and closes the connection, so numbers must be queued in their order.
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

// openStream registers a new call.
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

// acceptStream registers a call that the peer opened. It returns nil if the
// peer has as many calls open as one connection may have. left is called once
// the peer has left the call or the connection has broken.
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

func (c *connection) touch() {
	now := c.clock().Monotonic
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = now
}

func (c *connection) idle() time.Duration {
	now := c.clock().Monotonic
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.streams) > 0 {
		return 0
	}
	return now - c.lastUsed
}

// streamFrame brings a frame to its call. A frame for a call that has ended is
// dropped: late answers must not reach another call, and numbers are never
// used again on a connection.
func (c *connection) streamFrame(f frame) error {
	s := c.stream(f.Stream)
	if s == nil {
		return nil
	}
	return s.take(f)
}
