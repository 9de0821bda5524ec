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

// tableDelay is how long the table takes for one operation.
const tableDelay = 2 * time.Millisecond

// Table is a fake of the platform's table. Its fields may be changed while the
// rig runs. It also implements coltsfootward.Table, answering at once.
type Table struct {
	// Outage makes every operation go unanswered and have no effect.
	Outage bool
	// LoseAnswers lets operations take effect and then go unanswered.
	LoseAnswers bool
	// Slow is added to the time of every operation.
	Slow time.Duration
	// Reads and Writes count operations that took effect.
	Reads, Writes int
	// SlotReads and SlotWrites are those among them on the slots' records.
	SlotReads, SlotWrites int

	rig     *Rig
	rows    map[string]coltsfootward.Row
	version uint64
	cut     map[coltsfootward.FailureDomain]bool
	alone   map[coltsfootward.InstanceID]bool
}

func newTable(r *Rig) *Table {
	return &Table{rig: r, rows: make(map[string]coltsfootward.Row), cut: make(map[coltsfootward.FailureDomain]bool), alone: make(map[coltsfootward.InstanceID]bool)}
}

func (t *Table) setCut(domain coltsfootward.FailureDomain, cut bool) {
	t.cut[domain] = cut
}

// CutInstance cuts one instance off from the table, or undoes that.
func (t *Table) CutInstance(id coltsfootward.InstanceID, cut bool) {
	t.alone[id] = cut
}

// perform carries out a table action of a node. It takes effect on arrival and
// is answered a little later; unanswered operations end as unavailable.
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
	t.rig.After(tableDelay/2+t.Slow, func() {
		rows, err := t.operate(m.Instance, run)
		t.rig.After(tableDelay/2, func() {
			if m.boots == boot {
				m.event(func() node.Event { return node.TableResult{Operation: id, Rows: rows, Err: err} })
			}
		})
	})
}

func (t *Table) operate(from coltsfootward.Instance, run func() ([]coltsfootward.Row, error)) ([]coltsfootward.Row, error) {
	if t.cut[from.Domain] || t.alone[from.ID] {
		return nil, coltsfootward.ErrUnavailable
	}
	return run()
}

// answer decides whether the caller hears of an operation's outcome.
func (t *Table) answer(err error) error {
	if t.LoseAnswers {
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
	return row, t.answer(nil)
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
	return found, t.answer(nil)
}

// Transact implements coltsfootward.Table.
func (t *Table) Transact(_ context.Context, transaction coltsfootward.Transaction) error {
	if t.Outage {
		return coltsfootward.ErrUnavailable
	}
	for _, c := range transaction.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return t.answer(coltsfootward.ErrConflict)
		}
	}
	t.Writes++
	if strings.HasPrefix(transaction.Writes[0].Key, lease.KeyPrefix) {
		t.SlotWrites++
	}
	for _, w := range transaction.Writes {
		t.write(w)
	}
	return t.answer(nil)
}

func (t *Table) write(w coltsfootward.Write) {
	if w.Delete {
		delete(t.rows, w.Key)
		return
	}
	t.version++
	t.rows[w.Key] = coltsfootward.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: t.version}
}

// submit stores a change as an operator's node would.
func (t *Table) submit(change coltsfootward.Change) {
	change.Revision = coltsfootward.Revision(len(t.changes()) + 1)
	value, err := json.Marshal(change)
	if err != nil {
		panic(err)
	}
	t.write(coltsfootward.Write{Key: node.ChangeKey(change.Revision), Value: value})
	t.write(coltsfootward.Write{Key: node.RevisionKey, Value: []byte(change.Revision.String())})
}

func (t *Table) changes() []string {
	var keys []string
	for key := range t.rows {
		if strings.HasPrefix(key, node.ChangePrefix) {
			keys = append(keys, key)
		}
	}
	return keys
}
