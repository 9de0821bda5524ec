// Package lease decides which node holds the lease of a slot.
//
// A slot is a row of the platform's table whose lease is held by one node at a
// time, for a limited term. The package contains only the decisions: it reads no
// clock and does no I/O. The caller performs the actions that a Slot returns and
// passes their results back.
package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"coltsfootward"
)

// KeyPrefix is the prefix of the keys of all slot records in the table.
const KeyPrefix = "slot/"

// Key returns the key of the row with a slot's record.
func Key(domain coltsfootward.FailureDomain, index int) string {
	return fmt.Sprintf("%s%s/%04d", KeyPrefix, domain, index)
}

// Record is the value of a slot's row in the table.
type Record struct {
	// Holder is the node that holds the slot, with the incarnation that claimed it.
	Holder coltsfootward.Instance `json:"holder"`
	// Epoch is incremented with each new holder; the first holder has epoch 1.
	Epoch uint64 `json:"epoch"`
	// Term is how long the lease lasts without a renewal.
	Term time.Duration `json:"term"`
	// Counter counts the holder's writes in this epoch.
	Counter uint64 `json:"counter"`
	// Token identifies the write, so that its writer recognises it if the reply was
	// lost.
	Token string `json:"token"`
	// Released is set once the holder has released the slot.
	Released bool `json:"released"`
	// Unused is set if the slot was released before any holder had granted anything
	// for it.
	Unused bool `json:"unused"`
}

// Encode returns the record as a row's value.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return value
}

func decode(row coltsfootward.Row) (Record, error) {
	var record Record
	if row.Version == 0 {
		return record, nil
	}
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return record, fmt.Errorf("lease: row %s of the table is not a slot record; stop all nodes and delete it: %w", row.Key, err)
	}
	return record, nil
}
