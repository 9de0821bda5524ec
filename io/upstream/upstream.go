package upstream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/io/caller"
	"coltsfootward/io/loop"
	"coltsfootward/io/peer"
	"coltsfootward/io/wire"
)

const (
	copyBufferSize = 32 << 10
	// stallTimeout aborts a response after this time without progress of its body.
	stallTimeout = 30 * time.Second
	// DefaultMaximumBody is the default of Options.MaximumBody, in bytes.
	DefaultMaximumBody = 64 << 20
)

// copyBuffers is a pool of buffers for response bodies. Without it, a buffer per
// call made up a third of all memory that a node allocated.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// Options are the settings of a Server. The zero value is valid.
type Options struct {
	// MaximumBody is the maximum size in bytes of the body of a call from a peer.
	// It protects this node's memory against a faulty peer, so it is larger than
	// the limit for callers. Zero means DefaultMaximumBody.
	MaximumBody int64
	// Bodies limits the memory for the bodies of all calls; nil means that there is no
	// limit.
	Bodies *wire.Budget
	// OnBodyRefused, if not nil, is called for a call that was refused because there is
	// no memory for its body.
	OnBodyRefused func(head message.Call)
	// Routed, if not nil, gives the names of the header fields in requests to and
	// responses from the backend server of a routed deployment.
	Routed *wire.Fields
}

// Server sends dispatched calls to the local backend server. Create it with
// New. It is safe for concurrent use.
type Server struct {
	loop    *loop.Loop
	clock   *loop.Clock
	options Options

	// fields names the fields in which backend servers state their condition.
	fields wire.Fields

	mu          sync.Mutex
	backendName string
	pool        *pool
}

// New returns a server with default options. It has no backend server until SetBackend
// or SetNamedBackend is called or a backend server announces itself.
func New(l *loop.Loop, clock *loop.Clock) *Server {
	return NewWithOptions(l, clock, Options{})
}

// NewWithOptions returns a server with the given options. Like New, it has no backend
// server yet.
func NewWithOptions(l *loop.Loop, clock *loop.Clock, options Options) *Server {
	if options.MaximumBody <= 0 {
		options.MaximumBody = DefaultMaximumBody
	}
	s := &Server{loop: l, clock: clock, options: options}
	s.fields = wire.Fields{Limit: caller.HeaderServerLimit, Leaving: caller.HeaderServerLeaving}
	if options.Routed != nil {
		s.fields = *options.Routed
	}
	return s
}

// SetBackend directs requests to the backend server at address, an IP address and port,
// over the given maximum number of connections. Running requests are not affected.
func (s *Server) SetBackend(address string, connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool != nil && s.pool.address == address && cap(s.pool.slots) == connections {
		return
	}
	if s.pool != nil {
		s.pool.close()
	}
	s.pool = newPool(address, connections)
}

// SetNamedBackend is like SetBackend for a backend server with a name. Connections to an
// earlier backend server at the same address are not reused.
func (s *Server) SetNamedBackend(name, address string, connections int) {
	s.mu.Lock()
	if s.backendName != name && s.pool != nil {
		s.pool.close()
		s.pool = nil
	}
	s.backendName = name
	s.mu.Unlock()
	s.SetBackend(address, connections)
}

// target returns the backend server's name, which may be empty, and its connections,
// or nil if there is no backend server.
func (s *Server) target() (string, *pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backendName, s.pool
}

