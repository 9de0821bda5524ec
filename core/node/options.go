package node

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/claim"
	"coltsfootward/core/fairshare"
	"coltsfootward/core/lease"
	"coltsfootward/core/retry"
)

// Options are the settings of a node's state machine. The zero value of each
// field except Self selects its default.
type Options struct {
	// Self is the instance that this node runs on.
	Self coltsfootward.Instance
	// Domains lists every failure domain of the deployment.
	Domains []coltsfootward.FailureDomain
	// Attempts bounds the attempts of one request over the whole call chain,
	// first attempts included. The default is 128. It suffices for the first
	// request ever sent through a chain of seven services, each of which
	// reserves half of its attempts for a second child call until it has
	// learned that there is none. Later requests through such a chain need
	// seven attempts.
	Attempts int
	// Timeout applies to requests that set none. The default is 10 s.
	Timeout time.Duration
	// MaximumTimeout caps the timeout that a caller may set. The default is 60
	// s.
	MaximumTimeout time.Duration
	// ClaimWindow is the retention period of claims on idempotency keys. A key
	// without a timestamp runs at most once within this period. The default is
	// 10 min.
	ClaimWindow time.Duration
	// ClaimClockMargin is the largest tolerated difference between the wall
	// clocks of callers and nodes. The default is 5 s.
	ClaimClockMargin time.Duration
	// MaximumClaims bounds the claims retained for each slot that this node
	// holds. New keys beyond the limit are refused. The default is 100 000.
	MaximumClaims int
	// RetainedResponseBytes bounds the memory for responses that are retained for
	// repeated requests, for each slot that this node holds. The default is 16
	// MiB.
	RetainedResponseBytes int
	// PollInterval is the time between two reads of the configuration changes
	// from the table. The default is 1 s.
	PollInterval time.Duration
	// Slots is the number of slots in each failure domain. All nodes of a
	// deployment must use the same value. The default is 4.
	Slots int
	// Routed is set for deployments that route requests by host and path. Their
	// configuration is a single document, which arrives as ConfigurationRead,
	// and their slots are assigned to nodes from the membership roster alone,
	// without leases.
	Routed bool
	// Service is the service that runs beside this node. In a routed deployment
	// it is passed to backend servers as the service through which a request
	// entered.
	Service coltsfootward.ServiceName
	// ConfigurationSpread is the longest time that a configuration change takes
	// to reach every slot holder. The default, 13 s, is the target for changes
	// to be in force everywhere.
	ConfigurationSpread time.Duration
	// RetryShare bounds the retries for a service of a routed deployment, as a
	// fraction of the service's requests. The default is retry.Ratio.
	RetryShare float64
	// RetryBurst is the largest burst of retries for one service of a routed
	// deployment, all nodes taken together. The default is 48.
	RetryBurst float64
	// Attribution selects how child calls of a routed deployment are attributed to the
	// requests that made them. The default is AttributionNone.
	Attribution string
	// RetryGrants lets the nodes of backend servers grant the retries of a routed
	// deployment. All nodes of a deployment must use the same value.
	RetryGrants bool
	// ShareScope is whose demand decides which requests are refused at entry. The
	// default is ShareScopeEntry. It applies to routed deployments.
	ShareScope ShareScope
	// ShareWeights are the weights of organisations under ShareScopeFleet.
	ShareWeights fairshare.Weights
	// Crossing decides which requests of a routed deployment are sent to another failure
	// domain. The default is CrossingOccupancy.
	Crossing Crossing
	// CrossingMargin is the fraction of its capacity that a failure domain keeps free of
	// requests of other domains, with CrossingSurplus; zero means none.
	CrossingMargin float64
	// LeaseTerm is how long a node holds a slot after its last successful
	// renewal. The default is 1 min.
	LeaseTerm time.Duration
	// LeaseMargin is the extra time that a claimant of a slot waits after the
	// holder's term. The default is 1 s.
	LeaseMargin time.Duration
	// Contacts are instances that the node contacts at its start, in addition
	// to those in the table. If it is empty, only the table's contacts are
	// used.
	Contacts []coltsfootward.Instance
	// KeyGrace is how long a node keeps accepting keys while it has contact
	// neither with the platform, directly or through its peers, nor with most
	// failure domains. A longer period serves callers through longer network
	// partitions, but a key that is withdrawn during a partition keeps working
	// on the isolated side for as long. A failure domain in Domains that has no
	// running node counts as unreachable. The default is 10 min.
	KeyGrace time.Duration
	// Quarantine is how long a request that has crashed several backend servers is
	// withheld after the crashes. The default is 1 h.
	Quarantine time.Duration
}

// Default values of Options.
const (
	DefaultAttempts       = 128
	DefaultTimeout        = 10 * time.Second
	DefaultMaximumTimeout = 60 * time.Second
	DefaultPollInterval   = time.Second
	DefaultSlots          = 4
	DefaultKeyGrace       = 10 * time.Minute
	DefaultQuarantine     = time.Hour

	DefaultConfigurationSpread = 13 * time.Second
	DefaultRetryBurst          = 48
)

// WithDefaults returns a copy in which every zero field is set to its default.
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
	if o.Crossing == "" {
		o.Crossing = CrossingOccupancy
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
	if o.RetryBurst <= 0 {
		o.RetryBurst = DefaultRetryBurst
	}
	if o.Attribution == "" {
		o.Attribution = AttributionNone
	}
	if o.ShareScope == "" {
		o.ShareScope = ShareScopeEntry
	}
	if o.KeyGrace <= 0 {
		o.KeyGrace = DefaultKeyGrace
	}
	if o.Quarantine <= 0 {
		o.Quarantine = DefaultQuarantine
	}
	return o
}

func (o *Options) setClaimDefaults() {
	claims := o.claims().WithDefaults()
	o.ClaimWindow = claims.Window
	o.ClaimClockMargin = claims.ClockMargin
	o.MaximumClaims = claims.MaximumClaims
	o.RetainedResponseBytes = claims.RetainedResponseBytes
}

func (o Options) claims() claim.Options {
	return claim.Options{
		Window:                o.ClaimWindow,
		ClockMargin:           o.ClaimClockMargin,
		MaximumClaims:         o.MaximumClaims,
		RetainedResponseBytes: o.RetainedResponseBytes,
	}
}
