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
	// maximumLatencyMicroseconds is the highest latency that the histograms record, in
	// microseconds. Higher ones are recorded as this value.
	maximumLatencyMicroseconds = int64(time.Minute / time.Microsecond)
	// latencyDigits is the histograms' precision in significant digits. Two digits
	// need about 20 KB of memory per histogram.
	latencyDigits = 2
)

// latencies holds histograms of the time until callers got a response or a refusal.
// Only the loop's goroutine records values. The mutex of metrics guards the
// histograms, since other goroutines read them.
type latencies struct {
	answered, refused *hdrhistogram.Histogram
}

func newLatencies() latencies {
	return latencies{
		answered: hdrhistogram.New(1, maximumLatencyMicroseconds, latencyDigits),
		refused:  hdrhistogram.New(1, maximumLatencyMicroseconds, latencyDigits),
	}
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values outside the histogram's bounds.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maximumLatencyMicroseconds))
}

// quantiles are the exposed quantiles of each histogram, in percent.
var quantiles = []float64{50, 90, 99, 99.9}

// serveText writes the counters, gauges and latencies in the Prometheus text format:
// each line holds a name with labels and a value.
func (m *metrics) serveText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	m.vars.Do(func(kv expvar.KeyValue) {
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
		{"quarantined", len(g.Quarantined)}, {"limit_passed", g.LimitPassed}, {"limit_refused", g.LimitRefused},
		{"load_notices_sent", g.LoadNoticesSent}, {"load_notices_received", g.LoadNoticesReceived},
		{"retries_granted", g.RetriesGranted}, {"retries_denied", g.RetriesDenied},
	} {
		fmt.Fprintf(w, "coltsfootward_%s %d\n", gauge.name, gauge.value)
	}
	fmt.Fprintf(w, "coltsfootward_named_limit %g\n", g.NamedLimit)
	fmt.Fprintf(w, "coltsfootward_slowdown %g\n", g.Slowdown)
	fmt.Fprintf(w, "coltsfootward_retries_left %g\n", g.RetriesLeft)
	fmt.Fprintf(w, "coltsfootward_retry_excess %g\n", g.RetryExcess)
	for _, s := range g.Shares {
		fmt.Fprintf(w, "coltsfootward_share_band{service=%q} %d\n", s.Service, s.Band)
	}
	writeCrossing(w, g)
}
