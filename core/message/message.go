// Package message defines the messages that nodes exchange. Every message is a typed
// value; coltsfootward/io/peer sends it as msgpack over TCP.
package message

import (
	"time"

	"coltsfootward"
)

// Kind names a message type on the wire.
type Kind string

// The kinds of message.
const (
	KindAnnouncement         Kind = "announcement"
	KindGossip               Kind = "gossip"
	KindProbe                Kind = "probe"
	KindProbeRequest         Kind = "probe_request"
	KindProbeAnswer          Kind = "probe_answer"
	KindRosterDigest         Kind = "roster_digest"
	KindRosterBuckets        Kind = "roster_buckets"
	KindRosterPage           Kind = "roster_page"
	KindConfigurationDigest  Kind = "configuration_digest"
	KindConfigurationPull    Kind = "configuration_pull"
	KindConfigurationChanges Kind = "configuration_changes"
	KindConfigurationPage    Kind = "configuration_page"
	KindConfirmation         Kind = "confirmation"
	KindConfirmationQuery    Kind = "confirmation_query"
	KindDomainConfirmation   Kind = "domain_confirmation"
	KindFullConfiguration    Kind = "configuration_whole"
	KindClaimRequest         Kind = "claim_request"
	KindClaimVerdict         Kind = "claim_verdict"
	KindClaimHandover        Kind = "claim_handover"
	KindClaimEnd             Kind = "claim_end"
	KindClaimEndAcknowledged Kind = "claim_end_taken"
)

// Message is one message between nodes.
type Message interface {
	// MessageKind names the type on the wire.
	MessageKind() Kind
}

// prototypes maps each kind to a constructor of an empty message. A new message type
// has to be registered here and nowhere else.
var prototypes = map[Kind]func() Message{
	KindAnnouncement:         func() Message { return &Announcement{} },
	KindGossip:               func() Message { return &Gossip{} },
	KindProbe:                func() Message { return &Probe{} },
	KindProbeRequest:         func() Message { return &ProbeRequest{} },
	KindProbeAnswer:          func() Message { return &ProbeAnswer{} },
	KindRosterDigest:         func() Message { return &RosterDigest{} },
	KindRosterBuckets:        func() Message { return &RosterBuckets{} },
	KindRosterPage:           func() Message { return &RosterPage{} },
	KindConfigurationDigest:  func() Message { return &ConfigurationDigest{} },
	KindConfigurationPull:    func() Message { return &ConfigurationPull{} },
	KindConfigurationChanges: func() Message { return &ConfigurationChanges{} },
	KindDraw:                 func() Message { return &Draw{} },
	KindGrant:                func() Message { return &Grant{} },
	KindSlotOffer:            func() Message { return &SlotOffer{} },
	KindLoadNotice:           func() Message { return &LoadNotice{} },
	KindConfigurationPage:    func() Message { return &ConfigurationPage{} },
	KindFullConfiguration:    func() Message { return &FullConfiguration{} },
	KindConfirmation:         func() Message { return &Confirmation{} },
	KindConfirmationQuery:    func() Message { return &ConfirmationQuery{} },
	KindDomainConfirmation:   func() Message { return &DomainConfirmation{} },
	KindClaimRequest:         func() Message { return &ClaimRequest{} },
	KindClaimVerdict:         func() Message { return &ClaimVerdict{} },
	KindClaimHandover:        func() Message { return &ClaimHandover{} },
	KindClaimEnd:             func() Message { return &ClaimEnd{} },
	KindClaimEndAcknowledged: func() Message { return &ClaimEndAcknowledged{} },
	KindDemandReport:         func() Message { return &DemandReport{} },
	KindDemandSummary:        func() Message { return &DemandSummary{} },
	KindDemandExchange:       func() Message { return &DemandExchange{} },
}

// New returns an empty message of the given kind to decode into, or nil if this
// version does not support the kind.
func New(kind Kind) Message {
	if prototype, ok := prototypes[kind]; ok {
		return prototype()
	}
	return nil
}

