package node_test

import (
	"testing"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
)

// BenchmarkCallThroughNode measures one call through the whole core of a node
// that is both entry node and upstream: arrival, placement, admission,
// dispatch, response.
func BenchmarkCallThroughNode(b *testing.B) {
	s := newTestNode(&testing.T{})
	s.configure(coltsfootward.Rate{PerSecond: 1e9, Burst: 1e9})
	s.handle(node.BackendAnnounced{Service: "quotes", Slots: 10})
	call := node.CallID(0)
	for b.Loop() {
		call += 2
		s.now = s.now.Add(1000)
		head := forwardedHead(s.handle(node.RequestArrived{Call: call, Key: testKey, Service: "quotes", Method: "GET", Path: "/", Attempt: 1}))
		s.handle(node.PeerCallArrived{Call: call + 1, Head: head})
		s.handle(node.DispatchEnded{Call: call + 1, Kind: node.DispatchAnswered})
		s.handle(node.AttemptEnded{Call: call, Kind: node.AttemptAnswered, Load: s.node.Load()})
		s.handle(node.CallDone{Call: call, Attempts: 1, Complete: true})
	}
}

func forwardedHead(actions []node.Action) message.Call {
	for _, action := range actions {
		if forward, ok := action.(node.Forward); ok {
			return forward.Head
		}
	}
	return message.Call{}
}
