package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/io/caller"
	"coltsfootward/io/loop"
	"coltsfootward/io/peer"
)

const (
	copyBuffer = 32 << 10
	// stallTimeout ends an answer whose body makes no progress.
	stallTimeout = 30 * time.Second
	// idleTimeout closes connections before backend servers do: a common limit
	// of theirs is 5 s. A request that meets a connection just closed by the
	// other side ends in doubt, and an order in doubt is not sent again.
	idleTimeout = 4 * time.Second
	// maximumAnswerHeader bounds the header of a backend server's answer in
	// bytes: it must fit into one frame to the entry node.
	maximumAnswerHeader = 256 << 10
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
}

// Server sends dispatched calls to the local backend server. Create it with
// New. It is safe for concurrent use.
type Server struct {
	loop    *loop.Loop
	clock   *loop.Clock
	options Options

	mu        sync.Mutex
	address   string
	transport *http.Transport
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
	if s.address == address && s.transport != nil && s.transport.MaxConnsPerHost == connections {
		return
	}
	if s.transport != nil {
		s.transport.CloseIdleConnections()
	}
	s.address = address
	s.transport = &http.Transport{
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DialContext:         dialGated,

		MaxResponseHeaderBytes: maximumAnswerHeader,
		DisableCompression:     true,
	}
}

func (s *Server) target() (string, *http.Transport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address, s.transport
}

// ServeCall takes one call from a peer to its end.
func (s *Server) ServeCall(ctx context.Context, incoming peer.IncomingCall, w *peer.AnswerWriter) {
	body, err := io.ReadAll(io.LimitReader(incoming.Body, s.options.MaximumBody+1))
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
	for {
		select {
		case action := <-call.Actions:
			switch a := action.(type) {
			case node.Refuse:
				writeRefusal(w, a)
				return
			case node.Dispatch:
				d := &dispatch{server: s, call: call, action: a, head: incoming.Head, body: body, writer: w}
				if d.run(ctx) {
					return
				}
				left = nil
			case node.EndAnswer:
				_ = w.End(message.End{Attempts: a.Attempts, Needed: a.Needed}) // the peer may have left
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
	if w.Head(message.Answer{Refusal: &a.Refusal, Load: a.Load}) != nil {
		return
	}
	_ = w.End(message.End{Attempts: a.Attempts}) // the peer may have left
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
	response, err := d.send(ctx)
	if err != nil {
		return d.ended(d.failedKind(ctx))
	}
	defer response.Body.Close()
	if !deadline.Stop() {
		return d.ended(node.DispatchTimeout)
	}
	return d.ended(d.passOn(ctx, response, cancel))
}

// ended reports the end and whether no action of the machine follows it.
func (d *dispatch) ended(kind node.DispatchKind) bool {
	d.server.loop.Post(node.DispatchEnded{Call: d.call.ID, Kind: kind})
	return kind == node.DispatchCancelled || kind == node.DispatchTruncated
}

func (d *dispatch) failedKind(ctx context.Context) node.DispatchKind {
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
	address, transport := d.server.target()
	if transport == nil {
		return nil, errors.New("upstream: no backend server has announced itself")
	}
	// The node may have been paused, or the request have waited for a
	// connection, since the machine decided: the admission is checked once more
	// with nothing between the check and the first byte.
	d.gate.admitted = func() bool {
		late := d.action.StartBy != 0 && d.server.clock.Now().Expiry >= d.action.StartBy
		return !late && ctx.Err() == nil
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		info.Conn.(*gatedConn).gate.Store(&d.gate)
	}}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, d.head.Method, "http://"+address+d.head.Path, nil)
	if err != nil {
		return nil, err
	}
	d.fill(request)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	return response, checkHead(response)
}

func (d *dispatch) fill(request *http.Request) {
	for name, values := range d.head.Header {
		request.Header[name] = values
	}
	request.Header.Set(caller.HeaderRequest, string(d.head.Request))
	request.Header.Set(caller.HeaderOrganisation, string(d.head.Organisation))
	request.Header.Set(caller.HeaderCallToken, string(d.action.Token))
	left := d.action.Deadline - d.server.clock.Now().Expiry
	request.Header.Set(caller.HeaderDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	request.ContentLength = int64(len(d.body))
	if len(d.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(d.body))
	}
}

// errUnframed says that the end of an answer's body could not be told from a
// connection that broke.
var errUnframed = errors.New("upstream: answer without Content-Length or chunks: have the backend server frame its answers")

// checkHead refuses answers that cannot be passed on whole. A body that ends
// with its connection looks whole when the backend server is killed half-way.
// An answer to an upgrade was not asked for.
func checkHead(r *http.Response) error {
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Request.Method == http.MethodHead
	if r.StatusCode < http.StatusOK || !framed {
		r.Body.Close()
		return errUnframed
	}
	return nil
}

// passOn streams the answer to the peer and reports how that ended.
func (d *dispatch) passOn(ctx context.Context, response *http.Response, cancel context.CancelFunc) node.DispatchKind {
	var load message.Load
	d.server.loop.Inspect(func(n *node.Node) { load = n.LoadFor(d.head) })
	head := message.Answer{Status: response.StatusCode, Header: caller.AnswerFields(response.Header), Load: load}
	if d.writer.Head(head) != nil {
		return node.DispatchCancelled
	}
	stall := time.AfterFunc(stallTimeout, cancel)
	defer stall.Stop()
	pooled := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(pooled)
	buffer := pooled[:]
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			stall.Reset(stallTimeout)
			if _, failed := d.writer.Write(buffer[:n]); failed != nil {
				return node.DispatchCancelled
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return node.DispatchAnswered
		case ctx.Err() != nil:
			return node.DispatchCancelled
		case err != nil:
			return node.DispatchTruncated
		}
	}
}

// Announcement is what a backend server says of itself.
type Announcement struct {
	Service coltsfootward.ServiceName `json:"service"`
	// Address is the IP number and port that it serves HTTP on.
	Address string `json:"address"`
	// Slots is how many requests it serves at once.
	Slots int `json:"slots"`
	// Connections is how many connections it accepts.
	Connections int `json:"connections"`
	// Draining is set when it takes no new work.
	Draining bool `json:"draining"`
}
