package node

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/claim"
	"coltsfootward/core/message"
)

// CallID identifies a call that the node is processing. The driver assigns a
// unique number to each call that arrives from a caller or a peer.
type CallID uint64

// CallToken authorises a backend server to make child calls while it serves the
// request that came with the token.
type CallToken string

// Event is an input to the state machine.
type Event interface{ isEvent() }

// Tick reports that time has passed. The driver sends it whenever the duration
// returned by Node.NextTick has passed.
type Tick struct{}

// RequestArrived reports a request from a caller or from the local backend
// server. Its body has been read completely.
type RequestArrived struct {
	Call CallID
	// Key is the digest of the caller's key; empty if the request has none.
	Key coltsfootward.KeyDigest
	// Token is set for child calls of the local backend server.
	Token          CallToken
	Service        coltsfootward.ServiceName
	Method         string
	Path           string
	IdempotencyKey string
	// Routed is set if the configuration's routes choose the service by Host
	// and Path. Service is empty then.
	Routed bool
	Host   string
	// Request is the ID that the caller has given to the request; if it is
	// empty, the node generates one.
	Request coltsfootward.RequestID
	// Body is a digest of the body.
	Body uint64
	// Attempt is the caller's own attempt number, counted from 1.
	Attempt int
	// Timeout is the timeout that the caller requested; zero means none.
	Timeout time.Duration
	// Expires is when Timeout ends, by Instant.Expiry, counted from the arrival of the
	// request's head; zero if the driver has not measured it. Unlike the time at which
	// the event is handled, it does not depend on the length of the body and of the
	// event queue.
	Expires time.Duration
}

// ConfigurationRead delivers a full configuration that was read from the
// platform.
type ConfigurationRead struct{ Configuration coltsfootward.Configuration }

// DomainsRead delivers the failure domains that operators have taken out of
// service, as read from the platform.
type DomainsRead struct{ OutOfService coltsfootward.OutOfService }

// DocumentConfirmed reports that the platform has confirmed the document and
// the domains out of service that were delivered last. Age is an upper bound on
// the time since then.
type DocumentConfirmed struct{ Age time.Duration }

// BackendLost reports that nothing listens at the local backend server's
// address.
type BackendLost struct{}

// CallCancelled reports that the caller or its entry node no longer waits for
// the response: the caller disconnected, or the entry node cancelled its call.
type CallCancelled struct{ Call CallID }

// AttemptKind is the outcome of an attempt as seen by the entry node.
type AttemptKind string

// The outcomes of an attempt.
const (
	// AttemptAnswered means that a backend server's response has begun to
	// arrive.
	AttemptAnswered AttemptKind = "answered"
	// AttemptRefused means that the upstream's node sent a refusal.
	AttemptRefused AttemptKind = "refused"
	// AttemptUnsent means that no byte of the call left this node.
	AttemptUnsent AttemptKind = "unsent"
	// AttemptLost means that the connection broke after a byte may have left.
	AttemptLost AttemptKind = "lost"
)

// AttemptEnded reports the outcome of the attempt that a Forward started.
type AttemptEnded struct {
	Call    CallID
	Kind    AttemptKind
	Refusal coltsfootward.Refusal
	Load    message.Load
	// Status is the backend server's HTTP status, for an answered attempt.
	Status int
	// Attempts is the number of attempts that the upstream's side used, for a
	// refused attempt; negative means unknown.
	Attempts int
	// RetryGranted is set if the refusing node permits one more attempt.
	RetryGranted bool
}

// ResponseTruncated reports that a response was truncated after part of its
// body had reached the caller, and that another attempt could fetch the rest.
// The node responds with Forward or Refuse.
type ResponseTruncated struct{ Call CallID }

// CallDone reports that the response to an entry call has been delivered or
// given up.
type CallDone struct {
	Call CallID
	// Attempts is the number of attempts that the upstream's side used.
	// Negative means unknown; the whole allocation then counts as used.
	Attempts int
	// Needed is the number of attempts that would have been used if none had
	// failed.
	Needed int
	// Complete is set if the complete response reached the caller.
	Complete bool
	// Size is the number of bytes of the bodies of the request and the response.
	Size int64
	// Response is the complete response to a request with an idempotency key, if
	// its body is not longer than MaximumRetainedResponseBytes. It is retained
	// for repeated requests.
	Response *claim.RetainedResponse
}

