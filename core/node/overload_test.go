package node_test

import (
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
)

// newNodeWithBackend returns a node whose backend server of the service quotes
// has one slot.
func newNodeWithBackend(t *testing.T) *testNode {
	s := newTestNode(t)
	s.configure(coltsfootward.Rate{PerSecond: 1000, Burst: 1000})
	s.handle(node.BackendAnnounced{Service: "quotes", Slots: 1})
	return s
}

// sendPeerCall delivers a call from a peer and returns the node's actions.
func (s *testNode) sendPeerCall(call node.CallID, priority coltsfootward.Priority) []node.Action {
	return s.handle(node.PeerCallArrived{Call: call, Head: message.Call{
		Request: "r", Organisation: "traders", Service: "quotes", Method: "GET", Path: "/",
		Priority: priority, Budget: 2, Timeout: time.Second,
	}})
}

// dispatchedCalls returns the calls that the actions dispatch.
func dispatchedCalls(actions []node.Action) []node.CallID {
	var calls []node.CallID
	for _, action := range actions {
		if dispatch, ok := action.(node.Dispatch); ok {
			calls = append(calls, dispatch.Call)
		}
	}
	return calls
}

// refusals returns the refusals among the actions.
func refusals(actions []node.Action) []node.Refuse {
	var all []node.Refuse
	for _, action := range actions {
		if refuse, ok := action.(node.Refuse); ok {
			all = append(all, refuse)
		}
	}
	return all
}

// Guards against wasted work for callers that have timed out and disconnected while
// other calls wait. If the backend server continued that work, its slots would be
// occupied by responses that nobody reads just when slots are short, and the next
// callers would time out as well.
func TestCancelledCallFreesItsSlot(t *testing.T) {
	s := newNodeWithBackend(t)
	if got := dispatchedCalls(s.sendPeerCall(1, coltsfootward.PriorityNormal)); len(got) != 1 {
		t.Fatalf("got %v dispatched, want the first call", got)
	}
	s.sendPeerCall(2, coltsfootward.PriorityNormal)
	s.sendPeerCall(3, coltsfootward.PriorityNormal)
	cancelled := refusals(s.handle(node.CallCancelled{Call: 2}))
	if len(cancelled) != 1 || cancelled[0].Refusal.Execution != coltsfootward.ExecutionNotRun {
		t.Errorf("got refusals %+v for a cancelled call in the queue, want one with execution not_run", cancelled)
	}
	s.handle(node.CallCancelled{Call: 1})
	got := dispatchedCalls(s.handle(node.DispatchEnded{Call: 1, Kind: node.DispatchCancelled}))
	if len(got) != 1 || got[0] != 3 {
		t.Errorf("got %v dispatched after the cancellation, want call 3", got)
	}
}

// Guards against critical calls that time out behind less important ones in the queue.
// The server is busy, and the call that has waited longest has low priority. The
// critical call must be dispatched first although it arrived last.
func TestCriticalCallIsDispatchedFirst(t *testing.T) {
	s := newNodeWithBackend(t)
	s.sendPeerCall(1, coltsfootward.PriorityNormal)
	s.sendPeerCall(2, coltsfootward.PriorityLow)
	s.sendPeerCall(3, coltsfootward.PriorityCritical)
	got := dispatchedCalls(s.handle(node.DispatchEnded{Call: 1, Kind: node.DispatchAnswered}))
	if len(got) != 1 || got[0] != 3 {
		t.Errorf("got %v dispatched, want call 3", got)
	}
}

// Guards against retries that multiply along the call chain. A backend server aborts a
// request because its child call was refused. If the calling service retried as well,
// each layer would multiply the attempts of the layer below it, and the load would
// reach the deepest service, which is the overloaded one. So the refusal must be final.
func TestRefusedChildCallIsFinal(t *testing.T) {
	s := newNodeWithBackend(t)
	s.handle(node.MessageArrived{Message: &message.ConfigurationChanges{Changes: []coltsfootward.Change{
		{Revision: 4, Service: &coltsfootward.Service{Name: "archive"}},
	}}})
	var token node.CallToken
	for _, action := range s.sendPeerCall(1, coltsfootward.PriorityNormal) {
		if dispatch, ok := action.(node.Dispatch); ok {
			token = dispatch.Token
		}
	}
	child := refusals(s.handle(node.RequestArrived{Call: 2, Token: token, Service: "archive", Method: "GET", Path: "/", Attempt: 1}))
	if len(child) != 1 {
		t.Fatalf("got %d refusals of the child call, want 1", len(child))
	}
	parent := refusals(s.handle(node.DispatchEnded{Call: 1, Kind: node.DispatchFailed}))
	if len(parent) != 1 || !parent[0].Refusal.Final || parent[0].Refusal.Execution != coltsfootward.ExecutionUnknown {
		t.Errorf("got %+v, want one final refusal with execution unknown", parent)
	}
}

// Every attempt at a service is refused as overloaded. Retries must stop once
// the retry allowance is used up. After that, the service gets one attempt for each
// of the callers' requests.
func TestRetryAllowanceBoundsRetries(t *testing.T) {
	s := newTestNode(t)
	s.configure(coltsfootward.Rate{PerSecond: 10000, Burst: 10000})
	s.handle(node.BackendAnnounced{Service: "quotes", Slots: 1})
	s.addPeer("north-2")
	s.addPeer("north-3")
	attempts := 0
	for call := node.CallID(1); call <= 200; call++ {
		actions := s.handle(node.RequestArrived{Call: call, Key: testKey, Service: "quotes", Method: "GET", Path: "/", Attempt: 1})
		for countForwards(actions) > 0 {
			attempts++
			actions = s.handle(node.AttemptEnded{Call: call, Kind: node.AttemptRefused,
				Refusal: coltsfootward.NewRefusal(coltsfootward.RefusalOverloaded, "busy")})
		}
		if got := refusals(actions); len(got) != 1 {
			t.Fatalf("got %d refusals of request %d, want 1 in the same step", len(got), call)
		}
	}
	if attempts <= 200 || attempts > 200+25 {
		t.Errorf("got %d attempts for 200 requests, want some retries and at most 25", attempts)
	}
}

// addPeer announces another node with a backend server of quotes to the node.
func (s *testNode) addPeer(id coltsfootward.InstanceID) {
	s.handle(node.MessageArrived{From: id, Message: &message.Gossip{Updates: []message.MemberUpdate{{
		Announcement: message.Announcement{
			Instance: coltsfootward.Instance{ID: id, Domain: "north", Address: "127.0.0.1:2", Incarnation: 1},
			Version:  1, Service: "quotes", Slots: 1,
		},
		State: message.MemberAlive,
	}}}})
}

func countForwards(actions []node.Action) int {
	count := 0
	for _, action := range actions {
		if _, ok := action.(node.Forward); ok {
			count++
		}
	}
	return count
}
