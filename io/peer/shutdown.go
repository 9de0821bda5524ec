package peer

import (
	"context"
	"time"
)

const (
	// goodbyeTimeout bounds the wait for peers that do not close their
	// connections after a goodbye, such as one that was cut off.
	goodbyeTimeout = 5 * time.Second
	// goodbyeInterval is the time between two looks at who is still connected.
	goodbyeInterval = 2 * time.Millisecond
)

// Shutdown ends the transport so that no call is cut off, then closes it. The
// handler must go on answering until it returns.
//
// Closing alone loses what is queued or on the wire: an answer whose end has
// not left is truncated for its caller, and a call that crosses the close ends
// in doubt, although it never ran. So each peer is told goodbye. It opens no
// further call on the connection, which is certain not to run then, and closes
// it once the calls it had sent are answered.
func (t *Transport) Shutdown(ctx context.Context) {
	defer t.Close()
	ctx, cancel := context.WithTimeout(ctx, goodbyeTimeout)
	defer cancel()
	if t.listener != nil {
		t.listener.Close()
	}
	for t.sayGoodbye() > 0 {
		select {
		case <-time.After(goodbyeInterval):
		case <-ctx.Done():
			return
		}
	}
	for _, c := range t.connections() {
		c.flush(ctx)
	}
}

// sayGoodbye tells those who have not been told and returns how many are still
// connected. Connections whose handshake was under way appear later.
func (t *Transport) sayGoodbye() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.accepted {
		c.goodbye()
	}
	return len(t.accepted)
}

// goodbye queues the goodbye once; a full ring is tried again later.
func (c *connection) goodbye() {
	c.mu.Lock()
	told := c.told
	c.mu.Unlock()
	if told || !c.trySend(frameGoodbye, nil) {
		return
	}
	c.mu.Lock()
	c.told = true
	c.mu.Unlock()
}

// takeGoodbye handles the peer's goodbye.
func (c *connection) takeGoodbye() {
	c.mu.Lock()
	c.leaving = true
	over := len(c.streams) == 0
	c.mu.Unlock()
	if over {
		c.close()
	}
}

func (c *connection) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

// flush waits until all that was queued has left.
func (c *connection) flush(ctx context.Context) {
	flushed := make(chan struct{})
	select {
	case c.outgoing <- outgoing{flushed: flushed}:
	case <-c.done:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-flushed:
	case <-c.done:
	case <-ctx.Done():
	}
}