// PeerCallArrived reports a call that an entry node sent for the local
// upstream.
type PeerCallArrived struct {
	Call CallID
	From coltsfootward.InstanceID
	Head message.Call
	// Body is a digest of the body.
	Body uint64
	// Age is an upper bound on the time since the call was sent.
	Age time.Duration
}

// DispatchKind is the outcome of a dispatch to the local upstream.
type DispatchKind string

// The outcomes of a dispatch.
const (
	// DispatchAnswered means that the complete response was forwarded or is
	// ready to be sent.
	DispatchAnswered DispatchKind = "answered"
	// DispatchUnsent means that no byte of the request reached the upstream.
	DispatchUnsent DispatchKind = "unsent"
	// DispatchRejected means that the upstream responded that it did not run
	// the request.
	DispatchRejected DispatchKind = "rejected"
	// DispatchFailed means that the upstream broke off after bytes may have
	// reached it.
	DispatchFailed DispatchKind = "failed"
	// DispatchTruncated means that the response broke off after it had begun.
	// The peer has been notified.
	DispatchTruncated DispatchKind = "truncated"
	// DispatchCancelled means that nobody waited for the response any more.
	DispatchCancelled DispatchKind = "cancelled"
	// DispatchTimeout means that the deadline passed while the request ran.
	DispatchTimeout DispatchKind = "timeout"
)

// DispatchEnded reports the outcome of a Dispatch.
type DispatchEnded struct {
	Call CallID
	Kind DispatchKind
	// Failed is set if the upstream's response reports a failure.
	Failed bool
	// Load is the load that the response states, and LoadAge the time since its head was
	// read. UnusableLoad names the figures that could not be used; empty if there are none.
	Load         coltsfootward.BackendLoad
	LoadAge      time.Duration
	UnusableLoad string
}

// BackendAnswered reports what the local backend server states about itself in the
// head of its response to a call. It precedes the call's DispatchEnded. It is needed
// only for responses that state something and for those after them.
type BackendAnswered struct {
	Call      CallID
	Condition coltsfootward.BackendCondition
	// Unreadable describes a field that could not be parsed; empty if there is none.
	Unreadable string
}

// MessageArrived delivers a message from a peer.
type MessageArrived struct {
	From    coltsfootward.InstanceID
	Message message.Message
	// Age is an upper bound on the time since the message was sent.
	Age time.Duration
}

// PeerLost reports that the connection to a peer broke.
type PeerLost struct{ Instance coltsfootward.InstanceID }

// BackendAnnounced reports an announcement by the local backend server.
type BackendAnnounced struct {
	Service  coltsfootward.ServiceName
	Slots    int
	Draining bool
	// Cold is how much longer the backend server is cold.
	Cold time.Duration
	// Backend identifies the backend server; empty if it has no name.
	Backend string
	// Start identifies the backend server's current start; empty if it reports
	// none.
	Start string
}

// BackendChecked reports the local backend server's response to the health
// check that CheckBackend requested.
type BackendChecked struct {
	// Cold is how much longer the backend server is cold.
	Cold time.Duration
	// Condition is what the response states.
	Condition coltsfootward.BackendCondition
	// Load and UnusableLoad are as in DispatchEnded.
	Load         coltsfootward.BackendLoad
	UnusableLoad string
}

// DrainRequested makes the node drain: it accepts no new work and stops when
// its work is done.
type DrainRequested struct{}

// FinishRequested reports that the callers have been disconnected: a draining
// node may stop as soon as no call is left.
type FinishRequested struct{}

// TableResult reports the outcome of a table operation.
type TableResult struct {
	Operation OperationID
	Rows      []coltsfootward.Row
	// Err is nil, coltsfootward.ErrConflict or coltsfootward.ErrUnavailable.
	Err error
}

func (Tick) isEvent()              {}
func (FinishRequested) isEvent()   {}
func (ConfigurationRead) isEvent() {}
func (DomainsRead) isEvent()       {}
func (DocumentConfirmed) isEvent() {}
func (BackendLost) isEvent()       {}
func (RequestArrived) isEvent()    {}
func (CallCancelled) isEvent()     {}
func (AttemptEnded) isEvent()      {}
func (ResponseTruncated) isEvent() {}
func (CallDone) isEvent()          {}
func (PeerCallArrived) isEvent()   {}
func (DispatchEnded) isEvent()     {}
func (BackendAnswered) isEvent()   {}
func (MessageArrived) isEvent()    {}
func (PeerLost) isEvent()          {}
func (BackendAnnounced) isEvent()  {}
func (BackendChecked) isEvent()    {}
func (DrainRequested) isEvent()    {}
func (TableResult) isEvent()       {}
