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

// wait is how long tests wait for what must come.
const wait = 30 * time.Second

// handler serves calls by a function and keeps what was rejected.
type handler struct {
	serve func(context.Context, peer.IncomingCall, *peer.AnswerWriter)

	mu       sync.Mutex
	rejected []error
	served   map[coltsfootward.RequestID]int
}

func (h *handler) ServeCall(ctx context.Context, call peer.IncomingCall, w *peer.AnswerWriter) {
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

// breakable is a listener whose connections a test can stall and break.
type breakable struct {
	net.Listener
	mu      sync.Mutex
	conns   []net.Conn
	stalled chan struct{}
}

func (l *breakable) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return &stalling{TCPConn: c.(*net.TCPConn), listener: l}, nil
}

// stall makes reads wait until the returned function is called.
func (l *breakable) stall() func() {
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

func (l *breakable) breakAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.Close()
	}
	l.conns = nil
}

type stalling struct {
	*net.TCPConn
	listener *breakable
}

func (c *stalling) Read(p []byte) (int, error) {
	c.listener.mu.Lock()
	stalled := c.listener.stalled
	c.listener.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
	return c.TCPConn.Read(p)
}

// pair is a transport that calls and one that serves.
type pair struct {
	client, server *peer.Transport
	instance       coltsfootward.Instance
	listener       *breakable
	handler        *handler
}

func newPair(t testing.TB, serve func(context.Context, peer.IncomingCall, *peer.AnswerWriter)) *pair {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	p := &pair{listener: &breakable{Listener: l}, handler: &handler{serve: serve}}
	p.instance = coltsfootward.Instance{ID: "server", Address: l.Addr().String()}
	p.server = peer.NewTransport(p.instance, loop.NewClock().Now, p.handler, p.listener)
	p.client = peer.NewTransport(coltsfootward.Instance{ID: "client"}, loop.NewClock().Now, &handler{}, nil)
	t.Cleanup(func() {
		p.client.Close()
		p.server.Close()
	})
	return p
}

// body is the answer that a path stands for; its length varies up to several windows.
func body(path string) []byte {
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

// answerBody serves the body that the path stands for, after a random time,
// and echoes the request's body in front.
func answerBody(ctx context.Context, call peer.IncomingCall, w *peer.AnswerWriter) {
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
	if _, err := w.Write(append(sent, body(call.Head.Path)...)); err != nil {
		return
	}
	_ = w.End(message.ResponseEnd{Attempts: 1})
}

// Hundreds of calls share one connection. Answers come late and out of order,
// callers leave half-way, the connection breaks and is made anew. A caller that
// got another's answer, or a truncated one as whole, would act on a wrong quote.
func TestManyCallsGetTheirOwnWholeAnswers(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	p := newPair(t, answerBody)
	defer p.server.Close()
	defer p.client.Close()
	var whole, broken atomic.Int64
	var group sync.WaitGroup
	done := make(chan struct{})
	for caller := range 24 {
		group.Go(func() {
			for i := range 40 {
				err := p.check(fmt.Sprintf("/%d/%d", caller, i), rand.IntN(4) == 0)
				if err != nil && !errors.Is(err, errBroken) {
					t.Error(err)
				}
				if err != nil {
					broken.Add(1)
					continue
				}
				whole.Add(1)
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
				p.listener.breakAll()
			}
		}
	})
	group.Wait()
	close(done)
	breaker.Wait()
	if whole.Load() == 0 {
		t.Error("no answer was whole")
	}
	t.Logf("%d answers whole, %d broke off", whole.Load(), broken.Load())
}

var errBroken = errors.New("call broke off")

// check makes one call and compares its answer, if whole, with its own.
func (p *pair) check(path string, leave bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	sent := []byte(strings.Repeat(path, 1+len(path)*rand.IntN(400)))
	if leave {
		time.AfterFunc(rand.N(3*time.Millisecond), cancel)
	}
	answer, err := p.client.Call(ctx, p.instance, message.Call{Path: path}, sent)
	if err != nil {
		return errBroken
	}
	defer answer.Close()
	got, err := io.ReadAll(answer)
	if err != nil {
		return errBroken
	}
	if want := append(sent, body(path)...); !bytes.Equal(got, want) {
		return fmt.Errorf("%s: got a whole answer of %d bytes that is not its own, want %d bytes", path, len(got), len(want))
	}
	return nil
}

// A call waits behind others for a peer that does not read, and its caller
// gives up. Told "not sent", the entry node tries elsewhere or says "not run";
// then the peer reads on and the call runs after all.
func TestCallGivenUpInTheRingNeverLeaves(t *testing.T) {
	p := newPair(t, answerBody)
	if err := p.check("/first", false); err != nil {
		t.Fatalf("first call: %v", err)
	}
	release := p.listener.stall()
	big := &message.ConfigurationChanges{}
	for range 3000 {
		big.Changes = append(big.Changes, coltsfootward.Change{Service: &coltsfootward.Service{Name: coltsfootward.ServiceName(strings.Repeat("s", 200))}})
	}
	for range 40 { // more than the sockets' buffers hold
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
			t.Fatalf("call %d: the connection's buffers took it; send more before", i)
		}
	}
	release()
	if err := p.check("/last", false); err != nil {
		t.Fatalf("last call: %v", err)
	}
	for i := range 20 {
		if got := p.handler.count(coltsfootward.RequestID(fmt.Sprint(i))); got != 0 {
			t.Errorf("call %d was given up unsent and ran %d times", i, got)
		}
	}
}

// A caller on a bad line reads a large download slowly. Were the connection's
// reader to wait for it, every other call to that peer would stand still.
func TestSlowReaderStallsNoOtherCall(t *testing.T) {
	p := newPair(t, func(ctx context.Context, call peer.IncomingCall, w *peer.AnswerWriter) {
		if call.Head.Path != "/endless" {
			answerBody(ctx, call, w)
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
			t.Fatalf("call %d beside slow readers: %v", i, err)
		}
	}
}

// A node leaves right after the last answer was queued for its connection. The
// caller that waits for the end of a download must still get it whole.
func TestShutdownDeliversLastAnswer(t *testing.T) {
	want := bytes.Repeat([]byte("x"), 200<<10) // fits into the window unread
	for range 20 {
		queued := make(chan struct{})
		p := newPair(t, func(_ context.Context, _ peer.IncomingCall, w *peer.AnswerWriter) {
			_ = w.Head(message.Response{Status: 200})
			_, _ = w.Write(want)
			_ = w.End(message.ResponseEnd{Attempts: 1})
			close(queued)
		})
		answer, err := p.client.Call(context.Background(), p.instance, message.Call{Path: "/last"}, nil)
		if err != nil {
			t.Fatalf("call: %v", err)
		}
		<-queued
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		p.server.Shutdown(ctx)
		cancel()
		p.server.Close()
		got, err := io.ReadAll(answer)
		if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("got %d bytes and error %v, want the whole answer of %d bytes", len(got), err, len(want))
		}
		answer.Close()
	}
}
