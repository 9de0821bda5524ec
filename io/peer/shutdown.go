package peer

import (
	"context"
	"time"
)

// goodbyePollInterval is the time between two checks for acknowledged goodbyes.
const goodbyePollInterval = 2 * time.Millisecond

// announceShutdown sends every peer a goodbye and waits until each has acknowledged
// that it sends no further call, or until finishTimeout has passed. The handler must
// continue to serve calls meanwhile.
//
// If a connection were closed without notice, a call sent at the same time would end
// with an unknown outcome, although it was never executed. After a goodbye, the peer
// sends no further calls on the connection: it reports them as not sent, so their
// callers know that they were not executed. It queues the acknowledgement behind the
// last call that it sent. Once the acknowledgement has arrived, this node has received
// every call that it has to answer.
func (t *Transport) announceShutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	if t.listener != nil {
		t.listener.Close()
	}
	for !t.sendGoodbyes() {
		select {
		case <-time.After(goodbyePollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// sendGoodbyes sends a goodbye to each peer that has not been sent one, and reports
// whether every peer has acknowledged its goodbye. It is called repeatedly, because
// connections whose handshake was in progress are added later.
func (t *Transport) sendGoodbyes() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := true
	for c := range t.accepted {
		all = c.sendGoodbye() && all
	}
	return all
}

// sendGoodbye queues the goodbye once and reports whether the peer has acknowledged
// it. If the write queue is full, the next call tries again.
func (c *connection) sendGoodbye() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.goodbyeSent {
		c.goodbyeSent = c.trySend(frameGoodbye, nil)
	}
	return c.goodbyeAcknowledged
}

// handleGoodbye handles the peer's goodbye. The acknowledgement is queued under
// openLock, so that it follows every call that was opened before.
func (c *connection) handleGoodbye() {
	c.mu.Lock()
	c.peerLeaving = true
	c.mu.Unlock()
	go func() {
		select {
		case c.openLock <- struct{}{}:
		case <-c.done:
			return
		}
		defer func() { <-c.openLock }()
		_ = c.send(context.Background(), frameNoMoreCalls, 0, nil) // a closed connection carries no further calls either
	}()
}

func (c *connection) handleNoMoreCalls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.goodbyeAcknowledged = true
}

func (c *connection) isPeerLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peerLeaving
}
