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
	// Digest returns what is to travel with all gossip; nil means nothing.
	Digest func() message.ConfigurationDigest
	// Changed is told of every change of a member's state that this node takes
	// in; nil means that nobody is.
	Changed func(old, news message.News)
	// Reachable is told when a failure domain is lost or found again; nil
	// means that nobody is.
	Reachable func(domain coltsfootward.FailureDomain, reachable bool)
	// ProbeInterval is the time between two probes, in the node's own domain
	// and across domains alike. The default is 1 s.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a probe waits before others are asked to probe
	// in its place; they get twice as long. The default is 500 ms.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspected member has to refute that. The
	// default is 4 s.
	SuspicionTimeout time.Duration
	// GossipInterval is the time between two rounds of gossip while there is
	// news. The default is 200 ms.
	GossipInterval time.Duration
	// SyncInterval is the time between two comparisons of the roster with that
	// of a random member. The default is 10 s.
	SyncInterval time.Duration
	// ForgetAfter is how long a member that is gone is remembered and now and
	// then probed. The default is 1 h.
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
	// indirectProbes is how many others probe a member that did not answer.
	// Three of them all lose their way to a live member only if it is cut off
	// from most of the domain.
	indirectProbes = 3
	// gossipTargets is how many members hear of news in each round: two of the
	// own domain and one of another. Each round about quadruples who knows.
	gossipTargets = 3
	// maximumNews bounds the news of one message to about 1.2 KB, so that churn
	// of any size, such as half a domain lost behind a switch, costs a node at
	// most about 15 KB a second in each direction.
	maximumNews = 8
	// retransmitFactor times the decimal digits of the number of members is
	// how often each node passes a piece of news on.
	retransmitFactor = 6
	// isolatedFactor stretches the suspicion of a node that hears nobody: then
	// its own link is the likelier culprit than all of its peers.
	isolatedFactor = 5
	// returnTargets bounds how many members a node tells by itself that it is back
	// after it was cut off: all of a domain of dozens, and few enough for one of a
	// thousand whose switch comes back.
	returnTargets = 64
	// isolatedProbes is how many probes in a row go unanswered before a node
	// holds its own link for broken.
	isolatedProbes = 3
	// unreachableProbes is how many probes in a row go unanswered before a
	// failure domain is held for cut off.
	unreachableProbes = 3
	// pauseGap is the time between two ticks that shows that the node was
	// paused: what it waited for may sit unread in its buffers.
	pauseGap = 300 * time.Millisecond
	// bucketCount is into how many parts a roster is divided for comparison. At
	// 24,000 members a part has about 94.
	bucketCount = 256
	// pageNews bounds the members of a page, and so its size to about 100 KB.
	pageNews = 400
	// hotPage is how many new members a page may bring that are passed on as
	// news. A larger page is another's whole roster; others compare theirs.
	hotPage = 64
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
	if o.Changed == nil {
		o.Changed = func(_, _ message.News) {}
	}
	if o.Reachable == nil {
		o.Reachable = func(coltsfootward.FailureDomain, bool) {}
	}
	return o
}

func setDefault(value *time.Duration, standard time.Duration) {
	if *value <= 0 {
		*value = standard
	}
}
