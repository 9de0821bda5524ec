package node

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/claim"
	"coltsfootward/core/message"
	"coltsfootward/core/record"
)

// OperationID identifies one of the node's operations on the platform's table.
type OperationID uint64

// Action is an output of the state machine that the driver has to carry out.
type Action interface{ isAction() }

// Refuse answers a call from a caller or a peer with a refusal. The call is
// over: no further event about it is expected.
type Refuse struct {
	Call    CallID
	Refusal coltsfootward.Refusal
	// Load is sent to the peer with the refusal.
	Load message.Load
	// Attempts is the number of attempts used.
	Attempts int
	// RetryGranted is sent to the peer: it may make one more attempt.
	RetryGranted bool
}

// Forward starts an attempt: the driver sends the call to the given instance,
// which may be this one. The driver fills in the header and the body, and
// reports AttemptEnded.
type Forward struct {
	Call CallID
	To   coltsfootward.Instance
	Head message.Call
}

// Dispatch sends a peer's call to the local upstream.
type Dispatch struct {
	Call  CallID
	Token CallToken
	// Deadline is when the response becomes worthless, by Instant.Expiry.
	Deadline time.Duration
	// StatedDeadline is the deadline that the backend server is told. It is not later
	// than Deadline; zero means Deadline.
	StatedDeadline time.Duration
	// StartBy is when the admission expires, by Instant.Expiry. The driver
	// checks it once more just before it sends the first byte. Zero means no
	// limit.
	StartBy time.Duration
	// Unrepeatable is set for a request that the transport must not send a
	// second time.
	Unrepeatable bool
	// ConditionExpected is set if the upstream has stated a condition, or has not responded
	// since the node started. The driver then reports BackendAnswered for a response that
	// states nothing, too.
	ConditionExpected bool
}

// Replay answers a repeated request with the complete response to the first
// one. The call is over: no further event about it is expected.
type Replay struct {
	Call     CallID
	Response claim.RetainedResponse
}

// EndResponse ends a peer's call whose response is complete. Either everything
// but the end marker has been forwarded already, or the response is ready to be
// sent together with the end marker. Attempts is computed in the same step that
// invalidates the call's token. Child calls that the backend server makes later
// are refused, so none can escape the count.
type EndResponse struct {
	Call CallID
	// Load is sent to the peer with a response that has not been forwarded yet.
	Load message.Load
	// Attempts is the number of attempts used by the call and everything below
	// it.
	Attempts int
	// Needed is the number of attempts that would have been used if none had
	// failed.
	Needed int
}

// CancelAttempt cancels a forwarded call whose response nobody waits for.
type CancelAttempt struct{ Call CallID }

// CancelDispatch cancels the upstream's work on a call.
type CancelDispatch struct{ Call CallID }

// Send sends a message to a peer. The message may be lost.
type Send struct {
	To      coltsfootward.Instance
	Message message.Message
}

// ReadTable reads one row. The driver reports the result as TableResult.
type ReadTable struct {
	Operation OperationID
	Key       string
}

// ScanTable scans rows. The driver reports the result as TableResult.
type ScanTable struct {
	Operation OperationID
	Prefix    string
	After     string
	Limit     int
}

// TransactTable runs a transaction. The driver reports the result as
// TableResult.
type TransactTable struct {
	Operation   OperationID
	Transaction coltsfootward.Transaction
}

// ConfigurationInForce reports that a full configuration has come into force.
type ConfigurationInForce struct{ Configuration coltsfootward.Configuration }

// CheckDocument requests a call to the platform that shows whether the
// configuration document has changed. The driver reports DocumentConfirmed if
// the platform responds.
type CheckDocument struct{}

// CheckBackend requests a health check of the local backend server. The driver
// reports BackendChecked if the server responds.
type CheckBackend struct{}

// Report adds a record to the log and the timeline.
type Report struct{ Record record.Record }

// Drained reports that the node has no work left and may exit.
type Drained struct{}

func (ConfigurationInForce) isAction() {}
func (Refuse) isAction()               {}
func (Forward) isAction()              {}
func (Dispatch) isAction()             {}
func (Replay) isAction()               {}
func (EndResponse) isAction()          {}
func (CancelAttempt) isAction()        {}
func (CancelDispatch) isAction()       {}
func (Send) isAction()                 {}
func (ReadTable) isAction()            {}
func (ScanTable) isAction()            {}
func (TransactTable) isAction()        {}
func (CheckBackend) isAction()         {}
func (CheckDocument) isAction()        {}
func (Report) isAction()               {}
func (Drained) isAction()              {}
