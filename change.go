package coltsfootward

import (
	"maps"
	"slices"
)

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

// Apply returns c with the changes in it, in order. A change at or below c's
// revision is already in it and is passed over; an object that is newer than the
// change stays as it is. The cost is that of one copy of
// the tables that change, however many changes there are.
func (c Configuration) Apply(changes ...Change) Configuration {
	b := builder{base: c}
	for _, change := range changes {
		if change.Revision > b.base.revision {
			b.apply(change)
		}
	}
	return b.base
}

// builder applies changes to one copy of a configuration.
type builder struct {
	base                          Configuration
	organisations, keys, services bool
}

func (b *builder) apply(change Change) {
	if change.Organisation != nil {
		o := *change.Organisation
		o.Revision = change.Revision
		if b.base.organisations[o.Name].Revision < o.Revision {
			b.base.organisations = own(b.base.organisations, &b.organisations)
			b.base.organisations[o.Name] = o
		}
	}
	if change.Key != nil {
		k := *change.Key
		k.Revision = change.Revision
		if b.base.keys[k.Digest].Revision < k.Revision {
			b.base.keys = own(b.base.keys, &b.keys)
			b.base.keys[k.Digest] = keepWithdrawn(b.base.keys, k)
		}
	}
	if change.Service != nil {
		s := *change.Service
		s.Revision = change.Revision
		s.Marks = slices.Clone(s.Marks)
		if b.base.services[s.Name].Revision < s.Revision {
			b.base.services = own(b.base.services, &b.services)
			b.base.services[s.Name] = s
		}
	}
	b.base.revision = change.Revision
}

// own returns a copy of entries unless they are a copy already.
func own[K comparable, V any](entries map[K]V, owned *bool) map[K]V {
	if *owned {
		return entries
	}
	*owned = true
	copied := make(map[K]V, len(entries)+1)
	maps.Copy(copied, entries)
	return copied
}
