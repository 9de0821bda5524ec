package daemon

import (
	"context"
	"strconv"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/core/record"
	"coltsfootward/io/loop"
	"coltsfootward/io/peer"
	"coltsfootward/io/upstream"
)

// peerHandler passes messages from peers to the state machine and calls from peers to
// the backend server.
type peerHandler struct {
	// ready is closed once the loop and upstream fields are set. Peers may connect
	// before that; the methods wait for it.
	ready    chan struct{}
	reporter *reporter
	loop     *loop.Loop
	upstream *upstream.Server
	metrics  *metrics
}

// ServeCall implements peer.Handler.
func (h *peerHandler) ServeCall(ctx context.Context, call peer.IncomingCall, w *peer.ResponseWriter) {
	<-h.ready
	h.upstream.ServeCall(ctx, call, w)
}

// ServeMessage implements peer.Handler.
func (h *peerHandler) ServeMessage(from coltsfootward.Instance, m message.Message, age time.Duration) {
	<-h.ready
	h.reporter.observeClock(m)
	h.loop.Post(node.MessageArrived{From: from.ID, Message: m, Age: age})
}

// PeerConnected implements peer.Handler. Forwarded requests open and close hundreds of
// connections, so they are counted and logged at intervals, not one by one.
func (h *peerHandler) PeerConnected(coltsfootward.Instance) {
	<-h.ready
	h.metrics.connections.connected()
	if opened, ok := h.metrics.connections.takeReport(time.Now()); ok {
		h.reporter.event(record.PeersConnected, "count", strconv.Itoa(opened))
	}
}

// PeerLost implements peer.Handler.
func (h *peerHandler) PeerLost(instance coltsfootward.Instance) {
	<-h.ready
	h.metrics.connections.lost()
	h.reporter.event(record.PeerLost, "peer", string(instance.ID))
	h.loop.Post(node.PeerLost{Instance: instance.ID})
}

// FrameRejected implements peer.Handler.
func (h *peerHandler) FrameRejected(address string, err error) {
	h.reporter.report(record.New(record.PeerFrameRejected, time.Now(),
		record.Field{Name: "address", Value: address}, record.Field{Name: "error", Value: err.Error()}))
}
