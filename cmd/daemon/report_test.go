package daemon

import (
	"testing"
	"time"

	"coltsfootward/cmd/settings"
	"coltsfootward/core/record"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Under overload a node refuses hundreds of requests a second. Its log stays
// bounded, says how many lines were left out, and other events still have theirs.
func TestLogIsBounded(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	r := newReporter(settings.Default(), zap.New(core))
	const refused = 500
	for range refused {
		r.report(record.New(record.RequestRefused, time.Now()))
	}
	r.report(record.New(record.BackendLost, time.Now()))
	if got := logs.FilterMessage("request_refused").Len(); got != linesPerSecond {
		t.Errorf("got %d lines for %d refusals, want %d", got, refused, linesPerSecond)
	}
	if logs.FilterMessage("backend_lost").Len() != 1 {
		t.Error("another event was left out")
	}
	time.Sleep(1100 * time.Millisecond)
	r.report(record.New(record.RequestRefused, time.Now()))
	dropped := logs.FilterMessage("records_dropped").All()
	if len(dropped) != 1 || dropped[0].ContextMap()["count"] != "480" || dropped[0].ContextMap()["of"] != "201" {
		t.Errorf("got %v, want one line that 480 of event 201 were left out", dropped)
	}
}
