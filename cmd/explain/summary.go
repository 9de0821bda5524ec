package explain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"coltsfootward/core/record"
)

// Summary counts refusals and failed attempts by their causes. Create it with
// NewSummary.
type Summary struct {
	counts map[SummaryKey]int
	nodes  map[string]int
	// Dropped is how many lines the nodes dropped from their logs.
	Dropped int
}

// SummaryKey identifies one count. Lines with the same key are counted together.
type SummaryKey struct {
	// Second is the time, truncated to a second, by the nodes' wall clocks.
	Second  time.Time `json:"second"`
	Event   string    `json:"event"`
	Kind    string    `json:"kind"`
	Service string    `json:"service"`
	Domain  string    `json:"domain"`
	// Cause names the saturated service if a request was refused because a service that
	// it needs has no capacity. Otherwise it is the detail of the refusal or failure.
	Cause string `json:"cause"`
}

// SummaryRow is one count with its key.
type SummaryRow struct {
	SummaryKey
	Count int `json:"count"`
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{counts: make(map[SummaryKey]int), nodes: make(map[string]int)}
}

// Add processes the next line.
func (s *Summary) Add(line Line) {
	if line.Code == int(record.RecordsDropped) {
		s.Dropped += line.count()
		return
	}
	if !isRequestCode(record.Code(line.Code)) {
		return
	}
	key := SummaryKey{
		Second: line.Time.Truncate(time.Second), Event: line.Event, Kind: line.Fields["kind"],
		Service: line.Fields["service"], Domain: line.Domain, Cause: line.Fields["detail"],
	}
	if full := line.Fields["full"]; full != "" {
		key.Cause = "no room at " + full
		if line.Fields["resource"] == "retries" {
			key.Cause = "too few retries at " + full
		}
	}
	s.counts[key]++
	s.nodes[line.Node]++
}

// Rows returns the counts ordered by time, and by descending count within a second.
func (s *Summary) Rows() []SummaryRow {
	rows := make([]SummaryRow, 0, len(s.counts))
	for key, count := range s.counts {
		rows = append(rows, SummaryRow{SummaryKey: key, Count: count})
	}
	slices.SortFunc(rows, func(a, b SummaryRow) int {
		return cmp.Or(a.Second.Compare(b.Second), cmp.Compare(b.Count, a.Count), strings.Compare(fmt.Sprint(a.SummaryKey), fmt.Sprint(b.SummaryKey)))
	})
	return rows
}

// Causes returns the counts summed over all seconds and failure domains, in descending
// order.
func (s *Summary) Causes() []SummaryRow {
	sums := make(map[SummaryKey]int)
	for key, count := range s.counts {
		key.Second, key.Domain = time.Time{}, ""
		sums[key] += count
	}
	rows := make([]SummaryRow, 0, len(sums))
	for key, count := range sums {
		rows = append(rows, SummaryRow{SummaryKey: key, Count: count})
	}
	slices.SortFunc(rows, func(a, b SummaryRow) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), strings.Compare(fmt.Sprint(a.SummaryKey), fmt.Sprint(b.SummaryKey)))
	})
	return rows
}

// Worst returns up to count nodes with the most counted lines, each followed by its
// number of lines, in descending order.
func (s *Summary) Worst(count int) []string {
	nodes := slices.SortedFunc(maps.Keys(s.nodes), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.nodes[b], s.nodes[a]), cmp.Compare(a, b))
	})
	nodes = nodes[:min(count, len(nodes))]
	for i, node := range nodes {
		nodes[i] = fmt.Sprintf("%s %d", node, s.nodes[node])
	}
	return nodes
}
