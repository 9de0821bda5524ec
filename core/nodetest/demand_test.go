package nodetest_test

import (
	"fmt"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"
)

// newCrossingRig returns a rig with two nodes in each domain, in which only the surplus
// of a domain crosses. Each request takes its server 100 ms.
func newCrossingRig(seed uint64, slots int, domains ...coltsfootward.FailureDomain) (*nodetest.Rig, []*nodetest.Member) {
	r := nodetest.New(seed)
	document := routedDocument(1, coltsfootward.Rate{PerSecond: 100000, Burst: 100000}, "quotes")
	var members []*nodetest.Member
	for _, domain := range domains {
		for i := range 2 {
			members = append(members, r.Add(node.Options{
				Self: nodetest.Instance(coltsfootward.InstanceID(fmt.Sprintf("%s-%d", domain, i)), domain), Domains: domains,
				Routed: true, Service: "quotes", ConfigurationSpread: 2 * time.Second, RetryShare: 0.2, Crossing: node.CrossingSurplus,
			}))
		}
	}
	for _, m := range members {
		m.Backend.ServiceTime = func(message.Call) time.Duration { return 100 * time.Millisecond }
		m.ReadConfiguration(document)
		m.Announce("quotes", slots)
	}
	r.Run(8 * time.Second)
	return r, members
}

// play sends requests for the given time, perSecond at each node of a domain, and
// returns their outcomes by the domain in which they enter.
func play(r *nodetest.Rig, members []*nodetest.Member, length time.Duration, perSecond map[coltsfootward.FailureDomain]float64) map[coltsfootward.FailureDomain][]*nodetest.Outcome {
	sent := make(map[coltsfootward.FailureDomain][]*nodetest.Outcome)
	const step = time.Millisecond
	for end := r.Now() + length; r.Now() < end; r.Run(step) {
		for _, m := range members {
			if domain := m.Instance.Domain; m.Alive() && r.Source().Float64() < perSecond[domain]*step.Seconds() {
				sent[domain] = append(sent[domain], get(m))
			}
		}
	}
	return sent
}

// Guards against demand that is known only in the domain where it is large: entry nodes
// of an idle domain see no contention, and still have to report. After a cut, each side
// has to compute with the demand that it reaches.
func TestDemandOfAllDomainsIsKnown(t *testing.T) {
	r, members := newCrossingRig(1, 10, "north", "south")
	load := map[coltsfootward.FailureDomain]float64{"north": 120, "south": 30}
	play(r, members, 5*time.Second, load)
	for _, m := range members {
		s, ok := m.Node().Demand("quotes")
		north, south := s.From("north").Demand, s.From("south").Demand
		if !ok || s.Entries != 4 || north < 18 || north > 30 || south < 4 || south > 9 {
			t.Errorf("%s: got %v from north and %v from south of %d nodes, want about 24 and 6 of 4", m.Instance.ID, north, south, s.Entries)
		}
	}
	r.PartitionDomain("south", true)
	play(r, members, 4*time.Second, load)
	for _, m := range members[:2] {
		if s, ok := m.Node().Demand("quotes"); !ok || s.From("south").Demand > 0 || s.From("north").Demand < 18 {
			t.Errorf("%s: got %v from south after the cut, %v from north, want none and about 24", m.Instance.ID, s.From("south").Demand, s.From("north").Demand)
		}
	}
	r.HealDomain("south")
	play(r, members, 12*time.Second, load)
	if s, ok := members[0].Node().Demand("quotes"); !ok || s.Entries != 4 {
		t.Errorf("got %d nodes after the cut ended, want 4", s.Entries)
	}
}

// Guards against a killed collector leaving its entry nodes without a summary.
func TestKilledCollectorIsReplaced(t *testing.T) {
	r, members := newCrossingRig(2, 10, "north", "south")
	load := map[coltsfootward.FailureDomain]float64{"north": 120, "south": 100}
	play(r, members, 4*time.Second, load)
	members[0].Kill()
	missing := 0
	for range 40 {
		play(r, members, 100*time.Millisecond, load)
		if _, ok := members[1].Node().Demand("quotes"); !ok {
			missing++
		}
	}
	if missing > 0 {
		t.Errorf("no summary for %d of 40 tenths of a second after the kill of a collector, want 0", missing)
	}
}

// Guards against nodes that go on reporting after the contention has ended.
func TestReportsEndWithContention(t *testing.T) {
	r, members := newCrossingRig(3, 10, "north", "south")
	play(r, members, 4*time.Second, map[coltsfootward.FailureDomain]float64{"north": 120, "south": 30})
	play(r, members, 10*time.Second, map[coltsfootward.FailureDomain]float64{"north": 10, "south": 10})
	for _, m := range members {
		if _, ok := m.Node().Demand("quotes"); ok {
			t.Errorf("%s still has a summary 10 s after the overload", m.Instance.ID)
		}
	}
}
