// Package iotest runs complete nodes in the test process, with real sockets on the
// loopback interface and a fake of the platform's table.
package iotest

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"
	"coltsfootward/core/record"
	"coltsfootward/io/caller"
	"coltsfootward/io/loop"
	"coltsfootward/io/peer"
	"coltsfootward/io/upstream"

	"github.com/gorilla/mux"
)

// Wait is the time after which a test that waits for a condition fails.
const Wait = 30 * time.Second

// Table is a fake of the platform's table that several nodes may share.
type Table struct {
	mu  sync.Mutex
	rig *nodetest.Rig
}

// NewTable returns a table that contains the changes.
func NewTable(changes ...coltsfootward.Change) *Table {
	t := &Table{rig: nodetest.New(1)}
	t.rig.Submit(changes...)
	return t
}

// Read implements coltsfootward.Table.
func (t *Table) Read(ctx context.Context, key string) (coltsfootward.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rig.Table.Read(ctx, key)
}

// Scan implements coltsfootward.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]coltsfootward.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rig.Table.Scan(ctx, prefix, after, limit)
}

// Transact implements coltsfootward.Table.
func (t *Table) Transact(ctx context.Context, transaction coltsfootward.Transaction) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rig.Table.Transact(ctx, transaction)
}

// Node is a node that runs in the test process.
type Node struct {
	// Instance identifies the node.
	Instance coltsfootward.Instance
	// CallerAddress is the address of the listener for callers, BackendAddress that of
	// the listener for the local backend server.
	CallerAddress, BackendAddress string
	// Loop runs the node's state machine.
	Loop *loop.Loop
	// Transport connects the node with its peers.
	Transport *peer.Transport

	upstream *upstream.Server
	ready    chan struct{}
	servers  []*http.Server
	once     sync.Once
	mu       sync.Mutex
	records  []record.Record
}

// Start runs a node until the test ends or Stop is called. wrap, if not nil,
// replaces the listener for peers.
func Start(t testing.TB, options node.Options, table coltsfootward.Table, wrap func(net.Listener) net.Listener) *Node {
	t.Helper()
	listener := listen(t)
	options.Self.Address = listener.Addr().String()
	options.Self.Incarnation = 1
	if wrap != nil {
		listener = wrap(listener)
	}
	n := &Node{Instance: options.Self, ready: make(chan struct{})}
	clock := loop.NewClock()
	n.Transport = peer.NewTransport(options.Self, clock.Now, n, listener)
	core := node.New(options, rand.New(rand.NewPCG(rand.Uint64(), 1)), clock.Now())
	n.Loop = loop.New(core, clock, loop.Handlers{
		Send: n.Transport.Send, Table: table, Report: n.report, Drained: func() {},
	})
	n.upstream = upstream.New(n.Loop, clock)
	close(n.ready)
	n.CallerAddress = n.serve(t, caller.Options{})
	n.BackendAddress = n.serve(t, caller.Options{Local: true})
	t.Cleanup(n.Stop)
	return n
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	return l
}

func (n *Node) serve(t testing.TB, options caller.Options) string {
	t.Helper()
	router := mux.NewRouter()
	if options.Local {
		n.upstream.Register(router)
	}
	caller.NewWithOptions(n.Loop, n.Transport, options).Register(router)
	listener := listen(t)
	server := &http.Server{Handler: router, ReadHeaderTimeout: Wait}
	n.servers = append(n.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// Stop closes the node at once, without draining.
func (n *Node) Stop() {
	n.once.Do(func() {
		n.Loop.Close()
		n.Transport.Close()
		for _, server := range n.servers {
			server.Close()
		}
	})
}

// Announce announces a backend server at address with a service and a number of slots
// to the node.
func (n *Node) Announce(t testing.TB, address string, service coltsfootward.ServiceName, slots int) {
	t.Helper()
	data, err := json.Marshal(upstream.Announcement{Service: service, Address: address, Slots: slots, Connections: slots})
	if err != nil {
		t.Fatalf("encode announcement: %v", err)
	}
	response, err := http.Post("http://"+n.BackendAddress+upstream.AnnouncePath, "application/json", bytes.NewReader(data))
	if err != nil {
		t.Fatalf("announce: %v", err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		t.Fatalf("announce: got status %d, want %d", response.StatusCode, http.StatusNoContent)
	}
}

// AwaitUpstreams waits until the node has a configuration in force and at least count
// upstreams.
func (n *Node) AwaitUpstreams(t testing.TB, count int) {
	t.Helper()
	Until(t, "upstreams known", func() bool {
		var status node.Status
		n.Loop.Inspect(func(m *node.Node) { status = m.Status() })
		return status.Revision > 0 && len(status.Upstreams) >= count
	})
}

// Until waits until done returns true. It fails the test after Wait.
func Until(t testing.TB, condition string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(Wait); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", condition)
		}
	}
}

// Records returns the log records that the node has reported.
func (n *Node) Records() []record.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]record.Record(nil), n.records...)
}

func (n *Node) report(r record.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.records = append(n.records, r)
}

// ServeCall implements peer.Handler.
func (n *Node) ServeCall(ctx context.Context, call peer.IncomingCall, w *peer.ResponseWriter) {
	<-n.ready
	n.upstream.ServeCall(ctx, call, w)
}

// ServeMessage implements peer.Handler.
func (n *Node) ServeMessage(from coltsfootward.Instance, m message.Message, age time.Duration) {
	<-n.ready
	n.Loop.Post(node.MessageArrived{From: from.ID, Message: m, Age: age})
}

// PeerConnected implements peer.Handler.
func (n *Node) PeerConnected(instance coltsfootward.Instance) {
	n.report(record.New(record.PeerConnected, time.Now(), record.Field{Name: "peer", Value: string(instance.ID)}))
}

// PeerLost implements peer.Handler.
func (n *Node) PeerLost(instance coltsfootward.Instance) {
	<-n.ready
	n.Loop.Post(node.PeerLost{Instance: instance.ID})
}

// FrameRejected implements peer.Handler.
func (n *Node) FrameRejected(address string, err error) {
	n.report(record.New(record.PeerFrameRejected, time.Now(), record.Field{Name: "address", Value: address},
		record.Field{Name: "error", Value: err.Error()}))
}
