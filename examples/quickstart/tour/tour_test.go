package tour_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"coltsfootward/examples/quickstart/tour"
)

// Checks that the output of the quickstart contains a response, refusals for a
// wrong key and an exceeded rate, and the timeline of both nodes.
func TestRun(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	var out bytes.Buffer
	if err := tour.Run(ctx, &out); err != nil {
		t.Fatalf("got %v\n%s", err, out.String())
	}
	for _, want := range []string{
		`200, "GET /urea `, "401 unauthenticated, not_run", "429 over_rate, not_run", " times 200", "node_started", "revision_in_force",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got no %q in\n%s", want, out.String())
		}
	}
}
