package upstream

import (
	"bytes"
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
	copyBuffer = 32 << 10
	// stallTimeout ends an answer whose body makes no progress.
	stallTimeout = 30 * time.Second
	// DefaultMaximumBody is the default of Options.MaximumBody, in bytes.
	DefaultMaximumBody = 64 << 20
)

// copyBuffers keeps buffers for reuse: one of its own for each call was a third
// of all memory that a node allocated.
var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// Options are a server's settings. The zero value works.
type Options struct {
	// MaximumBody bounds the body of a call that a peer sends, in bytes. It
	// guards this node's memory against a broken peer, so it is larger than
	// what callers may send. Zero means DefaultMaximumBody.
	MaximumBody int64
	// Routed, if not nil, has the backend server spoken to in the header fields
	// that it names.
	Routed *wire.Fields
}

// Server sends dispatched calls to the local backend server. Create it with
// New. It is safe for concurrent use.
type Server struct {
	loop    *loop.Loop
	clock   *loop.Clock
	options Options

	mu      sync.Mutex
	backend string
	pool    *pool
}

// New returns a server that knows no backend server yet, with default options.
func New(l *loop.Loop, clock *loop.Clock) *Server {
	return NewWithOptions(l, clock, Options{})
}

// NewWithOptions returns a server that knows no backend server yet.
func NewWithOptions(l *loop.Loop, clock *loop.Clock, options Options) *Server {
	if options.MaximumBody <= 0 {
		options.MaximumBody = DefaultMaximumBody
	}
	return &Server{loop: l, clock: clock, options: options}
}

