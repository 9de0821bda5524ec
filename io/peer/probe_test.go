package peer_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"coltsfootward/core/message"
	"coltsfootward/io/peer"
)

// nextKind returns the kind of the next frame, or "" if none arrives within d.
func nextKind(t *testing.T, c net.Conn, r *bufio.Reader, d time.Duration) string {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		t.Fatal(err)
	}
	f, err := peer.ReadFrame(r)
	if err != nil {
		return ""
	}
	return string(f.Kind)
}

// In a fleet of hundreds, a node that probed the clocks of all peers would spend most of
// its CPU time on probes of silent ones. Only peers that have sent a call or message
// since the last probe may be probed.
func TestSilentPeerIsNotProbed(t *testing.T) {
	const silence = 200 * time.Millisecond
	p := newPair(t, holdOrRespond)
	c := dialRaw(t, p)
	if _, err := c.Write(helloFrame(peer.ProtocolVersion)); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	if kind := nextKind(t, c, r, waitTimeout); kind != string(peer.FrameHello) {
		t.Fatalf("got %q, want the hello", kind)
	}
	p.server.ProbeActivePeers()
	if kind := nextKind(t, c, r, silence); kind != "" {
		t.Fatalf("got %q, want no frame on a silent connection", kind)
	}
	payload, err := peer.EncodeMessage(&message.Gossip{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(peer.EncodeFrame(peer.NewFrame(string(peer.FrameMessage), 0, payload))); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, func() bool {
		p.server.ProbeActivePeers()
		return nextKind(t, c, r, silence) == string(peer.FramePing)
	})
}
