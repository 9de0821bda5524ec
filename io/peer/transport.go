package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/io/worker"
)

const (
	handshakeTimeout = 3 * time.Second
	// dialTimeout bounds the making of a connection. A peer that is cut off does
	// not answer at all, and whoever waits for it could go elsewhere; it is well
	// above a round trip between failure domains and one lost packet.
	dialTimeout = 1500 * time.Millisecond
	// probeInterval is the time between two probes of a peer's clock.
	probeInterval = 10 * time.Second
	// idleTimeout closes dialled connections that nothing uses, so that a node
	// holds connections only to those it talks to.
	idleTimeout = 2 * time.Minute
	// finishTimeout bounds how long a node that leaves waits for its peers to
	// close their side; one that was cut off never does.
	finishTimeout = 5 * time.Second
	// writeTimeout bounds a write to a peer that no longer reads.
	writeTimeout = 15 * time.Second
)

// Handler takes what peers send. Its methods are called from the connection's
// reader and must not block, except for ServeCall, which has a goroutine of
// its own.
type Handler interface {
	// ServeCall answers a call through w. The call's context ends when the
	// caller leaves or the connection breaks.
	ServeCall(ctx context.Context, call IncomingCall, w *AnswerWriter)
	// ServeMessage takes a message.
	ServeMessage(from coltsfootward.Instance, m message.Message, age time.Duration)
	// PeerConnected and PeerLost tell of connections that peers or this node dialled.
	PeerConnected(peer coltsfootward.Instance)
	PeerLost(peer coltsfootward.Instance)
	// FrameRejected tells of bytes that were no valid frame.
	FrameRejected(address string, err error)
}

// IncomingCall is a call that a peer sent.
type IncomingCall struct {
	From coltsfootward.Instance
	Head message.Call
	// Age is an upper bound of the time since the peer sent it.
	Age time.Duration
	// Body is the request's body; it ends with io.EOF only if it is whole.
	Body io.Reader
}

// Transport connects a node with its peers. Create it with NewTransport. It is
// safe for concurrent use.
type Transport struct {
	self    coltsfootward.Instance
	clock   func() coltsfootward.Instant
	handler Handler
	once    sync.Once
	wait    sync.WaitGroup
	// ending is done once the transport is closed: what is under way on the network
	// ends with it.
	ending context.Context
	end    context.CancelFunc
	// calls serves the calls of peers.
	calls *worker.Pool

	mu       sync.Mutex
	listener net.Listener
	dialled  map[coltsfootward.InstanceID]*dialled
	accepted map[*connection]struct{}
	// outbound holds every connection that this node dialled, also those that
	// a newer one to the same peer has replaced.
	outbound map[*connection]struct{}
	closed   bool
	// serving counts the calls being served; whenIdle is closed when it reaches
	// zero. New calls may come while a stop waits, so it is no WaitGroup.
	serving  int
	whenIdle chan struct{}
}

// NewTransport returns a transport that serves peers on listener, if it is not
// nil, until Close.
func NewTransport(self coltsfootward.Instance, clock func() coltsfootward.Instant, handler Handler, listener net.Listener) *Transport {
	t := &Transport{
		self:     self,
		clock:    clock,
		handler:  handler,
		listener: listener,
		dialled:  make(map[coltsfootward.InstanceID]*dialled),
		accepted: make(map[*connection]struct{}),
		outbound: make(map[*connection]struct{}),
		calls:    worker.NewPool(),
	}
	t.ending, t.end = context.WithCancel(context.Background())
	if listener != nil {
		t.wait.Go(t.accept)
	}
	t.wait.Go(t.maintain)
	return t
}

// Close ends all connections and waits for their goroutines.
func (t *Transport) Close() {
	t.once.Do(func() {
		t.mu.Lock()
		t.closed = true
		t.mu.Unlock()
		t.end()
		if t.listener != nil {
			t.listener.Close()
		}
		for _, c := range t.connections() {
			c.close()
		}
	})
	t.wait.Wait()
	t.calls.Close()
}

// Shutdown tells every peer goodbye, waits until the calls being served have
// been answered and all that was queued for peers has been taken in by them, or
// until ctx ends. Call it before Close for a stop that cuts off no answer: the
// last bytes of one may still be on their way to the writer when the machine
// has nothing left to do.
func (t *Transport) Shutdown(ctx context.Context) {
	t.takeLeave(ctx)
	select {
	case <-t.idle():
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	var finishing sync.WaitGroup
	for _, c := range t.connections() {
		finishing.Go(func() { c.finish(ctx) })
	}
	finishing.Wait()
}

func (t *Transport) connections() []*connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*connection
	for c := range t.accepted {
		all = append(all, c)
	}
	for c := range t.outbound {
		all = append(all, c)
	}
	return all
}

func (t *Transport) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.wait.Go(func() { t.serve(c) })
	}
}

// serve runs an accepted connection.
func (t *Transport) serve(n net.Conn) {
	release := t.closeAtEnd(n)
	c, reader, err := t.welcome(n)
	release()
	if err != nil {
		n.Close()
		t.rejected(n.RemoteAddr().String(), err)
		return
	}
	t.mu.Lock()
	t.accepted[c] = struct{}{}
	t.mu.Unlock()
	defer func() {
		c.close()
		t.mu.Lock()
		delete(t.accepted, c)
		t.mu.Unlock()
		t.handler.PeerLost(c.remote)
	}()
	select {
	case <-t.ending.Done():
		return
	default:
	}
	t.handler.PeerConnected(c.remote)
	t.wait.Go(c.write)
	t.read(c, reader)
}

