package nodetest_test

import (
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/nodetest"
)

const (
	coldRate = 15
	coldTime = 3 * time.Second
	// maxColdArrivals is the highest number of requests that may reach a cold server in
	// any second: one and a half times its cold rate, and a few in flight.
	maxColdArrivals = coldRate*3/2 + 8
)

func coldDocument() coltsfootward.Configuration {
	return routedDocument(1, coltsfootward.Rate{PerSecond: 100000, Burst: 100000}, "quotes").
		WithService(coltsfootward.Service{Name: "quotes", ColdRate: coldRate, ColdTime: coldTime})
}

// newColdRig returns a rig whose backend servers crash if they are cold and receive
// more than twice their cold rate.
func newColdRig(seed uint64, nodes int, domains ...coltsfootward.FailureDomain) (*nodetest.Rig, []*nodetest.Member) {
	r, members := newRoutedRig(seed, nodes, coldDocument(), domains...)
	for _, m := range members {
		m.Announce("quotes", 40)
		m.Backend.ColdRate, m.Backend.ColdTime = coldRate, coldTime
		m.Backend.ServiceTime = func(message.Call) time.Duration { return 70 * time.Millisecond }
	}
	r.Run(time.Second)
	return r, members
}

// sendLoad sends perSecond requests a second, round robin over the members, and
// returns their outcomes.
func sendLoad(r *nodetest.Rig, members []*nodetest.Member, perSecond int, length time.Duration) []*nodetest.Outcome {
	var sent []*nodetest.Outcome
	interval := time.Second / time.Duration(perSecond)
	for i := range int(length / interval) {
		sent = append(sent, get(members[i%len(members)]))
		r.Run(interval)
	}
	return sent
}

func answeredShare(sent []*nodetest.Outcome) float64 {
	answered := 0
	for _, o := range sent {
		if o.Answered {
			answered++
		}
	}
	return float64(answered) / float64(max(len(sent), 1))
}

// Guards against a cold server that receives its full share of the demand and
// crashes each time it returns, although the warm servers have capacity for all.
func TestColdServerAmongWarmOnes(t *testing.T) {
	r, members := newColdRig(1, 2, "north", "south")
	sendLoad(r, members, 800, time.Second)
	cold := members[0]
	cold.AnnounceCold("quotes", 40, coldTime)
	from := r.Now()
	sent := sendLoad(r, members, 800, coldTime)
	warm := r.Now()
	later := sendLoad(r, members, 800, 2*time.Second)
	r.Run(time.Second)
	// Requests that reached the server before it announced that it is cold don't count,
	// because the node cannot withdraw them.
	if got := maxArrivalsWhileCold(cold, from); got > maxColdArrivals {
		t.Errorf("%d requests reached the cold server in one second, want at most %d", got, maxColdArrivals)
	}
	if cold.Backend.Crashes > 0 {
		t.Errorf("the cold server crashed %d times", cold.Backend.Crashes)
	}
	if got := answeredShare(sent); got < 0.97 {
		t.Errorf("%.3f answered while one server of four was cold, want 0.97", got)
	}
	if got := answeredShare(later); got < 0.99 {
		t.Errorf("%.3f answered once all were warm, want 0.99", got)
	}
	served := 0
	for _, run := range cold.Backend.Runs {
		if run.Arrived >= warm+time.Second {
			served++
		}
	}
	if served < 100 {
		t.Errorf("the server received %d of 800 requests from one second after it was warm on, want at least 100", served)
	}
}

// Guards against a crash loop after a power loss: all servers of a service return
// cold at the same time, receive the full demand, crash and return cold again for
// as long as the demand lasts.
func TestServiceRecoversAfterPowerLoss(t *testing.T) {
	for seed := range uint64(3) {
		r, members := newColdRig(seed, 2, "north", "south")
		sendLoad(r, members, 1000, 2*time.Second)
		for _, m := range members {
			m.Kill()
		}
		r.Run(time.Second)
		for _, m := range members {
			m.Restart()
			m.ReadConfiguration(coldDocument())
			m.AnnounceCold("quotes", 40, coldTime)
		}
		from := r.Now()
		during := sendLoad(r, members, 1000, coldTime+time.Second)
		after := sendLoad(r, members, 1000, 2*time.Second)
		r.Run(time.Second)
		for _, m := range members {
			if m.Backend.Crashes > 0 || maxArrivalsWhileCold(m, from) > maxColdArrivals {
				t.Errorf("seed %d: %s crashed %d times and got %d requests in one second, want at most %d",
					seed, m.Instance.ID, m.Backend.Crashes, maxArrivalsWhileCold(m, from), maxColdArrivals)
			}
		}
		if got := answeredShare(after); got < 0.98 {
			t.Errorf("seed %d: %.3f answered from one second after the cold time on, want 0.98", seed, got)
		}
		for _, o := range during {
			if !o.Done {
				t.Fatalf("seed %d: a request has not ended", seed)
			}
			elapsed := o.Ended - o.Sent
			if o.Refusal != nil && elapsed > 500*time.Millisecond {
				t.Fatalf("seed %d: refused after %v, want within 500 ms: %v", seed, elapsed, o.Refusal)
			}
		}
	}
}