// Use directs requests to the backend server at address, an IP number and
// port, over at most connections connections. Requests under way go on.
func (s *Server) Use(address string, connections int) {
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

// UseBackend directs requests to the backend server of that name. Connections
// to an earlier one at the same address are not used again.
func (s *Server) UseBackend(name, address string, connections int) {
	s.mu.Lock()
	if s.backend != name && s.pool != nil {
		s.pool.close()
		s.pool = nil
	}
	s.backend = name
	s.mu.Unlock()
	s.Use(address, connections)
}

// target returns the backend server's name, where it has one, and connections.
func (s *Server) target() (string, *pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backend, s.pool
}

// ServeCall takes one call from a peer to its end.
func (s *Server) ServeCall(ctx context.Context, incoming peer.IncomingCall, w *peer.AnswerWriter) {
	body, err := wire.ReadBody(incoming.Body, s.options.MaximumBody+1)
	if err != nil {
		return // the caller left while sending; nothing has run
	}
	if int64(len(body)) > s.options.MaximumBody {
		writeRefusal(w, node.Refuse{Refusal: coltsfootward.NewRefusal(coltsfootward.RefusalTooLarge,
			fmt.Sprintf("the body is larger than %d bytes", s.options.MaximumBody))})
		return
	}
	call := s.loop.Open()
	defer call.Close()
	s.loop.Post(node.PeerCallArrived{Call: call.ID, From: incoming.From.ID, Head: incoming.Head, Age: incoming.Age})
	left := ctx.Done()
	var running *dispatch
	for {
		select {
		case action := <-call.Actions:
			switch a := action.(type) {
			case node.Refuse:
				writeRefusal(w, a)
				return
			case node.Dispatch:
				running = &dispatch{server: s, call: call, action: a, head: incoming.Head, body: body, writer: w}
				if running.run(ctx) {
					return
				}
				left = nil
			case node.EndResponse:
				running.end(a)
				return
			}
		case <-left:
			s.loop.Post(node.CallerLeft{Call: call.ID})
			left = nil
		case <-s.loop.Done():
			return
		}
	}
}

func writeRefusal(w *peer.AnswerWriter, a node.Refuse) {
	head := message.Response{Refusal: &a.Refusal, Load: a.Load}
	_ = w.Whole(head, nil, message.ResponseEnd{Attempts: a.Attempts}) // the peer may have left
}

// dispatch is one request to the backend server.
type dispatch struct {
	server  *Server
	call    *loop.Call
	action  node.Dispatch
	head    message.Call
	body    []byte
	writer  *peer.AnswerWriter
	gate    gate
	timedUp atomic.Bool
	link    *link
	pool    *pool
	// stop ends the watch that closes the connection with the context.
	stop func() bool
	// whole is the answer if it is at hand as a whole, to go with its end.
	whole *wholeAnswer
	// failed is set if the answer says that the backend server failed.
	failed bool
	// keep is set once the connection may carry another request.
	keep  bool
	lives time.Duration
}

// run reports whether the call is over. If not, the machine's refusal or the
// end of the answer follows.
func (d *dispatch) run(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := d.server.clock.Now().Expiry
	deadline := time.AfterFunc(d.action.Deadline-now, func() {
		d.timedUp.Store(true)
		cancel()
	})
	defer deadline.Stop()
	defer d.release()
	response, err := d.send(ctx)
	if err != nil {
		return d.ended(d.failedKind(ctx, err))
	}
	if d.server.options.Routed != nil {
		if d.rejected(response) {
			return d.ended(node.DispatchRejected)
		}
		if !d.server.options.Routed.Answers(string(d.head.Request), response.StatusCode, response.Header) {
			return d.ended(node.DispatchFailed)
		}
	}
	if !deadline.Stop() {
		return d.ended(node.DispatchTimeout)
	}
	return d.ended(d.passOn(ctx, response, cancel))
}

// release gives the connection back.
func (d *dispatch) release() {
	if d.link != nil {
		d.pool.put(d.link, d.keep, d.lives)
		d.link = nil
	}
}

// rejected reports whether the backend server says that it did not run the
// request. One at which another server listens by now says so with status 421.
func (d *dispatch) rejected(response *http.Response) bool {
	misdirected := response.StatusCode == http.StatusMisdirectedRequest
	if misdirected {
		d.server.loop.Post(node.BackendLost{})
	}
	return misdirected || response.Header.Get(d.server.options.Routed.NotRun) != ""
}

// ended reports the end and whether no action of the machine follows it.
func (d *dispatch) ended(kind node.DispatchKind) bool {
	d.server.loop.Post(node.DispatchEnded{Call: d.call.ID, Kind: kind, Failed: d.failed})
	return kind == node.DispatchCancelled || kind == node.DispatchTruncated
}

func (d *dispatch) failedKind(ctx context.Context, err error) node.DispatchKind {
	if errors.Is(err, syscall.ECONNREFUSED) {
		d.server.loop.Post(node.BackendLost{})
	}
	switch {
	case d.gate.withdraw():
		return node.DispatchUnsent
	case d.timedUp.Load():
		return node.DispatchTimeout
	case ctx.Err() != nil:
		return node.DispatchCancelled
	default:
		return node.DispatchFailed
	}
}

func (d *dispatch) send(ctx context.Context) (*http.Response, error) {
	backend, connections := d.server.target()
	if connections == nil {
		return nil, errors.New("upstream: no backend server has announced itself")
	}
	most := time.Duration(idleTimeout)
	if d.action.Unrepeatable {
		most = unrepeatableIdle
	}
	l, err := connections.take(ctx, most)
	if err != nil {
		return nil, err
	}
	d.link, d.pool = l, connections
	// The node may have been paused, or the request have waited for a
	// connection, since the machine decided: the admission is checked once more
	// with nothing between the check and the first byte.
	d.gate.admitted = func() bool {
		late := d.action.StartBy != 0 && d.server.clock.Now().Expiry >= d.action.StartBy
		return !late && ctx.Err() == nil
	}
	l.conn.gate.Store(&d.gate)
	stop := context.AfterFunc(ctx, func() { l.conn.Close() })
	d.stop = stop
	request := &http.Request{
		Method: d.head.Method, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:    &url.URL{Scheme: "http", Host: connections.address, Opaque: d.head.Path},
		Host:   d.head.Host,
		Header: make(http.Header, len(d.head.Header)+4),
	}
	if request.Host == "" {
		request.Host = connections.address
	}
	d.fill(request, backend)
	response, err := l.exchange(request)
	if err != nil {
		return nil, err
	}
	return response, d.checkHead(response)
}

func (d *dispatch) fill(request *http.Request, backend string) {
	for name, values := range d.head.Header {
		request.Header[name] = values
	}
	// Without this line the library names itself to the backend server.
	if _, ok := request.Header["User-Agent"]; !ok {
		request.Header["User-Agent"] = []string{""}
	}
	left := d.action.Deadline - d.server.clock.Now().Expiry
	deadline := strconv.FormatInt(max(left.Milliseconds(), 1), 10)
	if fields := d.server.options.Routed; fields != nil {
		request.Header[fields.Request] = []string{string(d.head.Request)}
		request.Header[fields.Caller] = []string{string(d.head.Caller)}
		request.Header[fields.Deadline] = []string{deadline}
		if backend != "" {
			request.Header[fields.Expected] = []string{backend}
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
	request.ContentLength = int64(len(d.body))
	if len(d.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(d.body))
	}
}
