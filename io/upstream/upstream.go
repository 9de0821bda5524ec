package upstream

import (
	"bytes"
	"context"
	"errors"
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
)

// Server sends dispatched calls to the local backend server. Create it with
// New. It is safe for concurrent use.
type Server struct {
	loop  *loop.Loop
	clock *loop.Clock

	mu        sync.Mutex
	address   string
	transport *http.Transport
}

// New returns a server that knows no backend server yet.
func New(l *loop.Loop, clock *loop.Clock) *Server {
	return &Server{loop: l, clock: clock}
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
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
	}
}

func (s *Server) target() (string, *http.Transport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address, s.transport
}

// ServeCall takes one call from a peer to its end.
func (s *Server) ServeCall(ctx context.Context, incoming peer.IncomingCall, w *peer.AnswerWriter) {
	body, err := io.ReadAll(incoming.Body)
	if err != nil {
		return // the caller left while sending; nothing has run
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
	server *Server
	call   *loop.Call
	action node.Dispatch
	head   message.Call
	body   []byte
	writer *peer.AnswerWriter
	// touched is set before the first byte may reach the backend server.
	touched atomic.Bool
	timedUp atomic.Bool
}

// run reports whether the call is over. If not, the machine's refusal follows.
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
	d.server.loop.Post(node.DispatchHeaded{Call: d.call.ID, Status: response.StatusCode})
	if !d.passOn(response, cancel) {
		d.ended(node.DispatchCancelled)
		return true
	}
	return true
}

// ended reports the end and whether no refusal follows it.
func (d *dispatch) ended(kind node.DispatchKind) bool {
	d.server.loop.Post(node.DispatchEnded{Call: d.call.ID, Kind: kind})
	return kind == node.DispatchCancelled || kind == node.DispatchAnswered
}

func (d *dispatch) failedKind(ctx context.Context) node.DispatchKind {
	switch {
	case !d.touched.Load():
		return node.DispatchUnsent
	case d.timedUp.Load():
		return node.DispatchTimeout
	case ctx.Err() != nil:
		return node.DispatchCancelled
	default:
		return node.DispatchFailed
	}
}

var errAdmissionOver = errors.New("upstream: admission ended before the request was sent: it did not run")

func (d *dispatch) send(ctx context.Context) (*http.Response, error) {
	address, transport := d.server.target()
	if transport == nil {
		return nil, errors.New("upstream: no backend server has announced itself")
	}
	// From the moment a connection is handed out, bytes may be on their way;
	// only before that is "not run" true.
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { d.touched.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, d.head.Method, "http://"+address+d.head.Path, nil)
	if err != nil {
		return nil, err
	}
	d.fill(request)
	// The node may have been paused since the machine decided: the admission
	// is checked once more with nothing between the check and the send.
	if d.action.StartBy != 0 && d.server.clock.Now().Expiry >= d.action.StartBy {
		return nil, errAdmissionOver
	}
	return transport.RoundTrip(request)
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
	if len(d.body) > 0 || d.action.Unrepeatable {
		request.Body = onceBody{bytes.NewReader(d.body)}
	}
}

// onceBody has no way to be read again. net/http sends a request again by
// itself, on a connection that broke, if its body can be had again and it is a
// GET or carries an Idempotency-Key: an unrepeatable request would run twice
// while the node has counted one attempt. A body that cannot be had again
// rules that out.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// passOn streams the answer to the peer and reports whether it was whole.
func (d *dispatch) passOn(response *http.Response, cancel context.CancelFunc) bool {
	var load message.Load
	d.server.loop.Inspect(func(n *node.Node) { load = n.LoadFor(d.call.ID) })
	head := message.Answer{Status: response.StatusCode, Header: caller.AnswerFields(response.Header), Load: load}
	if d.writer.Head(head) != nil {
		return false
	}
	stall := time.AfterFunc(stallTimeout, cancel)
	defer stall.Stop()
	buffer := make([]byte, copyBuffer)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			stall.Reset(stallTimeout)
			if _, failed := d.writer.Write(buffer[:n]); failed != nil {
				return false
			}
		}
		if errors.Is(err, io.EOF) {
			return d.end()
		}
		if err != nil {
			return false
		}
	}
}

func (d *dispatch) end() bool {
	attempts := -1
	d.server.loop.Inspect(func(n *node.Node) { attempts = n.AttemptsUsed(d.call.ID) })
	d.ended(node.DispatchAnswered)
	return d.writer.End(message.End{Attempts: attempts}) == nil
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