// maxArrivalsWhileCold returns the highest number of requests that reached the server
// in any second of the cold period that began at from.
func maxArrivalsWhileCold(m *nodetest.Member, from time.Duration) int {
	cold := nodetest.Backend{}
	for _, run := range m.Backend.Runs {
		if run.Arrived >= from && run.Arrived < from+coldTime {
			cold.Runs = append(cold.Runs, run)
		}
	}
	return cold.MaxArrivalsPerSecond(from)
}

// Guards against a crash of a server that has restarted and not announced yet that
// it is cold. Its node must infer the restart from the requests that all fail at
// the same time.
func TestUnannouncedServerRestartCountsAsCold(t *testing.T) {
	r, members := newColdRig(1, 2, "north")
	sendLoad(r, members, 600, time.Second)
	m := members[0]
	m.Backend.AbortAll()
	m.Backend.SetCold(coldTime)
	from := r.Now() + 50*time.Millisecond
	sendLoad(r, members, 600, time.Second)
	if got := m.Backend.MaxArrivalsPerSecond(from); got > maxColdArrivals || m.Backend.Crashes > 0 {
		t.Errorf("%d requests reached the restarted server in one second and it crashed %d times, want at most %d and none",
			got, m.Backend.Crashes, maxColdArrivals)
	}
}

// Guards against a warm server that is treated as cold because requests on it fail
// at random: half of them fail here, but not all at the same time.
func TestRandomFailuresDoNotMakeServerCold(t *testing.T) {
	r, members := newColdRig(1, 1, "north")
	m := members[0]
	requests := 0
	m.Backend.Fail = func(message.Call) bool { requests++; return requests%2 == 0 }
	from := r.Now()
	sendLoad(r, members, 100, 4*time.Second)
	if got := m.Backend.MaxArrivalsPerSecond(from); got < 90 {
		t.Errorf("%d requests reached a warm server in one second, want nearly all of 100", got)
	}
}

func outOfService(version uint64, domains ...coltsfootward.FailureDomain) coltsfootward.OutOfService {
	o := coltsfootward.OutOfService{Version: version}
	for _, domain := range domains {
		o = o.WithDomain(domain, true)
	}
	return o
}

// Guards against requests, whether new, retried or queued, being sent to the servers
// of a failure domain that an operator has taken out of service, and against failing
// the requests that callers send to its nodes. When the domain returns, its servers
// are cold and must not receive more than their cold rate allows.
func TestDomainOutOfServiceGetsNoRequests(t *testing.T) {
	r, members := newColdRig(1, 2, "north", "south", "west")
	sendLoad(r, members, 600, time.Second)
	members[0].ReadDomains(outOfService(5, "south"))
	r.Run(time.Second)
	from := r.Now()
	sent := sendLoad(r, members, 600, 2*time.Second)
	r.Run(time.Second)
	for _, m := range members {
		if got := m.Backend.MaxArrivalsPerSecond(from); m.Instance.Domain == "south" && got > 0 {
			t.Errorf("%d requests reached %s within a second, want none", got, m.Instance.ID)
		}
	}
	if got := answeredShare(sent); got < 0.99 {
		t.Errorf("%.3f answered with one domain of three out of service, want 0.99", got)
	}
	members[5].ReadDomains(outOfService(6))
	for _, m := range members {
		if m.Instance.Domain == "south" {
			m.Backend.SetCold(coldTime)
		}
	}
	restored := r.Now()
	sendLoad(r, members, 600, coldTime)
	for _, m := range members {
		if m.Instance.Domain != "south" {
			continue
		}
		if got := m.Backend.MaxArrivalsPerSecond(restored); got == 0 || got > maxColdArrivals || m.Backend.Crashes > 0 {
			t.Errorf("%s: %d requests in one second and %d crashes after its domain returned cold, want some and at most %d, no crash",
				m.Instance.ID, got, m.Backend.Crashes, maxColdArrivals)
		}
	}
}

