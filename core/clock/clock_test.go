package clock_test

import (
	"testing"
	"time"

	"coltsfootward/core/clock"

	_ "coltsfootward/core/internal/testseed"

	"pgregory.net/rapid"
)

// A machine is suspended for a minute while its monotonic clock stands still.
// By that clock the node's lease has not expired, so the node would continue to
// grant tokens from a slot that another node has taken over.
func TestSuspensionAdvancesExpiry(t *testing.T) {
	var c clock.Clock
	wall := time.Unix(1_800_000_000, 0)
	c.Read(time.Second, wall)
	got := c.Read(time.Second+time.Millisecond, wall.Add(time.Minute))
	if want := time.Minute; got.Expiry-time.Second < want-time.Second {
		t.Errorf("got expiry %v after the suspension, want about %v more than 1s", got.Expiry, want)
	}
	if got.Monotonic != time.Second+time.Millisecond {
		t.Errorf("got monotonic %v, want it untouched", got.Monotonic)
	}
}

// TestReadings checks that, whatever the wall clock does, Expiry is never
// behind the monotonic clock and never decreases.
func TestReadings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c clock.Clock
		monotonic := time.Duration(0)
		wall := time.Unix(1_800_000_000, 0)
		last := c.Read(monotonic, wall)
		for range rapid.IntRange(1, 50).Draw(t, "readings") {
			monotonic += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "step"))
			wall = wall.Add(time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "jump")))
			got := c.Read(monotonic, wall)
			if got.Expiry < got.Monotonic || got.Expiry < last.Expiry {
				t.Fatalf("got %+v after %+v", got, last)
			}
			last = got
		}
	})
}
