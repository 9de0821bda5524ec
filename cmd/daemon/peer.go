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

// peerHandler brings what peers send to the machine and the backend server.
type peerHandler struct {
	// ready is closed once the fields below it are set: peers may connect
	// before everything is wired, and wait for it.
	ready    chan struct{}
	reporter *reporter
	loop     *loop.Loop
	upstream *upstream.Server
	metrics  *metrics
}

// ServeCall implements peer.Handler.
func (h *peerHandler) ServeCall(ctx context.Context, call peer.IncomingCall, w *peer.AnswerWriter) {
	<-h.ready
	h.upstream.ServeCall(ctx, call, w)
}

// ServeMessage implements peer.Handler.
func (h *peerHandler) ServeMessage(from coltsfootward.Instance, m message.Message, age time.Duration) {
	<-h.ready
	h.reporter.heard(m)
	h.loop.Post(node.MessageArrived{From: from.ID, Message: m, Age: age})
}

// PeerConnected implements peer.Handler. Connections come and go by the hundred as
// callers' requests find their way, so they are counted and told of now and then.
func (h *peerHandler) PeerConnected(coltsfootward.Instance) {
	<-h.ready
	h.metrics.connections.connected()
	if made, ok := h.metrics.connections.due(time.Now()); ok {
		h.reporter.event(record.PeersConnected, "count", strconv.Itoa(made))
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
