package coltsfootward

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

// Execution reports to a caller whether its request ran at a backend server.
type Execution string

// The values of Execution.
const (
	// ExecutionNotRun means that no byte of the request reached a backend server.
	ExecutionNotRun Execution = "not_run"
	// ExecutionUnknown means that the request may have run, completely or in part.
	ExecutionUnknown Execution = "unknown"
	// ExecutionRan means that a backend server responded.
	ExecutionRan Execution = "ran"
)

// RefusalKind is the reason why a request got no response from a backend server.
type RefusalKind string

// The kinds of refusal.
const (
	RefusalBadRequest      RefusalKind = "bad_request"
	RefusalTooLarge        RefusalKind = "too_large"
	RefusalHeaderTooLarge  RefusalKind = "header_too_large"
	RefusalSlowRequest     RefusalKind = "slow_request"
	RefusalUnauthenticated RefusalKind = "unauthenticated"
	RefusalCallToken       RefusalKind = "call_token"
	RefusalUnknownService  RefusalKind = "unknown_service"
	RefusalUnknownRoute    RefusalKind = "unknown_route"
	RefusalOverRate        RefusalKind = "over_rate"
	RefusalOverloaded      RefusalKind = "overloaded"
	RefusalNoUpstream      RefusalKind = "no_upstream"
	RefusalDraining        RefusalKind = "draining"
	RefusalStale           RefusalKind = "stale"
	RefusalTimeout         RefusalKind = "timeout"
	RefusalAttempts        RefusalKind = "attempts"
	RefusalDuplicate       RefusalKind = "duplicate"
	RefusalAlreadyRun      RefusalKind = "already_run"
	RefusalClaim           RefusalKind = "claim"
	RefusalKeyReused       RefusalKind = "key_reused"
	RefusalConfiguration   RefusalKind = "configuration"
	RefusalConnectionLost  RefusalKind = "connection_lost"
	RefusalUpstreamFailed  RefusalKind = "upstream_failed"
	RefusalCancelled       RefusalKind = "cancelled"
	RefusalQuarantined     RefusalKind = "quarantined"
)

type refusalText struct {
	status int
	remedy string
}

var refusalTexts = map[RefusalKind]refusalText{
	RefusalBadRequest:      {http.StatusBadRequest, "correct the request as described"},
	RefusalTooLarge:        {http.StatusRequestEntityTooLarge, "send a smaller request or have the limit raised in the node's settings"},
	RefusalHeaderTooLarge:  {http.StatusRequestHeaderFieldsTooLarge, "send a smaller header"},
	RefusalSlowRequest:     {http.StatusRequestTimeout, "send the whole request within the time allowed"},
	RefusalUnauthenticated: {http.StatusUnauthorized, "send Authorization: Bearer with a key that has been issued and not withdrawn"},
	RefusalCallToken:       {http.StatusForbidden, "pass on the call token of the request being served, while it is being served"},
	RefusalUnknownService:  {http.StatusNotFound, "have the service created with coltsfootctl service set"},
	RefusalUnknownRoute:    {http.StatusNotFound, "have a route added for the host and path"},
	RefusalOverRate:        {http.StatusTooManyRequests, "come back after the stated time or have the organisation's rate raised"},
	RefusalOverloaded:      {http.StatusServiceUnavailable, "come back after the stated time"},
	RefusalNoUpstream:      {http.StatusServiceUnavailable, "start a backend server of the service or wait until one announces itself"},
	RefusalDraining:        {http.StatusServiceUnavailable, "send the request to another instance"},
	RefusalStale:           {http.StatusServiceUnavailable, "send the request again"},
	RefusalTimeout:         {http.StatusGatewayTimeout, "allow more time or come back after the stated time"},
	RefusalAttempts:        {http.StatusServiceUnavailable, "come back after the stated time; the request has used its attempts"},
	RefusalDuplicate:       {http.StatusConflict, "wait for the first request with this Idempotency-Key to end"},
	RefusalAlreadyRun:      {http.StatusConflict, "do not send it again; look up the outcome of the first request"},
	RefusalClaim:           {http.StatusServiceUnavailable, "send the request again with the same Idempotency-Key after the stated time"},
	RefusalKeyReused:       {http.StatusUnprocessableEntity, "use a new Idempotency-Key for a different request"},
	RefusalConfiguration:   {http.StatusServiceUnavailable, "wait until the node has read its configuration"},
	RefusalConnectionLost:  {http.StatusBadGateway, "ask for the outcome before sending it again if it must not run twice"},
	RefusalUpstreamFailed:  {http.StatusBadGateway, "ask for the outcome before sending it again if it must not run twice"},
	RefusalCancelled:       {499, "the caller has left; nothing is to be done"},
	RefusalQuarantined:     {http.StatusServiceUnavailable, "do not send it again; have the cause of the crashes corrected in the service"},
}

// RefusalKinds returns the HTTP status of every kind. A test compares the result with
// the kinds in the documentation.
func RefusalKinds() map[RefusalKind]int {
	kinds := make(map[RefusalKind]int, len(refusalTexts))
	for kind, text := range refusalTexts {
		kinds[kind] = text.status
	}
	return kinds
}

// SortedRefusalKinds returns every kind, sorted by name.
func SortedRefusalKinds() []RefusalKind {
	return slices.Sorted(maps.Keys(refusalTexts))
}

// Refusal is the response to a request that got no response from a backend server.
// It is an error whose message includes the remedy.
type Refusal struct {
	Kind      RefusalKind `msgpack:"kind" json:"kind"`
	Execution Execution   `msgpack:"execution" json:"execution"`
	// RetryAfter is how long the caller should wait before it retries. Zero means
	// that it may retry at once or should not retry, depending on the kind.
	RetryAfter time.Duration `msgpack:"retry_after" json:"retry_after"`
	// Final is set when a node further down the call chain has retried already, so
	// that no node up the chain retries as well.
	Final bool `msgpack:"final" json:"final"`
	// Detail describes the reason for this request. It never contains a key.
	Detail string `msgpack:"detail" json:"detail"`
}

// NewRefusal returns a refusal of a request that did not run.
func NewRefusal(kind RefusalKind, detail string) Refusal {
	return Refusal{Kind: kind, Execution: ExecutionNotRun, Detail: detail}
}

// WithExecution returns a copy with the given execution.
func (r Refusal) WithExecution(e Execution) Refusal {
	r.Execution = e
	return r
}

// WithRetryAfter returns a copy that asks the caller to wait for d before it retries.
func (r Refusal) WithRetryAfter(d time.Duration) Refusal {
	r.RetryAfter = d
	return r
}

// WithFinal returns a copy that nodes up the call chain do not retry.
func (r Refusal) WithFinal() Refusal {
	r.Final = true
	return r
}

// Status returns the HTTP status of the response.
func (r Refusal) Status() int {
	if text, ok := refusalTexts[r.Kind]; ok {
		return text.status
	}
	return http.StatusServiceUnavailable
}

// Remedy returns what the caller or an operator can do about the refusal.
func (r Refusal) Remedy() string {
	return refusalTexts[r.Kind].remedy
}

// Error implements error.
func (r Refusal) Error() string {
	return fmt.Sprintf("coltsfootward: request refused (%s, %s): %s: %s", r.Kind, r.Execution, r.Detail, r.Remedy())
}
