package node_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/fairshare"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
)

// Guards against child calls of a large organisation that take the slots of a small one
// because both count as calls without an organisation: with the scope fleet they count
// for the organisations of their requests, by weight. Guards as well against the scope
// having an effect in a deployment that is not routed.
func TestChildCallsAreQueuedByAccount(t *testing.T) {
	for _, test := range []struct {
		scope  node.ShareScope
		routed bool
		want   int
	}{{node.ShareScopeEntry, true, 0}, {node.ShareScopeFleet, true, 2}, {node.ShareScopeFleet, false, 0}} {
		weights, err := fairshare.ParseWeights([]string{"small=3"})
		if err != nil {
			t.Fatal(err)
		}
		s := &testNode{t: t, table: make(rowTable), now: coltsfootward.At(time.Hour)}
		s.node = node.New(node.Options{
			Self: coltsfootward.Instance{ID: "quotes-1", Domain: "north"}, Domains: []coltsfootward.FailureDomain{"north"},
			Routed: test.routed, ShareScope: test.scope, ShareWeights: weights,
		}, rand.New(rand.NewPCG(1, 2)), s.now)
		s.handle(node.BackendAnnounced{Service: "quotes", Slots: 1})
		next := node.CallID(0)
		send := func(account coltsfootward.OrganisationName) {
			next++
			s.handle(node.PeerCallArrived{Call: next, Head: message.Call{
				Request: "r", Service: "quotes", Path: "/", Priority: coltsfootward.PriorityNormal, SecondaryPriority: coltsfootward.PriorityCritical,
				Account: account, Depth: 1, Budget: 2, Timeout: 10 * time.Second,
			}})
		}
		for _, account := range []coltsfootward.OrganisationName{"large", "large", "large", "large", "small", "small"} {
			send(account)
		}
		small := 0
		running := node.CallID(1)
		for range 3 {
			started := dispatchedCalls(s.handle(node.DispatchEnded{Call: running, Kind: node.DispatchAnswered}))
			if len(started) != 1 {
				t.Fatalf("got %v dispatched, want one call", started)
			}
			running = started[0]
			if running > 4 {
				small++
			}
		}
		if small != test.want {
			t.Errorf("scope %s, routed %t: %d of 3 slots went to the small organisation, want %d", test.scope, test.routed, small, test.want)
		}
	}
}
