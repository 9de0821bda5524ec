// Package tally counts requests by route, importance and depth: how many were asked for,
// served, failed and refused, and for which reason. The counts tell a shortage of which
// all routes bear a part from one that a single route bears, and slots that are in use
// from slots that are free while requests are refused. The package reads no clock and
// performs no I/O.
package tally

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"coltsfootward"
)

// maximumClasses bounds the classes of a Table, and so its memory. Requests of further
// classes count in the class without a route.
const maximumClasses = 64

// Class identifies the requests that are counted together.
type Class struct {
	Route coltsfootward.RouteName
	// Band is the importance, 0 to 15; 0 is the most important.
	Band int
	// Depth is the number of calls above a request; callers' requests have depth 0.
	Depth int
}

func (c Class) compare(other Class) int {
	return cmp.Or(cmp.Compare(c.Depth, other.Depth), cmp.Compare(c.Band, other.Band), cmp.Compare(c.Route, other.Route))
}

// Counts are the numbers of requests of one class.
type Counts struct {
	Class Class
	// Asked counts the requests that arrived, Served those that were answered with
	// success, Failed those that were answered with a failure or broken off.
	Asked, Served, Failed int
	// Refused counts the requests that were refused, by reason.
	Refused map[string]int
	// SlotTime is how long the requests occupied slots of the backend server.
	SlotTime time.Duration
}

// TotalRefused returns the number of requests that were refused for any reason.
func (c Counts) TotalRefused() int {
	total := 0
	for _, n := range c.Refused {
		total += n
	}
	return total
}

// Reasons returns the refusals by reason as text, sorted by reason.
func (c Counts) Reasons() string {
	var reasons []string
	for _, reason := range slices.Sorted(maps.Keys(c.Refused)) {
		reasons = append(reasons, fmt.Sprintf("%s %d", reason, c.Refused[reason]))
	}
	return strings.Join(reasons, ", ")
}

// Table holds the counts of all classes since it was last taken. The zero value is ready
// for use. Table is not safe for concurrent use.
type Table struct {
	counts map[Class]*Counts
	// short is set if a request was refused or has failed.
	short bool
}

func (t *Table) of(c Class) *Counts {
	if found, ok := t.counts[c]; ok {
		return found
	}
	if len(t.counts) >= maximumClasses && c != (Class{}) {
		return t.of(Class{})
	}
	if t.counts == nil {
		t.counts = make(map[Class]*Counts)
	}
	added := &Counts{Class: c, Refused: make(map[string]int)}
	t.counts[c] = added
	return added
}

// Asked counts a request that arrived.
func (t *Table) Asked(c Class) { t.of(c).Asked++ }

// Served counts a request that was answered with success.
func (t *Table) Served(c Class) { t.of(c).Served++ }

// Failed counts a request that was answered with a failure or broken off.
func (t *Table) Failed(c Class) {
	t.of(c).Failed++
	t.short = true
}

// Refused counts a request that was refused.
func (t *Table) Refused(c Class, reason string) {
	t.of(c).Refused[reason]++
	t.short = true
}

// Used adds the time for which a request occupied a slot.
func (t *Table) Used(c Class, slotTime time.Duration) { t.of(c).SlotTime += slotTime }

// Short reports whether a request was refused or has failed since the table was last
// taken.
func (t *Table) Short() bool { return t.short }

// Take returns the counts, callers' requests and important ones first, and resets the
// table.
func (t *Table) Take() []Counts {
	taken := make([]Counts, 0, len(t.counts))
	for _, c := range t.counts {
		taken = append(taken, *c)
	}
	slices.SortFunc(taken, func(a, b Counts) int { return a.Class.compare(b.Class) })
	*t = Table{}
	return taken
}
