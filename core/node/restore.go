package node

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"coltsfootward"
)

// ObjectPrefix is where the table keeps the last change of each object: all of
// them together are the whole configuration.
const ObjectPrefix = "object/"

// ObjectKey returns the key of the row that holds the last change of the object
// that the change is about.
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

// ParseRevision reads the value of the row RevisionKey; an empty one is zero.
func ParseRevision(value []byte) (coltsfootward.Revision, error) {
	if len(value) == 0 {
		return 0, nil
	}
	n, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("node: the table holds an invalid revision %q: restore the row from the last change: %w", value, err)
	}
	return coltsfootward.Revision(n), nil
}

// restore reads the whole configuration from the table's objects. A node needs
// it whose next change the table has dropped already and who has no peer to ask.
//
// The revision is read first and the objects page by page after it, while
// operators go on changing them. So an object may be newer than the revision;
// the changes after the revision are applied next, and one that is older than
// what its object holds already leaves the object alone.
func (p *configurationPart) restore() {
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

func (p *configurationPart) restorePage(revision coltsfootward.Revision, gathered coltsfootward.Configuration, after string) {
	p.scanning = true
	p.node.table.scan(ObjectPrefix, after, scanLimit, func(rows []coltsfootward.Row, err error) {
		p.scanning = false
		if err != nil {
			return
		}
		gathered, after, ok := gather(gathered, rows, after)
		if !ok {
			return
		}
		if len(rows) == scanLimit {
			p.restorePage(revision, gathered, after)
			return
		}
		if revision > p.current.Revision() {
			p.install(gathered.WithRevision(revision))
			p.asked, p.poll = true, 0
		}
	})
}

// gather adds the objects of a page. Each object occurs once, so their order
// does not matter; they are sorted because Apply passes over older changes.
func gather(c coltsfootward.Configuration, rows []coltsfootward.Row, after string) (coltsfootward.Configuration, string, bool) {
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