// closeAtEnd has a connection whose peer has not said hello yet end with the
// transport, until the function that it returns is called.
func (t *Transport) closeAtEnd(n net.Conn) (release func()) {
	stop := context.AfterFunc(t.ending, func() { n.Close() })
	return func() { stop() }
}

func (t *Transport) rejected(address string, err error) {
	var invalid *FrameError
	if errors.As(err, &invalid) {
		t.handler.FrameRejected(address, err)
	}
}

// read runs until the connection breaks.
func (t *Transport) read(c *connection, reader *bufio.Reader) {
	frames := newFrameReader(reader)
	for {
		f, err := frames.read()
		if err == nil {
			err = t.take(c, f)
		}
		if err != nil {
			t.rejected(c.net.RemoteAddr().String(), err)
			return
		}
	}
}

func (t *Transport) take(c *connection, f frame) error {
	switch f.Kind {
	case framePing:
		var p probe
		if err := decode(f.Payload, &p); err != nil {
			return err
		}
		c.trySend(framePong, f.Payload)
		return nil
	case framePong:
		return c.pong(f)
	case frameGoodbye:
		c.takeGoodbye()
		return nil
	case frameNoMoreCalls:
		c.takeNoMoreCalls()
		return nil
	case frameMessage:
		c.heard.Store(true)
		m, err := decodeMessage(f.Payload)
		if err != nil {
			return err
		}
		t.handler.ServeMessage(c.remote, m, c.age(f))
		return nil
	case frameCall:
		c.heard.Store(true)
		return t.takeCall(c, f)
	case frameAnswer, frameWhole, frameBody, frameCredit, frameEnd, frameReset:
		return c.streamFrame(f)
	default:
		return &FrameError{Reason: "unexpected frame " + string(f.Kind)}
	}
}

func (t *Transport) takeCall(c *connection, f frame) error {
	var head message.Call
	if err := decode(f.Payload, &head); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s, err := c.acceptStream(f.Stream, cancel)
	if err != nil {
		cancel()
		return err
	}
	if s == nil {
		cancel()
		return t.refuseCall(c, f.Stream)
	}
	call := IncomingCall{From: c.remote, Head: head, Age: c.age(f), Body: s}
	t.countServing(1)
	t.calls.Go(func() {
		defer t.countServing(-1)
		defer cancel()
		w := &AnswerWriter{stream: s, ctx: ctx}
		t.handler.ServeCall(ctx, call, w)
		w.finish()
	})
	return nil
}

func (t *Transport) countServing(change int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serving += change
	if t.serving == 0 && t.whenIdle != nil {
		close(t.whenIdle)
		t.whenIdle = nil
	}
}

// idle returns a channel that is closed once no call is being served.
func (t *Transport) idle() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.whenIdle == nil {
		t.whenIdle = make(chan struct{})
	}
	idle := t.whenIdle
	if t.serving == 0 {
		close(idle)
		t.whenIdle = nil
	}
	return idle
}

// refuseCall answers a call beyond the bound on open calls. It is sent by the
// reader, which must not wait: a peer that fills the ring as well loses the
// connection.
func (t *Transport) refuseCall(c *connection, id uint32) error {
	refusal := coltsfootward.NewRefusal(coltsfootward.RefusalOverloaded, "too many calls are open on one connection").
		WithRetryAfter(time.Second)
	head, err := encode(&message.Response{Refusal: &refusal})
	if err != nil {
		return err
	}
	end, err := encode(&message.ResponseEnd{})
	if err != nil {
		return err
	}
	if !c.trySendStream(frameAnswer, id, head) || !c.trySendStream(frameEnd, id, end) {
		return &FrameError{Reason: "calls beyond the bound on open calls"}
	}
	return nil
}

// maintain probes the clocks of those who dialled this node and closes idle
// connections that it dialled itself.
func (t *Transport) maintain() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ending.Done():
			return
		case <-ticker.C:
		}
		t.probeAll()
		t.closeIdle()
	}
}

// probeAll probes those whose clock has been gone by since the last probe. The
// others' is known well enough for their next frame, and a probe of each of hundreds
// of silent connections would be most of what a node does.
func (t *Transport) probeAll() {
	payload, err := encode(&probe{Probe: int64(t.clock().Expiry)})
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.accepted {
		if c.heard.Swap(false) {
			c.trySend(framePing, payload)
		}
	}
}

func (t *Transport) closeIdle() {
	for _, c := range t.connections() {
		t.mu.Lock()
		_, inbound := t.accepted[c]
		t.mu.Unlock()
		if !inbound && c.idle() > idleTimeout {
			c.close()
		}
	}
}

// start runs f in a goroutine that Close waits for. It returns false once the
// transport is closed: the loop may send until it is closed itself, and a
// goroutine begun while Close waits would escape it.
func (t *Transport) start(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.wait.Go(f)
	return true
}
