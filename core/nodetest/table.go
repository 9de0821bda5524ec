package nodetest

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"coltsfootward"
	"coltsfootward/core/lease"
	"coltsfootward/core/node"
)

// tableLatency is the duration of one operation on the table.
const tableLatency = 2 * time.Millisecond

// Table is a fake of the platform's table. Its fields may be changed while the
// rig runs. It also implements coltsfootward.Table, whose methods return without
// delay.
type Table struct {
	// Outage makes every operation fail with ErrUnavailable and have no effect.
	Outage bool
	// LoseResponses makes operations take effect and then fail with ErrUnavailable.
	LoseResponses bool
	// ExtraDelay is added to the duration of every operation of a node.
	ExtraDelay time.Duration
	// Reads and Writes count the operations that took effect.
	Reads, Writes int
	// SlotReads and SlotWrites count the reads and writes of the slots' records;
	// scans are not counted.
	SlotReads, SlotWrites int

	rig                  *Rig
	rows                 map[string]coltsfootward.Row
	version              uint64
	partitionedDomains   map[coltsfootward.FailureDomain]bool
	partitionedInstances map[coltsfootward.InstanceID]bool
}

func newTable(r *Rig) *Table {
	return &Table{rig: r, rows: make(map[string]coltsfootward.Row), partitionedDomains: make(map[coltsfootward.FailureDomain]bool), partitionedInstances: make(map[coltsfootward.InstanceID]bool)}
}

func (t *Table) setDomainPartitioned(domain coltsfootward.FailureDomain, partitioned bool) {
	t.partitionedDomains[domain] = partitioned
}

// SetInstancePartitioned partitions one instance from the table, or restores its
// link to the table if partitioned is false.
func (t *Table) SetInstancePartitioned(id coltsfootward.InstanceID, partitioned bool) {
	t.partitionedInstances[id] = partitioned
}

// perform carries out a table action of a node. The operation takes effect after
// ExtraDelay and half of tableLatency. Its result arrives after the other half of
// tableLatency; an operation without a response fails with ErrUnavailable.
func (t *Table) perform(m *Member, action node.Action) {
	var id node.OperationID
	var run func() ([]coltsfootward.Row, error)
	ctx := context.Background()
	switch a := action.(type) {
	case node.ReadTable:
		id = a.Operation
		run = func() ([]coltsfootward.Row, error) {
			row, err := t.Read(ctx, a.Key)
			return []coltsfootward.Row{row}, err
		}
	case node.ScanTable:
		id = a.Operation
		run = func() ([]coltsfootward.Row, error) { return t.Scan(ctx, a.Prefix, a.After, a.Limit) }
	case node.TransactTable:
		id = a.Operation
		run = func() ([]coltsfootward.Row, error) { return nil, t.Transact(ctx, a.Transaction) }
	default:
		return
	}
	boot := m.boots
	t.rig.After(tableLatency/2+t.ExtraDelay, func() {
		rows, err := t.execute(m.Instance, run)
		t.rig.After(tableLatency/2, func() {
			if m.boots == boot {
				m.deliver(func() node.Event { return node.TableResult{Operation: id, Rows: rows, Err: err} })
			}
		})
	})
}

func (t *Table) execute(from coltsfootward.Instance, run func() ([]coltsfootward.Row, error)) ([]coltsfootward.Row, error) {
	if t.partitionedDomains[from.Domain] || t.partitionedInstances[from.ID] {
		return nil, coltsfootward.ErrUnavailable
	}
	return run()
}

// result returns the outcome of an operation, or ErrUnavailable if responses are
// being lost.
func (t *Table) result(err error) error {
	if t.LoseResponses {
		return coltsfootward.ErrUnavailable
	}
	return err
}

// Read implements coltsfootward.Table.
func (t *Table) Read(_ context.Context, key string) (coltsfootward.Row, error) {
	if t.Outage {
		return coltsfootward.Row{}, coltsfootward.ErrUnavailable
	}
	t.Reads++
	if strings.HasPrefix(key, lease.KeyPrefix) {
		t.SlotReads++
	}
	row := t.rows[key]
	row.Key = key
	return row, t.result(nil)
}

// Scan implements coltsfootward.Table.
func (t *Table) Scan(_ context.Context, prefix, after string, limit int) ([]coltsfootward.Row, error) {
	if t.Outage {
		return nil, coltsfootward.ErrUnavailable
	}
	t.Reads++
	var found []coltsfootward.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(found) < limit {
			found = append(found, t.rows[key])
		}
	}
	return found, t.result(nil)
}

// Transact implements coltsfootward.Table.
func (t *Table) Transact(_ context.Context, transaction coltsfootward.Transaction) error {
	if t.Outage {
		return coltsfootward.ErrUnavailable
	}
	for _, c := range transaction.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return t.result(coltsfootward.ErrConflict)
		}
	}
	t.Writes++
	if strings.HasPrefix(transaction.Writes[0].Key, lease.KeyPrefix) {
		t.SlotWrites++
	}
	for _, w := range transaction.Writes {
		t.write(w)
	}
	return t.result(nil)
}

func (t *Table) write(w coltsfootward.Write) {
	if w.Delete {
		delete(t.rows, w.Key)
		return
	}
	t.version++
	t.rows[w.Key] = coltsfootward.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: t.version}
}

// submit stores a change in the same form as a node that serves an operator.
func (t *Table) submit(change coltsfootward.Change) {
	change.Revision = coltsfootward.Revision(len(t.changeKeys()) + 1)
	value, err := json.Marshal(change)
	if err != nil {
		panic(err)
	}
	t.write(coltsfootward.Write{Key: node.ChangeKey(change.Revision), Value: value})
	t.write(coltsfootward.Write{Key: node.RevisionKey, Value: []byte(change.Revision.String())})
}

func (t *Table) changeKeys() []string {
	var keys []string
	for key := range t.rows {
		if strings.HasPrefix(key, node.ChangePrefix) {
			keys = append(keys, key)
		}
	}
	return keys
}
