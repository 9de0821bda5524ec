package nodetest_test

import (
	"fmt"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"
)

// Guards against a partitioned domain refusing half of its organisations as over
// their rate, although the domain's own parts of the rates have tokens. While the
// domain's nodes start, slots move from the first node to the others. A node that
// watched a slot during that time and no longer does must not trust the record that
// it read then. Otherwise it requests tokens from the old holder, is referred to
// the new holder, and then requests them from the old one again.
func TestPartitionedDomainUsesItsOwnHolders(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		r := nodetest.New(seed)
		domains := []coltsfootward.FailureDomain{"north", "south", "west"}
		r.Submit(coltsfootward.Change{Service: &coltsfootward.Service{Name: "quotes"}})
		var names []coltsfootward.OrganisationName
		for i := range 8 {
			name := coltsfootward.OrganisationName(fmt.Sprint("organisation-", i))
			names = append(names, name)
			r.Submit(
				coltsfootward.Change{Organisation: &coltsfootward.Organisation{Name: name, Rate: coltsfootward.Rate{PerSecond: 300, Burst: 300}}},
				coltsfootward.Change{Key: &coltsfootward.Key{ID: string(name), Digest: coltsfootward.KeyDigest(name), Organisation: name}},
			)
		}
		for i := range 15 {
			domain := domains[i%len(domains)]
			m := r.Add(node.Options{Self: nodetest.Instance(coltsfootward.InstanceID(fmt.Sprintf("%s-%d", domain, i)), domain), Domains: domains})
			m.Announce("quotes", 100)
			r.Run(100 * time.Millisecond)
		}
		r.Run(30 * time.Second)
		r.PartitionDomain("north", true)
		r.Run(time.Second)
		for _, m := range r.Members() {
			if m.Instance.Domain != "north" {
				continue
			}
			for _, name := range names {
				o := m.Send(nodetest.Request{Key: coltsfootward.KeyDigest(name), Service: "quotes"})
				r.Run(100 * time.Millisecond)
				if !o.Answered {
					t.Errorf("seed %d: %s through %s: got %v, want an answer", seed, name, m.Instance.ID, o.Refusal)
				}
			}
		}
	}
}
