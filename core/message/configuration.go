package message

import (
	"time"

	"coltsfootward"
)

// ConfigurationDigest summarises the sender's configuration. It is sent with all
// gossip, so that a node that missed a change detects that within one or two probes.
type ConfigurationDigest struct {
	Revision coltsfootward.Revision `msgpack:"revision"`
	// Withdrawn contains the digests of withdrawn keys whose change the sender has not
	// applied yet. The set only grows; its size is bounded.
	Withdrawn []coltsfootward.KeyDigest `msgpack:"withdrawn,omitempty"`
	// OutOfService lists the failure domains that operators have taken out of service.
	// It is small enough to be sent in full.
	OutOfService coltsfootward.OutOfService `msgpack:"out_of_service"`
	// TableAge is the age of the latest read of the platform's table that the sender
	// knows of, by itself or, through gossip, by any other node.
	TableAge time.Duration `msgpack:"table_age"`
	// DomainMembers is the number of members of the sender's failure domain that have
	// not left, as far as the sender knows.
	DomainMembers int `msgpack:"domain_members,omitempty"`
	// Crashes is a hash of the crash reports that the sender holds.
	Crashes uint64 `msgpack:"crashes,omitempty"`
}

// MessageKind implements Message.
func (*ConfigurationDigest) MessageKind() Kind { return KindConfigurationDigest }

// ConfigurationPull requests the changes after a revision from a peer.
type ConfigurationPull struct {
	After coltsfootward.Revision `msgpack:"after"`
	// Snapshot and Page request a page of the snapshot at that revision. A zero
	// Snapshot requests changes instead.
	Snapshot coltsfootward.Revision `msgpack:"snapshot,omitempty"`
	Page     int                    `msgpack:"page,omitempty"`
}

// MessageKind implements Message.
func (*ConfigurationPull) MessageKind() Kind { return KindConfigurationPull }

// ConfigurationChanges contains consecutive changes, either requested by a
// ConfigurationPull or pushed.
type ConfigurationChanges struct {
	Changes []coltsfootward.Change `msgpack:"changes"`
}

// MessageKind implements Message.
func (*ConfigurationChanges) MessageKind() Kind { return KindConfigurationChanges }

// ConfigurationPage is one page of a full configuration, for a node that is further
// behind than the history of its peer reaches.
type ConfigurationPage struct {
	Revision      coltsfootward.Revision       `msgpack:"revision"`
	Page          int                          `msgpack:"page"`
	Pages         int                          `msgpack:"pages"`
	Organisations []coltsfootward.Organisation `msgpack:"organisations,omitempty"`
	Keys          []coltsfootward.Key          `msgpack:"keys,omitempty"`
	Services      []coltsfootward.Service      `msgpack:"services,omitempty"`
}

// MessageKind implements Message.
func (*ConfigurationPage) MessageKind() Kind { return KindConfigurationPage }

// Confirmation reports to the collector of a failure domain which members have applied
// a revision.
type Confirmation struct {
	Revision coltsfootward.Revision `msgpack:"revision"`
	// Members lists the members whose confirmations the sender forwards; empty means
	// the sender itself. A forwarded confirmation is never forwarded again.
	Members []coltsfootward.InstanceID `msgpack:"members,omitempty"`
}

// MessageKind implements Message.
func (*Confirmation) MessageKind() Kind { return KindConfirmation }

// ConfirmationQuery requests a DomainConfirmation from the collector of a failure
// domain or, without a domain, a member's own Confirmation.
type ConfirmationQuery struct {
	Revision coltsfootward.Revision `msgpack:"revision"`
	// Domain is the failure domain to report on; empty requests the receiver's own
	// confirmation only.
	Domain coltsfootward.FailureDomain `msgpack:"domain,omitempty"`
}

// MessageKind implements Message.
func (*ConfirmationQuery) MessageKind() Kind { return KindConfirmationQuery }

// DomainConfirmation is the reply to a ConfirmationQuery for a domain.
type DomainConfirmation struct {
	Domain coltsfootward.FailureDomain `msgpack:"domain"`
	// Queried is the revision of the query.
	Queried coltsfootward.Revision `msgpack:"asked"`
	// Revision is the lowest revision that a member of the domain has confirmed.
	Revision coltsfootward.Revision `msgpack:"revision"`
	// Members is the number of members that the reply covers.
	Members int `msgpack:"members"`
	// Behind lists members that have not confirmed the queried revision. Its length is
	// bounded, so it may be incomplete.
	Behind []coltsfootward.InstanceID `msgpack:"behind,omitempty"`
}

// MessageKind implements Message.
func (*DomainConfirmation) MessageKind() Kind { return KindDomainConfirmation }

// FullConfiguration is a full configuration in one message, for deployments whose
// configuration is stored and changed as one document.
type FullConfiguration struct {
	Revision      coltsfootward.Revision       `msgpack:"revision"`
	Organisations []coltsfootward.Organisation `msgpack:"organisations"`
	Keys          []coltsfootward.Key          `msgpack:"keys"`
	Services      []coltsfootward.Service      `msgpack:"services"`
	Routes        []coltsfootward.Route        `msgpack:"routes"`
	Limits        coltsfootward.Limits         `msgpack:"limits"`
	// OutOfService is included so that a node that has just started has it before it
	// serves requests.
	OutOfService coltsfootward.OutOfService `msgpack:"out_of_service"`
}

// MessageKind implements Message.
func (*FullConfiguration) MessageKind() Kind { return KindFullConfiguration }

// NewFullConfiguration returns the message that carries c and o.
func NewFullConfiguration(c coltsfootward.Configuration, o coltsfootward.OutOfService) *FullConfiguration {
	return &FullConfiguration{
		Revision:      c.Revision(),
		Organisations: c.Organisations(),
		Keys:          c.Keys(),
		Services:      c.Services(),
		Routes:        c.Routes(),
		Limits:        c.Limits(),
		OutOfService:  o,
	}
}

// Configuration returns the configuration that the message carries.
func (m *FullConfiguration) Configuration() coltsfootward.Configuration {
	return coltsfootward.NewConfiguration(m.Revision, m.Organisations, m.Keys, m.Services).
		WithRoutes(m.Routes).WithLimits(m.Limits)
}
