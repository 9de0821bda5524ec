//go:build review

package review2

import (
	"fmt"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"
)

// A partition cuts one node of each failure domain off from all others; the three reach each
// other. Their side and the rest both take themselves for the holders of all parts of an
// organisation's rate, and together grant up to twice the rate.
func TestReview2(t *testing.T) {
	const (
		host   = "loja.example"
		window = 5 * time.Second
		cut    = 12 * time.Second
	)
	key := coltsfootward.DigestKey("key-of-filial")
	limit := coltsfootward.Rate{PerSecond: 60, Burst: 60}
	domains := []coltsfootward.FailureDomain{"um", "dois", "tres"}
	document := coltsfootward.NewConfiguration(7, []coltsfootward.Organisation{{Name: "filial", Rate: limit}},
		[]coltsfootward.Key{{ID: "k", Digest: key, Organisation: "filial"}}, nil).
		WithRoutes([]coltsfootward.Route{{
			Name: "skis-free", Host: host, PathPrefix: "/free/", Targets: []coltsfootward.RouteTarget{{Service: "estoque", Weight: 1}},
			Timeout: 1500 * time.Millisecond, Objective: 1500 * time.Millisecond, Attempts: 2, Priority: coltsfootward.PriorityNormal,
		}})
	for seed := range uint64(3) {
		r := nodetest.New(seed + 1)
		var members []*nodetest.Member
		for _, domain := range domains {
			for i := range 4 {
				members = append(members, r.Add(node.Options{
					Self:    nodetest.Instance(coltsfootward.InstanceID(fmt.Sprintf("%s-%d", domain, i)), domain),
					Domains: domains, Routed: true, ConfigurationSpread: 2 * time.Second, RetryShare: 0.2,
				}))
			}
		}
		for _, m := range members {
			m.ReadConfiguration(document)
			m.Announce("estoque", 100)
		}
		r.Run(8 * time.Second)
		isCut := func(i int) bool { return i%4 == 0 }
		for i, a := range members {
			for j, b := range members {
				if isCut(i) && !isCut(j) {
					r.Partition(a.Instance.ID, b.Instance.ID)
				}
			}
		}
		r.Run(6 * time.Second)
		var sent []*nodetest.Outcome
		for until := r.Now() + cut - 6*time.Second; r.Now() < until; {
			for _, m := range members {
				sent = append(sent, m.Send(nodetest.Request{Key: key, Host: host, Path: "/free/skis"}))
			}
			r.Run(50 * time.Millisecond)
		}
		r.Run(2 * time.Second)
		// The rule's bound: (rate x window + burst) x (1 + quota_overage) + quota_slack.
		bound := int((limit.PerSecond*window.Seconds()+float64(limit.Burst))*1.1) + 20
		most := 0
		for _, first := range sent {
			n := 0
			for _, o := range sent {
				if o.Answered && o.Sent >= first.Sent && o.Ended <= first.Sent+window {
					n++
				}
			}
			most = max(most, n)
		}
		if most > bound {
			t.Errorf("seed %d: %d requests ran within %v, allowed %d", seed+1, most, window, bound)
		}
	}
}
