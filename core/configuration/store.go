// Package configuration decides how operators' changes are stored: one winner
// per race, no change applied twice, no lost answer guessed at.
package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"coltsfootward"
	"coltsfootward/core/node"
)

const (
	changeIDPrefix = "change_id/"
	objectPrefix   = "object/"
	// maximumTries bounds how often a change is tried when other changes win
	// the revision counter, or when the platform's answers are lost.
	maximumTries = 8
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
type Store struct {
	table coltsfootward.Table
}

// NewStore returns a store on table.
func NewStore(table coltsfootward.Table) *Store {
	return &Store{table: table}
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
func (s *Store) Submit(ctx context.Context, change coltsfootward.Change, precondition Precondition) (coltsfootward.Revision, error) {
	var last error
	for range maximumTries {
		revision, err := s.try(ctx, change, precondition)
		if err == nil {
			return revision, nil
		}
		last = err
		if !errors.Is(err, coltsfootward.ErrConflict) && !errors.Is(err, coltsfootward.ErrUnavailable) {
			return 0, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return 0, &DoubtError{ChangeID: change.ID, Err: last}
}

func (s *Store) try(ctx context.Context, change coltsfootward.Change, precondition Precondition) (coltsfootward.Revision, error) {
	done, err := s.table.Read(ctx, changeIDPrefix+change.ID)
	if err != nil {
		return 0, err
	}
	if done.Version != 0 {
		return parseRevision(done.Value)
	}
	object, err := s.table.Read(ctx, objectPrefix+objectName(change))
	if err != nil {
		return 0, err
	}
	if err := checkPrecondition(change, object, precondition); err != nil {
		return 0, err
	}
	counter, err := s.table.Read(ctx, node.RevisionKey)
	if err != nil {
		return 0, err
	}
	current, err := parseRevision(counter.Value)
	if err != nil {
		return 0, err
	}
	change.Revision = current + 1
	return change.Revision, s.write(ctx, change, object, counter)
}

func checkPrecondition(change coltsfootward.Change, object coltsfootward.Row, precondition Precondition) error {
	if precondition.Force {
		return nil
	}
	found, err := parseRevision(object.Value)
	if err != nil {
		return err
	}
	if found != precondition.BasedOn {
		return &ConflictError{Object: objectName(change), Found: found, BasedOn: precondition.BasedOn}
	}
	return nil
}

func (s *Store) write(ctx context.Context, change coltsfootward.Change, object, counter coltsfootward.Row) error {
	value, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("configuration: encode change: %w", err)
	}
	revision := []byte(change.Revision.String())
	changeID := changeIDPrefix + change.ID
	return s.table.Transact(ctx, coltsfootward.Transaction{
		Conditions: []coltsfootward.Condition{
			{Key: changeID},
			{Key: object.Key, Version: object.Version},
			{Key: node.RevisionKey, Version: counter.Version},
		},
		Writes: []coltsfootward.Write{
			{Key: changeID, Value: revision},
			{Key: object.Key, Value: revision},
			{Key: node.RevisionKey, Value: revision},
			{Key: node.ChangeKey(change.Revision), Value: value},
		},
	})
}

func objectName(change coltsfootward.Change) string {
	switch {
	case change.Organisation != nil:
		return "organisation/" + string(change.Organisation.Name)
	case change.Key != nil:
		return "key/" + change.Key.ID
	default:
		return "service/" + string(change.Service.Name)
	}
}

func parseRevision(value []byte) (coltsfootward.Revision, error) {
	if len(value) == 0 {
		return 0, nil
	}
	n, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("configuration: the table holds an invalid revision %q: restore the row from its change: %w", value, err)
	}
	return coltsfootward.Revision(n), nil
}
