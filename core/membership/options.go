package membership

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
)

// Options are the settings of a Machine. Self and Send must be set; the zero
// value of any other field means its default.
type Options struct {
	// Self is this node.
	Self coltsfootward.Instance
	// Send sends a message, which may be lost.
	Send func(to coltsfootward.Instance, m message.Message)
	// Digest returns the configuration digest to send with all gossip; nil means an
	// empty digest.
	Digest func() message.ConfigurationDigest
	// OnChange is called for every update of another member that this node applies.
	// It may be nil.
	OnChange func(old, update message.MemberUpdate)
	// OnReachable is called when another failure domain becomes unreachable or
	// reachable again. It may be nil.
	OnReachable func(domain coltsfootward.FailureDomain, reachable bool)
	// ProbeInterval is the time between two probes, both within the node's domain and
	// across domains. The default is 1 s.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe may remain unanswered before indirect
	// probes are requested. The indirect probes get twice as long. The default is
	// 500 ms.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspected member has to refute the suspicion
	// before it is declared gone. The default is 4 s.
	SuspicionTimeout time.Duration
	// GossipInterval is the time between two rounds of gossip while updates are
	// queued. The default is 200 ms.
	GossipInterval time.Duration
	// SyncInterval is the time between two comparisons of the roster with the roster
	// of a random member. The default is 10 s.
	SyncInterval time.Duration
	// ForgetAfter is how long a member that is gone or has left stays in the roster.
	// A gone member is still probed occasionally. The default is 1 h.
	ForgetAfter time.Duration
}

// The defaults of Options.
const (
	DefaultProbeInterval    = time.Second
	DefaultProbeTimeout     = 500 * time.Millisecond
	DefaultSuspicionTimeout = 4 * time.Second
	DefaultGossipInterval   = 200 * time.Millisecond
	DefaultSyncInterval     = 10 * time.Second
	DefaultForgetAfter      = time.Hour
)

const (
	// indirectProbes is the number of other members that are requested to probe a
	// member that did not answer. All three fail to reach a live member only if that member
	// is partitioned from most of the domain.
	indirectProbes = 3
	// gossipTargets is the number of members that receive updates in each round: two
	// of this node's domain and one of another. Each round about quadruples the number
	// of members that have an update.
	gossipTargets = 3
	// maximumUpdates bounds the updates of one message to about 1.2 KB. Churn of any
	// size, such as the loss of half a domain behind a switch, thus costs a node at
	// most about 15 KB/s in each direction.
	maximumUpdates = 8
	// retransmitFactor times the number of decimal digits of the member count is how
	// often each node sends an update.
	retransmitFactor = 6
	// isolatedFactor multiplies the suspicion timeout of a node that receives no
	// messages: a fault of its own link is then more likely than a fault of all peers.
	isolatedFactor = 5
	// returnTargets bounds the number of members that a node notifies directly after
	// its isolation ends. It covers a whole domain of dozens of members, and limits
	// the load when the switch of a domain of a thousand members recovers.
	returnTargets = 64
	// isolatedProbes is the number of consecutive unanswered probes after which a node
	// considers its own link broken.
	isolatedProbes = 3
	// unreachableProbes is the number of consecutive unanswered probes after which a
	// failure domain is considered unreachable.
	unreachableProbes = 3
	// pauseGap is the time between two ticks from which on the node is considered to
	// have been paused: answers to its probes may wait unread in its socket buffers.
	pauseGap = 300 * time.Millisecond
	// bucketCount is the number of buckets into which a roster is divided for
	// comparison. With 24,000 members a bucket has about 94.
	bucketCount = 256
	// maximumPageEntries bounds the members of a page, and thus its size to about 100 KB.
	maximumPageEntries = 400
	// gossipPageLimit is the number of new entries in a page up to which they are
	// gossiped. A page with more is part of a full roster transfer, and other nodes
	// receive those entries by their own comparisons.
	gossipPageLimit = 64
)

func (o Options) withDefaults() Options {
	setDefault(&o.ProbeInterval, DefaultProbeInterval)
	setDefault(&o.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&o.SuspicionTimeout, DefaultSuspicionTimeout)
	setDefault(&o.GossipInterval, DefaultGossipInterval)
	setDefault(&o.SyncInterval, DefaultSyncInterval)
	setDefault(&o.ForgetAfter, DefaultForgetAfter)
	if o.Digest == nil {
		o.Digest = func() message.ConfigurationDigest { return message.ConfigurationDigest{} }
	}
	if o.OnChange == nil {
		o.OnChange = func(_, _ message.MemberUpdate) {}
	}
	if o.OnReachable == nil {
		o.OnReachable = func(coltsfootward.FailureDomain, bool) {}
	}
	return o
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}
