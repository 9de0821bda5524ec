package peer

import (
	"context"

	"coltsfootward"
	"coltsfootward/core/message"
)

// dialEntry is the outbound connection to one peer, or the pending attempt to dial it.
// The fields connection and err are set before ready is closed.
type dialled struct {
	ready      chan struct{}
	connection *connection
	err        error
	address    string
}

// dial returns the connection to a peer and dials one if there is none.
func (t *Transport) dial(ctx context.Context, to coltsfootward.Instance) (*connection, error) {
	d, mine := t.reserve(to)
	if mine {
		t.startConnect(d, to)
	}
	select {
	case <-d.ready:
		return d.connection, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-t.ending.Done():
		return nil, errConnectionClosed
	}
}

// lookupOrCreate returns the peer's entry and whether it was created, in which case
// the caller must connect it.
func (t *Transport) reserve(to coltsfootward.Instance) (*dialled, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.dialled[to.ID]; ok && d.usable(to.Address) {
		return d, false
	}
	d := &dialled{ready: make(chan struct{}), address: to.Address}
	t.dialled[to.ID] = d
	return d, true
}

// usable reports whether the entry's connection to address is open or being dialled.
func (d *dialled) usable(address string) bool {
	if d.address != address {
		return false
	}
	select {
	case <-d.ready:
		return d.err == nil && !d.connection.closed() && !d.connection.isLeaving()
	default:
		return true
	}
}

func (t *Transport) startConnect(d *dialled, to coltsfootward.Instance) {
	if !t.start(func() { t.connect(d, to) }) {
		d.err = errConnectionClosed
		close(d.ready)
	}
}

func (t *Transport) connect(d *dialled, to coltsfootward.Instance) {
	c, reader, err := t.handshake(to)
	if err == nil {
		t.mu.Lock()
		t.outbound[c] = struct{}{}
		t.mu.Unlock()
	}
	d.connection, d.err = c, err
	close(d.ready)
	if err != nil {
		return
	}
	select {
	case <-t.ending.Done():
		c.close()
		return
	default:
	}
	t.handler.PeerConnected(c.remote)
	t.wait.Go(c.write)
	t.read(c, reader)
	c.close()
	t.mu.Lock()
	delete(t.outbound, c)
	t.mu.Unlock()
	t.handler.PeerLost(c.remote)
}

// Send sends a message without blocking. The message is lost if the peer cannot be
// reached or the connection's write queue is full.
func (t *Transport) Send(to coltsfootward.Instance, m message.Message) {
	payload, err := encodeMessage(m)
	if err != nil {
		return
	}
	d, mine := t.reserve(to)
	if mine {
		t.startConnect(d, to)
	}
	select {
	case <-d.ready:
		d.deliver(payload)
	default:
		t.start(func() {
			select {
			case <-d.ready:
				d.deliver(payload)
			case <-t.ending.Done():
			}
		})
	}
}

func (d *dialled) deliver(payload []byte) {
	if d.err != nil {
		return
	}
	d.connection.touch()
	d.connection.trySend(frameMessage, payload)
}
