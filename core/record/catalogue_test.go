package record_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"coltsfootward/core/record"

	"github.com/sebdah/goldie/v2"
)

// Compares docs/EVENTS.md with the catalogue. After a change of the catalogue, run
// go test coltsfootward/core/record -update and review the difference.
func TestEventsPage(t *testing.T) {
	var page strings.Builder
	page.WriteString("# Events\n\nEvery kind of event has a code that is never reused. It is the field `code` in the log\n" +
		"and on the timeline (`coltsfootctl timeline`). Codes are grouped by their hundreds: 1xx\n" +
		"node life cycle, 2xx requests, 3xx backend servers, 4xx configuration, 5xx rates and\n" +
		"leases, 6xx claims, 7xx membership, 8xx platform, 9xx peers.\n\n" +
		"| Code | Name | Level | What happened and what to do |\n|---|---|---|---|\n")
	for _, entry := range record.Catalogue() {
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", entry.Code, entry.Name, entry.Level, entry.Text)
	}
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "EVENTS", []byte(page.String()))
}

func TestCatalogue(t *testing.T) {
	names := make(map[string]bool)
	last := record.Code(0)
	for _, entry := range record.Catalogue() {
		if entry.Code <= last {
			t.Errorf("got code %d after %d, want ascending codes", entry.Code, last)
		}
		last = entry.Code
		if names[entry.Name] || entry.Name == "" || entry.Text == "" {
			t.Errorf("got entry %+v, want a unique name and a text", entry)
		}
		names[entry.Name] = true
		if !slices.Contains([]string{"debug", "info", "warn", "error"}, entry.Level) {
			t.Errorf("got level %q for %s, want debug, info, warn or error", entry.Level, entry.Name)
		}
	}
}
