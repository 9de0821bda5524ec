package nodetest_test

import (
	"strings"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/nodetest"
	"coltsfootward/core/quarantine"
	"coltsfootward/core/record"
)

const crashingPath = "/quotes/crash"

// crashes reports whether a request crashes the backend servers of newCrashRig.
func crashes(call message.Call) bool { return call.Path == crashingPath }

// newCrashRig returns a rig whose backend servers crash on requests for
// crashingPath.
func newCrashRig(seed uint64, nodes int, domains ...coltsfootward.FailureDomain) (*nodetest.Rig, []*nodetest.Member) {
	r, members := newRoutedRig(seed, nodes, routedDocument(1, coltsfootward.Rate{PerSecond: 100000, Burst: 100000}, "quotes"), domains...)
	for _, m := range members {
		m.Announce("quotes", 40)
		m.Backend.CrashOn = crashes
	}
	r.Run(time.Second)
	return r, members
}

func sendCrashing(m *nodetest.Member) *nodetest.Outcome {
	return m.Send(nodetest.Request{Key: key, Host: routedHost, Path: crashingPath})
}

func crashingFingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(message.Call{Organisation: "traders", Host: routedHost, Method: "GET", Path: crashingPath}, 0)
}

// Guards against a log that does not tell which requests a server was running when
// it crashed.
func TestCrashRecordNamesTheRequestsInService(t *testing.T) {
	r, members := newCrashRig(1, 1, "north")
	get(members[0])
	sendCrashing(members[0])
	r.Run(time.Second)
	found := records(members[0], record.BackendCrashed)
	if len(found) != 1 {
		t.Fatalf("got %d records of a crash, want 1", len(found))
	}
	if got := fieldOf(found[0], "fingerprints"); !strings.Contains(got, crashingFingerprint().String()) {
		t.Errorf("got fingerprints %q, want %s among them", got, crashingFingerprint())
	}
}

// Guards against a crash report about a server that has broken off one response and
// is still running.
func TestBrokenResponseIsNoCrash(t *testing.T) {
	r, members := newRoutedRig(1, 1, routedDocument(1, coltsfootward.Rate{PerSecond: 1000, Burst: 1000}, "quotes"), "north")
	members[0].Backend.Fail = func(message.Call) bool { return true }
	get(members[0])
	r.Run(2 * time.Second)
	if found := records(members[0], record.BackendCrashed); len(found) > 0 {
		t.Errorf("got %v, want no record of a crash", found)
	}
}

// Guards against a crash report about a server that was stopped as announced.
func TestAnnouncedStopIsNoCrash(t *testing.T) {
	r, members := newCrashRig(1, 1, "north")
	sendCrashing(members[0])
	members[0].DrainBackend()
	r.Run(2 * time.Second)
	if found := records(members[0], record.BackendCrashed); len(found) > 0 {
		t.Errorf("got %v, want no record of a crash", found)
	}
}

// contactTime is the time that the nodes have to learn which request crashes their
// servers, and maxLateRuns how often it may reach servers after that.
const (
	contactTime = 3 * time.Second
	maxLateRuns = 3
)

// Guards against a request that ends a whole service: equal requests arrive again at
// every node and crash each backend server that begins them.
func TestRequestThatCrashesServersIsWithheld(t *testing.T) {
	for seed := range uint64(5) {
		r, members := newCrashRig(seed, 2, "north", "south")
		var sent []*nodetest.Outcome
		third := time.Duration(0)
		for i := range 200 {
			sendCrashing(members[i%len(members)])
			for range 5 {
				sent = append(sent, get(members[r.Source().IntN(len(members))]))
			}
			r.Run(100 * time.Millisecond)
			if third == 0 && crashCount(members) >= 3 {
				third = r.Now()
			}
		}
		r.Run(time.Second)
		if got := runsSince(members, third+contactTime, crashes); got > maxLateRuns {
			t.Errorf("seed %d: the request reached servers %d times later than %v after its third crash, want at most %d",
				seed, got, contactTime, maxLateRuns)
		}
		if got := answeredShare(sent[len(sent)/2:]); got < 0.99 {
			t.Errorf("seed %d: %.3f of the other requests answered in the second half, want 0.99", seed, got)
		}
	}
}

func crashCount(members []*nodetest.Member) int {
	count := 0
	for _, m := range members {
		count += m.Backend.Crashes
	}
	return count
}

// runsSince returns how many of the selected requests reached backend servers from
// the given time on.
func runsSince(members []*nodetest.Member, from time.Duration, selected func(message.Call) bool) int {
	count := 0
	for _, m := range members {
		for _, run := range m.Backend.Runs {
			if run.Arrived >= from && selected(run.Head) {
				count++
			}
		}
	}
	return count
}

func records(m *nodetest.Member, code record.Code) []record.Record {
	var found []record.Record
	for _, r := range m.Records {
		if r.Code == code {
			found = append(found, r)
		}
	}
	return found
}

func fieldOf(r record.Record, name string) string {
	for _, f := range r.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}
