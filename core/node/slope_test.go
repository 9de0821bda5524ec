package node_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkInForce measures the time until a change is in force at every node
// of a failure domain, the time until an operator's node has confirmed that,
// and the load on the platform. Run it once:
//
//	go test ./core/node -run '^$' -bench InForce -benchtime 1x
func BenchmarkInForce(b *testing.B) {
	for _, size := range []int{100, 200, 400, 1333} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for range b.N {
				measureInForce(b, newFleet(1, 1, size))
			}
		})
	}
}

func measureInForce(b *testing.B, f *fleet) {
	b.Helper()
	allKnown := func() bool {
		for _, m := range f.members {
			if len(m.Node().Status().Peers) != len(f.members)-1 {
				return false
			}
		}
		return true
	}
	for !allKnown() {
		f.Run(5 * time.Second)
		if f.Now() > 5*time.Minute {
			b.Fatal("nodes do not know each other after 5 min")
		}
	}
	b.ReportMetric(f.Now().Seconds(), "s-to-form")
	reads, writes := f.Table.Reads, f.Table.Writes
	f.Run(10 * time.Second)
	b.ReportMetric(float64(f.Table.Reads-reads)/10, "reads/s")
	b.ReportMetric(float64(f.Table.Writes-writes)/10, "writes/s")
	var worstInForce, worstConfirmed time.Duration
	const changes = 5
	for range changes {
		f.changeIdleRate()
		began := f.Now()
		if !f.RunUntil(time.Minute, func() bool { return f.upToDate() }) {
			b.Fatal("change not in force after 1 min")
		}
		worstInForce = max(worstInForce, f.Now()-began)
		if !f.RunUntil(time.Minute, func() bool { done, _ := f.confirmedDomains(f.members[7]); return len(done) == 1 }) {
			b.Fatal("change not confirmed after 1 min")
		}
		worstConfirmed = max(worstConfirmed, f.Now()-began)
		f.Run(3 * time.Second)
	}
	b.ReportMetric(worstInForce.Seconds(), "s-in-force-worst-of-5")
	b.ReportMetric(worstConfirmed.Seconds(), "s-confirmed-worst-of-5")
	b.ReportMetric(0, "ns/op")
}
