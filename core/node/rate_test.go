package node_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"

	"pgregory.net/rapid"
)

// ratedFleet is a rig in which every node has a backend server of the same
// service.
type ratedFleet struct {
	rig     *nodetest.Rig
	domains []coltsfootward.FailureDomain
	nodes   []*nodetest.Member
}

// shortLeaseTerm makes slots change holders within each run.
const shortLeaseTerm = 20 * time.Second

// newRatedFleet returns a rig with domainCount failure domains of
// nodesPerDomain nodes each, and the organisation "traders" with the given
// rate.
func newRatedFleet(seed uint64, domainCount, nodesPerDomain int, rate coltsfootward.Rate) *ratedFleet {
	f := &ratedFleet{rig: nodetest.New(seed)}
	f.setRate(rate)
	f.rig.Submit(
		coltsfootward.Change{Key: &coltsfootward.Key{ID: "k", Digest: testKey, Organisation: "traders"}},
		coltsfootward.Change{Service: &coltsfootward.Service{Name: "quotes"}},
	)
	for i := range domainCount {
		f.domains = append(f.domains, coltsfootward.FailureDomain(fmt.Sprintf("domain-%d", i)))
	}
	for i, domain := range f.domains {
		for j := range nodesPerDomain {
			id := coltsfootward.InstanceID(fmt.Sprintf("node-%d-%d", i, j))
			m := f.rig.Add(node.Options{Self: nodetest.Instance(id, domain), Domains: f.domains, LeaseTerm: shortLeaseTerm})
			m.Announce("quotes", 100)
			f.nodes = append(f.nodes, m)
		}
	}
	return f
}

func (f *ratedFleet) setRate(rate coltsfootward.Rate) {
	f.rig.Submit(coltsfootward.Change{Organisation: &coltsfootward.Organisation{Name: "traders", Rate: rate}})
}

func (f *ratedFleet) send(m *nodetest.Member) *nodetest.Outcome {
	return m.Send(nodetest.Request{Key: testKey, Service: "quotes"})
}

// arrivals returns the times at which requests arrived at backend servers, sorted.
func (f *ratedFleet) arrivals() []time.Duration {
	var arrivals []time.Duration
	for _, m := range f.nodes {
		for _, run := range m.Backend.Runs {
			arrivals = append(arrivals, run.Arrived)
		}
	}
	slices.Sort(arrivals)
	return arrivals
}

// checkBound checks that no window of any length w contains more than burst +
// rate·w arrivals. This holds exactly if one token bucket with the full burst and
// rate has a token for every arrival.
func checkBound(arrivals []time.Duration, rate coltsfootward.Rate) error {
	const rounding = 1e-6
	level := float64(rate.Burst)
	last := time.Duration(0)
	for i, at := range arrivals {
		level = min(float64(rate.Burst), level+rate.PerSecond*(at-last).Seconds())
		last = at
		level--
		if level < -rounding {
			return fmt.Errorf("arrival %d of %d at %s is %.3f tokens above %+v", i, len(arrivals), at, -level, rate)
		}
	}
	return nil
}

// fault is a failure or an operator's action that is injected during a run.
type fault struct {
	name   string
	inject func(f *ratedFleet, m *nodetest.Member, d time.Duration)
}

var faults = []fault{
	{"pause", func(f *ratedFleet, m *nodetest.Member, d time.Duration) {
		m.Pause()
		f.rig.After(d, m.Resume)
	}},
	{"suspend", func(f *ratedFleet, m *nodetest.Member, d time.Duration) {
		m.Suspend()
		f.rig.After(d, m.Resume)
	}},
	{"crash", func(f *ratedFleet, m *nodetest.Member, d time.Duration) {
		m.Kill()
		f.rig.After(d, func() { f.restart(m) })
	}},
	{"outage", func(f *ratedFleet, _ *nodetest.Member, d time.Duration) {
		f.rig.Table.Outage = true
		f.rig.After(d, func() { f.rig.Table.Outage = false })
	}},
	{"lost answers", func(f *ratedFleet, _ *nodetest.Member, d time.Duration) {
		f.rig.Table.LoseResponses = true
		f.rig.After(d, func() { f.rig.Table.LoseResponses = false })
	}},
	{"cut domain", func(f *ratedFleet, m *nodetest.Member, d time.Duration) {
		f.rig.PartitionDomain(m.Instance.Domain, true)
		f.rig.After(d, func() { f.rig.HealDomain(m.Instance.Domain) })
	}},
	{"slow links", func(f *ratedFleet, _ *nodetest.Member, d time.Duration) {
		f.rig.Delay = func(_, _ coltsfootward.Instance) time.Duration {
			return time.Duration(f.rig.Source().Int64N(int64(200 * time.Millisecond)))
		}
		f.rig.After(d, func() { f.rig.Delay = nil })
	}},
	{"drain", func(f *ratedFleet, m *nodetest.Member, d time.Duration) {
		m.Drain()
		f.rig.After(d, func() {
			m.Kill()
			f.restart(m)
		})
	}},
}

