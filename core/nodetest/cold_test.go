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
	// coldBound is how many requests may reach a cold server in any second: its rate
	// and half of it more, and a few that are on their way.
	coldBound = coldRate*3/2 + 8
)

func coldDocument() coltsfootward.Configuration {
	return routedDocument(1, coltsfootward.Rate{PerSecond: 100000, Burst: 100000}, "quotes").
		WithService(coltsfootward.Service{Name: "quotes", ColdRate: coldRate, ColdTime: coldTime})
}

// newCold returns a rig whose backend servers crash when they are cold and get more
// than twice what they bear.
func newCold(seed uint64, nodes int, domains ...coltsfootward.FailureDomain) (*nodetest.Rig, []*nodetest.Member) {
	r, members := newRouted(seed, nodes, coldDocument(), domains...)
	for _, m := range members {
		m.Announce("quotes", 40)
		m.Backend.ColdRate, m.Backend.ColdTime = coldRate, coldTime
		m.Backend.ServiceTime = func(message.Call) time.Duration { return 70 * time.Millisecond }
	}
	r.Run(time.Second)
	return r, members
}

// load sends that many requests a second, spread over the members, and returns them.
func load(r *nodetest.Rig, members []*nodetest.Member, perSecond int, length time.Duration) []*nodetest.Outcome {
	var sent []*nodetest.Outcome
	gap := time.Second / time.Duration(perSecond)
	for i := range int(length / gap) {
		sent = append(sent, get(members[i%len(members)]))
		r.Run(gap)
	}
	return sent
}

func answeredPart(sent []*nodetest.Outcome) float64 {
	answered := 0
	for _, o := range sent {
		if o.Answered {
			answered++
		}
	}
	return float64(answered) / float64(max(len(sent), 1))
}

// Guards against a server that crashes under its share of the demand as often as it
// comes back, while the others have room for all.
func TestColdServerAmongWarmOnes(t *testing.T) {
	r, members := newCold(1, 2, "north", "south")
	load(r, members, 800, time.Second)
	cold := members[0]
	cold.AnnounceCold("quotes", 40, coldTime)
	from := r.Now()
	sent := load(r, members, 800, coldTime)
	warm := r.Now()
	later := load(r, members, 800, 2*time.Second)
	r.Run(time.Second)
	// What began before the server said that it is cold is not the node's to undo.
	if got := mostWhileCold(cold, from); got > coldBound {
		t.Errorf("%d requests reached the cold server in one second, want at most %d", got, coldBound)
	}
	if cold.Backend.Crashes > 0 {
		t.Errorf("the cold server crashed %d times", cold.Backend.Crashes)
	}
	if got := answeredPart(sent); got < 0.97 {
		t.Errorf("%.3f answered while a server of four was cold, want 0.97", got)
	}
	if got := answeredPart(later); got < 0.99 {
		t.Errorf("%.3f answered once all were warm, want 0.99", got)
	}
	served := 0
	for _, run := range cold.Backend.Runs {
		if run.Began >= warm+time.Second {
			served++
		}
	}
	if served < 100 {
		t.Errorf("the server got %d of 800 requests once it was warm, want its share", served)
	}
}

// Guards against a service whose servers all come back cold at once, get the whole
// demand, crash and come back cold for as long as the demand lasts.
func TestServiceIsBackSoonAfterLossOfPower(t *testing.T) {
	for seed := range uint64(3) {
		r, members := newCold(seed, 2, "north", "south")
		load(r, members, 1000, 2*time.Second)
		for _, m := range members {
			m.Kill()
		}
		r.Run(time.Second)
		for _, m := range members {
			m.Restart()
			m.Read(coldDocument())
			m.AnnounceCold("quotes", 40, coldTime)
		}
		from := r.Now()
		during := load(r, members, 1000, coldTime+time.Second)
		after := load(r, members, 1000, 2*time.Second)
		r.Run(time.Second)
		for _, m := range members {
			if m.Backend.Crashes > 0 || mostWhileCold(m, from) > coldBound {
				t.Errorf("seed %d: %s crashed %d times and got %d requests in one second, want at most %d",
					seed, m.Instance.ID, m.Backend.Crashes, mostWhileCold(m, from), coldBound)
			}
		}
		if got := answeredPart(after); got < 0.98 {
			t.Errorf("seed %d: %.3f answered from a second after the cold time on, want 0.98", seed, got)
		}
		for _, o := range during {
			if !o.Done {
				t.Fatalf("seed %d: a request has no final answer", seed)
			}
			late := o.Ended - o.Sent
			if o.Refusal != nil && late > 500*time.Millisecond {
				t.Fatalf("seed %d: refused after %v, want at once: %v", seed, late, o.Refusal)
			}
		}
	}
}

// mostWhileCold is like MostStarts for the cold time that began at from.
func mostWhileCold(m *nodetest.Member, from time.Duration) int {
	cold := nodetest.Backend{}
	for _, run := range m.Backend.Runs {
		if run.Began >= from && run.Began < from+coldTime {
			cold.Runs = append(cold.Runs, run)
		}
	}
	return cold.MostStarts(from)
}

// Guards against a server that has crashed and come back before it has said so: the
// requests that it breaks off all at once tell.
func TestServerThatRestartsUnannouncedCountsAsCold(t *testing.T) {
	r, members := newCold(1, 2, "north")
	load(r, members, 600, time.Second)
	m := members[0]
	m.Backend.Break()
	m.Backend.GoCold(coldTime)
	from := r.Now() + 50*time.Millisecond
	load(r, members, 600, time.Second)
	if got := m.Backend.MostStarts(from); got > coldBound || m.Backend.Crashes > 0 {
		t.Errorf("%d requests reached the restarted server in one second and it crashed %d times, want at most %d and none",
			got, m.Backend.Crashes, coldBound)
	}
}

