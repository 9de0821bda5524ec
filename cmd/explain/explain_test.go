package explain_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"coltsfootward/cmd/explain"

	"github.com/sebdah/goldie/v2"
)

// log holds lines of three nodes. Some have a time and an instance as a prefix, and
// one line was written by another program.
const log = `-0.0011 north-1 {"level":"info","ts":1700000000.000,"msg":"node_started","node":"north-1","domain":"north","code":101,"callers":"10.0.0.1:1"}
panic in some other program {"code": broken
1.20 north-1 {"level":"info","ts":1700000001.200,"msg":"request_refused","node":"north-1","domain":"north","code":201,"request":"r-rate","kind":"over_rate","execution":"not_run","detail":"the organisation is above its rate and burst","retry_after":"115ms","service":"quotes","route":"live","organisation":"traders","waited":"15ms","left":"1s","hops":"0","rate":"5.00","burst":"5","revision":"8","parts":"south/0 at south-2: 0 left 1ms ago, asked again in 80ms"}
{"level":"info","ts":1700000002.400,"msg":"call_refused","node":"south-1","domain":"south","code":203,"request":"r-full","kind":"overloaded","execution":"not_run","detail":"the backend server cannot finish the request in the caller's time","running":"19","limit":"19","queued":"7","backlog":"640ms","left":"310ms","service":"quotes"}
{"level":"info","ts":1700000002.401,"msg":"attempt_failed","node":"north-1","domain":"north","code":202,"request":"r-full","instance":"south-1","kind":"overloaded","execution":"not_run","detail":"the backend server cannot finish the request in the caller's time","service":"quotes","hop":"1","took":"2ms"}
{"level":"info","ts":1700000002.402,"msg":"request_refused","node":"north-1","domain":"north","code":201,"request":"r-full","kind":"overloaded","execution":"not_run","detail":"the backend server cannot finish the request in the caller's time","retry_after":"1.1s","service":"quotes","waited":"690ms","left":"308ms","hops":"1","instance":"south-1"}
{"level":"info","ts":1700000003.000,"msg":"request_refused","node":"north-2","domain":"north","code":201,"request":"r-gate","kind":"overloaded","execution":"not_run","detail":"service \"feeds\", which the request needs, has no room for requests of this importance","retry_after":"333ms","service":"quotes","waited":"0s","hops":"0","full":"feeds","passed":"0.55","excess":"0.45","age":"120ms","rank":"900","limit":"500"}
{"level":"info","ts":1700000004.000,"msg":"attempt_failed","node":"north-2","domain":"north","code":202,"request":"r-lost","instance":"south-1","kind":"connection_lost","execution":"unknown","detail":"the connection broke while the request was under way","service":"quotes","hop":"1","took":"700ms"}
{"level":"info","ts":1700000004.001,"msg":"request_refused","node":"north-2","domain":"north","code":201,"request":"r-lost","kind":"connection_lost","execution":"unknown","detail":"the connection broke while the request was under way","retry_after":"0s","service":"quotes","waited":"702ms","hops":"1","instance":"south-1"}
{"level":"info","ts":1700000005.000,"msg":"request_refused","node":"north-2","domain":"north","code":201,"request":"r-none","kind":"no_upstream","execution":"not_run","detail":"no backend server of the service takes work","retry_after":"1s","service":"quotes","waited":"0s","hops":"0","known":"13","tried":"0","ejected":"3","suspected":"0","unreachable":"10"}
{"level":"info","ts":1700000005.100,"msg":"request_refused","node":"north-2","domain":"north","code":201,"request":"r-out","kind":"no_upstream","execution":"not_run","detail":"no backend server of the service takes work","retry_after":"1s","service":"quotes","waited":"0s","hops":"0","known":"13","tried":"0","ejected":"3","suspected":"0","unreachable":"10","out_of_service":"south"}
{"level":"info","ts":1700000005.200,"msg":"request_refused","node":"north-2","domain":"north","code":201,"request":"r-cold-gate","kind":"overloaded","execution":"not_run","detail":"service \"feeds\", which the request needs, has no room for requests of this importance","retry_after":"3.2s","service":"quotes","waited":"0s","hops":"0","full":"feeds","passed":"0.02","excess":"0.98","age":"20ms","rank":"900","limit":"5","cold":"2.9s"}
{"level":"info","ts":1700000005.300,"msg":"call_refused","node":"south-1","domain":"south","code":203,"request":"r-cold","kind":"overloaded","execution":"not_run","detail":"the backend server is cold and bears only few requests","running":"2","limit":"19","queued":"1","backlog":"40ms","left":"310ms","service":"quotes","cold":"2.4s"}
{"level":"info","ts":1700000005.301,"msg":"request_refused","node":"north-1","domain":"north","code":201,"request":"r-cold","kind":"overloaded","execution":"not_run","detail":"the backend server is cold and bears only few requests","retry_after":"2.6s","service":"quotes","waited":"90ms","left":"308ms","hops":"1","instance":"south-1"}
{"level":"info","ts":1700000006.000,"msg":"attempt_failed","node":"north-2","domain":"north","code":202,"request":"r-slow","instance":"south-1","kind":"draining","execution":"not_run","detail":"the backend server takes no new work","service":"quotes","hop":"1","took":"3ms"}
{"level":"info","ts":1700000007.000,"msg":"request_refused","node":"north-2","domain":"north","code":201,"request":"r-slow","kind":"timeout","execution":"unknown","detail":"the caller's time ran out","retry_after":"0s","service":"quotes","waited":"1s","hops":"2","instance":"south-2","attribution":"unique","parent":"r-order","account":"traders"}
{"level":"info","ts":1700000008.000,"msg":"attempt_failed","node":"north-2","domain":"north","code":202,"request":"r-saved","instance":"south-1","kind":"upstream_failed","execution":"unknown","detail":"the backend server broke off","service":"quotes","hop":"1","took":"30ms","attribution":"ambiguous"}
{"level":"info","ts":1700000008.400,"msg":"request_refused","node":"north-2","domain":"north","code":201,"request":"r-crash","kind":"quarantined","execution":"not_run","detail":"4 backend servers have crashed while they ran a request equal to this one (4984dbdd9171f5d4)","retry_after":"58m1s","fingerprint":"4984dbdd9171f5d4","service":"quotes","route":"r-1","organisation":"traders","waited":"0s","hops":"0","method":"GET","path":"/quotes/crash"}
{"level":"info","ts":1700000008.410,"msg":"request_refused","node":"north-2","domain":"north","code":201,"request":"r-limits","kind":"overloaded","execution":"not_run","detail":"every backend server of the service gets as many requests as the limit that it names allows","retry_after":"160ms","service":"quotes","waited":"0s","hops":"0","known":"4","tried":"0","ejected":"0","suspected":"0","unreachable":"0","limited":"4"}
{"level":"info","ts":1700000008.420,"msg":"request_refused","node":"north-2","domain":"north","code":201,"request":"r-limit-gate","kind":"overloaded","execution":"not_run","detail":"service \"feeds\", which the request needs, has no room for requests of this importance","retry_after":"150ms","service":"quotes","waited":"0s","hops":"0","full":"feeds","passed":"0.40","excess":"0.00","age":"20ms","rank":"900","limit":"5","limit_shortfall":"0.60"}
{"level":"info","ts":1700000008.425,"msg":"request_refused","node":"north-2","domain":"north","code":201,"request":"r-share","kind":"overloaded","execution":"not_run","detail":"service \"feeds\", which the request needs, has no room for requests of this importance","retry_after":"150ms","service":"quotes","organisation":"traders","waited":"0s","hops":"0","full":"feeds","passed":"0.62","excess":"0.38","age":"20ms","rank":"900","limit":"5","band":"10","contended_band":"10","summary_age":"310ms","account":"traders","weight":"2.00","asked":"16.00","share":"6.40"}
{"level":"info","ts":1700000008.426,"msg":"request_refused","node":"north-2","domain":"north","code":201,"request":"r-band","kind":"overloaded","execution":"not_run","detail":"service \"feeds\", which the request needs, has no room for requests of this importance","retry_after":"150ms","service":"quotes","organisation":"traders","waited":"0s","hops":"0","full":"feeds","passed":"0.62","excess":"0.38","age":"20ms","rank":"900","limit":"5","band":"10","contended_band":"5","summary_age":"310ms"}
{"level":"info","ts":1700000008.430,"msg":"call_refused","node":"south-1","domain":"south","code":203,"request":"r-limit","kind":"overloaded","execution":"not_run","detail":"the backend server gets as many requests as the limit that it names allows","running":"2","limit":"19","queued":"1","backlog":"40ms","left":"310ms","service":"quotes","named_limit":"16.50"}
{"level":"info","ts":1700000008.440,"msg":"call_refused","node":"south-1","domain":"south","code":203,"request":"r-stated","kind":"overloaded","execution":"not_run","detail":"the backend server cannot finish the request in the caller's time","running":"40","limit":"40","queued":"9","backlog":"400ms","left":"30ms","service":"quotes","slowdown":"2.50","slowdown_age":"12ms"}
{"level":"info","ts":1700000008.441,"msg":"request_refused","node":"north-1","domain":"north","code":201,"request":"r-stated","kind":"overloaded","execution":"not_run","detail":"the backend server cannot finish the request in the caller's time","retry_after":"120ms","service":"quotes","waited":"3ms","left":"308ms","hops":"1","instance":"south-1"}
{"level":"info","ts":1700000008.431,"msg":"request_refused","node":"north-1","domain":"north","code":201,"request":"r-limit","kind":"overloaded","execution":"not_run","detail":"the backend server gets as many requests as the limit that it names allows","retry_after":"120ms","service":"quotes","waited":"3ms","left":"308ms","hops":"1","instance":"south-1"}
{"level":"info","ts":1700000008.440,"msg":"request_refused","node":"north-2","domain":"north","code":201,"request":"r-retries","kind":"overloaded","execution":"not_run","detail":"service \"feeds\", which the request needs, has too few retries left for requests of this importance","retry_after":"333ms","service":"quotes","waited":"0s","hops":"0","full":"feeds","resource":"retries","passed":"0.40","excess":"0.60","age":"20ms","rank":"900","limit":"5"}
{"level":"info","ts":1700000008.450,"msg":"call_refused","node":"south-1","domain":"south","code":203,"request":"r-denied","kind":"overloaded","execution":"not_run","detail":"the backend server rejected the request without running it","running":"2","limit":"19","queued":"0","backlog":"0s","left":"310ms","service":"quotes","retry_granted":"false","sends":"1","retries_left":"0.40","retry_shortage":"3.20"}
{"level":"info","ts":1700000008.451,"msg":"request_refused","node":"north-1","domain":"north","code":201,"request":"r-denied","kind":"overloaded","execution":"not_run","detail":"the backend server rejected the request without running it","retry_after":"1.1s","service":"quotes","waited":"20ms","left":"308ms","hops":"2","instance":"south-1"}
{"level":"info","ts":1700000008.500,"msg":"records_dropped","node":"south-1","domain":"south","code":106,"of":"203","count":"17"}
{"level":"info","ts":1700000108.500,"msg":"records_dropped","node":"south-1","domain":"south","code":106,"of":"202","count":"4"}
{"level":"info","ts":1700000008.500,"msg":"records_dropped","node":"north-2","domain":"north","code":106,"of":"901","count":"9"}
`

