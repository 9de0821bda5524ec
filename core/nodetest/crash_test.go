package nodetest_test

import (
	"fmt"
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

// Guards against a crash that goes unnoticed because the server listens again before the
// next request.
func TestCrashWithQuickRestartIsReported(t *testing.T) {
	r, members := newCrashRig(1, 1, "north")
	only := members[0]
	only.AnnounceStart("first")
	sendCrashing(only)
	r.Run(5 * time.Millisecond)
	only.Backend.AbortAll()
	only.AnnounceStart("second")
	r.Run(time.Second)
	if got := len(records(only, record.BackendCrashed)); got != 1 {
		t.Errorf("got %d records of a crash, want 1", got)
	}
}

// Guards against a request that is never suspected because an earlier start of the
// server, of another version perhaps, has answered it.
func TestAnswerOfEarlierStartDoesNotClear(t *testing.T) {
	r, members := newCrashRig(1, 1, "north")
	only := members[0]
	only.AnnounceStart("first")
	only.Backend.CrashOn = nil
	sendCrashing(only)
	r.Run(time.Second)
	only.DrainBackend()
	only.AnnounceStart("second")
	only.Backend.CrashOn = crashes
	sendCrashing(only)
	r.Run(time.Second)
	if got := len(records(only, record.BackendCrashed)); got != 1 {
		t.Errorf("got %d records of a crash, want 1", got)
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

// crashLoad sends a crashing request and five others at random members every 100 ms
// for the given time. It returns the others and the time of the third crash, or zero.
func crashLoad(r *nodetest.Rig, members []*nodetest.Member, length time.Duration, send func(*nodetest.Member)) (sent []*nodetest.Outcome, third time.Duration) {
	for end := r.Now() + length; r.Now() < end; {
		send(members[r.Source().IntN(len(members))])
		for range 5 {
			sent = append(sent, get(members[r.Source().IntN(len(members))]))
		}
		r.Run(100 * time.Millisecond)
		if third == 0 && crashCount(members) >= 3 {
			third = r.Now()
		}
	}
	return sent, third
}

// Guards against verdicts that spread through a large failure domain more slowly than
// the request arrives again.
func TestVerdictReachesAllNodesWithinContactTime(t *testing.T) {
	r, members := newCrashRig(1, 40, "north", "south")
	withholds := func() bool {
		for _, m := range members {
			if len(m.Node().Quarantined()) == 0 {
				return false
			}
		}
		return true
	}
	for crashCount(members) < 3 {
		sendCrashing(members[r.Source().IntN(len(members))])
		r.Run(20 * time.Millisecond)
	}
	from := r.Now()
	if !r.RunUntil(contactTime, withholds) {
		t.Errorf("some nodes do not withhold the request %v after its third crash", contactTime)
	}
	t.Logf("all nodes withhold the request after %v", r.Now()-from)
}

// Guards against a crashing request that the caller may not have run twice: each of
// its attempts is a new request.
func TestUnrepeatableRequestThatCrashesServersIsWithheld(t *testing.T) {
	document := routedDocument(2, coltsfootward.Rate{PerSecond: 100000, Burst: 100000}, "quotes")
	routes := document.Routes()
	routes[0].Unrepeatable = true
	r, members := newCrashRig(1, 2, "north", "south")
	for _, m := range members {
		m.ReadConfiguration(document.WithRoutes(routes))
	}
	_, third := crashLoad(r, members, 10*time.Second, func(m *nodetest.Member) { sendCrashing(m) })
	checkWithheld(t, members, third)
}

// Guards against a crashing request in a deployment without routes, where operators'
// services take the place of hosts.
func TestOwnDeploymentWithholdsCrashingRequest(t *testing.T) {
	r, north, south := newPair(1)
	south.Backend.CrashOn = func(call message.Call) bool { return call.Path == "/crash" }
	var last *nodetest.Outcome
	for range 50 {
		last = north.Send(nodetest.Request{Key: key, Service: "quotes", Path: "/crash"})
		r.Run(100 * time.Millisecond)
		north.Send(nodetest.Request{Key: key, Service: "quotes", Path: "/urea"})
		r.Run(500 * time.Millisecond)
	}
	if got := south.Backend.Crashes; got != 3 {
		t.Errorf("the server crashed %d times, want 3", got)
	}
	if last.Refusal == nil || last.Refusal.Kind != coltsfootward.RefusalQuarantined {
		t.Errorf("got %v, want a refusal as quarantined", last.Refusal)
	}
}

// Guards against a call of a backend server that ends the whole service below it.
func TestCallThatCrashesServersIsWithheld(t *testing.T) {
	r, members := newCrashRig(1, 4, "north", "south")
	document := routedDocument(2, coltsfootward.Rate{PerSecond: 100000, Burst: 100000}, "quotes", "ledger")
	routes := document.Routes()
	routes[1].Public = true
	document = document.WithRoutes(routes)
	for i, m := range members {
		m.ReadConfiguration(document)
		if i%2 == 1 {
			m.Announce("ledger", 40)
			continue
		}
		m.Backend.CrashOn = nil
		m.Backend.RespondsOnFailure = true
		m.Backend.Children = func(call message.Call) []nodetest.Request {
			if crashes(call) {
				return []nodetest.Request{{Host: routedHost, Path: "/ledger/crash"}}
			}
			return nil
		}
	}
	inLedger := func(call message.Call) bool { return call.Path == "/ledger/crash" }
	for _, m := range members {
		if m.Backend.CrashOn != nil {
			m.Backend.CrashOn = inLedger
		}
	}
	r.Run(time.Second)
	_, third := crashLoad(r, members, 10*time.Second, func(m *nodetest.Member) { sendCrashing(m) })
	if third == 0 {
		t.Fatal("the servers did not crash three times")
	}
	if got := runsSince(members, third+contactTime, inLedger); got > maxLateRuns {
		t.Errorf("the call reached servers %d times later than %v after its third crash, want at most %d", got, contactTime, maxLateRuns)
	}
}

// Guards against a node that passes a withheld request on after its restart, also while
// the platform is away.
func TestRestartedNodeWithholdsCrashingRequest(t *testing.T) {
	r, members := newCrashRig(1, 2, "north", "south")
	_, third := crashLoad(r, members, 10*time.Second, func(m *nodetest.Member) { sendCrashing(m) })
	r.Table.Outage = true
	for _, m := range members {
		m.Kill()
		r.Run(500 * time.Millisecond)
		m.Restart()
		m.ReadConfiguration(routedDocument(1, coltsfootward.Rate{PerSecond: 100000, Burst: 100000}, "quotes"))
		m.Announce("quotes", 40)
		r.Run(contactTime)
		o := sendCrashing(m)
		r.Run(time.Second)
		if o.Refusal == nil || o.Refusal.Kind != coltsfootward.RefusalQuarantined || o.Attempts > 0 {
			t.Errorf("%s: got %v after %d attempts, want a refusal as quarantined without any", m.Instance.ID, o.Refusal, o.Attempts)
		}
	}
	checkWithheld(t, members, third)
}

// Guards against a crashing request that reaches servers through an entry node that has
// not heard of the crashes.
func TestUpstreamNodeWithholdsCrashingRequest(t *testing.T) {
	r, members := newCrashRig(1, 2, "north", "south")
	entry := members[0]
	r.DropMessage = func(_, to coltsfootward.Instance) bool { return to.ID == entry.Instance.ID }
	r.Table.Outage = true
	crashLoad(r, members[1:], time.Second, func(m *nodetest.Member) { sendCrashing(m) })
	before := crashCount(members[1:])
	entry.Announce("", 0)
	r.Run(time.Second)
	o := sendCrashing(entry)
	r.Run(time.Second)
	if got := crashCount(members[1:]) - before; got > 0 {
		t.Errorf("servers crashed %d times more, want none", got)
	}
	if o.Refusal == nil || o.Refusal.Kind != coltsfootward.RefusalQuarantined || o.Refusal.Execution != coltsfootward.ExecutionNotRun {
		t.Errorf("got %v, want a refusal as quarantined and not run", o.Refusal)
	}
}

// Guards against a crashing request that is forgotten when all nodes lose power.
func TestCrashingRequestIsWithheldAfterAllNodesRestarted(t *testing.T) {
	r, members := newCrashRig(1, 2, "north", "south")
	_, third := crashLoad(r, members, 10*time.Second, func(m *nodetest.Member) { sendCrashing(m) })
	for _, m := range members {
		m.Kill()
	}
	r.Run(time.Second)
	for _, m := range members {
		m.Restart()
		m.ReadConfiguration(routedDocument(1, coltsfootward.Rate{PerSecond: 100000, Burst: 100000}, "quotes"))
		m.Announce("quotes", 40)
	}
	r.Run(contactTime)
	crashLoad(r, members, 10*time.Second, func(m *nodetest.Member) { sendCrashing(m) })
	checkWithheld(t, members, third)
}

// Guards against a crashing request that stays forgotten because the platform was away
// when all nodes started again.
func TestStoredCrashesAreReadOncePlatformReturns(t *testing.T) {
	r, members := newCrashRig(1, 2, "north", "south")
	crashLoad(r, members, 10*time.Second, func(m *nodetest.Member) { sendCrashing(m) })
	r.Table.Outage = true
	for _, m := range members {
		m.Kill()
	}
	r.Run(time.Second)
	for _, m := range members {
		m.Restart()
		m.ReadConfiguration(routedDocument(1, coltsfootward.Rate{PerSecond: 100000, Burst: 100000}, "quotes"))
	}
	r.Run(5 * time.Second)
	r.Table.Outage = false
	r.Run(contactTime)
	for _, m := range members {
		if len(m.Node().Quarantined()) == 0 {
			t.Errorf("%s does not withhold the request %v after the platform's return", m.Instance.ID, contactTime)
		}
	}
}

// Guards against a failure domain that lets a request crash its servers because the
// nodes that know the request cannot reach it.
func TestDomainThatIsCutOffWithholdsCrashingRequest(t *testing.T) {
	for seed := range uint64(5) {
		r, members := newCrashRig(seed, 4, "north", "south")
		r.Run(5 * time.Second)
		r.PartitionDomain("south", false)
		r.Run(10 * time.Second)
		north, south := members[:4], members[4:]
		_, third := crashLoad(r, north, 5*time.Second, func(m *nodetest.Member) { sendCrashing(m) })
		if third == 0 {
			t.Fatal("the servers did not crash three times")
		}
		crashLoad(r, south, 10*time.Second, func(m *nodetest.Member) { sendCrashing(m) })
		if got := runsSince(south, 0, crashes); got > 0 {
			t.Errorf("seed %d: the request reached servers of the domain that is cut off %d times, want none", seed, got)
		}
	}
}

// Guards against servers of a failure domain that has just been cut off, and whose nodes
// do not know that yet.
func TestDomainThatHasJustBeenCutOffWithholdsCrashingRequest(t *testing.T) {
	for seed := range uint64(5) {
		r, members := newCrashRig(seed, 4, "north", "south")
		r.Run(5 * time.Second)
		north, south := members[:4], members[4:]
		r.PartitionDomain("south", false)
		_, third := crashLoad(r, north, contactTime, func(m *nodetest.Member) { sendCrashing(m) })
		if third == 0 {
			t.Fatal("the servers did not crash three times")
		}
		crashLoad(r, south, 10*time.Second, func(m *nodetest.Member) { sendCrashing(m) })
		if got := runsSince(south, 0, crashes); got > maxLateRuns {
			t.Errorf("seed %d: the request reached servers of the domain that is cut off %d times, want at most %d", seed, got, maxLateRuns)
		}
	}
}

// Guards against equal requests that are withheld although they crash nothing, while
// servers crash for another reason.
func TestEqualRequestsAreServedWhileServersCrashForAnotherReason(t *testing.T) {
	for seed := range uint64(5) {
		r, members := newCrashRig(seed, 2, "north", "south")
		for _, m := range members {
			m.Backend.ServiceTime = func(message.Call) time.Duration { return 50 * time.Millisecond }
		}
		var sent []*nodetest.Outcome
		for i := range 300 {
			for _, m := range members {
				sent = append(sent, get(m))
			}
			r.Run(100 * time.Millisecond)
			if i%10 == 0 {
				r.Run(20 * time.Millisecond)
				members[i/10%len(members)].Backend.Crash()
			}
		}
		r.Run(time.Second)
		for _, m := range members {
			if found := records(m, record.RequestQuarantined); len(found) > 0 {
				t.Errorf("seed %d: %s withheld %v", seed, m.Instance.ID, found[0].Fields)
			}
		}
		if got := answeredShare(sent); got < 0.95 {
			t.Errorf("seed %d: %.3f answered, want 0.95", seed, got)
		}
	}
}

// Guards against a request that stays withheld because it was in service together
// with the one that crashes servers.
func TestRequestSuspectedWithAnotherIsReleased(t *testing.T) {
	r, members := newCrashRig(1, 1, "north")
	only := members[0]
	only.Backend.ServiceTime = func(message.Call) time.Duration { return 50 * time.Millisecond }
	sendBeside := func() *nodetest.Outcome {
		return only.Send(nodetest.Request{Key: key, Host: routedHost, Path: "/quotes/beside"})
	}
	for range 3 {
		sendCrashing(only)
		sendBeside()
		r.Run(2 * time.Second)
	}
	if got := len(only.Node().Quarantined()); got != 2 {
		t.Fatalf("got %d requests withheld, want both", got)
	}
	var sent []*nodetest.Outcome
	for range 40 {
		sendCrashing(only)
		r.Run(500 * time.Millisecond)
		sent = append(sent, sendBeside())
		r.Run(500 * time.Millisecond)
	}
	if got := answeredShare(sent[len(sent)/2:]); got < 1 {
		t.Errorf("%.3f of the requests beside the crashing one answered, want all", got)
	}
	if got := only.Backend.Crashes; got > 4 {
		t.Errorf("the server crashed %d times, want at most one trial after the three", got)
	}
}

// Guards against a frequent request that is withheld because it was in service whenever
// another one crashed a server.
func TestFrequentRequestIsServedBesideCrashingRequest(t *testing.T) {
	for seed := range uint64(5) {
		r, members := newCrashRig(seed, 2, "north", "south")
		for _, m := range members {
			m.Backend.ServiceTime = func(message.Call) time.Duration { return 50 * time.Millisecond }
		}
		for i := range 300 {
			if i >= 100 && i < 104 {
				sendCrashing(members[i%len(members)])
			}
			for _, m := range members {
				get(m)
			}
			r.Run(10 * time.Millisecond)
		}
		var sent []*nodetest.Outcome
		for _, m := range members {
			sent = append(sent, get(m))
		}
		r.Run(time.Second)
		if got := answeredShare(sent); crashCount(members) < 3 || got < 1 {
			t.Errorf("seed %d: %.3f of the frequent requests answered after %d crashes, want all", seed, got, crashCount(members))
		}
	}
}

// Guards against unbounded state and refusals of other requests under many different
// crashing requests.
func TestManyCrashingRequestsAreWithheld(t *testing.T) {
	r, members := newCrashRig(1, 4, "north", "south")
	for _, m := range members {
		m.Backend.CrashOn = func(call message.Call) bool { return strings.HasPrefix(call.Path, "/quotes/crash") }
	}
	number := 0
	crashLoad(r, members, 60*time.Second, func(m *nodetest.Member) {
		number++
		m.Send(nodetest.Request{Key: key, Host: routedHost, Path: fmt.Sprintf("/quotes/crash%d", number%5)})
	})
	before := crashCount(members)
	sent, _ := crashLoad(r, members, 10*time.Second, func(m *nodetest.Member) {
		number++
		m.Send(nodetest.Request{Key: key, Host: routedHost, Path: fmt.Sprintf("/quotes/crash%d", number%5)})
	})
	if got := crashCount(members) - before; got > 0 {
		t.Errorf("servers crashed %d times after a minute, want none", got)
	}
	if got := answeredShare(sent); got < 0.99 {
		t.Errorf("%.3f of the other requests answered, want 0.99", got)
	}
}

// checkWithheld fails the test if the crashing request has reached servers too often
// after its third crash.
func checkWithheld(t *testing.T, members []*nodetest.Member, third time.Duration) {
	t.Helper()
	if third == 0 {
		t.Fatal("the servers did not crash three times")
	}
	if got := runsSince(members, third+contactTime, crashes); got > maxLateRuns {
		t.Errorf("the request reached servers %d times later than %v after its third crash, want at most %d", got, contactTime, maxLateRuns)
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
