package peer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"time"

	"coltsfootward"
	"coltsfootward/io/socket"
)

// serverHandshake exchanges hello frames on an accepted connection.
func (t *Transport) serverHandshake(n net.Conn) (*connection, *bufio.Reader, error) {
	if err := n.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, nil, err
	}
	reader := bufio.NewReaderSize(n, readBufferSize)
	peerHello, err := readHello(reader)
	if err != nil {
		return nil, nil, err
	}
	if err := t.writeHello(n); err != nil {
		return nil, nil, err
	}
	if err := checkHello(peerHello); err != nil {
		return nil, nil, err
	}
	return t.establish(n, peerHello), reader, nil
}

// establish removes the deadline of the handshake and returns the connection for frames.
func (t *Transport) establish(n net.Conn, peerHello hello) *connection {
	if err := n.SetDeadline(time.Time{}); err != nil {
		n.Close()
	}
	c := newConnection(&writeDeadlineConn{Conn: n}, peerHello.Instance, t.clock)
	c.touch()
	return c
}

func checkHello(h hello) error {
	if h.Version != ProtocolVersion {
		return &FrameError{Reason: fmt.Sprintf("protocol version %d, this node has %d", h.Version, ProtocolVersion)}
	}
	if h.Instance.ID == "" {
		return &FrameError{Reason: "hello without an instance ID"}
	}
	return nil
}

func readHello(r io.Reader) (hello, error) {
	var h hello
	f, err := readFrame(r)
	if err != nil {
		return h, err
	}
	if f.Kind != frameHello {
		return h, &FrameError{Reason: "first frame is no hello"}
	}
	return h, decode(f.Payload, &h)
}

func (t *Transport) writeHello(n net.Conn) error {
	payload, err := encode(&hello{Version: ProtocolVersion, Instance: t.self, Probe: int64(t.clock().Expiry)})
	if err != nil {
		return err
	}
	w := bufio.NewWriter(n)
	if err := newFrameWriter(w).write(frame{Kind: frameHello, Sent: int64(t.clock().Monotonic), Payload: payload}); err != nil {
		return err
	}
	return w.Flush()
}

func (t *Transport) dialAndHandshake(to coltsfootward.Instance) (*connection, *bufio.Reader, error) {
	n, err := socket.Dialer(dialTimeout).DialContext(t.closing, "tcp", to.Address)
	if err != nil {
		return nil, nil, fmt.Errorf("peer: dial %s: %w: check that the instance runs and its address is reachable", to.ID, err)
	}
	release := t.closeWithTransport(n)
	c, reader, err := t.clientHandshake(n, to)
	release()
	if err != nil {
		n.Close()
		t.reportRejected(n.RemoteAddr().String(), err)
		return nil, nil, err
	}
	return c, reader, nil
}

// clientHandshake exchanges hello frames on a dialled connection and checks that the
// peer is the intended instance.
func (t *Transport) clientHandshake(n net.Conn, to coltsfootward.Instance) (*connection, *bufio.Reader, error) {
	if err := n.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, nil, err
	}
	if err := t.writeHello(n); err != nil {
		return nil, nil, err
	}
	reader := bufio.NewReaderSize(n, readBufferSize)
	peerHello, err := readHello(reader)
	if err != nil {
		return nil, nil, err
	}
	if err := checkHello(peerHello); err != nil {
		return nil, nil, err
	}
	if peerHello.Instance.ID != to.ID {
		return nil, nil, &FrameError{Reason: fmt.Sprintf("dialled instance %s, reached %s", to.ID, peerHello.Instance.ID)}
	}
	c := t.establish(n, peerHello)
	// The echo is the first frame after the hello, so that the peer can bound the age
	// of all frames that follow.
	return c, reader, c.sendValue(framePong, 0, &probe{Probe: peerHello.Probe})
}
