package peer

import (
	"context"
	"time"
)

// goodbyeInterval is the time between two looks at who has answered a goodbye.
const goodbyeInterval = 2 * time.Millisecond

// takeLeave tells every peer goodbye and waits until each has promised to send
// no further call, or for finishTimeout. The handler must go on answering
// meanwhile.
//
// A call that crosses the close of a connection ends in doubt, although it
// never ran. So each peer is told goodbye first. It opens no further call on
// the connection, which is certain not to run then, and says so behind the
// last one that it sent: what has to be answered is then known.
func (t *Transport) takeLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	if t.listener != nil {
		t.listener.Close()
	}
	for !t.allAcknowledged() {
		select {
		case <-time.After(goodbyeInterval):
		case <-ctx.Done():
			return
		}
	}
}

// allAcknowledged says goodbye to those who have not been told, since
// connections whose handshake was under way appear later.
func (t *Transport) allAcknowledged() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := true
	for c := range t.accepted {
		all = c.sayGoodbye() && all
	}
	return all
}

// sayGoodbye queues the goodbye once and reports whether it was acknowledged. A
// full ring is tried again later.
func (c *connection) sayGoodbye() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.told {
		c.told = c.trySend(frameGoodbye, nil)
	}
	return c.acknowledged
}

// takeGoodbye handles the peer's goodbye. The promise is queued while no call
// is being opened, so that it stands behind every call that was.
func (c *connection) takeGoodbye() {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	go func() {
		select {
		case c.opening <- struct{}{}:
		case <-c.done:
			return
		}
		defer func() { <-c.opening }()
		_ = c.send(context.Background(), frameNoMoreCalls, 0, nil) // a closed connection promises the same
	}()
}

func (c *connection) takeNoMoreCalls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged = true
}

func (c *connection) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}
