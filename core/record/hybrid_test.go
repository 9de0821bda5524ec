package record_test

import (
	"testing"
	"time"

	"coltsfootward/core/record"

	_ "coltsfootward/core/internal/testseed"

	"pgregory.net/rapid"
)

// An operator reads that a node applied a revision before another node made
// it: the second node's wall clock was behind. Stamps must keep the order of
// cause and effect whatever the wall clocks say.
func TestHybridClockKeepsCauseBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 3
		type sent struct{ stamp record.Stamp }
		var clocks [nodes]record.HybridClock
		var last [nodes]record.Stamp
		var flight []sent
		start := time.Unix(1_700_000_000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			// Clocks differ by up to 30 s and may step back.
			wall := start.Add(time.Duration(rapid.IntRange(-15_000, 15_000).Draw(t, "milliseconds")) * time.Millisecond)
			var heard record.Stamp
			if len(flight) > 0 && rapid.Bool().Draw(t, "receive") {
				heard = flight[rapid.IntRange(0, len(flight)-1).Draw(t, "message")].stamp
				if !clocks[i].Heard(heard, wall) {
					t.Fatalf("got stamp %v refused at %v, want it taken", heard, wall)
				}
			}
			stamp := clocks[i].Next(wall)
			if stamp.Compare(last[i]) <= 0 || stamp.Compare(heard) <= 0 {
				t.Fatalf("got %v after %v and hearing %v, want it higher than both", stamp, last[i], heard)
			}
			last[i] = stamp
			flight = append(flight, sent{stamp})
		}
	})
}

// One node's wall clock is a day ahead. Taken over, its stamp would put every
// later event of the deployment a day into the future, for good.
func TestHybridClockRefusesAFarFuture(t *testing.T) {
	var clock record.HybridClock
	now := time.Unix(1_700_000_000, 0)
	if clock.Heard(record.Stamp{Wall: now.Add(24 * time.Hour).UnixNano()}, now) {
		t.Error("got a stamp a day ahead taken, want it refused")
	}
	if got, want := clock.Next(now), (record.Stamp{Wall: now.UnixNano()}); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestRingKeepsTheLatest(t *testing.T) {
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
		t.Errorf("got %d records, the last two %v, want 3 and [3 4]", len(ring.Last(0)), codes)
	}
}
