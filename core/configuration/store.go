// Package configuration decides how operators' changes are stored: one winner
// per race, no change applied twice, no lost answer guessed at.
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
	// digestPrefix is where the table keeps which key has a secret.
	digestPrefix = "key_digest/"
	// maximumTries bounds how often a change is tried when other changes win
	// the revision counter. Of twenty operators at once, one wins each round.
	maximumTries = 24
	// maximumUnanswered bounds how often it is tried when the platform gives no
	// answer: more would only add to the load of a platform in trouble.
	maximumUnanswered = 4
	// KeepChanges is how many changes the table keeps for readers that are
	// behind; at 12,000 a day, 20 hours. Who is further behind reads the
	// objects themselves.
	KeepChanges = 10000
)

// ConflictError says that the object has changed since the operator saw it.
type ConflictError struct {
	Object string
	// Found is the object's present revision, BasedOn the operator's.
	Found, BasedOn coltsfootward.Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration: %s is at revision %d, the change was based on %d: read it again and decide anew", e.Object, e.Found, e.BasedOn)
}

// ChangeIDError says that another change was stored under the change's id.
type ChangeIDError struct {
	ChangeID string
	// Revision is what the other change made.
	Revision coltsfootward.Revision
}

// Error implements error.
func (e *ChangeIDError) Error() string {
	return fmt.Sprintf("configuration: change id %s belongs to the change of revision %d: choose a new id for each change", e.ChangeID, e.Revision)
}

// UnknownOrganisationError says that a key was issued for nobody.
type UnknownOrganisationError struct {
	Organisation coltsfootward.OrganisationName
}

// Error implements error.
func (e *UnknownOrganisationError) Error() string {
	return fmt.Sprintf("configuration: there is no organisation %q: create it before its keys", e.Organisation)
}

// KeyReusedError says that a key's id or its secret belongs, or once belonged, to
// another key.
type KeyReusedError struct {
	KeyID string
}

// Error implements error.
func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("configuration: the id or the secret of key %s belongs to another key: issue a key with a new id and a new secret", e.KeyID)
}

// WithdrawnError says that a key was to be issued that was withdrawn before.
type WithdrawnError struct {
	KeyID string
}

// Error implements error.
func (e *WithdrawnError) Error() string {
	return fmt.Sprintf("configuration: key %s was withdrawn: issue a new key", e.KeyID)
}

// BusyError says that other changes won the revision counter each time. Nothing
// was stored.
type BusyError struct {
	ChangeID string
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("configuration: change %s was not stored because of too many others at once: send it again", e.ChangeID)
}

// DoubtError says that the platform did not say whether the change was stored.
type DoubtError struct {
	ChangeID string
	Err      error
}