// ServeCall handles a call from a peer until its response is complete. It returns
// early if ctx or the node's event loop ends.
func (s *Server) ServeCall(ctx context.Context, incoming peer.IncomingCall, w *peer.ResponseWriter) {
	var memory *wire.Reservation
	if s.options.Bodies != nil {
		memory = s.options.Bodies.Reserve(string(incoming.Head.Organisation))
	}
	defer memory.Release()
	body, err := wire.ReadBody(incoming.Body, unknownSize, s.options.MaximumBody, memory)
	switch {
	case errors.Is(err, wire.ErrBodyTooLarge):
		s.refuseUnread(incoming, w, coltsfootward.NewRefusal(coltsfootward.RefusalTooLarge, fmt.Sprintf("the body is larger than %d bytes", s.options.MaximumBody)))
		return
	case errors.Is(err, wire.ErrNoRoom):
		if s.options.OnBodyRefused != nil {
			s.options.OnBodyRefused(incoming.Head)
		}
		s.refuseUnread(incoming, w, coltsfootward.NewRefusal(coltsfootward.RefusalOverloaded, "the node holds as many request bodies as it has memory for").
			WithRetryAfter(time.Second))
		return
	case err != nil:
		return // the entry node disconnected while sending; the request did not run
	}
	call := s.loop.Open()
	defer call.Close()
	s.loop.Post(node.PeerCallArrived{Call: call.ID, From: incoming.From.ID, Head: incoming.Head, Body: body.Sum64(), Age: incoming.Age})
	cancelled := ctx.Done()
	var current *dispatch
	for {
		select {
		case action := <-call.Actions:
			switch a := action.(type) {
			case node.Refuse:
				writeRefusal(w, a)
				return
			case node.Dispatch:
				current = &dispatch{server: s, call: call, action: a, head: incoming.Head, body: body, writer: w}
				if current.run(ctx) {
					return
				}
				cancelled = nil
			case node.EndResponse:
				current.sendEnd(a)
				return
			}
		case <-cancelled:
			s.loop.Post(node.CallCancelled{Call: call.ID})
			cancelled = nil
		case <-s.loop.Done():
			return
		}
	}
}

// unknownSize is the size of the body of a call from a peer, which does not state it.
const unknownSize = -1

// refuseUnread refuses a call whose body was not read to its end.
func (s *Server) refuseUnread(incoming peer.IncomingCall, w *peer.ResponseWriter, r coltsfootward.Refusal) {
	refuse := node.Refuse{Refusal: r}
	s.loop.Inspect(func(n *node.Node) { refuse.Load = n.LoadFor(incoming.Head) })
	writeRefusal(w, refuse)
}

func writeRefusal(w *peer.ResponseWriter, a node.Refuse) {
	head := message.Response{Refusal: &a.Refusal, Load: a.Load, RetryGranted: a.RetryGranted}
	_ = w.Respond(head, nil, message.ResponseEnd{Attempts: a.Attempts}) // the entry node may have disconnected
}

// dispatch is one request to the backend server.
type dispatch struct {
	server   *Server
	call     *loop.Call
	action   node.Dispatch
	head     message.Call
	body     wire.Body
	writer   *peer.ResponseWriter
	gate     sendGate
	timedOut atomic.Bool
	conn     *backendConn
	pool     *pool
	// stop prevents the connection from being closed when the context ends. It
	// reports false if that has happened already.
	stop func() bool
	// buffered is the complete response if it is to be sent with its ResponseEnd, else
	// nil.
	buffered *completeResponse
	// failed is set if the response has a status of 500 or more.
	failed bool
	// load is the load that the response states, read at loadAt, and unusableLoad names its
	// bad figures.
	load         coltsfootward.BackendLoad
	loadAt       time.Duration
	unusableLoad string
	// reusable is set once the connection may carry another request.
	reusable  bool
	keepAlive time.Duration
}

// run sends the request and relays the response. It reports whether the call has
// ended; if not, the state machine's Refuse or EndResponse action follows.
func (d *dispatch) run(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := d.server.clock.Now().Expiry
	deadline := time.AfterFunc(d.action.Deadline-now, func() {
		d.timedOut.Store(true)
		cancel()
	})
	defer deadline.Stop()
	defer d.release()
	response, err := d.send(ctx)
	if err != nil {
		return d.finish(d.failureKind(ctx, err))
	}
	d.readLoad(response)
	if d.server.options.Routed != nil {
		if d.rejected(response) {
			return d.finish(node.DispatchRejected)
		}
		if !d.server.options.Routed.IsResponseTo(string(d.head.Request), response.StatusCode, response.Header) {
			return d.finish(node.DispatchFailed)
		}
	}
	d.reportCondition(response)
	if !deadline.Stop() {
		return d.finish(node.DispatchTimeout)
	}
	return d.finish(d.relay(ctx, response, cancel))
}

// release returns the connection to the pool.
func (d *dispatch) release() {
	if d.conn != nil {
		d.pool.put(d.conn, d.reusable, d.keepAlive)
		d.conn = nil
	}
}

