// Package lease decides who holds a slot.
//
// A slot is a row of the platform's table that one node at a time holds for a
// term. The package decides only; it reads no clock and does no I/O. The
// caller carries out the actions that a Slot returns and reports their answers.
package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"coltsfootward"
)

// KeyPrefix is where the table keeps the slots' records.
const KeyPrefix = "slot/"

// Key returns the key of the row that holds a slot's record.
func Key(domain coltsfootward.FailureDomain, index int) string {
	return fmt.Sprintf("%s%s/%04d", KeyPrefix, domain, index)
}

// Record is what the table says about a slot.
type Record struct {
	// Holder is the node that holds the slot, in the incarnation that took it.
	Holder coltsfootward.Instance `json:"holder"`
	// Epoch counts the slot's holders; the first one has epoch 1.
	Epoch uint64 `json:"epoch"`
	// Term is how long the holder goes on without a renewal.
	Term time.Duration `json:"term"`
	// Counter counts the writes of one epoch.
	Counter uint64 `json:"counter"`
	// Token names the write, so that its writer recognises it after a lost answer.
	Token string `json:"token"`
	// Released is set once the holder has given the slot up by itself.
	Released bool `json:"released"`
	// Unused is set once the slot was given up before anything was ever granted
	// in its name, by its last holder or by one before.
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
		return record, fmt.Errorf("lease: the table's row %s holds no slot record: delete it while no node runs: %w", row.Key, err)
	}
	return record, nil
}
