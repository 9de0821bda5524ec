package demand_test

import (
	"fmt"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/demand"

	"github.com/vmihailenco/msgpack/v5"
)

// reportOf returns a report of a node with many organisations, in four bands.
func reportOf(node int) demand.Report {
	var m demand.Meter
	for i := range 70 {
		m.Record(0, "quotes", coltsfootward.OrganisationName(fmt.Sprintf("organisation-%d", (node+i)%73)), 5+i%4, 0.01*float64(i))
	}
	return m.Report(0, "quotes")
}

func size(b *testing.B, message any) float64 {
	data, err := msgpack.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}

func BenchmarkMeterRecord(b *testing.B) {
	var m demand.Meter
	for i := 0; b.Loop(); i++ {
		m.Record(time.Duration(i)*time.Millisecond, "quotes", coltsfootward.OrganisationName(fmt.Sprint(i%73)), i%4, 0.01)
	}
}

func BenchmarkMeterReport(b *testing.B) {
	r := reportOf(0)
	for b.Loop() {
		r = reportOf(0)
	}
	b.ReportMetric(size(b, &r), "bytes")
}

func BenchmarkCollectorSum(b *testing.B) {
	for _, nodes := range []int{80, 1000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			var c demand.Collector
			for i := range nodes {
				c.Report(0, coltsfootward.InstanceID(fmt.Sprint(i)), coltsfootward.FailureDomain(fmt.Sprint(i%18)), reportOf(i))
			}
			s, sum := c.Summary(0, "quotes"), c.Sum(0, "quotes")
			for b.Loop() {
				sum = c.Sum(0, "quotes")
			}
			b.ReportMetric(size(b, &s), "summary-bytes")
			b.ReportMetric(size(b, &sum), "sum-bytes")
		})
	}
}