// rejected reports whether the response states that the backend server did not run
// the request. Status 421 means that another backend server now listens at the
// address.
func (d *dispatch) rejected(response *http.Response) bool {
	misdirected := response.StatusCode == http.StatusMisdirectedRequest
	if misdirected {
		d.server.loop.Post(node.BackendLost{})
		return true
	}
	rejected := response.Header.Get(d.server.options.Routed.NotRun) != ""
	if rejected {
		d.reportCondition(response)
	}
	return rejected
}

// finish reports the end of the dispatch to the state machine. It returns true if no
// further action of the state machine follows.
func (d *dispatch) finish(kind node.DispatchKind) bool {
	ended := node.DispatchEnded{Call: d.call.ID, Kind: kind, Failed: d.failed, Load: d.load, UnusableLoad: d.unusableLoad}
	if ended.Load != (coltsfootward.BackendLoad{}) {
		ended.LoadAge = d.server.clock.Now().Monotonic - d.loadAt
	}
	d.server.loop.Post(ended)
	return kind == node.DispatchCancelled || kind == node.DispatchTruncated
}

func (d *dispatch) failureKind(ctx context.Context, err error) node.DispatchKind {
	if errors.Is(err, syscall.ECONNREFUSED) {
		d.server.loop.Post(node.BackendLost{})
	}
	switch {
	case d.gate.withdraw():
		return node.DispatchUnsent
	case d.timedOut.Load():
		return node.DispatchTimeout
	case ctx.Err() != nil:
		return node.DispatchCancelled
	default:
		return node.DispatchFailed
	}
}

func (d *dispatch) send(ctx context.Context) (*http.Response, error) {
	backendName, connectionPool := d.server.target()
	if connectionPool == nil {
		return nil, errors.New("upstream: no backend server has announced itself")
	}
	maximumIdle := time.Duration(idleTimeout)
	if d.action.Unrepeatable {
		maximumIdle = unrepeatableIdleTimeout
	}
	c, err := connectionPool.get(ctx, maximumIdle)
	if err != nil {
		return nil, err
	}
	d.conn, d.pool = c, connectionPool
	// Since the state machine admitted the request, the process may have been paused,
	// or the request may have waited for a connection. The admission is therefore
	// checked once more immediately before the first byte is written.
	d.gate.admitted = func() bool {
		late := d.action.StartBy != 0 && d.server.clock.Now().Expiry >= d.action.StartBy
		return !late && ctx.Err() == nil
	}
	c.conn.gate.Store(&d.gate)
	stop := context.AfterFunc(ctx, func() { c.conn.Close() })
	d.stop = stop
	request := &http.Request{
		Method: d.head.Method, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:    &url.URL{Scheme: "http", Host: connectionPool.address, Opaque: d.head.Path},
		Host:   d.head.Host,
		Header: make(http.Header, len(d.head.Header)+4),
	}
	if request.Host == "" {
		request.Host = connectionPool.address
	}
	d.setHeader(request, backendName)
	response, err := c.roundTrip(request)
	if err != nil {
		return nil, err
	}
	return response, d.checkHead(response)
}

func (d *dispatch) setHeader(request *http.Request, backendName string) {
	for name, values := range d.head.Header {
		request.Header[name] = values
	}
	// An empty User-Agent keeps net/http from sending its own.
	if _, ok := request.Header["User-Agent"]; !ok {
		request.Header["User-Agent"] = []string{""}
	}
	remaining := cmp.Or(d.action.StatedDeadline, d.action.Deadline) - d.server.clock.Now().Expiry
	deadline := strconv.FormatInt(max(remaining.Milliseconds(), 1), 10)
	if fields := d.server.options.Routed; fields != nil {
		request.Header[fields.Request] = []string{string(d.head.Request)}
		request.Header[fields.Caller] = []string{string(d.head.Caller)}
		request.Header[fields.Deadline] = []string{deadline}
		if backendName != "" {
			request.Header[fields.Expected] = []string{backendName}
		}
		if d.head.Organisation != "" {
			request.Header[fields.Organisation] = []string{string(d.head.Organisation)}
		}
	} else {
		request.Header.Set(caller.HeaderRequest, string(d.head.Request))
		request.Header.Set(caller.HeaderOrganisation, string(d.head.Organisation))
		request.Header.Set(caller.HeaderCallToken, string(d.action.Token))
		request.Header.Set(caller.HeaderDeadline, deadline)
	}
	request.ContentLength = d.body.Size()
	if d.body.Size() > 0 {
		request.Body = io.NopCloser(d.body.Reader())
	}
}
