// Package message defines what nodes say to each other. Every message is a
// typed value; coltsfootward/io/peer carries it as msgpack over TCP.
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
	KindConfigurationWhole   Kind = "configuration_whole"
	KindClaimRequest         Kind = "claim_request"
	KindClaimVerdict         Kind = "claim_verdict"
	KindClaimHandover        Kind = "claim_handover"
	KindClaimEnd             Kind = "claim_end"
	KindClaimEndTaken        Kind = "claim_end_taken"
)

// Message is one message between nodes.
type Message interface {
	// MessageKind names the type on the wire.
	MessageKind() Kind
}

// prototypes returns an empty value of each kind. A new message type is added
// here and nowhere else.
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
	KindOffer:                func() Message { return &SlotOffer{} },
	KindConfigurationPage:    func() Message { return &ConfigurationPage{} },
	KindConfigurationWhole:   func() Message { return &ConfigurationWhole{} },
	KindConfirmation:         func() Message { return &Confirmation{} },
	KindConfirmationQuery:    func() Message { return &ConfirmationQuery{} },
	KindDomainConfirmation:   func() Message { return &DomainConfirmation{} },
	KindClaimRequest:         func() Message { return &ClaimRequest{} },
	KindClaimVerdict:         func() Message { return &ClaimVerdict{} },
	KindClaimHandover:        func() Message { return &ClaimHandover{} },
	KindClaimEnd:             func() Message { return &ClaimEnd{} },
	KindClaimEndTaken:        func() Message { return &ClaimEndTaken{} },
}

// New returns an empty message of that kind to decode into, or nil for a kind
// that this version does not know.
func New(kind Kind) Message {
	if prototype, ok := prototypes[kind]; ok {
		return prototype()
	}
	return nil
}

// Call is the head of a request that an entry node sends to an upstream's
// node. It never holds the caller's key.
type Call struct {
	Request      coltsfootward.RequestID        `msgpack:"request"`
	Organisation coltsfootward.OrganisationName `msgpack:"organisation"`
	Service      coltsfootward.ServiceName      `msgpack:"service"`
	Method       string                         `msgpack:"method"`
	Path         string                         `msgpack:"path"`
	// Header is filled in by the caller's face; the decisions do not read it.
	Header   map[string][]string    `msgpack:"header"`
	Priority coltsfootward.Priority `msgpack:"priority"`
	// Second orders requests of one priority, where the organisation's priority
	// goes before the route's.
	Second coltsfootward.Priority `msgpack:"second,omitempty"`
	// ShedRank orders requests for shedding over the whole chain; lower is
	// more important. It is the same at every depth of one request.
	ShedRank uint32 `msgpack:"shed_rank"`
	// Budget is the number of attempts that this call and all below it may use.
	Budget int `msgpack:"budget"`
	// NoRetries is set for the repeats of a caller that retries by itself: were
	// the chain to retry as well, the two would multiply.
	NoRetries bool `msgpack:"no_retries"`
	// Timeout is what is left of the caller's time.
	Timeout time.Duration `msgpack:"timeout"`
	// StartWithin is how long the call's admission lasts: it must have been
	// dispatched by then, or not at all. Zero means no limit.
	StartWithin time.Duration `msgpack:"start_within"`
	// Renewable is set if StartWithin is what is left of a token of the
	// organisation's rate and nothing else: when it has passed, the upstream's
	// node may draw a token of its own in its place.
	Renewable bool `msgpack:"renewable"`
	// Unrepeatable requests are never attempted again once a byte may have
	// reached a backend server.
	Unrepeatable bool `msgpack:"unrepeatable"`
	// IdempotencyKey is the caller's, passed on to the backend server.
	IdempotencyKey string `msgpack:"idempotency_key"`
	// Depth counts the calls above this one; the entry call has depth zero.
	Depth int `msgpack:"depth"`
	// Repeat is set if another backend server may have seen a routed request
	// before, or if it is a call that such a request makes.
	Repeat bool `msgpack:"repeat,omitempty"`
	// Route is set if the request was routed by host and path. It is the class
	// that the request's work belongs to.
	Route coltsfootward.RouteName `msgpack:"route,omitempty"`
	// Host is the authority that a routed request named.
	Host string `msgpack:"host,omitempty"`
	// Caller is the service beside the node that a routed request entered at.
	Caller coltsfootward.ServiceName `msgpack:"caller,omitempty"`
}

// Load is what an upstream's node says about itself with every answer.
type Load struct {
	// Running is the number of requests that the upstream serves.
	Running int `msgpack:"running"`
	// Queued is the number of requests that wait for it.
	Queued int `msgpack:"queued"`
	// Limit is the current concurrency limit.
	Limit int `msgpack:"limit"`
	// Cold is how much longer the backend server is cold and gets few requests.
	Cold time.Duration `msgpack:"cold,omitempty"`
	// ShedLevel is the highest shed rank that is still accepted; zero means all are.
	ShedLevel uint32 `msgpack:"shed_level"`
	// Excess is the part of the demand for the upstream's service that entry nodes
	// are to refuse, in a routed deployment.
	Excess float64 `msgpack:"excess,omitempty"`
	// Cost is the slot time in seconds that one request of this class takes at the
	// upstream, zero if that is not known.
	Cost float64 `msgpack:"cost,omitempty"`
	// Below says the same of the services that requests of this class need
	// further down.
	Below []Pressure `msgpack:"below,omitempty"`
}

// Pressure is the part of the demand for a service that entry nodes are to refuse,
// and the slot time in seconds that one request of a class takes there.
type Pressure struct {
	Service coltsfootward.ServiceName `msgpack:"service"`
	Excess  float64                   `msgpack:"excess"`
	Cost    float64                   `msgpack:"cost"`
}

// Answer is the head of what comes back for a Call: a backend server's status
// and header, or a refusal.
type Answer struct {
	Status  int                    `msgpack:"status"`
	Header  map[string][]string    `msgpack:"header"`
	Refusal *coltsfootward.Refusal `msgpack:"refusal"`
	Load    Load                   `msgpack:"load"`
}

// End closes an answer after its body. An answer without one is truncated.
type End struct {
	// Attempts is how many attempts this call and all below it used.
	Attempts int `msgpack:"attempts"`
	// Needed is how many they would have used if none had failed.
	Needed int `msgpack:"needed"`
}
