package node_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"
)

// Guards against a node that wakes up a hundred times a second, and so uses CPU time,
// although it has no queued request that needs the short tick interval.
func TestIdleNodeTicksSeldom(t *testing.T) {
	s := newRoutedTestNode(t)
	if wait := s.node.NextTick(); wait < 50*time.Millisecond {
		t.Errorf("got a tick interval of %s when idle, want at most 20 ticks a second", wait)
	}
	s.sendPeerCall(1, coltsfootward.PriorityNormal)
	if wait := s.node.NextTick(); wait < 50*time.Millisecond {
		t.Errorf("got a tick interval of %s with one request in service, want at most 20 ticks a second", wait)
	}
	s.sendPeerCall(2, coltsfootward.PriorityNormal)
	if wait := s.node.NextTick(); wait > 10*time.Millisecond {
		t.Errorf("got a tick interval of %s with a queued request, want at most 10 ms", wait)
	}
	s.handle(node.DispatchEnded{Call: 1, Kind: node.DispatchAnswered})
	s.handle(node.DispatchEnded{Call: 2, Kind: node.DispatchAnswered})
	if wait := s.node.NextTick(); wait < 50*time.Millisecond {
		t.Errorf("got a tick interval of %s after all requests were served, want at most 20 ticks a second", wait)
	}
}

// newRoutedTestNode returns a node of a routed deployment whose backend server,
// of the service "quotes", has one slot.
func newRoutedTestNode(t *testing.T) *testNode {
	t.Helper()
	options := node.Options{
		Self:    coltsfootward.Instance{ID: "north-1", Domain: "north", Address: "127.0.0.1:1", Incarnation: 1},
		Domains: []coltsfootward.FailureDomain{"north"}, Routed: true,
	}
	s := &testNode{t: t, table: make(rowTable), now: coltsfootward.At(time.Hour)}
	s.node = node.New(options, rand.New(rand.NewPCG(1, 2)), s.now)
	document := coltsfootward.NewConfiguration(1, nil, nil, nil).WithRoutes([]coltsfootward.Route{{
		Name: "quotes", Host: "quotes.example", PathPrefix: "/", Timeout: time.Second, Attempts: 1,
		Targets: []coltsfootward.RouteTarget{{Service: "quotes", Weight: 1}},
	}})
	s.handle(node.ConfigurationRead{Configuration: document})
	s.handle(node.BackendAnnounced{Service: "quotes", Slots: 1})
	return s
}