func (f *ratedFleet) restart(m *nodetest.Member) {
	if m.Alive() {
		return
	}
	m.Restart()
	m.Announce("quotes", 100)
}

// An organisation must not exceed its rate and burst. Possible causes are a
// node that was paused and then spends old tokens, two nodes that grant the
// same part, and a new slot holder that starts with a full bucket although the
// previous one has granted its tokens. The test injects random faults, alone
// and together, under a load far above the rate.
func TestRateAndBurstHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := coltsfootward.Rate{
			PerSecond: rapid.Float64Range(1, 60).Draw(t, "rate"),
			Burst:     rapid.Int64Range(1, 60).Draw(t, "burst"),
		}
		f := newRatedFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "domains"), 2, rate)
		f.rig.Run(2 * time.Second)
		steps := rapid.IntRange(1, 8).Draw(t, "steps")
		for range steps {
			chosen := rapid.SampledFrom(faults).Draw(t, "fault")
			m := rapid.SampledFrom(f.nodes).Draw(t, "node")
			length := time.Duration(rapid.IntRange(0, 40_000).Draw(t, "length")) * time.Millisecond
			if m.Alive() {
				chosen.inject(f, m, length)
			}
			f.flood(time.Duration(rapid.IntRange(0, 15_000).Draw(t, "wait"))*time.Millisecond, 3*rate.PerSecond)
		}
		if err := checkBound(f.arrivals(), rate); err != nil {
			t.Fatal(err)
		}
	})
}

// flood sends requests to randomly chosen nodes for d.
func (f *ratedFleet) flood(d time.Duration, perSecond float64) {
	gap := time.Duration(float64(time.Second) / perSecond)
	for end := f.rig.Now() + d; f.rig.Now() < end; {
		f.send(f.nodes[f.rig.Source().IntN(len(f.nodes))])
		f.rig.Run(gap)
	}
}

// Two failure domains are 45 ms apart, and tokens have a lifetime of 75 ms. A
// token from the remote holder arrives when its lifetime has already ended, because
// the lifetime starts before the draw. If the lifetime started when the token arrives,
// the token could be spent 165 ms after it left the bucket, whose parameters allow for
// 75 ms only.
func TestTokenLifetimeStartsBeforeDraw(t *testing.T) {
	answered := 0
	for sender := range 2 {
		f := newRatedFleet(1, 2, 1, coltsfootward.Rate{PerSecond: 10, Burst: 4})
		f.rig.Run(2 * time.Second)
		f.rig.Delay = func(_, _ coltsfootward.Instance) time.Duration { return 45 * time.Millisecond }
		o := f.send(f.nodes[sender])
		f.rig.Run(time.Second)
		if !o.Done {
			t.Errorf("got no final response after 1 s, want one")
		}
		if o.Answered {
			answered++
		}
	}
	if answered != 1 {
		t.Errorf("got a response at %d of the two nodes, want it only at the node that holds the part", answered)
	}
}

// Guards against a part of the rate that is lost when the holder of its slot dies. All
// nodes of a failure domain are killed, and one of them is restarted and takes the
// slots over after the lease term. Until then, the parts of the other failure domain
// must still be granted.
func TestPartIsGrantedAgainAfterTakeover(t *testing.T) {
	rate := coltsfootward.Rate{PerSecond: 40, Burst: 40}
	f := newRatedFleet(3, 2, 2, rate)
	f.rig.Run(15 * time.Second)
	f.nodes[0].Kill()
	f.nodes[1].Kill()
	f.flood(10*time.Second, 2*rate.PerSecond)
	if got, most := len(f.arrivals()), 20+20*10+20; got > most || got < 20*8 {
		t.Errorf("with one of two domains dead for 10 s: got %d arrivals, want 160 to %d", got, most)
	}
	f.restart(f.nodes[1])
	f.rig.Run(30 * time.Second)
	before := len(f.arrivals())
	f.flood(10*time.Second, 2*rate.PerSecond)
	if got := len(f.arrivals()) - before; got < 40*9 {
		t.Errorf("after the takeover: got %d arrivals in 10 s, want at least 360", got)
	}
	if err := checkBound(f.arrivals(), rate); err != nil {
		t.Error(err)
	}
}

