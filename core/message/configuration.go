package message

import (
	"time"

	"coltsfootward"
)

// ConfigurationDigest says how far the sender's configuration is. It travels
// with all gossip, so that whoever missed a change learns of it within one or
// two probes.
type ConfigurationDigest struct {
	Revision coltsfootward.Revision `msgpack:"revision"`
	// Withdrawn are keys that were withdrawn and whose change the sender has
	// not in force yet. The set only grows; it is bounded.
	Withdrawn []coltsfootward.KeyDigest `msgpack:"withdrawn,omitempty"`
	// OutOfService names the failure domains that get no work. It is small enough
	// to travel whole.
	OutOfService coltsfootward.OutOfService `msgpack:"out_of_service"`
	// TableAge is how old the sender's youngest evidence is that somebody it
	// hears reads the platform's table.
	TableAge time.Duration `msgpack:"table_age"`
}

// MessageKind implements Message.
func (*ConfigurationDigest) MessageKind() Kind { return KindConfigurationDigest }

// ConfigurationPull asks a peer for the changes after a revision.
type ConfigurationPull struct {
	After coltsfootward.Revision `msgpack:"after"`
	// Snapshot and Page ask for a page of the snapshot at that revision; zero
	// means that the asker wants changes.
	Snapshot coltsfootward.Revision `msgpack:"snapshot,omitempty"`
	Page     int                    `msgpack:"page,omitempty"`
}

// MessageKind implements Message.
func (*ConfigurationPull) MessageKind() Kind { return KindConfigurationPull }

// ConfigurationChanges brings consecutive changes, asked for or not.
type ConfigurationChanges struct {
	Changes []coltsfootward.Change `msgpack:"changes"`
}

// MessageKind implements Message.
func (*ConfigurationChanges) MessageKind() Kind { return KindConfigurationChanges }

// ConfigurationPage is one page of a whole configuration, for a node that is
// further behind than its peer's history reaches.
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

// Confirmation tells a domain's collector who has a revision in force.
type Confirmation struct {
	Revision coltsfootward.Revision `msgpack:"revision"`
	// Members are those that told the sender; empty means the sender itself.
	// A confirmation for others is never passed on again.
	Members []coltsfootward.InstanceID `msgpack:"members,omitempty"`
}

// MessageKind implements Message.
func (*Confirmation) MessageKind() Kind { return KindConfirmation }

// ConfirmationQuery asks a domain's collector how far its domain is. Without
// a domain it asks a member for its own Confirmation.
type ConfirmationQuery struct {
	Revision coltsfootward.Revision `msgpack:"revision"`
	// Domain is set to ask for the whole domain, and empty to ask for the
	// receiver alone.
	Domain coltsfootward.FailureDomain `msgpack:"domain,omitempty"`
}

// MessageKind implements Message.
func (*ConfirmationQuery) MessageKind() Kind { return KindConfirmationQuery }

// DomainConfirmation answers a ConfirmationQuery.
type DomainConfirmation struct {
	Domain coltsfootward.FailureDomain `msgpack:"domain"`
	// Asked is the revision of the query.
	Asked coltsfootward.Revision `msgpack:"asked"`
	// Revision is the lowest that a member of the domain has confirmed.
	Revision coltsfootward.Revision `msgpack:"revision"`
	// Members is how many members the answer speaks for.
	Members int `msgpack:"members"`
	// Behind names members below the asked revision; it is bounded.
	Behind []coltsfootward.InstanceID `msgpack:"behind,omitempty"`
}

// MessageKind implements Message.
func (*DomainConfirmation) MessageKind() Kind { return KindDomainConfirmation }

// ConfigurationWhole is a whole configuration in one message, for deployments
// whose configuration is stored and changed as one document.
type ConfigurationWhole struct {
	Revision      coltsfootward.Revision       `msgpack:"revision"`
	Organisations []coltsfootward.Organisation `msgpack:"organisations"`
	Keys          []coltsfootward.Key          `msgpack:"keys"`
	Services      []coltsfootward.Service      `msgpack:"services"`
	Routes        []coltsfootward.Route        `msgpack:"routes"`
	Limits        coltsfootward.Limits         `msgpack:"limits"`
	// OutOfService travels along, so that a node that has just started knows it
	// before it serves.
	OutOfService coltsfootward.OutOfService `msgpack:"out_of_service"`
}

// MessageKind implements Message.
func (*ConfigurationWhole) MessageKind() Kind { return KindConfigurationWhole }

// NewConfigurationWhole returns the message that carries c and o.
func NewConfigurationWhole(c coltsfootward.Configuration, o coltsfootward.OutOfService) *ConfigurationWhole {
	return &ConfigurationWhole{
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
func (m *ConfigurationWhole) Configuration() coltsfootward.Configuration {
	return coltsfootward.NewConfiguration(m.Revision, m.Organisations, m.Keys, m.Services).
		WithRoutes(m.Routes).WithLimits(m.Limits)
}
