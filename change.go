package coltsfootward

// Change is one accepted change of the configuration. Exactly one of
// Organisation, Key and Service is set.
type Change struct {
	// ID is chosen by the operator's client, so that a change whose answer was
	// lost can be sent again without being applied twice.
	ID string `msgpack:"id" json:"id"`
	// Revision is the revision that the change made.
	Revision     Revision      `msgpack:"revision" json:"revision"`
	Organisation *Organisation `msgpack:"organisation,omitempty" json:"organisation,omitempty"`
	Key          *Key          `msgpack:"key,omitempty" json:"key,omitempty"`
	Service      *Service      `msgpack:"service,omitempty" json:"service,omitempty"`
}

// Apply returns c with the change in it. A change at or below c's revision is
// already in it, so Apply returns c unchanged.
func (c Configuration) Apply(change Change) Configuration {
	if change.Revision <= c.revision {
		return c
	}
	if change.Organisation != nil {
		o := *change.Organisation
		o.Revision = change.Revision
		c = c.WithOrganisation(o)
	}
	if change.Key != nil {
		k := *change.Key
		k.Revision = change.Revision
		c = c.WithKey(k)
	}
	if change.Service != nil {
		s := *change.Service
		s.Revision = change.Revision
		c = c.WithService(s)
	}
	return c.WithRevision(change.Revision)
}
