package daemon

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestLatency is the longest latency that is told apart, in microseconds;
	// longer ones count as this.
	longestLatency = int64(time.Minute / time.Microsecond)
	// latencyDigits is how many digits of a latency are told apart. Two cost about
	// 20 KB of memory a histogram.
	latencyDigits = 2
)

// latencies holds how long callers waited, by what they got. Only the loop's
// goroutine records; the lock of metrics guards it against readers.
type latencies struct {
	answered, refused *hdrhistogram.Histogram
}

func newLatencies() latencies {
	return latencies{
		answered: hdrhistogram.New(1, longestLatency, latencyDigits),
		refused:  hdrhistogram.New(1, longestLatency, latencyDigits),
	}
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// The value lies within the histogram's bounds, so it is always taken.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longestLatency))
}

// quantiles are those that are told of each histogram, in hundredths.
var quantiles = []float64{50, 90, 99, 99.9}

// serveText answers with the counters, gauges and latencies as lines of text, a
// name with labels and a value each.
func (m *metrics) serveText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	m.all.Do(func(kv expvar.KeyValue) {
		switch v := kv.Value.(type) {
		case *expvar.Int:
			fmt.Fprintf(w, "coltsfootward_%s %d\n", kv.Key, v.Value())
		case *expvar.Map:
			v.Do(func(kind expvar.KeyValue) {
				fmt.Fprintf(w, "coltsfootward_%s{kind=%q} %s\n", kv.Key, kind.Key, kind.Value)
			})
		}
	})
	m.writeGauges(w)
	m.mu.Lock()
	defer m.mu.Unlock()
	writeLatency(w, "answered", m.latencies.answered)
	writeLatency(w, "refused", m.latencies.refused)
}

func writeLatency(w io.Writer, outcome string, h *hdrhistogram.Histogram) {
	for _, q := range quantiles {
		fmt.Fprintf(w, "coltsfootward_latency_microseconds{outcome=%q,quantile=%q} %d\n",
			outcome, strings.TrimSuffix(fmt.Sprintf("%.3f", q/100), "0"), h.ValueAtQuantile(q))
	}
	fmt.Fprintf(w, "coltsfootward_latency_microseconds_count{outcome=%q} %d\n", outcome, h.TotalCount())
}

func (m *metrics) writeGauges(w io.Writer) {
	if m.gauges == nil {
		return
	}
	g := m.gauges()
	for _, gauge := range []struct {
		name  string
		value int
	}{
		{"peers", g.Peers}, {"upstreams", g.Upstreams}, {"running", g.Running}, {"queued", g.Queued},
		{"limit", g.Limit}, {"revision", int(g.Revision)}, {"domains_out_of_service", len(g.OutOfService)},
		{"cold_milliseconds", int(g.ColdMilliseconds)}, {"cold_passed", g.ColdPassed}, {"cold_refused", g.ColdRefused},
	} {
		fmt.Fprintf(w, "coltsfootward_%s %d\n", gauge.name, gauge.value)
	}
}
