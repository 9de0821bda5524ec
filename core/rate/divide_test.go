package rate_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/rate"

	_ "coltsfootward/core/internal/testseed"

	"pgregory.net/rapid"
)

func domainNames(count int) []coltsfootward.FailureDomain {
	var names []coltsfootward.FailureDomain
	for i := range count {
		names = append(names, coltsfootward.FailureDomain(fmt.Sprintf("domain-%02d", i)))
	}
	return names
}

// Guards against a division whose parts add up to more or less than the
// organisation's limit, as happens when rounding is lost, and against nodes that
// compute different parts because they list the failure domains in another order.
func TestDivisionAddsUpToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := coltsfootward.Rate{
			PerSecond: rapid.Float64Range(0, 1e6).Draw(t, "rate"),
			Burst:     rapid.Int64Range(1, 1e6).Draw(t, "burst"),
		}
		domains := domainNames(rapid.IntRange(1, 18).Draw(t, "domains"))
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		division := rate.Divide("traders", limit, domains, slots)
		var rates, bursts int64
		used := make(map[string]bool)
		for _, p := range division {
			rates += p.Rate
			bursts += p.Burst
			used[fmt.Sprint(p.Domain, p.Slot)] = true
			if p.Burst < 1 || p.Slot < 0 || p.Slot >= slots {
				t.Fatalf("got part %+v, want at least one token in a slot below %d", p, slots)
			}
		}
		if bursts != limit.Burst || rates != int64(limit.PerSecond*rate.Token) {
			t.Fatalf("got burst %d, rate %d; want %d, %d", bursts, rates, limit.Burst, int64(limit.PerSecond*rate.Token))
		}
		if len(used) != len(division) {
			t.Fatalf("got %d parts in %d slots, want a slot each", len(division), len(used))
		}
		slices.Reverse(domains)
		if again := rate.Divide("traders", limit, domains, slots); !slices.Equal(again, division) {
			t.Fatalf("got %v for the domains in another order, want %v", again, division)
		}
	})
}

// reference is the central token bucket that the distributed buckets are
// compared with: a single bucket with the organisation's full burst and rate
// that counts every request when it starts.
type reference struct {
	burst, rate float64
	level       float64
	last        time.Duration
}

func newReference(limit coltsfootward.Rate) *reference {
	return &reference{burst: float64(limit.Burst), rate: limit.PerSecond, level: float64(limit.Burst)}
}

// start takes a token for a request that starts at now and reports whether one
// was available. If not, some window that ends at now has too many starts.
func (r *reference) start(now time.Duration) bool {
	const rounding = 1e-6
	r.level = min(r.burst, r.level+r.rate*(now-r.last).Seconds())
	r.last = now
	r.level--
	return r.level > -rounding
}

// Guards against requests that exceed a part's burst and rate although its bucket
// granted no token too many: tokens may be spent until the end of their lifetime, so
// tokens drawn in one second can be spent together with those drawn in the next.
func TestStartsStayWithinBoundWhenTokensAreSpentLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rate.Part{
			Rate:  int64(rapid.Float64Range(0.1, 200).Draw(t, "rate") * rate.Token),
			Burst: rapid.Int64Range(1, 40).Draw(t, "burst"),
		}
		bucket := rate.NewFullBucket(part, 0)
		central := newReference(coltsfootward.Rate{PerSecond: float64(part.Rate) / rate.Token, Burst: part.Burst})
		var spends []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "draws") {
			now += time.Duration(rapid.Int64Range(0, int64(100*time.Millisecond)).Draw(t, "gap"))
			grant := bucket.Draw(coltsfootward.At(now), rapid.Int64Range(0, 5).Draw(t, "need"), rapid.Int64Range(0, 20).Draw(t, "ahead"))
			for range grant.Tokens {
				late := time.Duration(rapid.SampledFrom([]int64{0, int64(grant.Lifetime), rapid.Int64Range(0, int64(grant.Lifetime)).Draw(t, "late")}).Draw(t, "when"))
				spends = append(spends, now+late)
			}
		}
		slices.Sort(spends)
		for _, at := range spends {
			if !central.start(at) {
				t.Fatalf("got a start at %s beyond the central bucket of %+v (parameters %+v)", at, part, part.BucketParameters())
			}
		}
	})
}

// Guards against a bucket that grants steady demand much less than its rate. The
// bucket's depth or refill is reduced to allow for tokens that are spent late, which
// costs part of the rate if the burst is small.
func TestSteadyDrawsReachRate(t *testing.T) {
	for _, c := range []struct {
		rate  float64
		burst int64
		least float64
	}{
		{rate: 100, burst: 100, least: 0.99},
		{rate: 25, burst: 5, least: 0.99},
		{rate: 1, burst: 1, least: 0.94},
		{rate: 10, burst: 1, least: 0.65},
	} {
		part := rate.Part{Rate: int64(c.rate * rate.Token), Burst: c.burst}
		bucket := rate.NewBucket(part, 0)
		var drawn int64
		for now := time.Duration(0); now <= 100*time.Second; now += time.Millisecond {
			drawn += bucket.Draw(coltsfootward.At(now), 1, 0).Tokens
		}
		if got, want := float64(drawn), c.least*c.rate*100; got < want {
			t.Errorf("got %v tokens of %v per second and burst %d in 100 s, want at least %v", got, c.rate, c.burst, want)
		}
	}
}

// Guards against a configuration change that raises the total limit for a while.
// An organisation's burst changes from small to large, so that its parts spread
// from one failure domain to four, and one holder receives the change ten
// seconds after the others. During that time the sum of the parts must not
// exceed both the old and the new limit.
func TestDivisionChangeKeepsLimit(t *testing.T) {
	domains := domainNames(4)
	rapid.Check(t, func(t *rapid.T) {
		const propagationTime = 13 * time.Second
		var trackers [4]rate.DivisionTracker
		limits := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) coltsfootward.Rate {
			return coltsfootward.Rate{PerSecond: rapid.Float64Range(1, 100).Draw(t, "rate"), Burst: rapid.Int64Range(1, 40).Draw(t, "burst")}
		}), 2, 5).Draw(t, "changes")
		type arrival struct{ at, index, holder int }
		var arrivals []arrival
		at := 0
		for i := range limits {
			at += rapid.IntRange(0, 20).Draw(t, "gap")
			for holder := range trackers {
				delay := rapid.IntRange(0, int(propagationTime/time.Second)-1).Draw(t, "delay")
				arrivals = append(arrivals, arrival{at: at + delay, index: i, holder: holder})
			}
		}
		applied := [4]int{-1, -1, -1, -1}
		for second := range at + 60 {
			now := coltsfootward.At(time.Duration(second) * time.Second)
			for _, a := range arrivals {
				for a.at == second && a.index > applied[a.holder] {
					applied[a.holder]++
					trackers[a.holder].Change(now, rate.Divide("traders", limits[applied[a.holder]], domains, 1), propagationTime+rate.MaximumLifetime)
				}
			}
			var rates, bursts int64
			for i := range trackers {
				p := trackers[i].Part(now, domains[i], 0)
				rates += p.Rate
				bursts += p.Burst
			}
			var mostRate, mostBurst int64
			for _, limit := range limits {
				mostRate = max(mostRate, int64(limit.PerSecond*rate.Token))
				mostBurst = max(mostBurst, limit.Burst)
			}
			if rates > mostRate || bursts > mostBurst {
				t.Fatalf("at %d s got rate %d, burst %d; want at most %d, %d", second, rates, bursts, mostRate, mostBurst)
			}
		}
	})
}
