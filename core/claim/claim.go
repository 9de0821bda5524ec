// Package claim keeps repeats of an idempotency key apart. A claim is taken
// before a request that must run at most once is dispatched, from the one
// holder that the key belongs to.
//
// Holder is a plain state machine: it reads no clock and sends nothing.
package claim

import (
	"time"

	"coltsfootward"
)

// Key is an idempotency key as one organisation uses it.
type Key struct {
	Organisation coltsfootward.OrganisationName `msgpack:"organisation"`
	Text         string                         `msgpack:"text"`
}

// ID names one claim: one request of one caller at one entry node.
type ID string

// Request asks for a claim. It may be sent again with the same ID.
type Request struct {
	Key Key `msgpack:"key"`
	ID  ID  `msgpack:"id"`
	// Content is a digest of what the request asks for, so that a key that is
	// used for two different requests is noticed.
	Content uint64 `msgpack:"content"`
}

// Decision says what became of a claim.
type Decision string

// The decisions on a claim.
const (
	// Granted means that the request may be dispatched within Verdict.Life.
	Granted Decision = "granted"
	// Running means that a request with the key runs or may run.
	Running Decision = "running"
	// AlreadyRun means that a request with the key has ended and ran or may have run.
	AlreadyRun Decision = "already_run"
	// Reused means that the key was used for another request.
	Reused Decision = "reused"
	// HeldOff means that the holder cannot know yet whether the key was used.
	HeldOff Decision = "held_off"
	// Forgotten means that the holder cannot know any more whether it was used.
	Forgotten Decision = "forgotten"
	// Early means that the key carries a time that has not come yet.
	Early Decision = "early"
	// Full means that the holder keeps as many claims as it may.
	Full Decision = "full"
	// Elsewhere means that the instance asked holds no lease for the key.
	Elsewhere Decision = "elsewhere"
)

// Answer is a whole answer, kept for repeats of its request.
type Answer struct {
	Status int                 `msgpack:"status"`
	Header map[string][]string `msgpack:"header"`
	Body   []byte              `msgpack:"body"`
}

// size returns about how many bytes the answer takes in memory.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// Verdict is the answer to a Request.
type Verdict struct {
	Decision Decision `msgpack:"decision"`
	// Life is how long a granted claim entitles its request to be dispatched.
	Life time.Duration `msgpack:"life"`
	// RetryAfter is when asking again may help; zero means that it never does.
	RetryAfter time.Duration `msgpack:"retry_after"`
	// Answer is the first request's answer if it is still held.
	Answer *Answer `msgpack:"answer"`
	// Execution is what is known of the first request that has ended.
	Execution coltsfootward.Execution `msgpack:"execution"`
}

// Options are a holder's settings. The zero value of each field means its default.
type Options struct {
	// Window is how long the holder remembers a claim. The default is 10 min.
	Window time.Duration
	// ClockMargin is how far the wall clocks of callers and nodes may differ
	// without a key's own time misleading a holder. The default is 5 s.
	ClockMargin time.Duration
	// Life is how long a claim entitles its request to be dispatched. It must
	// be well below Window. The default is 30 s.
	Life time.Duration
	// Claims bounds how many claims are remembered. The default is 100 000.
	Claims int
	// AnswerBytes bounds the memory for answers. The default is 16 MiB.
	AnswerBytes int
}

// The defaults of Options.
const (
	DefaultWindow      = 10 * time.Minute
	DefaultClockMargin = 5 * time.Second
	DefaultLife        = 30 * time.Second
	DefaultClaims      = 100_000
	DefaultAnswerBytes = 16 << 20
)

// kept is how long a claim stays in memory: its request may be dispatched until
// the end of its life, and the window counts from then.
func (o Options) kept() time.Duration { return o.Window + o.Life }

// WithDefaults returns the options with defaults in place of zero values.
func (o Options) WithDefaults() Options {
	if o.Window <= 0 {
		o.Window = DefaultWindow
	}
	if o.ClockMargin <= 0 {
		o.ClockMargin = DefaultClockMargin
	}
	if o.Life <= 0 {
		o.Life = min(DefaultLife, o.Window/4)
	}
	if o.Claims <= 0 {
		o.Claims = DefaultClaims
	}
	if o.AnswerBytes <= 0 {
		o.AnswerBytes = DefaultAnswerBytes
	}
	return o
}
