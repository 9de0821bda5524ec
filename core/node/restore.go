package node

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"coltsfootward"
)

// ObjectPrefix is the key prefix under which the table stores the last change
// of each object. Together these changes form the full configuration.
const ObjectPrefix = "object/"

// ObjectKey returns the key of the row that stores the last change of the
// object that change is about.
func ObjectKey(change coltsfootward.Change) string {
	switch {
	case change.Organisation != nil:
		return ObjectPrefix + "organisation/" + string(change.Organisation.Name)
	case change.Key != nil:
		return ObjectPrefix + "key/" + change.Key.ID
	default:
		return ObjectPrefix + "service/" + string(change.Service.Name)
	}
}

// ParseRevision parses the value of the row RevisionKey. An empty value is
// revision zero.
func ParseRevision(value []byte) (coltsfootward.Revision, error) {
	if len(value) == 0 {
		return 0, nil
	}
	n, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("node: invalid revision %q in the table row \"revision\": restore the row from the last change: %w", value, err)
	}
	return coltsfootward.Revision(n), nil
}

// restore reads the full configuration from the table's objects. It is used
// when the table has already deleted the next change that the node needs and no
// peer has supplied it.
//
// The revision is read first, then the objects page by page, while operators
// may make further changes. An object may therefore be newer than the revision.
// The changes after the revision are applied next, and a change that is older
// than its object is ignored.
func (p *configurationComponent) restore() {
	p.scanning = true
	p.node.table.read(RevisionKey, func(row coltsfootward.Row, err error) {
		p.scanning = false
		revision, invalid := ParseRevision(row.Value)
		if err != nil || invalid != nil {
			return
		}
		p.restorePage(revision, coltsfootward.Configuration{}, "")
	})
}

func (p *configurationComponent) restorePage(revision coltsfootward.Revision, gathered coltsfootward.Configuration, after string) {
	p.scanning = true
	p.node.table.scan(ObjectPrefix, after, scanLimit, func(rows []coltsfootward.Row, err error) {
		p.scanning = false
		if err != nil {
			return
		}
		gathered, after, ok := addObjects(gathered, rows, after)
		if !ok {
			return
		}
		if len(rows) == scanLimit {
			p.restorePage(revision, gathered, after)
			return
		}
		if revision > p.current.Revision() {
			p.install(gathered.WithRevision(revision))
			p.refreshRequested, p.nextPoll = true, 0
		}
	})
}

// addObjects adds the objects of a page to the configuration. Each object
// occurs only once, so their order does not matter, but Apply ignores older
// changes, so they are sorted by revision.
func addObjects(c coltsfootward.Configuration, rows []coltsfootward.Row, after string) (coltsfootward.Configuration, string, bool) {
	changes := decodeChanges(rows)
	if len(changes) < len(rows) {
		return c, after, false
	}
	if len(rows) > 0 {
		after = rows[len(rows)-1].Key
	}
	slices.SortFunc(changes, func(a, b coltsfootward.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return c.WithRevision(0).Apply(changes...), after, true
}
