package node

import (
	"errors"

	"coltsfootward"
	"coltsfootward/core/record"
)

// tablePart numbers the operations on the platform's table and passes each
// answer to the component that started the operation.
type tablePart struct {
	node          *Node
	lastOperation OperationID
	pending       map[OperationID]func(TableAnswered)
	unavailable   bool
}

func newTablePart(n *Node) *tablePart {
	return &tablePart{node: n, pending: make(map[OperationID]func(TableAnswered))}
}

func (p *tablePart) operation(done func(TableAnswered)) OperationID {
	p.lastOperation++
	p.pending[p.lastOperation] = done
	return p.lastOperation
}

func (p *tablePart) read(key string, done func(coltsfootward.Row, error)) {
	id := p.operation(func(e TableAnswered) {
		row := coltsfootward.Row{Key: key}
		if len(e.Rows) > 0 {
			row = e.Rows[0]
		}
		done(row, e.Err)
	})
	p.node.act(ReadTable{Operation: id, Key: key})
}

func (p *tablePart) scan(prefix, after string, limit int, done func([]coltsfootward.Row, error)) {
	id := p.operation(func(e TableAnswered) { done(e.Rows, e.Err) })
	p.node.act(ScanTable{Operation: id, Prefix: prefix, After: after, Limit: limit})
}

func (p *tablePart) transact(t coltsfootward.Transaction, done func(error)) {
	id := p.operation(func(e TableAnswered) { done(e.Err) })
	p.node.act(TransactTable{Operation: id, Transaction: t})
}

func (p *tablePart) operationAnswered(e TableAnswered) {
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
func (p *tablePart) noteAvailability(err error) {
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