// Guards against queued requests that are dispatched to a server after its domain
// was taken out of service.
func TestDomainOutOfServiceEmptiesItsQueues(t *testing.T) {
	r, members := newRoutedRig(1, 1, routedDocument(1, coltsfootward.Rate{PerSecond: 1000, Burst: 1000}, "quotes"), "north", "south")
	for _, m := range members {
		m.Backend.ServiceTime = func(message.Call) time.Duration { return 700 * time.Millisecond }
	}
	var sent []*nodetest.Outcome
	for range 12 {
		sent = append(sent, get(members[0]))
	}
	r.Run(50 * time.Millisecond)
	members[0].ReadDomains(outOfService(2, "north"))
	r.Run(10 * time.Millisecond)
	before := len(members[0].Backend.Runs)
	r.Run(3 * time.Second)
	if got := len(members[0].Backend.Runs); got != before {
		t.Errorf("%d requests reached the server after its domain was taken out of service", got-before)
	}
	for i, o := range sent {
		if !o.Done {
			t.Errorf("request %d has not ended", i)
		}
	}
}

// Guards against a restarted node that sends requests to a domain out of service
// because it has lost its state, and against a delayed older version of the state
// replacing the newer one.
func TestRestartedNodeLearnsDomainsOutOfService(t *testing.T) {
	r, members := newColdRig(1, 2, "north", "south")
	members[1].ReadDomains(outOfService(9, "south"))
	r.Run(2 * time.Second)
	members[0].Kill()
	r.Run(time.Second)
	members[0].Restart()
	members[0].Announce("quotes", 40)
	r.Run(2 * time.Second)
	members[0].ReadDomains(outOfService(4))
	for _, m := range members {
		if got := m.Node().OutOfService(); !got.Has("south") || got.Version != 9 {
			t.Errorf("%s: got %+v, want south out of service at version 9", m.Instance.ID, got)
		}
	}
}

// Guards against requests that hang or run while all failure domains are out of
// service.
func TestAllDomainsOutOfService(t *testing.T) {
	r, members := newColdRig(1, 1, "north", "south")
	members[0].ReadDomains(outOfService(3, "north", "south", "nowhere"))
	r.Run(time.Second)
	from := r.Now()
	o := get(members[1])
	r.Run(time.Second)
	if o.Refusal == nil || o.Refusal.Execution != coltsfootward.ExecutionNotRun || o.Refusal.RetryAfter <= 0 {
		t.Errorf("got %+v, want a refusal as not run with a retry time", o)
	}
	for _, m := range members {
		if m.Backend.MaxArrivalsPerSecond(from) > 0 {
			t.Errorf("a request reached %s", m.Instance.ID)
		}
	}
}

// Guards against requests being routed to a cold server because the warm ones are
// saturated, only to be refused there, and against the whole service being treated
// as saturated because the cold server's node reports that it has no capacity.
func TestOverloadIsNotRoutedToColdServer(t *testing.T) {
	r, members := newColdRig(1, 2, "north", "south")
	sendLoad(r, members, 1000, 2*time.Second)
	cold := members[0]
	cold.AnnounceCold("quotes", 40, coldTime)
	r.Run(500 * time.Millisecond)
	records := len(cold.Records)
	// Three warm servers of 40 slots serve 1,714 requests of 70 ms a second.
	const demand, capacity = 2200, 1700
	sent := sendLoad(r, members, demand, 2*time.Second)
	refused := 0
	for _, record := range cold.Records[records:] {
		if record.Name == "call_refused" {
			refused++
		}
	}
	if refused > len(sent)/50 {
		t.Errorf("%d of %d requests were refused by the cold server's node, want at most one in fifty", refused, len(sent))
	}
	if got, want := answeredShare(sent), 0.85*capacity/demand; got < want {
		t.Errorf("%.3f answered, want %.3f: most of the warm servers' capacity", got, want)
	}
}

// Guards against nearly all requests being refused for a service without a cold
// rate, because its servers report a cold period after their start.
func TestServiceWithoutColdRateIsNotLimited(t *testing.T) {
	document := routedDocument(1, coltsfootward.Rate{PerSecond: 100000, Burst: 100000}, "quotes")
	r, members := newRoutedRig(1, 2, document, "north", "south")
	for _, m := range members {
		m.Announce("quotes", 40)
		m.Backend.ServiceTime = func(message.Call) time.Duration { return 70 * time.Millisecond }
	}
	sendLoad(r, members, 800, time.Second)
	for _, m := range members {
		m.AnnounceCold("quotes", 40, coldTime)
	}
	r.Run(200 * time.Millisecond)
	sent := sendLoad(r, members, 800, 2*time.Second)
	r.Run(time.Second)
	if got := answeredShare(sent); got < 0.99 {
		t.Errorf("%.3f answered, want 0.99", got)
	}
}