func read(t *testing.T, handle func(explain.Line)) {
	t.Helper()
	if err := explain.Read(strings.NewReader(log), handle); err != nil {
		t.Fatal(err)
	}
}

func TestCauses(t *testing.T) {
	var page strings.Builder
	for _, request := range []string{"r-rate", "r-full", "r-gate", "r-lost", "r-none", "r-out", "r-cold-gate", "r-cold", "r-slow", "r-saved", "r-crash", "r-limits", "r-limit-gate", "r-limit", "r-stated", "r-retries", "r-denied", "r-share", "r-band"} {
		search := explain.NewSearch(request)
		read(t, search.Add)
		found, ok := search.Result()
		if !ok {
			t.Fatalf("found nothing of %s", request)
		}
		fmt.Fprintf(&page, "%s, %d lines, %d drops\n%s\n\n", request, len(found.Lines), len(found.Dropped), found.Cause)
	}
	goldie.New(t).Assert(t, "causes", []byte(page.String()))
}

// Guards against a search by kind that omits the request's lines before the refusal.
func TestSearchFirstIncludesEarlierLines(t *testing.T) {
	search := explain.NewSearchFirst("connection_lost")
	read(t, search.Add)
	found, ok := search.Result()
	if !ok || found.Request != "r-lost" || len(found.Lines) != 2 {
		t.Errorf("got %+v, want both lines of r-lost", found)
	}
}

func TestUnknownRequestIsNotFound(t *testing.T) {
	search := explain.NewSearch("r-nobody")
	read(t, search.Add)
	if found, ok := search.Result(); ok {
		t.Errorf("got %+v, want nothing", found)
	}
}

func TestSummary(t *testing.T) {
	summary := explain.NewSummary()
	read(t, summary.Add)
	page, err := json.MarshalIndent(map[string]any{
		"causes": summary.Causes(), "rows": summary.Rows(), "worst": summary.Worst(2), "dropped": summary.Dropped,
	}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "summary", page)
}

// Guards against a reader that stops at a line of another program that exceeds the
// maximum length.
func TestOverlongLineIsSkipped(t *testing.T) {
	long := strings.Repeat("x", 3<<20) + "\n"
	count := 0
	if err := explain.Read(strings.NewReader(long+log), func(explain.Line) { count++ }); err != nil {
		t.Fatal(err)
	}
	if count != strings.Count(log, `"msg"`) {
		t.Errorf("got %d lines, want %d", count, strings.Count(log, `"msg"`))
	}
}
