package attribution_test

import (
	"testing"
	"time"

	"coltsfootward/core/attribution"
)

// BenchmarkIndex measures one request with two calls at a server with 139 slots in use.
func BenchmarkIndex(b *testing.B) {
	x := attribution.NewIndex()
	now := time.Duration(0)
	for i := range b.N {
		now += 5 * time.Millisecond
		id := attribution.RequestID(i)
		stated := x.Begin(attribution.Request{ID: id, Class: "order", Root: attribution.Root{ShedRank: uint32(i)}, Start: now, Deadline: now + 2*time.Second})
		for range 2 {
			x.Parent(now, "feed", stated-time.Millisecond)
		}
		x.End(id - min(id, 139))
	}
}
