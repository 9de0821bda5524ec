package daemon

import (
	"net/http/httptest"
	"strings"
	"testing"

	"coltsfootward"
	"coltsfootward/core/node"
	"coltsfootward/io/loop"
)

// The text format exposes counters, refusals by kind and latencies, and holds neither
// keys nor paths of callers' requests.
func TestMetricsAsText(t *testing.T) {
	m := newMetrics()
	m.observe(loop.Observation{Event: node.RequestArrived{Call: 1, Key: "digest", Path: "/secret"}})
	m.observe(loop.Observation{Event: node.Tick{}, Actions: []node.Action{
		node.Refuse{Call: 1, Refusal: coltsfootward.NewRefusal(coltsfootward.RefusalOverRate, "")},
	}})
	m.observe(loop.Observation{Event: node.RequestArrived{Call: 2}})
	m.observe(loop.Observation{Event: node.CallDone{Call: 2, Complete: true}})
	w := httptest.NewRecorder()
	m.serveText(w, nil)
	text := w.Body.String()
	for _, want := range []string{
		"coltsfootward_requests 2\n", "coltsfootward_answers_whole 1\n",
		`coltsfootward_refusals{kind="over_rate"} 1` + "\n",
		`coltsfootward_latency_microseconds_count{outcome="answered"} 1` + "\n",
		`coltsfootward_latency_microseconds_count{outcome="refused"} 1` + "\n",
		`coltsfootward_latency_microseconds{outcome="refused",quantile="0.99"}`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("got no %q in\n%s", want, text)
		}
	}
	if strings.Contains(text, "digest") || strings.Contains(text, "secret") {
		t.Errorf("got metrics that expose a key or path:\n%s", text)
	}
}