// Error implements error.
func (e *DoubtError) Error() string {
	return fmt.Sprintf("configuration: the platform did not say whether change %s was stored: %v: send it again with the same change id", e.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *DoubtError) Unwrap() error { return e.Err }

// Store puts changes into the platform's table. It is safe for concurrent use.
//
// A change costs four reads, a key's two more, and one transaction of six rows:
// its id, its object, the revision counter and the change itself, and the
// removal of the change that falls out of the table's memory with its id; a
// key's has a seventh for its digest.
type Store struct {
	table coltsfootward.Table
	keep  coltsfootward.Revision
}

// Options are a store's settings. The zero value means the defaults.
type Options struct {
	// KeepChanges is how many changes the table keeps. The default is KeepChanges.
	KeepChanges int
}

// NewStore returns a store on table.
func NewStore(table coltsfootward.Table) *Store {
	return NewStoreWithOptions(table, Options{})
}

// NewStoreWithOptions returns a store on table with these settings.
func NewStoreWithOptions(table coltsfootward.Table, options Options) *Store {
	if options.KeepChanges <= 0 {
		options.KeepChanges = KeepChanges
	}
	return &Store{table: table, keep: coltsfootward.Revision(options.KeepChanges)}
}

// Precondition says what a change was based on.
type Precondition struct {
	// BasedOn is the revision of the object that the operator saw; zero means
	// that it must not exist.
	BasedOn coltsfootward.Revision
	// Force applies the change whatever the object's revision.
	Force bool
}

// Submit stores a change and returns its revision. The change's ID makes it
// safe to submit again: a change that is stored already returns its revision.
// It returns a *ConflictError, *ChangeIDError, *UnknownOrganisationError,
// *KeyReusedError or *WithdrawnError for a change that cannot be, a *BusyError for one that was not
// stored, and a *DoubtError for one that may have been.
func (s *Store) Submit(ctx context.Context, change coltsfootward.Change, precondition Precondition) (coltsfootward.Revision, error) {
	var last error
	unanswered := 0
	for range maximumTries {
		revision, err := s.try(ctx, change, precondition)
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
	// A conflict settles earlier tries that were not answered too: they were
	// based on an older counter and cannot take effect any more.
	if errors.Is(last, coltsfootward.ErrConflict) {
		return 0, &BusyError{ChangeID: change.ID}
	}
	return 0, &DoubtError{ChangeID: change.ID, Err: last}
}

// try reads what the change depends on and writes it under the condition that
// none of that has changed.
func (s *Store) try(ctx context.Context, change coltsfootward.Change, precondition Precondition) (coltsfootward.Revision, error) {
	done, err := s.table.Read(ctx, changeIDPrefix+change.ID)
	if err != nil {
		return 0, err
	}
	if done.Version != 0 {
		return storedRevision(change, done)
	}
	t := &transaction{}
	t.require(done)
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

// storedRevision returns the revision of the change that was stored under the
// id, if it is this change.
func storedRevision(change coltsfootward.Change, row coltsfootward.Row) (coltsfootward.Revision, error) {
	var stored identity
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

// checkObject refuses a change that was based on another state of its object,
// and one that would bring back a withdrawn key: somebody may still hold it.
func (s *Store) checkObject(ctx context.Context, t *transaction, change coltsfootward.Change, precondition Precondition) error {
	row, err := s.table.Read(ctx, node.ObjectKey(change))
	if err != nil {
		return err
	}
	t.require(row)
	var present coltsfootward.Change
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &present); err != nil {
			return invalidRow(row, err)
		}
	}
	if !precondition.Force && present.Revision != precondition.BasedOn {
		return &ConflictError{Object: node.ObjectKey(change), Found: present.Revision, BasedOn: precondition.BasedOn}
	}
	if present.Key == nil {
		return nil
	}
	if present.Key.Withdrawn && !change.Key.Withdrawn {
		return &WithdrawnError{KeyID: change.Key.ID}
	}
	if present.Key.Digest != change.Key.Digest {
		return &KeyReusedError{KeyID: change.Key.ID}
	}
	return nil
}

// checkDigest refuses a second key with the same secret: withdrawing one of them
// would withdraw the other, and issuing one would seem to bring back the other.
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

// checkOrganisation refuses a key for an organisation that does not exist: it
// would be honoured and then have no rate. Organisations are never deleted, so
// what was read stays true.
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

// prune removes the change that is older than the table is to keep, with its
// id, in the transaction of the change that takes its place. So the table stays
// bounded with no duty of its own, and a transaction that is tried again prunes
// the same change.
func (s *Store) prune(ctx context.Context, t *transaction, next coltsfootward.Revision) error {
	if next <= s.keep {
		return nil
	}
	row, err := s.table.Read(ctx, node.ChangeKey(next-s.keep))
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

// identity is what the table keeps under a change's id.
type identity struct {
	Revision coltsfootward.Revision `json:"revision"`
	// Content is a digest of the change without its revision.
	Content string `json:"content"`
}

// digest leaves the revisions out: an operator who sends a change again may have
// read its object anew.
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

// transaction gathers what a change depends on and what it writes.
type transaction struct {
	coltsfootward.Transaction
}

// require makes the transaction depend on the row being as it was read.
func (t *transaction) require(row coltsfootward.Row) {
	t.Conditions = append(t.Conditions, coltsfootward.Condition{Key: row.Key, Version: row.Version})
}

// store writes the change, and its object so that a reader who is far behind
// need not replay all changes.
func (t *transaction) store(change coltsfootward.Change) error {
	value, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("configuration: encode change: %w", err)
	}
	content, err := digest(change)
	if err != nil {
		return err
	}
	id, err := json.Marshal(identity{Revision: change.Revision, Content: content})
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
	return fmt.Errorf("configuration: the table's row %s cannot be read: restore it from its change: %w", row.Key, err)
}
