package node_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
)

const testKey = coltsfootward.KeyDigest("digest")

// testNode drives one node without a network.
type testNode struct {
	t     *testing.T
	node  *node.Node
	table rowTable
	now   coltsfootward.Instant
	next  node.CallID
}

// rowTable is a fake platform table that completes a node's operations immediately.
// It supports operations on single rows; a scan returns no rows.
type rowTable map[string]coltsfootward.Row

func (t rowTable) complete(action node.Action) (node.Event, bool) {
	switch a := action.(type) {
	case node.ReadTable:
		return node.TableResult{Operation: a.Operation, Rows: []coltsfootward.Row{t[a.Key]}}, true
	case node.ScanTable:
		return node.TableResult{Operation: a.Operation}, true
	case node.TransactTable:
		return node.TableResult{Operation: a.Operation, Err: t.transact(a.Transaction)}, true
	default:
		return nil, false
	}
}

func (t rowTable) transact(transaction coltsfootward.Transaction) error {
	for _, c := range transaction.Conditions {
		if t[c.Key].Version != c.Version {
			return coltsfootward.ErrConflict
		}
	}
	for _, w := range transaction.Writes {
		t[w.Key] = coltsfootward.Row{Key: w.Key, Value: w.Value, Version: t[w.Key].Version + 1}
	}
	return nil
}

func newTestNode(t *testing.T) *testNode {
	t.Helper()
	options := node.Options{
		Self:    coltsfootward.Instance{ID: "north-1", Domain: "north", Address: "127.0.0.1:1", Incarnation: 1},
		Domains: []coltsfootward.FailureDomain{"north"},
	}
	s := &testNode{t: t, table: make(rowTable), now: coltsfootward.At(time.Hour)}
	s.node = node.New(options, rand.New(rand.NewPCG(1, 2)), s.now)
	s.acquireSlots()
	return s
}

// handle passes an event to the node, completes the table operations that result, and
// returns all actions.
func (s *testNode) handle(event node.Event) []node.Action {
	actions := s.node.Handle(s.now, event)
	for i := 0; i < len(actions); i++ {
		if result, ok := s.table.complete(actions[i]); ok {
			actions = append(actions, s.node.Handle(s.now, result)...)
		}
	}
	return actions
}

// acquireSlots runs the node until it holds its failure domain's slots.
func (s *testNode) acquireSlots() {
	for range 4 {
		s.now = s.now.Add(time.Second)
		s.handle(node.Tick{})
	}
}

// configure puts a configuration with one organisation, its key and one service
// in force.
func (s *testNode) configure(rate coltsfootward.Rate) {
	s.handle(node.MessageArrived{Message: &message.ConfigurationChanges{Changes: []coltsfootward.Change{
		{Revision: 1, Organisation: &coltsfootward.Organisation{Name: "traders", Rate: rate}},
		{Revision: 2, Key: &coltsfootward.Key{ID: "k", Digest: testKey, Organisation: "traders"}},
		{Revision: 3, Service: &coltsfootward.Service{Name: "quotes"}},
	}}})
}

// request sends a caller's request and returns the node's Refuse or Forward action.
func (s *testNode) request() (*node.Refuse, *node.Forward) {
	s.next++
	for _, action := range s.handle(node.RequestArrived{Call: s.next, Key: testKey, Service: "quotes", Method: "GET", Path: "/", Attempt: 1}) {
		switch a := action.(type) {
		case node.Refuse:
			return &a, nil
		case node.Forward:
			return nil, &a
		}
	}
	return nil, nil
}

// A refusal for lack of a backend server must not spend a token. Otherwise a
// caller that polls a service whose backend server starts later has used up its
// rate by the time the server is available, and its requests are refused as
// above the rate.
func TestRefusalWithoutBackendServerSpendsNoToken(t *testing.T) {
	s := newTestNode(t)
	s.configure(coltsfootward.Rate{PerSecond: 0.001, Burst: 2})
	for range 5 {
		refuse, _ := s.request()
		if refuse == nil || refuse.Refusal.Kind != coltsfootward.RefusalNoUpstream {
			t.Fatalf("got %+v, want a refusal of kind %s", refuse, coltsfootward.RefusalNoUpstream)
		}
	}
	s.handle(node.BackendAnnounced{Service: "quotes", Slots: 1})
	if refuse, forward := s.request(); forward == nil {
		t.Errorf("got refusal %+v, want the request forwarded", refuse)
	}
}

// The only backend server of a service is full and refuses a call, and there is
// no other server to try. The caller must receive the server's refusal. A
// refusal that says no backend server is available would make operators look
// for servers that are running.
func TestLastServersRefusalIsReturned(t *testing.T) {
	s := newTestNode(t)
	s.configure(coltsfootward.Rate{PerSecond: 100, Burst: 100})
	s.handle(node.BackendAnnounced{Service: "quotes", Slots: 1})
	refuse, forward := s.request()
	if forward == nil {
		t.Fatalf("got refusal %+v, want the request forwarded", refuse)
	}
	full := coltsfootward.NewRefusal(coltsfootward.RefusalOverloaded, "full").WithRetryAfter(time.Second)
	for _, action := range s.handle(node.AttemptEnded{Call: forward.Call, Kind: node.AttemptRefused, Refusal: full}) {
		if a, ok := action.(node.Refuse); ok {
			refuse = &a
		}
	}
	if refuse == nil || refuse.Refusal != full {
		t.Errorf("got %+v, want the server's own refusal %+v", refuse, full)
	}
}
