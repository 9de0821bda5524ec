// Package configuration stores operators' changes of the configuration in the
// platform's table. Of concurrent changes to one object exactly one succeeds, no
// change is applied twice, and an unknown outcome is reported as unknown.
package configuration

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"coltsfootward"
	"coltsfootward/core/node"
)

const (
	changeIDPrefix = "change_id/"
	// digestPrefix is the prefix of the rows that map a secret's digest to its key's ID.
	digestPrefix = "key_digest/"
	// maximumAttempts bounds the attempts to store a change while other changes advance
	// the revision counter first. Of twenty concurrent operators, one succeeds in each
	// round.
	maximumAttempts = 24
	// maximumUnanswered bounds the attempts that the platform does not answer. More
	// attempts would only add load to a failing platform.
	maximumUnanswered = 4
	// KeepChanges is the default number of changes that the table retains for readers
	// that are behind: 20 hours at 12,000 changes a day. Readers that are further behind
	// read the objects instead.
	KeepChanges = 10000
)

// ConflictError reports that the object has changed since the revision on which the
// change was based.
type ConflictError struct {
	Object string
	// Current is the object's current revision, BasedOn the revision that the change was
	// based on.
	Current, BasedOn coltsfootward.Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration: %s is at revision %d, the change was based on %d: read it again and repeat the change if it still applies", e.Object, e.Current, e.BasedOn)
}

// ChangeIDError reports that another change was already stored under the same change ID.
type ChangeIDError struct {
	ChangeID string
	// Revision is the revision of the other change.
	Revision coltsfootward.Revision
}

// Error implements error.
func (e *ChangeIDError) Error() string {
	return fmt.Sprintf("configuration: change id %s belongs to the change of revision %d: choose a new id for each change", e.ChangeID, e.Revision)
}

// UnknownOrganisationError reports a key for an organisation that does not exist.
type UnknownOrganisationError struct {
	Organisation coltsfootward.OrganisationName
}

// Error implements error.
func (e *UnknownOrganisationError) Error() string {
	return fmt.Sprintf("configuration: there is no organisation %q: create it before its keys", e.Organisation)
}

// KeyReusedError reports that a key's ID or secret belongs, or once belonged, to another
// key.
type KeyReusedError struct {
	KeyID string
}

// Error implements error.
func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("configuration: the id or the secret of key %s belongs to another key: issue a key with a new id and a new secret", e.KeyID)
}

// KeyWithdrawnError reports an attempt to issue a key that was withdrawn before.
type KeyWithdrawnError struct {
	KeyID string
}

// Error implements error.
func (e *KeyWithdrawnError) Error() string {
	return fmt.Sprintf("configuration: key %s was withdrawn: issue a new key", e.KeyID)
}

// BusyError reports that other changes advanced the revision counter first in every
// attempt. The change was not stored.
type BusyError struct {
	ChangeID string
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("configuration: change %s was not stored because of too many concurrent changes: send it again", e.ChangeID)
}

