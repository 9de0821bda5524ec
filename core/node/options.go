package node

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/claim"
	"coltsfootward/core/lease"
	"coltsfootward/core/retry"
)

// Options are a node's settings as far as the decisions need them. The zero
// value of each field but Self means its default.
type Options struct {
	// Self is this node.
	Self coltsfootward.Instance
	// Domains lists every failure domain of the deployment.
	Domains []coltsfootward.FailureDomain
	// Attempts bounds the attempts of one request over the whole chain, the
	// first ones included. The default is 128: with so many the first request of
	// all passes seven services, each of which keeps half back for a second call
	// until it has seen that there is none. Later requests need seven.
	Attempts int
	// Timeout bounds a request that brings none. The default is 10 s.
	Timeout time.Duration
	// MaximumTimeout caps what a caller may ask for. The default is 60 s.
	MaximumTimeout time.Duration
	// ClaimWindow is how long the claims on idempotency keys are remembered. A
	// key that carries no time runs at most once within it. The default is 10 min.
	ClaimWindow time.Duration
	// ClaimClockMargin is how far the wall clocks of callers and nodes may
	// differ. The default is 5 s.
	ClaimClockMargin time.Duration
	// MaximumClaims bounds the claims remembered for each slot that this node
	// holds. Beyond it further keys are refused. The default is 100 000.
	MaximumClaims int
	// KeptAnswerBytes bounds the memory for answers that are kept for repeats,
	// for each slot that this node holds. The default is 16 MiB.
	KeptAnswerBytes int
	// PollInterval is the time between two reads of the configuration's
	// revision. The default is 1 s.
	PollInterval time.Duration
	// Slots is the number of slots in each failure domain; every node of the
	// deployment has the same. The default is 4.
	Slots int
	// Routed is set for deployments whose requests are routed by host and path,
	// whose configuration is one document that comes as ConfigurationRead, and
	// where each slot of the rate belongs to a node by the roster alone.
	Routed bool
	// Service is the service beside this node; backend servers of a routed
	// deployment are told where a request entered.
	Service coltsfootward.ServiceName
	// ConfigurationSpread is how long a change of the configuration may take to
	// reach every holder of a slot. The default is the target's 13 s.
	ConfigurationSpread time.Duration
	// RetryShare is what all repeats at a service of a routed deployment may be
	// of its requests; the default is retry.Ratio.
	RetryShare float64
	// RetryCapacity is how many retries for one service all nodes of a routed
	// deployment together may save up. The default is 48.
	RetryCapacity float64
	// LeaseTerm is how long a node holds a slot without the platform's answer.
	// The default is 1 min.
	LeaseTerm time.Duration
	// LeaseMargin is what a claimant of a slot waits beyond the holder's term.
	// The default is 1 s.
	LeaseMargin time.Duration
	// Contacts are instances that the node tries to reach at its start, besides
	// those that the table names. Empty means only the table's.
	Contacts []coltsfootward.Instance
	// KeyGrace is how long a node goes on honouring keys that hears neither of
	// the platform nor of most failure domains. A longer one serves callers
	// through longer cuts; a key withdrawn meanwhile works behind the cut for
	// as long. A failure domain that Domains lists counts as unheard if nothing
	// runs there. The default is 10 min.
	KeyGrace time.Duration
}

// The defaults of Options.
const (
	DefaultAttempts       = 128
	DefaultTimeout        = 10 * time.Second
	DefaultMaximumTimeout = 60 * time.Second
	DefaultPollInterval   = time.Second
	DefaultSlots          = 4
	DefaultKeyGrace       = 10 * time.Minute

	DefaultConfigurationSpread = 13 * time.Second
	DefaultRetryCapacity       = 48
)

// WithDefaults returns a copy in which every field that was zero has its default.
func (o Options) WithDefaults() Options {
	if o.Attempts <= 0 {
		o.Attempts = DefaultAttempts
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.MaximumTimeout <= 0 {
		o.MaximumTimeout = DefaultMaximumTimeout
	}
	if o.PollInterval <= 0 {
		o.PollInterval = DefaultPollInterval
	}
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.LeaseTerm <= 0 {
		o.LeaseTerm = lease.DefaultTerm
	}
	if o.LeaseMargin <= 0 {
		o.LeaseMargin = lease.DefaultMargin
	}
	o.setClaimDefaults()
	if o.ConfigurationSpread <= 0 {
		o.ConfigurationSpread = DefaultConfigurationSpread
	}
	if o.RetryShare <= 0 {
		o.RetryShare = retry.Ratio
	}
	if o.RetryCapacity <= 0 {
		o.RetryCapacity = DefaultRetryCapacity
	}
	if o.KeyGrace <= 0 {
		o.KeyGrace = DefaultKeyGrace
	}
	return o
}

func (o *Options) setClaimDefaults() {
	claims := o.claims().WithDefaults()
	o.ClaimWindow = claims.Window
	o.ClaimClockMargin = claims.ClockMargin
	o.MaximumClaims = claims.Claims
	o.KeptAnswerBytes = claims.AnswerBytes
}

func (o Options) claims() claim.Options {
	return claim.Options{
		Window:      o.ClaimWindow,
		ClockMargin: o.ClaimClockMargin,
		Claims:      o.MaximumClaims,
		AnswerBytes: o.KeptAnswerBytes,
	}
}
