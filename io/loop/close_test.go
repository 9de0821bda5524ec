package loop_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/core/record"
	"coltsfootward/io/loop"
)

// silentTable is a table whose operations block until their context is done.
type silentTable struct{ called chan struct{} }

func (t silentTable) wait(ctx context.Context) error {
	select {
	case t.called <- struct{}{}:
	default:
	}
	<-ctx.Done()
	return ctx.Err()
}

func (t silentTable) Read(ctx context.Context, _ string) (coltsfootward.Row, error) {
	return coltsfootward.Row{}, t.wait(ctx)
}

func (t silentTable) Scan(ctx context.Context, _, _ string, _ int) ([]coltsfootward.Row, error) {
	return nil, t.wait(ctx)
}

func (t silentTable) Transact(ctx context.Context, _ coltsfootward.Transaction) error {
	return t.wait(ctx)
}

// Guards against a Close that waits for operations on a table which does not respond.
// The node would then exceed the grace period in which it must stop.
func TestCloseDoesNotWaitForTable(t *testing.T) {
	const closeBound = 500 * time.Millisecond
	table := silentTable{called: make(chan struct{}, 1)}
	clock := loop.NewClock()
	options := node.Options{
		Self:    coltsfootward.Instance{ID: "north-1", Domain: "north", Incarnation: 1},
		Domains: []coltsfootward.FailureDomain{"north"},
	}.WithDefaults()
	l := loop.New(node.New(options, rand.New(rand.NewPCG(1, 1)), clock.Now()), clock, loop.Handlers{
		Send:    func(coltsfootward.Instance, message.Message) {},
		Table:   table,
		Report:  func(record.Record) {},
		Drained: func() {},
	})
	select {
	case <-table.called:
	case <-time.After(10 * time.Second):
		l.Close()
		t.Fatal("the node called no operation of the table within 10 s")
	}
	started := time.Now()
	l.Close()
	if took := time.Since(started); took > closeBound {
		t.Errorf("Close took %v while the table does not respond, want at most %v", took, closeBound)
	}
}
