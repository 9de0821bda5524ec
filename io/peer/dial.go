package peer

import (
	"context"

	"coltsfootward"
	"coltsfootward/core/message"
)

// dialEntry is the outbound connection to one peer, or the pending attempt to dial it.
// The fields connection and err are set before ready is closed.
type dialEntry struct {
	ready      chan struct{}
	connection *connection
	err        error
	address    string
}

// dial returns the connection to a peer. It dials the peer if there is no usable
// connection.
func (t *Transport) dial(ctx context.Context, to coltsfootward.Instance) (*connection, error) {
	d, created := t.lookupOrCreate(to)
	if created {
		t.startConnect(d, to)
	}
	select {
	case <-d.ready:
		return d.connection, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-t.closing.Done():
		return nil, errConnectionClosed
	}
}

// lookupOrCreate returns the peer's entry and whether it was created, in which case
// the caller must connect it.
func (t *Transport) lookupOrCreate(to coltsfootward.Instance) (*dialEntry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.dialEntries[to.ID]; ok && d.usable(to.Address) {
		return d, false
	}
	d := &dialEntry{ready: make(chan struct{}), address: to.Address}
	t.dialEntries[to.ID] = d
	return d, true
}

// usable reports whether the entry's connection to address is open or being dialled.
func (d *dialEntry) usable(address string) bool {
	if d.address != address {
		return false
	}
	select {
	case <-d.ready:
		return d.err == nil && !d.connection.closed() && !d.connection.isPeerLeaving()
	default:
		return true
	}
}

func (t *Transport) startConnect(d *dialEntry, to coltsfootward.Instance) {
	if !t.start(func() { t.connect(d, to) }) {
		d.err = errConnectionClosed
		close(d.ready)
	}
}

// connect dials the peer, publishes the result in d and runs the connection until it
// closes.
func (t *Transport) connect(d *dialEntry, to coltsfootward.Instance) {
	c, reader, err := t.dialAndHandshake(to)
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
	case <-t.closing.Done():
		c.close()
		return
	default:
	}
	t.handler.PeerConnected(c.remote)
	t.goroutines.Go(c.writeLoop)
	t.readLoop(c, reader)
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
	d, created := t.lookupOrCreate(to)
	if created {
		t.startConnect(d, to)
	}
	select {
	case <-d.ready:
		d.sendMessage(payload)
	default:
		t.start(func() {
			select {
			case <-d.ready:
				d.sendMessage(payload)
			case <-t.closing.Done():
			}
		})
	}
}

// sendMessage queues an encoded message. It drops the message if dialling has failed or
// the write queue is full.
func (d *dialEntry) sendMessage(payload []byte) {
	if d.err != nil {
		return
	}
	d.connection.touch()
	d.connection.trySend(frameMessage, payload)
}
