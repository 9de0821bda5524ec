package coltsfootward

import (
	"context"
	"errors"
	"time"
)

// ErrConflict is returned by Table.Transact when a condition did not hold;
// nothing was written. Read the rows again before you build a new transaction.
var ErrConflict = errors.New("coltsfootward: table condition did not hold: read the rows again and retry")

// ErrUnavailable is returned by the platform's interfaces when they got no usable
// response. A write may have taken effect nevertheless: read before you write again.
var ErrUnavailable = errors.New("coltsfootward: no usable response from the platform: read again before you retry a write")

// ErrNotFound is returned by Objects.Get when the object does not exist.
var ErrNotFound = errors.New("coltsfootward: object does not exist: check its name")

// Row is one row of the platform's table.
type Row struct {
	Key   string `msgpack:"key" json:"key"`
	Value []byte `msgpack:"value" json:"value"`
	// Version changes with every write of the row. Zero means that the row does
	// not exist.
	Version uint64 `msgpack:"version" json:"version"`
}

// Condition holds if the row with the given key has the given version. Version zero
// requires that the row does not exist.
type Condition struct {
	Key     string `msgpack:"key" json:"key"`
	Version uint64 `msgpack:"version" json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `msgpack:"key" json:"key"`
	Value  []byte `msgpack:"value" json:"value"`
	Delete bool   `msgpack:"delete" json:"delete"`
}

// Transaction performs all writes if all conditions hold, and none otherwise.
type Transaction struct {
	Conditions []Condition `msgpack:"conditions" json:"conditions"`
	Writes     []Write     `msgpack:"writes" json:"writes"`
}

// Table is the platform's transactional table. Implementations are safe for
// concurrent use. Every method may return ErrUnavailable.
type Table interface {
	// Read returns the row with the key. A missing row is returned with version
	// zero and no error.
	Read(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows, in key order, whose keys start with prefix and
	// sort after the key after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Transact executes the transaction. It returns ErrConflict if a condition did
	// not hold.
	Transact(ctx context.Context, t Transaction) error
}

// Objects is the platform's object store. Implementations are safe for
// concurrent use.
type Objects interface {
	// Get returns the object's content, or ErrNotFound if the object does not exist.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put creates or replaces the object.
	Put(ctx context.Context, name string, data []byte) error
}

// Cursor is a position in the platform's change history.
type Cursor uint64

// ErrHistoryLost is returned by Documents.WaitForChange when the platform has dropped
// the history after the cursor. Read the full document again.
var ErrHistoryLost = errors.New("coltsfootward: the platform has dropped its change history: read the full document again")

// ErrNoDocument is returned by Documents.Read while no configuration is stored.
var ErrNoDocument = errors.New("coltsfootward: no configuration is stored: an operator must store one")

// Document is a snapshot of the settings that operators have stored.
type Document struct {
	// Configuration has revision zero if none is stored, or if it is the same as in
	// the previous document.
	Configuration Configuration
	// OutOfService is the set of failure domains that receive no requests.
	OutOfService OutOfService
	// Cursor is the position in the change history at which the snapshot was taken.
	Cursor Cursor
}

// Documents gives access to the settings that operators have stored at a platform:
// the full configuration as one document, and the failure domains that are out of
// service. Implementations are safe for concurrent use. Every method may return
// ErrUnavailable.
type Documents interface {
	// Read returns the present document. If the error is ErrNoDocument or a
	// *DocumentError, the document's other fields are valid.
	Read(ctx context.Context) (Document, error)
	// WaitForChange waits until the document differs from last, at most for the given
	// time, and returns the present document. With a wait of zero it returns at once.
	// Besides the errors of Read it may return ErrHistoryLost.
	WaitForChange(ctx context.Context, last Document, wait time.Duration) (Document, error)
}

// DocumentError describes an error in a configuration document.
type DocumentError struct {
	// Location is the part of the document that contains the error.
	Location string
	// Problem describes the error and how to correct it.
	Problem string
}

// Error implements error.
func (e *DocumentError) Error() string {
	return "coltsfootward: configuration document: " + e.Location + ": " + e.Problem
}
