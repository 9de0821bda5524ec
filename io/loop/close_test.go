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

// silentTable is a table that answers nothing.
type silentTable struct{ asked chan struct{} }

func (t silentTable) wait(ctx context.Context) error {
	select {
	case t.asked <- struct{}{}:
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

// A node that stopped while the platform answered nothing outlived its grace.
func TestCloseWaitsForNoTable(t *testing.T) {
	const closeBound = 500 * time.Millisecond
	table := silentTable{asked: make(chan struct{}, 1)}
	clock := loop.NewClock()
	options := node.Options{
		Self:    coltsfootward.Instance{ID: "north-1", Domain: "north", Incarnation: 1},
		Domains: []coltsfootward.FailureDomain{"north"},
	}.WithDefaults()
	l := loop.New(node.New(options, rand.New(rand.NewPCG(1, 1)), clock.Now()), clock, loop.Outlets{
		Send:    func(coltsfootward.Instance, message.Message) {},
		Table:   table,
		Report:  func(record.Record) {},
		Drained: func() {},
	})
	select {
	case <-table.asked:
	case <-time.After(10 * time.Second):
		l.Close()
		t.Fatal("the node never asked the platform")
	}
	begun := time.Now()
	l.Close()
	if took := time.Since(begun); took > closeBound {
		t.Errorf("Close took %v while the platform answers nothing, want %v at most", took, closeBound)
	}
}
