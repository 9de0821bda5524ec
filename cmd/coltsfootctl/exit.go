package main

import (
	"errors"
	"fmt"

	"connectrpc.com/connect"
)

// Exit codes.
const (
	exitDone           = 0
	exitFailed         = 1
	exitUsage          = 2
	exitConflict       = 3
	exitIncomplete     = 3
	exitNotInForce     = 4
	exitUnknownOutcome = 5
)

// notInForceError reports that a change is stored but not yet in force on all nodes.
type notInForceError struct{ revision uint64 }

// Error implements error.
func (e *notInForceError) Error() string {
	return fmt.Sprintf("revision %d is stored, but not yet in force everywhere: follow it with coltsfootctl watch %d", e.revision, e.revision)
}

// usageError reports an invalid argument.
type usageError struct{ problem string }

// Error implements error.
func (e *usageError) Error() string { return e.problem }

// unknownOutcomeError reports that a change got no response, so that it may or may not
// have been stored.
type unknownOutcomeError struct {
	changeID string
	err      error
}

// Error implements error.
func (e *unknownOutcomeError) Error() string {
	return fmt.Sprintf("no answer, the change may have been stored: run it again with --change-id %s: %v", e.changeID, e.err)
}

// Unwrap returns the cause.
func (e *unknownOutcomeError) Unwrap() error { return e.err }

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
	case outcomeUnknown(err):
		return exitUnknownOutcome
	default:
		return exitFailed
	}
}

// outcomeUnknown reports whether the error leaves it unknown whether the call was
// executed.
func outcomeUnknown(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled:
		return true
	default:
		return false
	}
}
