package main

import (
	"errors"
	"fmt"

	"connectrpc.com/connect"
)

// The exit codes.
const (
	exitDone       = 0
	exitFailed     = 1
	exitUsage      = 2
	exitConflict   = 3
	exitIncomplete = 3
	exitNotInForce = 4
	exitDoubt      = 5
)

// notInForceError says that a change is stored but not yet in force everywhere.
type notInForceError struct{ revision uint64 }

// Error implements error.
func (e *notInForceError) Error() string {
	return fmt.Sprintf("revision %d is stored, but not yet in force everywhere: follow it with coltsfootctl watch %d", e.revision, e.revision)
}

// usageError says that an argument is wrong.
type usageError struct{ problem string }

// Error implements error.
func (e *usageError) Error() string { return e.problem }

// doubtError says that no answer came for a change.
type doubtError struct {
	changeID string
	err      error
}

// Error implements error.
func (e *doubtError) Error() string {
	return fmt.Sprintf("no answer, the change may have been stored: run it again with --change-id %s: %v", e.changeID, e.err)
}

// Unwrap returns the cause.
func (e *doubtError) Unwrap() error { return e.err }

func exitCode(err error) int {
	var notInForce *notInForceError
	var usage *usageError
	var incomplete *incompleteError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &notInForce):
		return exitNotInForce
	case errors.As(err, &incomplete):
		return exitIncomplete
	case errors.As(err, &usage), connect.CodeOf(err) == connect.CodeInvalidArgument:
		return exitUsage
	case connect.CodeOf(err) == connect.CodeAborted:
		return exitConflict
	case unanswered(err):
		return exitDoubt
	default:
		return exitFailed
	}
}

// unanswered reports whether nobody said what became of a call.
func unanswered(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled:
		return true
	default:
		return false
	}
}
