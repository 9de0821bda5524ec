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
	// dialTimeout limits the time to establish a connection. A peer behind a network
	// partition does not respond at all, and the waiting request could be sent to another
	// instance instead. The limit is well above a round trip between failure domains
	// plus the retransmission of one lost packet.
	dialTimeout = 1500 * time.Millisecond
	// probeInterval is the time between two probes of a peer's clock.
	probeInterval = 10 * time.Second
	// idleTimeout is the time after which a dialled connection that is not used is
	// closed, so that a node holds connections only to the peers that it sends to.
	idleTimeout = 2 * time.Minute
	// finishTimeout limits how long a node that shuts down waits for its peers to
	// acknowledge the goodbye, and then to close their side. A partitioned peer never
	// does.
	finishTimeout = 5 * time.Second
	// writeTimeout limits a write to a peer that no longer reads.
	writeTimeout = 15 * time.Second
)

// Handler handles calls, messages and events of the connections with peers. Its methods
// are called on the connection's reader goroutine and must not block, except for
// ServeCall, which runs in a goroutine of its own.
type Handler interface {
	// ServeCall serves a call and writes the response to w. ctx is cancelled when the
	// peer aborts the call or the connection fails.
	ServeCall(ctx context.Context, call IncomingCall, w *ResponseWriter)
	// ServeMessage handles a message. age is an upper bound of the time since the peer
	// sent it.
	ServeMessage(from coltsfootward.Instance, m message.Message, age time.Duration)
	// PeerConnected and PeerLost report that a connection was established or closed,
	// whichever side dialled it.
	PeerConnected(peer coltsfootward.Instance)
	PeerLost(peer coltsfootward.Instance)
	// FrameRejected reports that the remote address sent bytes that are not a valid frame
	// or that violate the protocol.
	FrameRejected(address string, err error)
}

// IncomingCall is a call received from a peer.
type IncomingCall struct {
	From coltsfootward.Instance
	Head message.Call
	// Age is an upper bound of the time since the peer sent the call.
	Age time.Duration
	// Body is the request's body. It returns io.EOF only after the complete body.
	Body io.Reader
}

// Transport connects a node with its peers. Create it with NewTransport. It is
// safe for concurrent use.
type Transport struct {
	self       coltsfootward.Instance
	clock      func() coltsfootward.Instant
	handler    Handler
	closeOnce  sync.Once
	goroutines sync.WaitGroup
	// closing is cancelled when the transport is closed, which aborts pending dials and
	// handshakes.
	closing       context.Context
	cancelClosing context.CancelFunc
	// calls runs the goroutines that serve the calls of peers.
	calls *worker.Pool

	mu          sync.Mutex
	listener    net.Listener
	dialEntries map[coltsfootward.InstanceID]*dialEntry
	accepted    map[*connection]struct{}
	// outbound holds every connection that this node dialled, including those that were
	// replaced by a newer one to the same peer.
	outbound map[*connection]struct{}
	closed   bool
	// serving is the number of calls being served; whenIdle is closed when it reaches
	// zero. A sync.WaitGroup cannot be used because new calls may arrive while Shutdown
	// waits.
	serving  int
	whenIdle chan struct{}
}

// NewTransport returns a transport that serves peers on listener until Close. If
// listener is nil, the transport only dials.
func NewTransport(self coltsfootward.Instance, clock func() coltsfootward.Instant, handler Handler, listener net.Listener) *Transport {
	t := &Transport{
		self:        self,
		clock:       clock,
		handler:     handler,
		listener:    listener,
		dialEntries: make(map[coltsfootward.InstanceID]*dialEntry),
		accepted:    make(map[*connection]struct{}),
		outbound:    make(map[*connection]struct{}),
		calls:       worker.NewPool(),
	}
	t.closing, t.cancelClosing = context.WithCancel(context.Background())
	if listener != nil {
		t.goroutines.Go(t.acceptLoop)
	}
	t.goroutines.Go(t.maintain)
	return t
}

// Close closes the listener and all connections and waits for their goroutines.
func (t *Transport) Close() {
	t.closeOnce.Do(func() {
		t.mu.Lock()
		t.closed = true
		t.mu.Unlock()
		t.cancelClosing()
		if t.listener != nil {
			t.listener.Close()
		}
		for _, c := range t.connections() {
			c.close()
		}
	})
	t.goroutines.Wait()
	t.calls.Close()
}