// Guards against refusals of demand below the rate. They occur if the remaining tokens
// belong to other failure domains, or expire unspent at nodes that prefetched them.
func TestDemandBelowRateIsNotRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		rate   coltsfootward.Rate
		share  float64
		oneDom bool
		most   float64
	}{
		{"all domains, half the rate", coltsfootward.Rate{PerSecond: 100, Burst: 100}, 0.5, false, 0},
		{"all domains, 0.9 of the rate", coltsfootward.Rate{PerSecond: 100, Burst: 100}, 0.9, false, 0.02},
		{"one domain, half the rate", coltsfootward.Rate{PerSecond: 100, Burst: 100}, 0.5, true, 0},
		{"one domain, 0.9 of the rate", coltsfootward.Rate{PerSecond: 100, Burst: 100}, 0.9, true, 0.02},
		{"burst of the domains, half the rate", coltsfootward.Rate{PerSecond: 20, Burst: 4}, 0.5, false, 0.2},
		{"burst of the domains, 0.9 of the rate", coltsfootward.Rate{PerSecond: 20, Burst: 4}, 0.9, false, 0.4},
	} {
		f := newRatedFleet(5, 4, 2, c.rate)
		f.rig.Run(15 * time.Second)
		offered, refused, refusedBySingle := f.sendPoisson(60*time.Second, c.share*c.rate.PerSecond, c.oneDom, c.rate)
		t.Logf("%s: %d offered, %d refused, %d refused by a single bucket", c.name, offered, refused, refusedBySingle)
		if share := float64(refused-refusedBySingle) / float64(offered); share > c.most {
			t.Errorf("%s: got a fraction of %.3f of the requests refused beyond those of a single bucket, want at most %.3f", c.name, share, c.most)
		}
		if err := checkBound(f.arrivals(), c.rate); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// sendPoisson sends requests at random times. It returns the number of
// requests, the number of refused ones, and the number that a single token
// bucket with the full rate would refuse.
func (f *ratedFleet) sendPoisson(d time.Duration, perSecond float64, oneDomain bool, rate coltsfootward.Rate) (offered, refused, refusedBySingle int) {
	var outcomes []*nodetest.Outcome
	level, last := float64(rate.Burst), f.rig.Now()
	for end := f.rig.Now() + d; f.rig.Now() < end; {
		f.rig.Run(time.Duration(f.rig.Source().ExpFloat64() / perSecond * float64(time.Second)))
		level = min(float64(rate.Burst), level+rate.PerSecond*(f.rig.Now()-last).Seconds())
		last = f.rig.Now()
		if level < 1 {
			refusedBySingle++
		} else {
			level--
		}
		index := f.rig.Source().IntN(len(f.nodes))
		if oneDomain {
			index = f.rig.Source().IntN(2)
		}
		outcomes = append(outcomes, f.send(f.nodes[index]))
	}
	f.rig.Run(time.Second)
	for _, o := range outcomes {
		if !o.Answered {
			refused++
		}
	}
	return len(outcomes), refused, refusedBySingle
}

// Guards against a panic when the only node of a failure domain drains while
// the platform is unavailable. The node then counts no running member, not even
// itself, and the random choice of a member that reads the table panicked.
func TestLastNodeDrainsDuringOutage(t *testing.T) {
	f := newRatedFleet(1, 1, 1, coltsfootward.Rate{PerSecond: 1, Burst: 1})
	f.rig.Run(2 * time.Second)
	f.rig.Table.Outage = true
	f.nodes[0].Drain()
	f.rig.Run(20 * time.Second)
	if !f.nodes[0].Drained {
		t.Error("got a node that is not drained after 20 s, want it drained")
	}
}

// BenchmarkRefusalFromCache measures a request of an organisation whose parts
// are all known to be empty.
func BenchmarkRefusalFromCache(b *testing.B) {
	f := newRatedFleet(1, 2, 1, coltsfootward.Rate{PerSecond: 0.001, Burst: 8})
	f.rig.Run(2 * time.Second)
	f.flood(time.Second, 100)
	entry := f.nodes[0].Node()
	now := coltsfootward.Instant{Monotonic: time.Hour + f.rig.Now(), Expiry: time.Hour + f.rig.Now()}
	call := node.CallID(1 << 40)
	for b.Loop() {
		call++
		entry.Handle(now, node.RequestArrived{Call: call, Key: testKey, Service: "quotes", Method: "GET", Path: "/", Attempt: 1})
	}
}