// Call is the head of a request that an entry node forwards to the node of an
// upstream. It never contains the caller's API key.
type Call struct {
	Request      coltsfootward.RequestID        `msgpack:"request"`
	Organisation coltsfootward.OrganisationName `msgpack:"organisation"`
	Service      coltsfootward.ServiceName      `msgpack:"service"`
	Method       string                         `msgpack:"method"`
	Path         string                         `msgpack:"path"`
	// Header is set by io/caller, which receives the caller's request. Package node
	// does not read it.
	Header   map[string][]string    `msgpack:"header"`
	Priority coltsfootward.Priority `msgpack:"priority"`
	// SecondaryPriority orders requests with equal Priority. It is set where the
	// organisation's priority takes precedence over the route's.
	SecondaryPriority coltsfootward.Priority `msgpack:"second,omitempty"`
	// ShedRank orders requests for load shedding; a lower rank is more important. It is
	// the same for all calls of one request's call tree.
	ShedRank uint32 `msgpack:"shed_rank"`
	// Budget is the number of attempts that this call and its child calls may use.
	Budget int `msgpack:"budget"`
	// NoRetries is set for a retry by the caller itself: if the nodes along the call
	// chain retried as well, the numbers of attempts would multiply.
	NoRetries bool `msgpack:"no_retries"`
	// Timeout is the remaining time until the caller's deadline.
	Timeout time.Duration `msgpack:"timeout"`
	// StartWithin is the remaining time for which the call's admission is valid. A call
	// that has not been dispatched by then must not be dispatched. Zero means no limit.
	StartWithin time.Duration `msgpack:"start_within"`
	// Renewable is set if StartWithin is determined only by the expiry of a token of
	// the organisation's rate. Once it has passed, the upstream's node may draw a new
	// token in place of the expired one.
	Renewable bool `msgpack:"renewable"`
	// Unrepeatable is set for requests that must not be retried once any byte may have
	// reached a backend server.
	Unrepeatable bool `msgpack:"unrepeatable"`
	// IdempotencyKey is the caller's key, forwarded to the backend server.
	IdempotencyKey string `msgpack:"idempotency_key"`
	// Depth is the number of ancestor calls; the call at the entry node has depth zero.
	Depth int `msgpack:"depth"`
	// Retry is set if a backend server may already have received this routed request,
	// or if this is a child call of such a request.
	Retry bool `msgpack:"repeat,omitempty"`
	// Route is set if the request was routed by host and path. It is the class by which
	// the cost of the request is estimated.
	Route coltsfootward.RouteName `msgpack:"route,omitempty"`
	// Host is the authority of a routed request.
	Host string `msgpack:"host,omitempty"`
	// Caller is the service of the backend server beside the node at which a routed
	// request entered.
	Caller coltsfootward.ServiceName `msgpack:"caller,omitempty"`
	// Account is the organisation whose share of a service a child call counts against.
	// It comes from an estimate, so it is never sent to a backend server and never used
	// for identity, keys or rates.
	Account coltsfootward.OrganisationName `msgpack:"account,omitempty"`
	// Attributed is set for a routed child call that was attributed to its parent request.
	Attributed bool `msgpack:"attributed,omitempty"`
	// Sends is how often this call has been sent to backend servers before.
	Sends int `msgpack:"sends,omitempty"`
}

// Load is the load report that an upstream's node sends with every Response.
type Load struct {
	// Running is the number of requests that the upstream is serving.
	Running int `msgpack:"running"`
	// Queued is the number of requests that wait for the upstream.
	Queued int `msgpack:"queued"`
	// Limit is the current concurrency limit.
	Limit int `msgpack:"limit"`
	// Cold is the remaining time for which the backend server is cold and gets fewer
	// requests.
	Cold time.Duration `msgpack:"cold,omitempty"`
	// ShedLevel is the highest shed rank that is still accepted; zero means that all
	// are.
	ShedLevel uint32 `msgpack:"shed_level"`
	// Excess is the fraction of the demand for the upstream's service that entry nodes
	// should refuse, in a routed deployment.
	Excess float64 `msgpack:"excess,omitempty"`
	// Cost is the slot time in seconds that one request of this class uses at the
	// upstream; zero if it is not known.
	Cost float64 `msgpack:"cost,omitempty"`
	// Downstream contains the excess and the cost for each downstream service that
	// requests of this class call, directly or indirectly.
	Downstream []Pressure `msgpack:"below,omitempty"`
	// Slowdown is how many times as long as usual work takes at the backend server, as
	// the server stated; zero if it states nothing. SlowdownAge is the time since then.
	Slowdown    float64       `msgpack:"slowdown,omitempty"`
	SlowdownAge time.Duration `msgpack:"slowdown_age,omitempty"`
	// Wait is how long a request that arrived now would wait for the backend server.
	Wait time.Duration `msgpack:"wait,omitempty"`
}

// Resource names what a service is short of.
type Resource string

// The resources.
const (
	// ResourceSlots are the slots of the service's backend servers.
	ResourceSlots Resource = ""
	// ResourceRetries are the retries that the service's retry budget allows.
	ResourceRetries Resource = "retries"
)

// Pressure is the fraction of the demand for a service that entry nodes should refuse,
// and the slot time in seconds that one request of a class uses at that service.
type Pressure struct {
	Service coltsfootward.ServiceName `msgpack:"service"`
	Excess  float64                   `msgpack:"excess"`
	Cost    float64                   `msgpack:"cost"`
	// Resource is what the service is short of. For ResourceRetries, Cost is the expected
	// number of retries that one request needs.
	Resource Resource `msgpack:"resource,omitempty"`
}

// Response is the head of the response to a Call: the backend server's status and
// header, or a refusal.
type Response struct {
	Status  int                    `msgpack:"status"`
	Header  map[string][]string    `msgpack:"header"`
	Refusal *coltsfootward.Refusal `msgpack:"refusal"`
	Load    Load                   `msgpack:"load"`
	// RetryGranted is set in a refusal if the refusing node permits one more attempt out
	// of its part of the service's retry budget.
	RetryGranted bool `msgpack:"retry_granted,omitempty"`
}

// ResponseEnd terminates a response after its body. A response without a ResponseEnd is
// truncated.
type ResponseEnd struct {
	// Attempts is the number of attempts that this call and its child calls used.
	Attempts int `msgpack:"attempts"`
	// Needed is the number of attempts that they would have used without failures.
	Needed int `msgpack:"needed"`
}
