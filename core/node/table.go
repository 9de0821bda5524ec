package node

import (
	"errors"

	"coltsfootward"
	"coltsfootward/core/record"
)

// tablePart numbers operations on the platform's table and brings each answer
// to the part that asked.
type tablePart struct {
	node    *Node
	next    OperationID
	pending map[OperationID]func(TableAnswered)
	away    bool
}

func newTablePart(n *Node) *tablePart {
	return &tablePart{node: n, pending: make(map[OperationID]func(TableAnswered))}
}

func (p *tablePart) operation(answered func(TableAnswered)) OperationID {
	p.next++
	p.pending[p.next] = answered
	return p.next
}

func (p *tablePart) read(key string, answered func(coltsfootward.Row, error)) {
	id := p.operation(func(e TableAnswered) {
		row := coltsfootward.Row{Key: key}
		if len(e.Rows) > 0 {
			row = e.Rows[0]
		}
		answered(row, e.Err)
	})
	p.node.act(ReadTable{Operation: id, Key: key})
}

func (p *tablePart) scan(prefix, after string, limit int, answered func([]coltsfootward.Row, error)) {
	id := p.operation(func(e TableAnswered) { answered(e.Rows, e.Err) })
	p.node.act(ScanTable{Operation: id, Prefix: prefix, After: after, Limit: limit})
}

func (p *tablePart) transact(t coltsfootward.Transaction, answered func(error)) {
	id := p.operation(func(e TableAnswered) { answered(e.Err) })
	p.node.act(TransactTable{Operation: id, Transaction: t})
}

func (p *tablePart) answered(e TableAnswered) {
	answered, ok := p.pending[e.Operation]
	if !ok {
		return
	}
	delete(p.pending, e.Operation)
	p.watch(e.Err)
	answered(e)
}

// watch reports when the platform stops answering and when it answers again.
func (p *tablePart) watch(err error) {
	away := errors.Is(err, coltsfootward.ErrUnavailable)
	if away == p.away {
		return
	}
	p.away = away
	if away {
		p.node.report(record.PlatformUnavailable)
		return
	}
	p.node.report(record.PlatformAvailable)
}
