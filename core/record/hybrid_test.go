package record_test

import (
	"testing"
	"time"

	"coltsfootward/core/record"

	_ "coltsfootward/core/internal/testseed"

	"pgregory.net/rapid"
)

// Guards against timelines that show an effect before its cause. For example, one node
// creates a revision and another applies it, but the second node's wall clock is behind,
// so the revision seems to be applied before it was created. Stamps must
// keep causal order whatever the wall clocks show.
func TestHybridClockKeepsCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 3
		type sent struct{ stamp record.Stamp }
		var clocks [nodes]record.HybridClock
		var last [nodes]record.Stamp
		var inFlight []sent
		start := time.Unix(1_700_000_000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			// The nodes' clocks differ by up to 30 s and may step back.
			wall := start.Add(time.Duration(rapid.IntRange(-15_000, 15_000).Draw(t, "milliseconds")) * time.Millisecond)
			var received record.Stamp
			if len(inFlight) > 0 && rapid.Bool().Draw(t, "receive") {
				received = inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")].stamp
				if !clocks[i].Observe(received, wall) {
					t.Fatalf("stamp %v was rejected at %v, want it accepted", received, wall)
				}
			}
			stamp := clocks[i].Next(wall)
			if stamp.Compare(last[i]) <= 0 || stamp.Compare(received) <= 0 {
				t.Fatalf("got stamp %v after own stamp %v and received stamp %v, want it higher than both", stamp, last[i], received)
			}
			last[i] = stamp
			inFlight = append(inFlight, sent{stamp})
		}
	})
}

// Guards against the stamp of a node whose wall clock is a day ahead: if it were
// accepted, all later events of the deployment would be stamped a day ahead for ever.
func TestHybridClockRejectsFarFutureStamp(t *testing.T) {
	var clock record.HybridClock
	now := time.Unix(1_700_000_000, 0)
	if clock.Observe(record.Stamp{Wall: now.Add(24 * time.Hour).UnixNano()}, now) {
		t.Error("a stamp a day ahead was accepted, want it rejected")
	}
	if got, want := clock.Next(now), (record.Stamp{Wall: now.UnixNano()}); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestRingKeepsLatestRecords(t *testing.T) {
	ring := record.NewRing(3)
	wall := time.Unix(1_700_000_000, 0)
	for i := range 5 {
		ring.Add(record.New(record.Code(i), wall))
	}
	var codes []record.Code
	for _, r := range ring.Last(2) {
		codes = append(codes, r.Code)
	}
	if len(ring.Last(0)) != 3 || codes[0] != 3 || codes[1] != 4 {
		t.Errorf("got %d records, the last two with codes %v, want 3 and [3 4]", len(ring.Last(0)), codes)
	}
}