// Guards against a warm server that is held for cold: what it breaks off is chance.
func TestServerThatBreaksOffAtRandomStaysWarm(t *testing.T) {
	r, members := newCold(1, 1, "north")
	m := members[0]
	breaks := 0
	m.Backend.Fail = func(message.Call) bool { breaks++; return breaks%2 == 0 }
	from := r.Now()
	load(r, members, 100, 4*time.Second)
	if got := m.Backend.MostStarts(from); got < 90 {
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

// Guards against work for a failure domain that an operator has emptied, be it new,
// repeated or queued, and against losing callers of its nodes.
func TestDomainOutOfServiceGetsNoWork(t *testing.T) {
	r, members := newCold(1, 2, "north", "south", "west")
	load(r, members, 600, time.Second)
	members[0].ReadDomains(outOfService(5, "south"))
	r.Run(time.Second)
	from := r.Now()
	sent := load(r, members, 600, 2*time.Second)
	r.Run(time.Second)
	for _, m := range members {
		if got := m.Backend.MostStarts(from); m.Instance.Domain == "south" && got > 0 {
			t.Errorf("%d requests reached %s within a second, want none", got, m.Instance.ID)
		}
	}
	if got := answeredPart(sent); got < 0.99 {
		t.Errorf("%.3f answered with one domain of three out of service, want 0.99", got)
	}
	members[5].ReadDomains(outOfService(6))
	for _, m := range members {
		if m.Instance.Domain == "south" {
			m.Backend.GoCold(coldTime)
		}
	}
	restored := r.Now()
	load(r, members, 600, coldTime)
	for _, m := range members {
		if m.Instance.Domain != "south" {
			continue
		}
		if got := m.Backend.MostStarts(restored); got == 0 || got > coldBound || m.Backend.Crashes > 0 {
			t.Errorf("%s: %d requests in one second and %d crashes after its domain came back cold, want some and at most %d, no crash",
				m.Instance.ID, got, m.Backend.Crashes, coldBound)
		}
	}
}

// Guards against requests that reach a server of an emptied domain from its queue.
func TestDomainOutOfServiceEmptiesItsQueues(t *testing.T) {
	r, members := newRouted(1, 1, routedDocument(1, coltsfootward.Rate{PerSecond: 1000, Burst: 1000}, "quotes"), "north", "south")
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
		t.Errorf("%d requests reached the server after its domain was emptied", got-before)
	}
	for i, o := range sent {
		if !o.Done {
			t.Errorf("request %d has no final answer", i)
		}
	}
}

// Guards against a restarted node that remembers nothing and sends work to an emptied
// domain, and against a late word of an older state.
func TestRestartedNodeLearnsWhichDomainsAreOut(t *testing.T) {
	r, members := newCold(1, 2, "north", "south")
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

// Guards against requests that hang or run where nothing is to run.
func TestAllDomainsOutOfService(t *testing.T) {
	r, members := newCold(1, 1, "north", "south")
	members[0].ReadDomains(outOfService(3, "north", "south", "nowhere"))
	r.Run(time.Second)
	from := r.Now()
	o := get(members[1])
	r.Run(time.Second)
	if o.Refusal == nil || o.Refusal.Execution != coltsfootward.ExecutionNotRun || o.Refusal.RetryAfter <= 0 {
		t.Errorf("got %+v, want a refusal that says not run and when to come back", o)
	}
	for _, m := range members {
		if m.Backend.MostStarts(from) > 0 {
			t.Errorf("a request reached %s", m.Instance.ID)
		}
	}
}

// Guards against requests that go to a cold server first, because the warm ones are
// full, only to be refused there, and against its node's word that the whole service
// has no room.
func TestColdServerIsSparedUnderOverload(t *testing.T) {
	r, members := newCold(1, 2, "north", "south")
	load(r, members, 1000, 2*time.Second)
	cold := members[0]
	cold.AnnounceCold("quotes", 40, coldTime)
	r.Run(500 * time.Millisecond)
	records := len(cold.Records)
	// Three warm servers of 40 slots serve 1,714 requests of 70 ms a second.
	const demand, capacity = 2200, 1700
	sent := load(r, members, demand, 2*time.Second)
	refused := 0
	for _, record := range cold.Records[records:] {
		if record.Name == "call_refused" {
			refused++
		}
	}
	if refused > len(sent)/50 {
		t.Errorf("%d of %d requests were refused by the cold server's node, want hardly any", refused, len(sent))
	}
	if got, want := answeredPart(sent), 0.85*capacity/demand; got < want {
		t.Errorf("%.3f answered, want %.3f: most of what the warm servers have room for", got, want)
	}
}

// Guards against a service without a cold rate that is refused nearly everything while
// its servers are merely slow after their start.
func TestSlowServersOfAServiceWithoutColdRateServe(t *testing.T) {
	document := routedDocument(1, coltsfootward.Rate{PerSecond: 100000, Burst: 100000}, "quotes")
	r, members := newRouted(1, 2, document, "north", "south")
	for _, m := range members {
		m.Announce("quotes", 40)
		m.Backend.ServiceTime = func(message.Call) time.Duration { return 70 * time.Millisecond }
	}
	load(r, members, 800, time.Second)
	for _, m := range members {
		m.AnnounceCold("quotes", 40, coldTime)
	}
	r.Run(200 * time.Millisecond)
	sent := load(r, members, 800, 2*time.Second)
	r.Run(time.Second)
	if got := answeredPart(sent); got < 0.99 {
		t.Errorf("%.3f answered, want 0.99", got)
	}
}