// Shutdown announces the shutdown to every peer. It then waits until the calls being
// served have been answered and the peers have received everything that was queued for
// them. It returns early if ctx ends. Call it before Close for a stop that truncates no
// response: the last bytes of a response may still be in a write queue when the node's
// state machine has finished all requests.
func (t *Transport) Shutdown(ctx context.Context) {
	t.announceShutdown(ctx)
	select {
	case <-t.idle():
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	var finishing sync.WaitGroup
	for _, c := range t.connections() {
		finishing.Go(func() { c.shutdown(ctx) })
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

func (t *Transport) acceptLoop() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.goroutines.Go(func() { t.serveConnection(c) })
	}
}

// serveConnection runs an accepted connection until it closes.
func (t *Transport) serveConnection(n net.Conn) {
	release := t.closeWithTransport(n)
	c, reader, err := t.serverHandshake(n)
	release()
	if err != nil {
		n.Close()
		t.reportRejected(n.RemoteAddr().String(), err)
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
	case <-t.closing.Done():
		return
	default:
	}
	t.handler.PeerConnected(c.remote)
	t.goroutines.Go(c.writeLoop)
	t.readLoop(c, reader)
}

// closeWithTransport closes a connection when the transport closes, until release is
// called. It covers the handshake, during which the connection is not registered yet.
func (t *Transport) closeWithTransport(n net.Conn) (release func()) {
	stop := context.AfterFunc(t.closing, func() { n.Close() })
	return func() { stop() }
}

// reportRejected reports err to the handler if it is a *FrameError.
func (t *Transport) reportRejected(address string, err error) {
	var invalid *FrameError
	if errors.As(err, &invalid) {
		t.handler.FrameRejected(address, err)
	}
}

// readLoop reads and handles frames until the connection fails.
func (t *Transport) readLoop(c *connection, reader *bufio.Reader) {
	frames := newFrameReader(reader)
	for {
		f, err := frames.read()
		if err == nil {
			err = t.handleFrame(c, f)
		}
		if err != nil {
			t.reportRejected(c.net.RemoteAddr().String(), err)
			return
		}
	}
}

func (t *Transport) handleFrame(c *connection, f frame) error {
	switch f.Kind {
	case framePing:
		var p probe
		if err := decode(f.Payload, &p); err != nil {
			return err
		}
		c.trySend(framePong, f.Payload)
		return nil
	case framePong:
		return c.handlePong(f)
	case frameGoodbye:
		c.handleGoodbye()
		return nil
	case frameNoMoreCalls:
		c.handleNoMoreCalls()
		return nil
	case frameMessage:
		c.receivedSinceProbe.Store(true)
		m, err := decodeMessage(f.Payload)
		if err != nil {
			return err
		}
		t.handler.ServeMessage(c.remote, m, c.age(f))
		return nil
	case frameCall:
		c.receivedSinceProbe.Store(true)
		return t.handleCall(c, f)
	case frameAnswer, frameWhole, frameBody, frameCredit, frameEnd, frameReset:
		return c.handleStreamFrame(f)
	default:
		return &FrameError{Reason: "unexpected frame " + string(f.Kind)}
	}
}

func (t *Transport) handleCall(c *connection, f frame) error {
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
		w := &ResponseWriter{stream: s, ctx: ctx}
		t.handler.ServeCall(ctx, call, w)
		w.finish()
	})
	return nil
}

// countServing adds change to the number of calls being served.
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

// refuseCall refuses a call beyond maximumStreams. It runs on the reader goroutine,
// which must not block: if the write queue is full as well, the connection is closed.
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
		return &FrameError{Reason: "calls beyond the limit on open calls"}
	}
	return nil
}

// maintain periodically probes the clocks of the peers that dialled this node and
// closes idle connections that this node dialled.
func (t *Transport) maintain() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.closing.Done():
			return
		case <-ticker.C:
		}
		t.probeActivePeers()
		t.closeIdle()
	}
}

// probeActivePeers probes the clocks of the peers that have sent a call or message since
// the last probe. The clock offset of the others is known well enough for their next
// frame, and with hundreds of silent connections the probes would be most of a node's
// work.
func (t *Transport) probeActivePeers() {
	payload, err := encode(&probe{Probe: int64(t.clock().Expiry)})
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.accepted {
		if c.receivedSinceProbe.Swap(false) {
			c.trySend(framePing, payload)
		}
	}
}

func (t *Transport) closeIdle() {
	for _, c := range t.connections() {
		t.mu.Lock()
		_, inbound := t.accepted[c]
		t.mu.Unlock()
		if !inbound && c.idleTime() > idleTimeout {
			c.close()
		}
	}
}

// start runs f in a goroutine that Close waits for. It returns false once the
// transport is closed: the node's event loop may still call Send then, and Close would
// not wait for a goroutine that is started while it already waits.
func (t *Transport) start(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.goroutines.Go(f)
	return true
}
