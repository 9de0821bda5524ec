package coltsfootward

import (
	"context"
	"errors"
)

// ErrConflict is returned by Table.Transact when a condition did not hold;
// nothing was written. Read the rows again and decide anew.
var ErrConflict = errors.New("coltsfootward: table condition did not hold: read the rows again and decide anew")

// ErrUnavailable is returned by the platform's interfaces when no answer came.
// A write may have taken effect all the same: read before writing again.
var ErrUnavailable = errors.New("coltsfootward: platform gave no answer: read again before repeating a write")

// ErrNotFound is returned by Objects.Get when there is no such object.
var ErrNotFound = errors.New("coltsfootward: no such object: check its name")

// Row is one row of the platform's table.
type Row struct {
	Key   string `msgpack:"key" json:"key"`
	Value []byte `msgpack:"value" json:"value"`
	// Version changes with every write of the row; zero means there is no row.
	Version uint64 `msgpack:"version" json:"version"`
}

// Condition holds while the row has that version.
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

// Transaction writes all rows if all conditions hold, else none.
type Transaction struct {
	Conditions []Condition `msgpack:"conditions" json:"conditions"`
	Writes     []Write     `msgpack:"writes" json:"writes"`
}

// Table is the platform's transactional table. Implementations are safe for
// concurrent use. Every method may return ErrUnavailable.
type Table interface {
	// Read returns the row; a missing row has version zero and no error.
	Read(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose key starts with prefix and sorts
	// after the key after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Transact returns ErrConflict if a condition did not hold.
	Transact(ctx context.Context, t Transaction) error
}

// Objects is the platform's object store. Implementations are safe for
// concurrent use.
type Objects interface {
	// Get returns ErrNotFound if there is no such object.
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, data []byte) error
}

// Cursor is a place in the history of what a platform keeps.
type Cursor uint64

// ErrHistoryLost is returned by Documents.Changed when the platform has dropped
// the history after the cursor. Read the document again.
var ErrHistoryLost = errors.New("coltsfootward: the platform has dropped its history: read the whole document again")

// ErrNoDocument is returned by Documents.Read while operators have stored none.
var ErrNoDocument = errors.New("coltsfootward: no configuration is stored: have operators write one")

// Document is what operators have stored, as it was read at one moment.
type Document struct {
	// Configuration has revision zero if none is stored or it did not change.
	Configuration Configuration
	// OutOfService names the failure domains that get no work.
	OutOfService OutOfService
	// Cursor is where the history goes on.
	Cursor Cursor
}

// Documents is where a platform keeps what operators have set: the whole
// configuration as one document, and the failure domains that are out of service.
// Implementations are safe for concurrent use. Every method may return
// ErrUnavailable.
type Documents interface {
	// Read returns the present document. With ErrNoDocument or a *DocumentError
	// the rest of the document holds all the same.
	Read(ctx context.Context) (Document, error)
	// Changed waits for a change of the document that was read last, as long as
	// the platform lets it wait, and returns the next one. Its errors are those
	// of Read and ErrHistoryLost.
	Changed(ctx context.Context, last Document) (Document, error)
}

// DocumentError says what is wrong with a configuration document.
type DocumentError struct {
	// Place names the part of the document.
	Place string
	// Problem says what is wrong and how to correct it.
	Problem string
}

// Error implements error.
func (e *DocumentError) Error() string {
	return "coltsfootward: configuration document: " + e.Place + ": " + e.Problem
}
