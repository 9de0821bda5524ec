package peer

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"coltsfootward"
)

// outgoingFrames is the size of the ring between those who send and the
// goroutine that writes.
const outgoingFrames = 256

// errConnectionClosed says that the connection broke or was closed.
var errConnectionClosed = errors.New("peer: connection closed: the call may be sent to another instance")

// errPeerLeaving says that the peer takes no further call on the connection.
var errPeerLeaving = errors.New("peer: the peer is leaving: the call may be sent to another instance")

// outgoing is a frame on its way to the writer.
type outgoing struct {
	frame frame
	// begun is called before the first byte may leave; nil for none.
	begun func()
	// flushed, if not nil, takes the place of a frame: the writer closes it once
	// all that was queued before has left.
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
	opening sync.Mutex

	mu      sync.Mutex
	streams map[uint32]*stream
	next    uint32
	// leaving is set once the peer has said goodbye.
	leaving bool
	// told is set once this node has said goodbye.
	told    bool
	offsets offsets
	// lastUsed is when a call or message last passed, by Instant.Monotonic.
	lastUsed time.Duration
}

func newConnection(c net.Conn, remote coltsfootward.Instance, clock func() coltsfootward.Instant) *connection {
	return &connection{
		net:      c,
		clock:    clock,
		remote:   remote,
		outgoing: make(chan outgoing, outgoingFrames),
		done:     make(chan struct{}),
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
func (c *connection) send(kind frameKind, id uint32, payload []byte, begun func()) error {
	select {
	case <-c.done:
		return errConnectionClosed
	default:
	}
	select {
	case c.outgoing <- outgoing{frame: frame{Kind: kind, Stream: id, Payload: payload}, begun: begun}:
		return nil
	case <-c.done:
		return errConnectionClosed
	}
}

// trySend queues a frame if there is room.
func (c *connection) trySend(kind frameKind, payload []byte) bool {
	select {
	case c.outgoing <- outgoing{frame: frame{Kind: kind, Payload: payload}}:
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
	return c.send(kind, id, payload, nil)
}

// write runs until the connection closes. It flushes whenever the ring is empty.
func (c *connection) write() {
	defer c.close()
	w := bufio.NewWriterSize(c.net, chunkSize*2)
	for {
		select {
		case o := <-c.outgoing:
			if c.writeOne(w, o) != nil {
				return
			}
		case <-c.done:
			return
		}
		if len(c.outgoing) == 0 && w.Flush() != nil {
			return
		}
	}
}

func (c *connection) writeOne(w *bufio.Writer, o outgoing) error {
	if o.flushed != nil {
		err := w.Flush()
		close(o.flushed)
		return err
	}
	if o.begun != nil {
		o.begun()
	}
	o.frame.Sent = int64(c.clock().Monotonic)
	return writeFrame(w, o.frame)
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
func (c *connection) open(payload []byte) (*stream, error) {
	c.opening.Lock()
	defer c.opening.Unlock()
	s, err := c.openStream()
	if err != nil {
		return nil, err
	}
	if err := c.send(frameCall, s.id, payload, func() { s.sent.Store(true) }); err != nil {
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

// acceptStream registers a call that the peer opened.
func (c *connection) acceptStream(id uint32) (*stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed() {
		return nil, errConnectionClosed
	}
	if id <= c.next {
		return nil, &FrameError{Reason: fmt.Sprintf("call number %d was used before", id)}
	}
	c.next = id
	s := newStream(c, id)
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
	delete(c.streams, id)
	over := c.leaving && len(c.streams) == 0
	c.mu.Unlock()
	if over {
		c.close()
	}
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
