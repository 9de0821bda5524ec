package record_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"coltsfootward/core/record"

	"github.com/sebdah/goldie/v2"
)

// docs/EVENTS.md says what each number means. After a change of the catalogue
// read what moved and run go test coltsfootward/core/record -update.
func TestEventsPage(t *testing.T) {
	var page strings.Builder
	page.WriteString("# Events\n\nEvery event has a number that is never reused. It stands as `code` in the log and\n" +
		"on the time line (`coltsfootctl timeline`). The hundreds group them: 1xx life of\n" +
		"the node, 2xx requests, 3xx backend servers, 4xx configuration, 5xx rate and\n" +
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
			t.Errorf("got code %d after %d, want them in order", entry.Code, last)
		}
		last = entry.Code
		if names[entry.Name] || entry.Name == "" || entry.Text == "" {
			t.Errorf("got entry %+v, want a name of its own and a text", entry)
		}
		names[entry.Name] = true
		if !slices.Contains([]string{"debug", "info", "warn", "error"}, entry.Level) {
			t.Errorf("got level %q for %s, want debug, info, warn or error", entry.Level, entry.Name)
		}
	}
}
