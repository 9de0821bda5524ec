package node

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/claim"
	"coltsfootward/core/message"
	"coltsfootward/core/record"
)

// OperationID numbers a node's operations on the platform's table.
type OperationID uint64

// Action is something that the shell is to do.
type Action interface{ isAction() }

// Refuse answers a call, from a caller or a peer, with a refusal. The call is
// over: no event about it is expected.
type Refuse struct {
	Call    CallID
	Refusal coltsfootward.Refusal
	// Load goes to the peer with the refusal.
	Load message.Load
	// Attempts is how many attempts were used.
	Attempts int
}

// Forward begins an attempt: send the call to that instance, which may be this
// one. The shell fills in the header and the body and reports AttemptEnded.
type Forward struct {
	Call CallID
	To   coltsfootward.Instance
	Head message.Call
}

// Dispatch sends a peer's call to the local upstream.
type Dispatch struct {
	Call  CallID
	Token CallToken
	// Deadline is when the upstream's work loses its worth, by Instant.Expiry.
	Deadline time.Duration
	// StartBy is when the admission ends, by Instant.Expiry: the shell checks
	// it once more just before the first byte. Zero means no limit.
	StartBy time.Duration
	// Unrepeatable requests must not be sent twice by a transport's own retry.
	Unrepeatable bool
}

// Replay answers a repeat with the first request's whole answer. The call is
// over: no event about it is expected.
type Replay struct {
	Call   CallID
	Answer claim.Answer
}

// EndAnswer closes a peer's call whose answer is whole: passed on, but for its end, or
// at hand to go with it. The
// count is taken in the same step that ends the call's token: a further call
// that the backend server makes later is refused, so none can escape the count.
type EndAnswer struct {
	Call CallID
	// Load goes to the peer with an answer that was not passed on before.
	Load message.Load
	// Attempts is how many attempts the call and all below it used.
	Attempts int
	// Needed is how many it would have used if none had failed.
	Needed int
}

// CancelAttempt ends a forwarded call that nobody waits for.
type CancelAttempt struct{ Call CallID }

// CancelDispatch ends the upstream's work on a call.
type CancelDispatch struct{ Call CallID }

// Send sends a message to a peer. It may be lost.
type Send struct {
	To      coltsfootward.Instance
	Message message.Message
}

// ReadTable reads one row and reports TableAnswered.
type ReadTable struct {
	Operation OperationID
	Key       string
}

// ScanTable scans rows and reports TableAnswered.
type ScanTable struct {
	Operation OperationID
	Prefix    string
	After     string
	Limit     int
}

// TransactTable runs a transaction and reports TableAnswered.
type TransactTable struct {
	Operation   OperationID
	Transaction coltsfootward.Transaction
}

// ConfigurationInForce says that a whole configuration has come into force.
type ConfigurationInForce struct{ Configuration coltsfootward.Configuration }

// CheckBackend asks for a health check of the local backend server. BackendChecked
// follows if it is answered.
type CheckBackend struct{}

// Report puts a record into the log and onto the time line.
type Report struct{ Record record.Record }

// Drained says that the node has nothing left to do and may exit.
type Drained struct{}

func (ConfigurationInForce) isAction() {}
func (Refuse) isAction()               {}
func (Forward) isAction()              {}
func (Dispatch) isAction()             {}
func (Replay) isAction()               {}
func (EndAnswer) isAction()            {}
func (CancelAttempt) isAction()        {}
func (CancelDispatch) isAction()       {}
func (Send) isAction()                 {}
func (ReadTable) isAction()            {}
func (ScanTable) isAction()            {}
func (TransactTable) isAction()        {}
func (CheckBackend) isAction()         {}
func (Report) isAction()               {}
func (Drained) isAction()              {}
