package retry_test

import (
	"testing"
	"time"

	"coltsfootward/core/retry"

	_ "coltsfootward/core/internal/testseed"

	"pgregory.net/rapid"
)

// Guards against a retry storm at a service that fails all requests. After any sequence
// of successes and failures, the number of retries must be at most a tenth of the
// successes, plus the capacity, plus one per second.
func TestAllowanceBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a retry.Allowance
		now := time.Duration(0)
		successes, retries := 0, 0
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 2)).Draw(t, "steps") {
			switch step {
			case 0:
				a.RecordSuccess(now)
				successes++
			case 1:
				if a.Take(now) {
					retries++
				}
			default:
				now += 10 * time.Millisecond
			}
		}
		if bound := retry.Capacity + retry.Ratio*float64(successes) + now.Seconds(); float64(retries) > bound {
			t.Fatalf("got %d retries, want at most %.1f", retries, bound)
		}
	})
}

// Guards against a failure that is not retried because earlier failures have used up
// the allowance and no success has refilled it. The allowance must also refill with
// time.
func TestRareFailureIsRetried(t *testing.T) {
	var a retry.Allowance
	now := time.Duration(0)
	for range int(2 * retry.Capacity) {
		a.Take(now)
	}
	if a.Take(now) {
		t.Error("got a retry with nothing left, want none")
	}
	if now += 2 * time.Second; !a.Take(now) {
		t.Error("got none two seconds later, want one")
	}
}
