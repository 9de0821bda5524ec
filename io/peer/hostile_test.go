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

func oversized() []byte {
	var length [4]byte
	binary.BigEndian.PutUint32(length[:], peer.MaximumFrame+1)
	return length[:]
}

// A broken or hostile program connects to a node's port for peers. The node
// must refuse what it sends, close that connection, and lose nothing else.
func TestHostileBytesCloseOnlyTheirConnection(t *testing.T) {
	end := peer.EncodeFrame(peer.NewFrame("end", 1, peer.Encode(&message.ResponseEnd{})))
	good := helloFrame(peer.ProtocolVersion)
	for _, test := range []struct {
		name string
		sent [][]byte
	}{
		{"no frame at all", [][]byte{[]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")}},
		{"length beyond the limit", [][]byte{oversized()}},
		{"other version", [][]byte{helloFrame(peer.ProtocolVersion + 1)}},
		{"call before the hello", [][]byte{callFrame(1)}},
		{"undecodable frame", [][]byte{good, {0, 0, 0, 3, 0xc1, 0xc1, 0xc1}}},
		{"oversized frame after the hello", [][]byte{good, oversized()}},
		{"call number used twice", [][]byte{good, callFrame(1), callFrame(1)}},
		{"undecodable call", [][]byte{good, peer.EncodeFrame(peer.NewFrame("call", 1, []byte{0xc1}))}},
		{"body beyond its window", [][]byte{good, callFrame(1), bodyFrames(1, peer.WindowChunks+1)}},
		{"credit beyond the window", [][]byte{good, callFrame(1), peer.EncodeFrame(peer.NewFrame("credit", 1, nil))}},
		{"body after its end", [][]byte{good, callFrame(1), end, bodyFrames(1, 1)}},
		{"two ends", [][]byte{good, callFrame(1), end, end}},
		{"unknown message", [][]byte{good, peer.EncodeFrame(peer.NewFrame("message", 0, peer.Encode(map[string]any{"kind": "unheard_of"})))}},
		{"unknown kind within a call", [][]byte{good, callFrame(1), peer.EncodeFrame(peer.NewFrame("unheard_of", 1, nil))}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newPair(t, holdOrAnswer)
			c := dialRaw(t, p)
			for _, bytes := range test.sent {
				if _, err := c.Write(bytes); err != nil {
					break // closed already
				}
			}
			if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, c); errors.Is(err, context.DeadlineExceeded) {
				t.Fatal("the connection was not closed")
			}
			until(t, func() bool { return len(p.handler.rejections()) > 0 })
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

// A peer opens calls without end and never finishes one. Beyond the bound each
// further call is refused; those within it, and other peers' calls, go on.
func TestTooManyOpenCallsAreRefused(t *testing.T) {
	p := newPair(t, holdOrAnswer)
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
			t.Errorf("got answer %+v for call %d, want a refusal for call %d", head, f.Stream, peer.MaximumStreams+1)
		}
		break
	}
	if err := p.check("/other", false); err != nil {
		t.Errorf("call on another connection: %v", err)
	}
}

// holdOrAnswer keeps calls to /hold open until their connection breaks.
func holdOrAnswer(ctx context.Context, call peer.IncomingCall, w *peer.AnswerWriter) {
	if call.Head.Path == "/hold" {
		<-ctx.Done()
		return
	}
	answerBody(ctx, call, w)
}

func dialRaw(t *testing.T, p *pair) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.instance.Address)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func until(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(wait); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("gave up waiting")
		}
	}
}

func FuzzReadFrame(f *testing.F) {
	f.Add(helloFrame(1))
	f.Add(callFrame(7))
	f.Add(oversized())
	f.Add([]byte{0, 0, 0, 5, 0x94, 0xa5})
	f.Add([]byte{0, 0, 0, 6, 0xdd, 0xff, 0xff, 0xff, 0xff, 0xc0})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := peer.ReadFrame(bytes.NewReader(data))
		checkTyped(t, err)
		_, err = peer.ReadHello(bytes.NewReader(data))
		checkTyped(t, err)
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
	f.Add([]byte("\x82\xdb\x7fni\xa7\x050")) // a text of two gigabytes, cut off
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x82, 0xa4, 'k', 'i', 'n', 'd', 0xdb, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := peer.DecodeMessage(data)
		checkTyped(t, err)
		checkTyped(t, peer.Decode(data, &message.Call{}))
		checkTyped(t, peer.Decode(data, &message.Response{}))
		checkTyped(t, peer.Decode(data, &message.ResponseEnd{}))
	})
}

// checkTyped wants every error on hostile bytes to be a *peer.FrameError, but
// for the end of the bytes at a frame's border.
func checkTyped(t *testing.T, err error) {
	t.Helper()
	var invalid *peer.FrameError
	if err != nil && !errors.Is(err, io.EOF) && !errors.As(err, &invalid) {
		t.Errorf("got error %v, want a *peer.FrameError", err)
	}
}
