// Package claim deduplicates requests by their idempotency key. Before a request
// that must run at most once is dispatched, its entry node claims the key at the
// single holder that is responsible for the key.
//
// Holder is a deterministic state machine: it reads no clock and does no I/O.
package claim

import (
	"time"

	"coltsfootward"
)

// Key is an idempotency key of one organisation.
type Key struct {
	Organisation coltsfootward.OrganisationName `msgpack:"organisation"`
	Text         string                         `msgpack:"text"`
}

// ID identifies one claim: one request of one caller at one entry node.
type ID string

// Request requests a claim. It may be resent with the same ID.
type Request struct {
	Key Key `msgpack:"key"`
	ID  ID  `msgpack:"id"`
	// Content is a digest of the request's content. It detects a key that is used
	// for two different requests.
	Content uint64 `msgpack:"content"`
}

// Decision is the result of a claim request.
type Decision string

// The decisions on a claim.
const (
	// Granted means that the request may be dispatched within Verdict.Lifetime.
	Granted Decision = "granted"
	// Running means that a request with the key is running or may be running.
	Running Decision = "running"
	// AlreadyRun means that a request with the key has ended, and ran or may have
	// run.
	AlreadyRun Decision = "already_run"
	// Reused means that the key was used before for a request with other content.
	Reused Decision = "reused"
	// HeldOff means that the holder is too new to rule out that the key was used
	// at an earlier holder.
	HeldOff Decision = "held_off"
	// Forgotten means that the key is too old to rule out that it was used.
	Forgotten Decision = "forgotten"
	// Early means that the key's timestamp is in the future.
	Early Decision = "early"
	// Full means that the holder has reached its maximum number of claims.
	Full Decision = "full"
	// Elsewhere means that the instance does not hold the lease for the key.
	Elsewhere Decision = "elsewhere"
)

// RetainedResponse is a complete response, retained for repeated requests with the
// same key.
type RetainedResponse struct {
	Status int                 `msgpack:"status"`
	Header map[string][]string `msgpack:"header"`
	Body   []byte              `msgpack:"body"`
}

// size returns the approximate size of the response in memory, in bytes.
func (r *RetainedResponse) size() int {
	if r == nil {
		return 0
	}
	size := len(r.Body)
	for name, values := range r.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// Verdict is the reply to a Request.
type Verdict struct {
	Decision Decision `msgpack:"decision"`
	// Lifetime is the time within which the request of a granted claim may be
	// dispatched.
	Lifetime time.Duration `msgpack:"life"`
	// RetryAfter is the delay after which a retry may succeed; zero means that no
	// retry will.
	RetryAfter time.Duration `msgpack:"retry_after"`
	// Response is the first request's response if it is still retained.
	Response *RetainedResponse `msgpack:"answer"`
	// Execution states whether the first request ran, if it has ended.
	Execution coltsfootward.Execution `msgpack:"execution"`
}

// Options are a holder's settings. The zero value of each field means its default.
type Options struct {
	// Window is the time within which repeated requests with a key are recognised.
	// The default is 10 min.
	Window time.Duration
	// ClockMargin is the largest difference between the wall clocks of callers and
	// nodes at which a key's timestamp is evaluated correctly. The default is 5 s.
	ClockMargin time.Duration
	// Lifetime is the time within which the request of a granted claim may be
	// dispatched. It must be well below Window. The default is 30 s.
	Lifetime time.Duration
	// MaximumClaims is the maximum number of retained claims. The default is 100,000.
	MaximumClaims int
	// RetainedResponseBytes is the maximum memory for retained responses, in bytes. The
	// default is 16 MiB.
	RetainedResponseBytes int
}

// The defaults of Options.
const (
	DefaultWindow                = 10 * time.Minute
	DefaultClockMargin           = 5 * time.Second
	DefaultLifetime              = 30 * time.Second
	DefaultMaximumClaims         = 100_000
	DefaultRetainedResponseBytes = 16 << 20
)

// retention is how long a claim stays in memory. Its request may be dispatched
// until the end of the claim's lifetime, and the window counts from then.
func (o Options) retention() time.Duration { return o.Window + o.Lifetime }

// WithDefaults returns the options with zero values replaced by the defaults.
func (o Options) WithDefaults() Options {
	if o.Window <= 0 {
		o.Window = DefaultWindow
	}
	if o.ClockMargin <= 0 {
		o.ClockMargin = DefaultClockMargin
	}
	if o.Lifetime <= 0 {
		o.Lifetime = min(DefaultLifetime, o.Window/4)
	}
	if o.MaximumClaims <= 0 {
		o.MaximumClaims = DefaultMaximumClaims
	}
	if o.RetainedResponseBytes <= 0 {
		o.RetainedResponseBytes = DefaultRetainedResponseBytes
	}
	return o
}
