package daemon

import (
	"testing"
	"time"

	"coltsfootward/cmd/settings"
	"coltsfootward/core/record"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Under overload a node refuses hundreds of requests a second. The lines logged per
// second must be bounded for each code, the log must state how many lines were dropped,
// and events with other codes must still be logged.
func TestLogIsBounded(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	r := newReporter(settings.Default(), zap.New(core))
	const refused = 500
	for range refused {
		r.report(record.New(record.RequestRefused, time.Now()))
	}
	r.report(record.New(record.BackendLost, time.Now()))
	if got := logs.FilterMessage("request_refused").Len(); got != maximumLinesPerSecond {
		t.Errorf("got %d lines for %d refusals, want %d", got, refused, maximumLinesPerSecond)
	}
	if logs.FilterMessage("backend_lost").Len() != 1 {
		t.Error("got no line for an event with another code")
	}
	time.Sleep(1100 * time.Millisecond)
	r.report(record.New(record.RequestRefused, time.Now()))
	dropped := logs.FilterMessage("records_dropped").All()
	if len(dropped) != 1 || dropped[0].ContextMap()["count"] != "480" || dropped[0].ContextMap()["of"] != "201" {
		t.Errorf("got %v, want one line that 480 records of code 201 were dropped", dropped)
	}
}
