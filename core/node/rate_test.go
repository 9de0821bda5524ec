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

// ratedFleet is a rig in which every node has a backend server of one service.
type ratedFleet struct {
	rig     *nodetest.Rig
	domains []coltsfootward.FailureDomain
	nodes   []*nodetest.Member
}

// newRatedFleet returns nodesPerDomain nodes in each of so many failure domains, and
// the organisation traders at that rate.
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
			m := f.rig.Add(node.Options{Self: nodetest.Instance(id, domain), Domains: f.domains})
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

// starts returns when each request began at a backend server, in order.
func (f *ratedFleet) starts() []time.Duration {
	var starts []time.Duration
	for _, m := range f.nodes {
		for _, run := range m.Backend.Runs {
			starts = append(starts, run.Began)
		}
	}
	slices.Sort(starts)
	return starts
}

// checkBound compares all starts with one naive bucket of the whole burst and
// rate: it has a token for every start exactly if no window of any length w
// holds more than burst + rate·w of them.
func checkBound(starts []time.Duration, rate coltsfootward.Rate) error {
	const rounding = 1e-6
	level := float64(rate.Burst)
	last := time.Duration(0)
	for i, at := range starts {
		level = min(float64(rate.Burst), level+rate.PerSecond*(at-last).Seconds())
		last = at
		level--
		if level < -rounding {
			return fmt.Errorf("start %d of %d at %s is %.3f tokens above %+v", i, len(starts), at, -level, rate)
		}
	}
	return nil
}

// fault is something that goes wrong, or is changed, during a run.
type fault struct {
	name string
	run  func(f *ratedFleet, m *nodetest.Member, d time.Duration)
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
		f.rig.Table.LoseAnswers = true
		f.rig.After(d, func() { f.rig.Table.LoseAnswers = false })
	}},
	{"cut domain", func(f *ratedFleet, m *nodetest.Member, d time.Duration) {
		f.rig.CutDomain(m.Instance.Domain, true)
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

// An organisation gets more than its burst and rate: a node that was paused
// spends what it drew long ago, two nodes grant the same part, or a new holder
// of a slot starts with a full bucket after the old one gave its own away.
// Random faults, alone and together, while far more is sent than the rate.
func TestFleetNeverAboveRateAndBurst(t *testing.T) {
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
				chosen.run(f, m, length)
			}
			f.flood(time.Duration(rapid.IntRange(0, 15_000).Draw(t, "wait"))*time.Millisecond, 3*rate.PerSecond)
		}
		if err := checkBound(f.starts(), rate); err != nil {
			t.Fatal(err)
		}
	})
}

// flood sends requests to all nodes in turn for d.
func (f *ratedFleet) flood(d time.Duration, perSecond float64) {
	gap := time.Duration(float64(time.Second) / perSecond)
	for end := f.rig.Now() + d; f.rig.Now() < end; {
		f.send(f.nodes[f.rig.Source().IntN(len(f.nodes))])
		f.rig.Run(gap)
	}
}
