package claim_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/claim"
)

// BenchmarkClaim claims and ends distinct keys and reports the memory that one
// retained claim takes.
func BenchmarkClaim(b *testing.B) {
	start := coltsfootward.At(time.Hour)
	h := claim.NewFirstHolder(claim.Options{MaximumClaims: 1 << 30}, start)
	text := timedKey(start.Wall)[:30]
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	count := 0
	b.ReportAllocs()
	for b.Loop() {
		count++
		key := claim.Key{Organisation: "traders", Text: text + strconv.Itoa(count)}
		h.Claim(start, claim.Request{Key: key, ID: "0123456789abcdef0123456789abcdef"})
		h.End(start, key, "0123456789abcdef0123456789abcdef", coltsfootward.ExecutionRan, nil)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "B/claim")
	runtime.KeepAlive(h)
}
