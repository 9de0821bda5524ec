package node

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/claim"
	"coltsfootward/core/message"
)

// CallID numbers the calls that a node has in hand. The shell gives each call
// that arrives, from a caller or from a peer, a number of its own.
type CallID uint64

// CallToken lets a backend server make further calls while it serves the
// request that brought the token.
type CallToken string

// Event is something that happened outside the decisions.
type Event interface{ isEvent() }

// Tick says that time has passed. The shell sends one after each Node.NextTick.
type Tick struct{}

// RequestArrived says that a caller, or the local backend server, sent a
// request. Its body has been read whole.
type RequestArrived struct {
	Call CallID
	// Key is the digest of the caller's key; empty when there was none.
	Key coltsfootward.KeyDigest
	// Token is set for calls from the local backend server.
	Token          CallToken
	Service        coltsfootward.ServiceName
	Method         string
	Path           string
	IdempotencyKey string
	// Routed is set if Host and Path choose the service, by the configuration's
	// routes, and Service is left empty.
	Routed bool
	Host   string
	// Request is the caller's own name for the request; empty means that the
	// node chooses one.
	Request coltsfootward.RequestID
	// Body is a digest of the body; it is read for requests with an
	// idempotency key.
	Body uint64
	// Attempt is the caller's own count of its repeats; the first is 1.
	Attempt int
	// Timeout is the caller's; zero means that it set none.
	Timeout time.Duration
}

// ConfigurationRead brings a whole configuration that was read from the platform.
type ConfigurationRead struct{ Configuration coltsfootward.Configuration }

// DomainsRead brings the failure domains that operators have taken out of service,
// as read from the platform.
type DomainsRead struct{ OutOfService coltsfootward.OutOfService }

// BackendLost says that nothing listens at the local backend server's address.
type BackendLost struct{}

// CallerLeft says that nobody waits for the call's answer any more.
type CallerLeft struct{ Call CallID }

// AttemptKind says how an attempt ended as the entry node sees it.
type AttemptKind string

// How an attempt ended.
const (
	// AttemptAnswered means that a backend server's answer has begun to arrive.
	AttemptAnswered AttemptKind = "answered"
	// AttemptRefused means that the upstream's node sent a refusal.
	AttemptRefused AttemptKind = "refused"
	// AttemptUnsent means that no byte of the call left this node.
	AttemptUnsent AttemptKind = "unsent"
	// AttemptLost means that the connection broke after a byte may have left.
	AttemptLost AttemptKind = "lost"
)

// AttemptEnded reports the end of the attempt that a Forward began.
type AttemptEnded struct {
	Call    CallID
	Kind    AttemptKind
	Refusal coltsfootward.Refusal
	Load    message.Load
	// Status is the backend server's, for an answered attempt.
	Status int
	// Attempts is how many attempts the upstream's side used, for a refused
	// one; negative means that it is unknown.
	Attempts int
}

// AnswerBroken says that an answer broke off after part of its body had reached
// the caller, and that the rest could be fetched by another attempt. Forward or
// Refuse follows.
type AnswerBroken struct{ Call CallID }

// CallDone says that the entry call's answer has been delivered or given up.
type CallDone struct {
	Call CallID
	// Attempts is how many attempts the upstream's side used; negative means
	// that it is unknown, so that the whole slice counts as used.
	Attempts int
	// Needed is how many it would have used if none had failed.
	Needed int
	// Whole is set when the complete answer reached the caller.
	Whole bool
	// Answer is the whole answer of a request with an idempotency key, if its
	// body is at most MaximumKeptAnswer long; it is kept for repeats.
	Answer *claim.Answer
}

// PeerCallArrived says that an entry node sent a call for the local upstream.
type PeerCallArrived struct {
	Call CallID
	From coltsfootward.InstanceID
	Head message.Call
	// Age is an upper bound of the time since the sender sent it.
	Age time.Duration
}

// DispatchKind says how a dispatch to the local upstream ended.
type DispatchKind string

// How a dispatch ended.
const (
	// DispatchAnswered means that the whole answer was passed on, or is at hand.
	DispatchAnswered DispatchKind = "answered"
	// DispatchUnsent means that no byte of the request reached the upstream.
	DispatchUnsent DispatchKind = "unsent"
	// DispatchRejected means that the upstream answered that it did not run the
	// request.
	DispatchRejected DispatchKind = "rejected"
	// DispatchFailed means that the upstream broke off after bytes may have reached it.
	DispatchFailed DispatchKind = "failed"
	// DispatchTruncated means that the answer broke off after it had begun; the
	// peer has been told.
	DispatchTruncated DispatchKind = "truncated"
	// DispatchCancelled means that nobody waited for it any more.
	DispatchCancelled DispatchKind = "cancelled"
	// DispatchTimeout means that the deadline passed while it ran.
	DispatchTimeout DispatchKind = "timeout"
)

// DispatchEnded reports the end of what a Dispatch began.
type DispatchEnded struct {
	Call CallID
	Kind DispatchKind
	// Failed is set if the upstream's answer says that it failed.
	Failed bool
}

// MessageArrived brings a peer's message.
type MessageArrived struct {
	From    coltsfootward.InstanceID
	Message message.Message
	// Age is an upper bound of the time since the sender sent it.
	Age time.Duration
}

// PeerLost says that the connection to a peer broke.
type PeerLost struct{ Instance coltsfootward.InstanceID }

// BackendAnnounced says that the local backend server announced itself.
type BackendAnnounced struct {
	Service  coltsfootward.ServiceName
	Slots    int
	Draining bool
	// Cold is how much longer the backend server is cold.
	Cold time.Duration
}

// BackendChecked brings what the local backend server answered to the health check
// that CheckBackend asked for.
type BackendChecked struct {
	// Cold is how much longer the backend server is cold.
	Cold time.Duration
}

// DrainRequested says that the node is to stop: it takes no new work.
type DrainRequested struct{}

// FinishRequested says that callers have been let go: a node that drains may
// end as soon as nothing is in hand.
type FinishRequested struct{}

// TableAnswered brings the outcome of a table operation.
type TableAnswered struct {
	Operation OperationID
	Rows      []coltsfootward.Row
	// Err is nil, coltsfootward.ErrConflict or coltsfootward.ErrUnavailable.
	Err error
}

func (Tick) isEvent()              {}
func (FinishRequested) isEvent()   {}
func (ConfigurationRead) isEvent() {}
func (DomainsRead) isEvent()       {}
func (BackendLost) isEvent()       {}
func (RequestArrived) isEvent()    {}
func (CallerLeft) isEvent()        {}
func (AttemptEnded) isEvent()      {}
func (AnswerBroken) isEvent()      {}
func (CallDone) isEvent()          {}
func (PeerCallArrived) isEvent()   {}
func (DispatchEnded) isEvent()     {}
func (MessageArrived) isEvent()    {}
func (PeerLost) isEvent()          {}
func (BackendAnnounced) isEvent()  {}
func (BackendChecked) isEvent()    {}
func (DrainRequested) isEvent()    {}
func (TableAnswered) isEvent()     {}