// UnknownOutcomeError reports that the platform did not answer, so that it is unknown
// whether the change was stored.
type UnknownOutcomeError struct {
	ChangeID string
	Err      error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("configuration: the platform did not answer whether change %s was stored: %v: send it again with the same change id", e.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Store writes changes to the platform's table. It is safe for concurrent use.
//
// A change takes four reads and one transaction that writes six rows: the change ID,
// the object, the revision counter and the change itself, and the removal of the
// oldest retained change and of its ID. A change of a key takes two more reads and a
// seventh row, for the digest of the key.
type Store struct {
	table    coltsfootward.Table
	retained coltsfootward.Revision
}

// Options are the settings of a Store. The zero value means the defaults.
type Options struct {
	// KeepChanges is the number of changes that the table retains. The default is the
	// constant KeepChanges.
	KeepChanges int
}

// NewStore returns a store that writes to table, with the default options.
func NewStore(table coltsfootward.Table) *Store {
	return NewStoreWithOptions(table, Options{})
}

// NewStoreWithOptions returns a store that writes to table.
func NewStoreWithOptions(table coltsfootward.Table, options Options) *Store {
	if options.KeepChanges <= 0 {
		options.KeepChanges = KeepChanges
	}
	return &Store{table: table, retained: coltsfootward.Revision(options.KeepChanges)}
}

// Precondition is the state of an object that a change requires.
type Precondition struct {
	// BasedOn is the revision of the object on which the change is based; zero means
	// that the object must not exist.
	BasedOn coltsfootward.Revision
	// Force applies the change regardless of the object's revision.
	Force bool
}

// Submit stores a change and returns its revision. Submit is idempotent by the change's
// ID: for a change that is already stored it returns that change's revision.
//
// Submit returns a *ConflictError, *ChangeIDError, *UnknownOrganisationError,
// *KeyReusedError or *KeyWithdrawnError for an invalid change, a *BusyError for a
// change that was not stored because of concurrent changes, and an
// *UnknownOutcomeError for a change that may or may not have been stored.
func (s *Store) Submit(ctx context.Context, change coltsfootward.Change, precondition Precondition) (coltsfootward.Revision, error) {
	var last error
	unanswered := 0
	for range maximumAttempts {
		revision, err := s.attempt(ctx, change, precondition)
		if err == nil {
			return revision, nil
		}
		last = err
		if !errors.Is(err, coltsfootward.ErrConflict) && !errors.Is(err, coltsfootward.ErrUnavailable) {
			return 0, err
		}
		if errors.Is(err, coltsfootward.ErrUnavailable) {
			unanswered++
		}
		if ctx.Err() != nil || unanswered == maximumUnanswered {
			break
		}
	}
	// A conflict also settles earlier unanswered attempts: they were based on an older
	// value of the counter and can no longer take effect.
	if errors.Is(last, coltsfootward.ErrConflict) {
		return 0, &BusyError{ChangeID: change.ID}
	}
	return 0, &UnknownOutcomeError{ChangeID: change.ID, Err: last}
}

// attempt reads the rows that the change depends on and writes the change on condition
// that none of them has changed since.
func (s *Store) attempt(ctx context.Context, change coltsfootward.Change, precondition Precondition) (coltsfootward.Revision, error) {
	stored, err := s.table.Read(ctx, changeIDPrefix+change.ID)
	if err != nil {
		return 0, err
	}
	if stored.Version != 0 {
		return storedRevision(change, stored)
	}
	t := &transaction{}
	t.require(stored)
	if err := s.checkObject(ctx, t, change, precondition); err != nil {
		return 0, err
	}
	if err := s.checkDigest(ctx, t, change); err != nil {
		return 0, err
	}
	if err := s.checkOrganisation(ctx, change); err != nil {
		return 0, err
	}
	counter, err := s.table.Read(ctx, node.RevisionKey)
	if err != nil {
		return 0, err
	}
	t.require(counter)
	current, err := node.ParseRevision(counter.Value)
	if err != nil {
		return 0, err
	}
	change.Revision = current + 1
	if err := s.prune(ctx, t, change.Revision); err != nil {
		return 0, err
	}
	if err := t.store(change); err != nil {
		return 0, err
	}
	return change.Revision, s.table.Transact(ctx, t.Transaction)
}

// storedRevision returns the revision of the change that was stored under the change's
// ID. It returns a *ChangeIDError if that is a different change.
func storedRevision(change coltsfootward.Change, row coltsfootward.Row) (coltsfootward.Revision, error) {
	var stored storedChangeID
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return 0, invalidRow(row, err)
	}
	content, err := digest(change)
	if err != nil {
		return 0, err
	}
	if stored.Content != content {
		return 0, &ChangeIDError{ChangeID: change.ID, Revision: stored.Revision}
	}
	return stored.Revision, nil
}

// checkObject rejects a change that is not based on the current revision of its object,
// a change that would reinstate a withdrawn key, which somebody may still possess, and
// a change that would replace the secret of a key.
func (s *Store) checkObject(ctx context.Context, t *transaction, change coltsfootward.Change, precondition Precondition) error {
	row, err := s.table.Read(ctx, node.ObjectKey(change))
	if err != nil {
		return err
	}
	t.require(row)
	var current coltsfootward.Change
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &current); err != nil {
			return invalidRow(row, err)
		}
	}
	if !precondition.Force && current.Revision != precondition.BasedOn {
		return &ConflictError{Object: node.ObjectKey(change), Current: current.Revision, BasedOn: precondition.BasedOn}
	}
	if current.Key == nil {
		return nil
	}
	if current.Key.Withdrawn && !change.Key.Withdrawn {
		return &KeyWithdrawnError{KeyID: change.Key.ID}
	}
	if current.Key.Digest != change.Key.Digest {
		return &KeyReusedError{KeyID: change.Key.ID}
	}
	return nil
}

