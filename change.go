package coltsfootward

import (
	"maps"
	"slices"
)

// Change is one accepted change of the configuration. Exactly one of
// Organisation, Key and Service is set.
type Change struct {
	// ID is chosen by the operator's client. A client that received no response
	// sends the change again under the same ID, and it is applied only once.
	ID string `msgpack:"id" json:"id"`
	// Revision is the revision of the configuration that results from the change.
	Revision     Revision      `msgpack:"revision" json:"revision"`
	Organisation *Organisation `msgpack:"organisation,omitempty" json:"organisation,omitempty"`
	Key          *Key          `msgpack:"key,omitempty" json:"key,omitempty"`
	Service      *Service      `msgpack:"service,omitempty" json:"service,omitempty"`
}

// Apply returns a copy of c with the changes applied in order. A change whose
// revision is not above c's is already part of c and is skipped. An object that is
// newer than the change stays as it is. Each table that changes is copied once,
// however many changes there are.
func (c Configuration) Apply(changes ...Change) Configuration {
	b := builder{result: c}
	for _, change := range changes {
		if change.Revision > b.result.revision {
			b.apply(change)
		}
	}
	return b.result
}

// builder applies changes to result, which starts as the original configuration. The
// flags are set for the tables of result that are copies already; the other tables are
// shared with the original and must not be modified.
type builder struct {
	result                        Configuration
	organisations, keys, services bool
}

func (b *builder) apply(change Change) {
	if change.Organisation != nil {
		o := *change.Organisation
		o.Revision = change.Revision
		if b.result.organisations[o.Name].Revision < o.Revision {
			b.result.organisations = ensureOwned(b.result.organisations, &b.organisations)
			b.result.organisations[o.Name] = o
		}
	}
	if change.Key != nil {
		k := *change.Key
		k.Revision = change.Revision
		if b.result.keys[k.Digest].Revision < k.Revision {
			b.result.keys = ensureOwned(b.result.keys, &b.keys)
			b.result.keys[k.Digest] = keepWithdrawn(b.result.keys, k)
		}
	}
	if change.Service != nil {
		s := *change.Service
		s.Revision = change.Revision
		s.Marks = slices.Clone(s.Marks)
		if b.result.services[s.Name].Revision < s.Revision {
			b.result.services = ensureOwned(b.result.services, &b.services)
			b.result.services[s.Name] = s
		}
	}
	b.result.revision = change.Revision
}

// ensureOwned returns a copy of entries and sets owned. If owned is set already, it
// returns entries itself.
func ensureOwned[K comparable, V any](entries map[K]V, owned *bool) map[K]V {
	if *owned {
		return entries
	}
	*owned = true
	copied := make(map[K]V, len(entries)+1)
	maps.Copy(copied, entries)
	return copied
}
