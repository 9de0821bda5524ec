package peer_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/io/peer"
)

func helloFrame(version int) []byte {
	hello := peer.Hello{Version: version, Instance: coltsfootward.Instance{ID: "stranger"}}
	return peer.EncodeFrame(peer.NewFrame("hello", 0, peer.Encode(&hello)))
}

func callFrame(id uint32) []byte {
	return peer.EncodeFrame(peer.NewFrame("call", id, peer.Encode(&message.Call{Path: "/hold"})))
}

func bodyFrames(id uint32, count int) []byte {
	var all []byte
	for range count {
		all = append(all, peer.EncodeFrame(peer.NewFrame("body", id, []byte("chunk")))...)
	}
	return all
}

func oversizedLength() []byte {
	var length [4]byte
	binary.BigEndian.PutUint32(length[:], peer.MaximumFrameSize+1)
	return length[:]
}

// A faulty or hostile program connects to a node's port for peers. The node must reject
// the bytes, close that connection, and keep all other connections.
func TestHostileBytesCloseOnlyTheirConnection(t *testing.T) {
	end := peer.EncodeFrame(peer.NewFrame("end", 1, peer.Encode(&message.ResponseEnd{})))
	validHello := helloFrame(peer.ProtocolVersion)
	for _, test := range []struct {
		name string
		sent [][]byte
	}{
		{"no frame at all", [][]byte{[]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")}},
		{"length beyond the limit", [][]byte{oversizedLength()}},
		{"other version", [][]byte{helloFrame(peer.ProtocolVersion + 1)}},
		{"call before the hello", [][]byte{callFrame(1)}},
		{"undecodable frame", [][]byte{validHello, {0, 0, 0, 3, 0xc1, 0xc1, 0xc1}}},
		{"oversized frame after the hello", [][]byte{validHello, oversizedLength()}},
		{"call ID used twice", [][]byte{validHello, callFrame(1), callFrame(1)}},
		{"undecodable call", [][]byte{validHello, peer.EncodeFrame(peer.NewFrame("call", 1, []byte{0xc1}))}},
		{"body beyond its window", [][]byte{validHello, callFrame(1), bodyFrames(1, peer.WindowChunks+1)}},
		{"credit beyond the window", [][]byte{validHello, callFrame(1), peer.EncodeFrame(peer.NewFrame("credit", 1, nil))}},
		{"body after its end", [][]byte{validHello, callFrame(1), end, bodyFrames(1, 1)}},
		{"two ends", [][]byte{validHello, callFrame(1), end, end}},
		{"unknown message", [][]byte{validHello, peer.EncodeFrame(peer.NewFrame("message", 0, peer.Encode(map[string]any{"kind": "unheard_of"})))}},
		{"unknown kind within a call", [][]byte{validHello, callFrame(1), peer.EncodeFrame(peer.NewFrame("unheard_of", 1, nil))}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newPair(t, holdOrRespond)
			c := dialRaw(t, p)
			for _, bytes := range test.sent {
				if _, err := c.Write(bytes); err != nil {
					break // the node has closed the connection
				}
			}
			if err := c.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, c); errors.Is(err, context.DeadlineExceeded) {
				t.Fatal("the connection was not closed")
			}
			waitUntil(t, func() bool { return len(p.handler.rejections()) > 0 })
			var invalid *peer.FrameError
			if err := p.handler.rejections()[0]; !errors.As(err, &invalid) {
				t.Errorf("got %v, want a *peer.FrameError", err)
			}
			if err := p.check("/other", false); err != nil {
				t.Errorf("call on another connection: %v", err)
			}
		})
	}
}

// A peer keeps opening calls and never finishes one. Each call beyond the limit must be
// refused. The calls within the limit and those of other peers must continue.
func TestTooManyOpenCallsAreRefused(t *testing.T) {
	p := newPair(t, holdOrRespond)
	c := dialRaw(t, p)
	if _, err := c.Write(helloFrame(peer.ProtocolVersion)); err != nil {
		t.Fatal(err)
	}
	for id := range uint32(peer.MaximumStreams + 1) {
		if _, err := c.Write(callFrame(id + 1)); err != nil {
			t.Fatal(err)
		}
	}
	reader := bufio.NewReader(c)
	for {
		f, err := peer.ReadFrame(reader)
		if err != nil {
			t.Fatalf("read: %v", err)
		}
		if f.Kind != peer.FrameAnswer {
			continue
		}
		var head message.Response
		if err := peer.Decode(f.Payload, &head); err != nil {
			t.Fatal(err)
		}
		if f.Stream != peer.MaximumStreams+1 || head.Refusal == nil || head.Refusal.Execution != coltsfootward.ExecutionNotRun {
			t.Errorf("got response %+v for call %d, want a refusal for call %d", head, f.Stream, peer.MaximumStreams+1)
		}
		break
	}
	if err := p.check("/other", false); err != nil {
		t.Errorf("call on another connection: %v", err)
	}
}

// holdOrRespond keeps calls to /hold open until they are aborted or their connection
// fails, and responds to all others.
func holdOrRespond(ctx context.Context, call peer.IncomingCall, w *peer.ResponseWriter) {
	if call.Head.Path == "/hold" {
		<-ctx.Done()
		return
	}
	respondWithBody(ctx, call, w)
}

func dialRaw(t *testing.T, p *transportPair) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.instance.Address)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting")
		}
	}
}

func FuzzReadFrame(f *testing.F) {
	f.Add(helloFrame(1))
	f.Add(callFrame(7))
	f.Add(oversizedLength())
	f.Add([]byte{0, 0, 0, 5, 0x94, 0xa5})
	f.Add([]byte{0, 0, 0, 6, 0xdd, 0xff, 0xff, 0xff, 0xff, 0xc0})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := peer.ReadFrame(bytes.NewReader(data))
		checkFrameError(t, err)
		_, err = peer.ReadHello(bytes.NewReader(data))
		checkFrameError(t, err)
	})
}

func FuzzDecodeMessage(f *testing.F) {
	for _, m := range []message.Message{
		&message.Announcement{Service: "quotes", Slots: 4},
		&message.ConfigurationDigest{Revision: 3},
		&message.ConfigurationChanges{Changes: []coltsfootward.Change{{Revision: 1}}},
	} {
		data, err := peer.EncodeMessage(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add(peer.Encode(&message.Call{Path: "/", Header: map[string][]string{"A": {"b"}}}))
	f.Add([]byte("\x82\xdb\x7fni\xa7\x050")) // a string of two gigabytes, truncated
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x82, 0xa4, 'k', 'i', 'n', 'd', 0xdb, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := peer.DecodeMessage(data)
		checkFrameError(t, err)
		checkFrameError(t, peer.Decode(data, &message.Call{}))
		checkFrameError(t, peer.Decode(data, &message.Response{}))
		checkFrameError(t, peer.Decode(data, &message.ResponseEnd{}))
	})
}

// checkFrameError checks that every error on hostile bytes is a *peer.FrameError, except
// for io.EOF between two frames.
func checkFrameError(t *testing.T, err error) {
	t.Helper()
	var invalid *peer.FrameError
	if err != nil && !errors.Is(err, io.EOF) && !errors.As(err, &invalid) {
		t.Errorf("got error %v, want a *peer.FrameError", err)
	}
}
