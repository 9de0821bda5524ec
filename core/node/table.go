package node

import (
	"errors"

	"coltsfootward"
	"coltsfootward/core/record"
)

// tableComponent numbers the operations on the platform's table and passes each
// answer to the component that started the operation.
type tableComponent struct {
	node          *Node
	lastOperation OperationID
	pending       map[OperationID]func(TableResult)
	unavailable   bool
}

func newTableComponent(n *Node) *tableComponent {
	return &tableComponent{node: n, pending: make(map[OperationID]func(TableResult))}
}

func (p *tableComponent) operation(done func(TableResult)) OperationID {
	p.lastOperation++
	p.pending[p.lastOperation] = done
	return p.lastOperation
}

func (p *tableComponent) read(key string, done func(coltsfootward.Row, error)) {
	id := p.operation(func(e TableResult) {
		row := coltsfootward.Row{Key: key}
		if len(e.Rows) > 0 {
			row = e.Rows[0]
		}
		done(row, e.Err)
	})
	p.node.act(ReadTable{Operation: id, Key: key})
}

func (p *tableComponent) scan(prefix, after string, limit int, done func([]coltsfootward.Row, error)) {
	id := p.operation(func(e TableResult) { done(e.Rows, e.Err) })
	p.node.act(ScanTable{Operation: id, Prefix: prefix, After: after, Limit: limit})
}

func (p *tableComponent) transact(t coltsfootward.Transaction, done func(error)) {
	id := p.operation(func(e TableResult) { done(e.Err) })
	p.node.act(TransactTable{Operation: id, Transaction: t})
}

func (p *tableComponent) resultReceived(e TableResult) {
	done, ok := p.pending[e.Operation]
	if !ok {
		return
	}
	delete(p.pending, e.Operation)
	p.noteAvailability(e.Err)
	done(e)
}

// noteAvailability reports when the platform becomes unavailable and when it is
// available again.
func (p *tableComponent) noteAvailability(err error) {
	unavailable := errors.Is(err, coltsfootward.ErrUnavailable)
	if unavailable == p.unavailable {
		return
	}
	p.unavailable = unavailable
	if unavailable {
		p.node.report(record.PlatformUnavailable)
		return
	}
	p.node.report(record.PlatformAvailable)
}
