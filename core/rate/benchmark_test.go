package rate_test

import (
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/rate"
)

func BenchmarkDraw(b *testing.B) {
	bucket := rate.NewBucket(rate.Part{Rate: 1000 * rate.Token, Burst: 1000}, 0)
	now := coltsfootward.At(0)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		bucket.Draw(now, 1, 10)
	}
}

func BenchmarkTake(b *testing.B) {
	var cache rate.TokenCache
	now := coltsfootward.At(0)
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if _, ok := cache.Take(now, 0); !ok {
			cache.Add(rate.Batch{Tokens: 50, Expires: now.Expiry + time.Second})
		}
	}
}

func BenchmarkDivide(b *testing.B) {
	domains := domainNames(18)
	for b.Loop() {
		rate.Divide("traders", coltsfootward.Rate{PerSecond: 20_000, Burst: 20_000}, domains, 64)
	}
}
