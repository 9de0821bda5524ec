package lease_test

import (
	"testing"
	"time"

	"coltsfootward/core/lease"
)

func BenchmarkRenewal(b *testing.B) {
	w := newModel()
	w.settle(0)
	a := &w.actors[0]
	for b.Loop() {
		a.now = a.now.Add(time.Second)
		a.begin(a.slot.Tick(a.now, lease.Candidacy{Eligible: true}))
		w.completeRead(0)
		w.settle(0)
	}
	if !w.held(0) || w.row.Version == 0 {
		b.Error("got a lapsed lease, want it held")
	}
}
