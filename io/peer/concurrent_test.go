package peer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/io/peer"
)

// echoHandler responds to each call with the call's path.
type echoHandler struct{ t *testing.T }

func (e *echoHandler) ServeCall(_ context.Context, call peer.IncomingCall, w *peer.ResponseWriter) {
	if _, err := io.Copy(io.Discard, call.Body); err != nil {
		return
	}
	if w.Head(message.Response{Status: 200}) != nil {
		return
	}
	if _, err := io.WriteString(w, call.Head.Path); err == nil {
		_ = w.End(message.ResponseEnd{}) // without an end, the caller sees a truncated response
	}
}

func (e *echoHandler) ServeMessage(coltsfootward.Instance, message.Message, time.Duration) {}
func (e *echoHandler) PeerConnected(coltsfootward.Instance)                                {}
func (e *echoHandler) PeerLost(coltsfootward.Instance)                                     {}
func (e *echoHandler) FrameRejected(address string, err error) {
	e.t.Errorf("got a rejected frame from %s: %v", address, err)
}

func newTransport(t *testing.T, id coltsfootward.InstanceID) (*peer.Transport, coltsfootward.Instance) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := coltsfootward.Instance{ID: id, Domain: "north", Address: listener.Addr().String(), Incarnation: 1}
	start := time.Now()
	transport := peer.NewTransport(self, func() coltsfootward.Instant { return coltsfootward.At(time.Since(start)) }, &echoHandler{t}, listener)
	t.Cleanup(transport.Close)
	return transport, self
}

// Concurrent callers received "502 connection_lost" in groups: two calls were given their
// IDs in one order and queued their frames in the other, so the peer rejected the lower
// ID as used before and closed the connection. Every call on the connection then ended
// with an unknown outcome.
func TestConcurrentCallsKeepTheConnection(t *testing.T) {
	north, _ := newTransport(t, "north-1")
	_, south := newTransport(t, "south-1")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var wait sync.WaitGroup
	for caller := range 64 {
		wait.Go(func() {
			for i := range 50 {
				path := fmt.Sprintf("/%d/%d", caller, i)
				response, err := north.Call(ctx, south, message.Call{Path: path}, nil)
				if err != nil {
					t.Errorf("call %s: got %v, want a response", path, err)
					return
				}
				body, err := io.ReadAll(response)
				response.Close()
				if err != nil || string(body) != path {
					t.Errorf("call %s: got body %q and %v, want the path and no error", path, body, err)
					return
				}
			}
		})
	}
	wait.Wait()
}
