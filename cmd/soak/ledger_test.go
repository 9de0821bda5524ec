package soak

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// If a check never reported anything, every soak run would pass. Each guarantee is
// violated once here, and the ledger must report each violation.
func TestLedgerFindsEachViolation(t *testing.T) {
	run := func(id, path, organisation, key string) func(*ledger) {
		return func(l *ledger) {
			r := httptest.NewRequest(http.MethodGet, path, nil)
			r.Header.Set("Coltsfootward-Request-Id", id)
			r.Header.Set("Coltsfootward-Tenant-Id", organisation)
			if key != "" {
				r.Header.Set("Authorization", "Bearer "+key)
			}
			l.recordRun(r)
		}
	}
	record := func(id string, result outcome) func(*ledger) {
		return func(l *ledger) { l.recordOutcome(id, result) }
	}
	const order, quote = "farm-order-1-1", "farm-urea-1-1"
	orderRuns := run(order, "/order/"+order, "farm", "")
	quoteRuns := run(quote, "/urea/"+quote, "farm", "")
	flood := func(l *ledger) {
		for range 200 {
			run("poor-urea-1-1", "/urea/poor-urea-1-1", "poor", "")(l)
		}
	}
	crashes := func(l *ledger) {
		for i := range 3 + maxLateCrashes + 1 {
			at := time.Duration(i) * time.Millisecond
			if i >= 3 {
				at += contactTime
			}
			l.crashes = append(l.crashes, crashRun{at: at, id: quote})
		}
	}
	arrive := func(s conditionSpan, count int) func(*ledger) {
		return func(l *ledger) {
			l.conditions = append(l.conditions, s)
			for range count {
				l.arrivals[s.node] = append(l.arrivals[s.node], arrival{at: s.answered + contactTime})
			}
		}
	}
	limited := conditionSpan{node: 1, limit: 10, from: time.Second, answered: time.Second, to: 10 * time.Second}
	leaving := conditionSpan{node: 1, leaving: true, from: time.Second, answered: time.Second, to: 10 * time.Second}
	disturbed := func(l *ledger) { l.disturbances[1] = append(l.disturbances[1], 2*time.Second) }
	answer := func(header http.Header) func(*ledger) {
		return func(l *ledger) {
			l.beginCondition(conditionSpan{node: 1, limit: 0.5}, func(conditionSpan) {})
			l.recordAnswer(l.recordArrival(1, httptest.NewRequest(http.MethodGet, "/urea/1", nil)), header)
		}
	}
	answerFromBefore := func(l *ledger) {
		due := l.recordArrival(1, httptest.NewRequest(http.MethodGet, "/urea/1", nil))
		l.beginCondition(conditionSpan{node: 1, limit: 0.5}, func(conditionSpan) {})
		l.recordAnswer(due, http.Header{})
		l.began = l.began.Add(-2 * contactTime)
		for range 20 {
			l.recordArrival(1, httptest.NewRequest(http.MethodGet, "/urea/1", nil))
		}
	}
	for _, test := range []struct {
		name, want string
		steps      []func(*ledger)
	}{
		{"no violation", "", []func(*ledger){orderRuns, record(order, outcome{order: true, status: 200, complete: true}), quoteRuns, quoteRuns, record(quote, outcome{status: 502})}},
		{"order runs twice", "ran 2 times", []func(*ledger){orderRuns, orderRuns, record(order, outcome{order: true, status: 502})}},
		{"refused order has run", "answered 503 and has run", []func(*ledger){orderRuns, record(order, outcome{order: true, status: 503})}},
		{"incomplete response", "whole: false", []func(*ledger){quoteRuns, record(quote, outcome{status: 200})}},
		{"response without a run", "runs: 0", []func(*ledger){record(quote, outcome{status: 200, complete: true})}},
		{"allowed request denied", "was answered 404", []func(*ledger){record(quote, outcome{status: 404})}},
		{"cut off by a planned stop", "cut off", []func(*ledger){quoteRuns, record(quote, outcome{node: 2, sent: 3 * time.Second})}},
		{"key passed on", "with its key", []func(*ledger){run(quote, "/urea/"+quote, "farm", "farm-key")}},
		{"other organisation", `organisation "poor"`, []func(*ledger){run(quote, "/urea/"+quote, "poor", "")}},
		{"path changed", "ran with path", []func(*ledger){run(quote, "/urea/other", "farm", "")}},
		{"above the rate", "limited organisation", []func(*ledger){flood}},
		{"as many requests as the limit allows", "", []func(*ledger){arrive(limited, 65)}},
		{"above a server's limit", "want at most 65 at a limit of 10", []func(*ledger){arrive(limited, 66)}},
		{"request to a server that leaves", "said that it leaves", []func(*ledger){arrive(leaving, 1)}},
		{"node that was killed meanwhile", "", []func(*ledger){arrive(leaving, 1), disturbed}},
		{"server states its limit", "", []func(*ledger){answer(http.Header{fields.Limit: {"0.5"}})}},
		{"server does not state its limit", "did not state its condition", []func(*ledger){answer(http.Header{})}},
		{"answer from before the limit", "", []func(*ledger){answerFromBefore}},
		{"servers crash again and again", "crashes backend servers", []func(*ledger){crashes}},
	} {
		l := newLedger()
		for _, step := range test.steps {
			step(l)
		}
		findings := strings.Join(l.check([]stopWindow{{node: 2, from: 2 * time.Second, to: 4 * time.Second}}), "; ")
		if (findings == "") != (test.want == "") || !strings.Contains(findings, test.want) {
			t.Errorf("%s: got %q, want %q", test.name, findings, test.want)
		}
	}
}
