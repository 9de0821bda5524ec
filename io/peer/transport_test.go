package peer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/io/loop"
	"coltsfootward/io/peer"

	"go.uber.org/goleak"
)

// waitTimeout is the time after which a test that waits for an event fails.
const waitTimeout = 30 * time.Second

// handler serves calls by a function and records served requests and rejected frames.
type handler struct {
	serve func(context.Context, peer.IncomingCall, *peer.ResponseWriter)

	mu       sync.Mutex
	rejected []error
	served   map[coltsfootward.RequestID]int
}

func (h *handler) ServeCall(ctx context.Context, call peer.IncomingCall, w *peer.ResponseWriter) {
	h.mu.Lock()
	if h.served == nil {
		h.served = make(map[coltsfootward.RequestID]int)
	}
	h.served[call.Head.Request]++
	h.mu.Unlock()
	h.serve(ctx, call, w)
}

func (h *handler) ServeMessage(coltsfootward.Instance, message.Message, time.Duration) {}
func (h *handler) PeerConnected(coltsfootward.Instance)                                {}
func (h *handler) PeerLost(coltsfootward.Instance)                                     {}

func (h *handler) FrameRejected(_ string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rejected = append(h.rejected, err)
}

func (h *handler) count(id coltsfootward.RequestID) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.served[id]
}

func (h *handler) rejections() []error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]error(nil), h.rejected...)
}

// faultyListener is a listener whose connections a test can stall and close.
type faultyListener struct {
	net.Listener
	mu      sync.Mutex
	conns   []net.Conn
	stalled chan struct{}
}

func (l *faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return &stallingConn{TCPConn: c.(*net.TCPConn), listener: l}, nil
}

// stall blocks all reads until the returned function is called.
func (l *faultyListener) stall() func() {
	stalled := make(chan struct{})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled = stalled
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.stalled = nil
		close(stalled)
	}
}

func (l *faultyListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.Close()
	}
	l.conns = nil
}

type stallingConn struct {
	*net.TCPConn
	listener *faultyListener
}

func (c *stallingConn) Read(p []byte) (int, error) {
	c.listener.mu.Lock()
	stalled := c.listener.stalled
	c.listener.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
	return c.TCPConn.Read(p)
}

// transportPair is a client transport that sends calls and a server transport that
// serves them.
type transportPair struct {
	client, server *peer.Transport
	instance       coltsfootward.Instance
	listener       *faultyListener
	handler        *handler
}

func newPair(t testing.TB, serve func(context.Context, peer.IncomingCall, *peer.ResponseWriter)) *transportPair {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	p := &transportPair{listener: &faultyListener{Listener: l}, handler: &handler{serve: serve}}
	p.instance = coltsfootward.Instance{ID: "server", Address: l.Addr().String()}
	p.server = peer.NewTransport(p.instance, loop.NewClock().Now, p.handler, p.listener)
	p.client = peer.NewTransport(coltsfootward.Instance{ID: "client"}, loop.NewClock().Now, &handler{}, nil)
	t.Cleanup(func() {
		p.client.Close()
		p.server.Close()
	})
	return p
}

// responseBody returns the response body for a path. Its length depends on the path and
// is up to several flow-control windows.
func responseBody(path string) []byte {
	seed := uint64(len(path))
	for _, r := range path {
		seed = seed*31 + uint64(r)
	}
	size := int(seed % (600 << 10))
	if seed%3 == 0 {
		size = int(seed % 100)
	}
	return bytes.Repeat([]byte(path+"|"), size/(len(path)+1)+1)
}

// respondWithBody responds after a random time with the request's body followed by the
// responseBody of the path.
func respondWithBody(ctx context.Context, call peer.IncomingCall, w *peer.ResponseWriter) {
	sent, err := io.ReadAll(call.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(rand.N(3 * time.Millisecond)):
	case <-ctx.Done():
		return
	}
	if w.Head(message.Response{Status: 200}) != nil {
		return
	}
	if _, err := w.Write(append(sent, responseBody(call.Head.Path)...)); err != nil {
		return
	}
	_ = w.End(message.ResponseEnd{Attempts: 1})
}

// Hundreds of calls share one connection. Responses arrive late and out of order, callers
// cancel calls in the middle, and the connection fails and is dialled again. A caller
// that received the response to another call, or a truncated response as a complete
// one, would act on a wrong quote.
func TestConcurrentCallsGetTheirOwnCompleteResponses(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	p := newPair(t, respondWithBody)
	defer p.server.Close()
	defer p.client.Close()
	var complete, failed atomic.Int64
	var group sync.WaitGroup
	done := make(chan struct{})
	for caller := range 24 {
		group.Go(func() {
			for i := range 40 {
				err := p.check(fmt.Sprintf("/%d/%d", caller, i), rand.IntN(4) == 0)
				if err != nil && !errors.Is(err, errCallFailed) {
					t.Error(err)
				}
				if err != nil {
					failed.Add(1)
					continue
				}
				complete.Add(1)
			}
		})
	}
	breaker := sync.WaitGroup{}
	breaker.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
				p.listener.closeAll()
			}
		}
	})
	group.Wait()
	close(done)
	breaker.Wait()
	if complete.Load() == 0 {
		t.Error("no response was complete")
	}
	t.Logf("%d complete responses, %d failed calls", complete.Load(), failed.Load())
}