// checkDigest rejects a second key with the same secret: withdrawing one of the two
// would also withdraw the other, and issuing one could reinstate the other.
func (s *Store) checkDigest(ctx context.Context, t *transaction, change coltsfootward.Change) error {
	if change.Key == nil {
		return nil
	}
	row, err := s.table.Read(ctx, digestPrefix+string(change.Key.Digest))
	if err != nil {
		return err
	}
	t.require(row)
	if row.Version != 0 && string(row.Value) != change.Key.ID {
		return &KeyReusedError{KeyID: change.Key.ID}
	}
	t.Writes = append(t.Writes, coltsfootward.Write{Key: row.Key, Value: []byte(change.Key.ID)})
	return nil
}

// checkOrganisation rejects a key for an organisation that does not exist: the key would
// be accepted but have no rate. Organisations are never deleted, so the check needs no
// condition in the transaction.
func (s *Store) checkOrganisation(ctx context.Context, change coltsfootward.Change) error {
	if change.Key == nil || change.Key.Withdrawn {
		return nil
	}
	owner := coltsfootward.Change{Organisation: &coltsfootward.Organisation{Name: change.Key.Organisation}}
	row, err := s.table.Read(ctx, node.ObjectKey(owner))
	if err != nil {
		return err
	}
	if row.Version == 0 {
		return &UnknownOrganisationError{Organisation: change.Key.Organisation}
	}
	return nil
}

// prune removes the change that exceeds the number of retained changes, and its ID, in
// the transaction that stores the next change. The table thus stays bounded without a
// separate clean-up task, and a repeated transaction prunes the same change.
func (s *Store) prune(ctx context.Context, t *transaction, next coltsfootward.Revision) error {
	if next <= s.retained {
		return nil
	}
	row, err := s.table.Read(ctx, node.ChangeKey(next-s.retained))
	if err != nil || row.Version == 0 {
		return err
	}
	var old coltsfootward.Change
	if err := json.Unmarshal(row.Value, &old); err != nil {
		return invalidRow(row, err)
	}
	t.Writes = append(t.Writes,
		coltsfootward.Write{Key: row.Key, Delete: true},
		coltsfootward.Write{Key: changeIDPrefix + old.ID, Delete: true})
	return nil
}

// storedChangeID is the value of the row of a change's ID.
type storedChangeID struct {
	Revision coltsfootward.Revision `json:"revision"`
	// Content is the digest of the change without revisions.
	Content string `json:"content"`
}

// digest returns a hash of a change without revisions, since an operator who resends a
// change may have read its object again in between.
func digest(change coltsfootward.Change) (string, error) {
	change.Revision = 0
	if change.Organisation != nil {
		o := *change.Organisation
		o.Revision = 0
		change.Organisation = &o
	}
	if change.Key != nil {
		k := *change.Key
		k.Revision = 0
		change.Key = &k
	}
	if change.Service != nil {
		s := *change.Service
		s.Revision = 0
		change.Service = &s
	}
	data, err := json.Marshal(change)
	if err != nil {
		return "", fmt.Errorf("configuration: encode change: %w", err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// transaction collects the conditions and writes of a change.
type transaction struct {
	coltsfootward.Transaction
}

// require adds the condition that the row has not changed since it was read.
func (t *transaction) require(row coltsfootward.Row) {
	t.Conditions = append(t.Conditions, coltsfootward.Condition{Key: row.Key, Version: row.Version})
}

// store adds the writes of the change. The object is stored as well, so that a reader
// that is far behind need not replay all changes.
func (t *transaction) store(change coltsfootward.Change) error {
	value, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("configuration: encode change: %w", err)
	}
	content, err := digest(change)
	if err != nil {
		return err
	}
	id, err := json.Marshal(storedChangeID{Revision: change.Revision, Content: content})
	if err != nil {
		return fmt.Errorf("configuration: encode change id: %w", err)
	}
	t.Writes = append(t.Writes,
		coltsfootward.Write{Key: changeIDPrefix + change.ID, Value: id},
		coltsfootward.Write{Key: node.ObjectKey(change), Value: value},
		coltsfootward.Write{Key: node.RevisionKey, Value: []byte(change.Revision.String())},
		coltsfootward.Write{Key: node.ChangeKey(change.Revision), Value: value})
	return nil
}

func invalidRow(row coltsfootward.Row, err error) error {
	return fmt.Errorf("configuration: row %s of the table cannot be decoded: restore it from its change: %w", row.Key, err)
}