var errCallFailed = errors.New("call failed")

// check makes one call and compares the response, if complete, with the expected one. It
// returns errCallFailed if there is no complete response.
func (p *transportPair) check(path string, cancelEarly bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	sent := []byte(strings.Repeat(path, 1+len(path)*rand.IntN(400)))
	if cancelEarly {
		time.AfterFunc(rand.N(3*time.Millisecond), cancel)
	}
	response, err := p.client.Call(ctx, p.instance, message.Call{Path: path}, sent)
	if err != nil {
		return errCallFailed
	}
	defer response.Close()
	got, err := io.ReadAll(response)
	if err != nil {
		return errCallFailed
	}
	if want := append(sent, responseBody(path)...); !bytes.Equal(got, want) {
		return fmt.Errorf("%s: got a complete response of %d bytes that is not the expected one of %d bytes", path, len(got), len(want))
	}
	return nil
}

// A call is queued behind others for a peer that does not read, and its caller gives up.
// Since Call reports that the call was not sent, the entry node retries it at another
// instance or responds "not run". When the peer then resumes reading, the call must not
// be executed after all.
func TestCallWithdrawnFromQueueIsNeverSent(t *testing.T) {
	p := newPair(t, respondWithBody)
	if err := p.check("/first", false); err != nil {
		t.Fatalf("first call: %v", err)
	}
	release := p.listener.stall()
	big := &message.ConfigurationChanges{}
	for range 3000 {
		big.Changes = append(big.Changes, coltsfootward.Change{Service: &coltsfootward.Service{Name: coltsfootward.ServiceName(strings.Repeat("s", 200))}})
	}
	for range 40 { // more than the socket buffers can hold
		p.client.Send(p.instance, big)
	}
	var failed *peer.CallError
	for i := range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, err := p.client.Call(ctx, p.instance, message.Call{Request: coltsfootward.RequestID(fmt.Sprint(i)), Path: "/late"}, nil)
		cancel()
		if !errors.As(err, &failed) {
			t.Fatalf("call %d: got %v, want a *peer.CallError", i, err)
		}
		if failed.Sent {
			t.Fatalf("call %d: it was written to the socket buffers; the test must fill them with more messages first", i)
		}
	}
	release()
	if err := p.check("/last", false); err != nil {
		t.Fatalf("last call: %v", err)
	}
	for i := range 20 {
		if got := p.handler.count(coltsfootward.RequestID(fmt.Sprint(i))); got != 0 {
			t.Errorf("call %d was cancelled before it was sent and ran %d times", i, got)
		}
	}
}

// A caller with a slow network connection reads a large download slowly. If the peer
// connection's reader goroutine waited for that caller, every other call to the peer
// would stall.
func TestSlowReaderDoesNotStallOtherCalls(t *testing.T) {
	p := newPair(t, func(ctx context.Context, call peer.IncomingCall, w *peer.ResponseWriter) {
		if call.Head.Path != "/endless" {
			respondWithBody(ctx, call, w)
			return
		}
		_ = w.Head(message.Response{Status: 200})
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	})
	for range 20 {
		slow, err := p.client.Call(context.Background(), p.instance, message.Call{Path: "/endless"}, nil)
		if err != nil {
			t.Fatalf("slow call: %v", err)
		}
		defer slow.Close()
	}
	for i := range 50 {
		if err := p.check(fmt.Sprintf("/%d", i), false); err != nil {
			t.Fatalf("call %d with concurrent slow readers: %v", i, err)
		}
	}
}

// A node shuts down right after the last response was queued for its connection. The
// caller that waits for the end of a download must still receive the complete response.
func TestShutdownDeliversLastResponse(t *testing.T) {
	want := bytes.Repeat([]byte("x"), 200<<10) // fits into the flow-control window without a read
	for range 20 {
		queued := make(chan struct{})
		p := newPair(t, func(_ context.Context, _ peer.IncomingCall, w *peer.ResponseWriter) {
			_ = w.Head(message.Response{Status: 200})
			_, _ = w.Write(want)
			_ = w.End(message.ResponseEnd{Attempts: 1})
			close(queued)
		})
		response, err := p.client.Call(context.Background(), p.instance, message.Call{Path: "/last"}, nil)
		if err != nil {
			t.Fatalf("call: %v", err)
		}
		<-queued
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		p.server.Shutdown(ctx)
		cancel()
		p.server.Close()
		got, err := io.ReadAll(response)
		if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("got %d bytes and error %v, want the complete response of %d bytes", len(got), err, len(want))
		}
		response.Close()
	}
}
