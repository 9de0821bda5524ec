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

// maxDepth is the highest number of services that one request passes through.
const maxDepth = 7

// newDefaultChain returns a rig in which each service calls the next one, and its
// first member. Each service has one node and one backend server, and every
// option has its default.
func newDefaultChain(seed uint64) (*nodetest.Rig, *nodetest.Member) {
	r := nodetest.New(seed)
	domains := []coltsfootward.FailureDomain{"north"}
	r.Submit(
		coltsfootward.Change{Organisation: &coltsfootward.Organisation{Name: "traders", Rate: coltsfootward.Rate{PerSecond: 1e4, Burst: 1e4}}},
		coltsfootward.Change{Key: &coltsfootward.Key{ID: "k", Digest: key, Organisation: "traders"}},
	)
	var first *nodetest.Member
	for depth := range maxDepth {
		service := coltsfootward.ServiceName(fmt.Sprintf("service-%d", depth))
		r.Submit(coltsfootward.Change{Service: &coltsfootward.Service{Name: service}})
		m := r.Add(node.Options{Self: nodetest.Instance(coltsfootward.InstanceID(fmt.Sprintf("north-%d", depth)), "north"), Domains: domains})
		m.Announce(service, 4)
		if depth+1 < maxDepth {
			next := coltsfootward.ServiceName(fmt.Sprintf("service-%d", depth+1))
			m.Backend.Children = func(message.Call) []nodetest.Request { return []nodetest.Request{{Service: next}} }
		}
		if first == nil {
			first = m
		}
	}
	r.Run(15 * time.Second)
	return r, first
}

// Guards against the first requests after the start of a deployment being refused
// because their attempt budget is used up, although nothing fails. No node has
// observed yet how many child calls its backend server makes. If each node reserved
// half of the attempts for a second child call, none would remain for the last
// service of the chain.
func TestFirstRequestsPassDeepestChain(t *testing.T) {
	r, first := newDefaultChain(1)
	for i := range 5 {
		o := first.Send(nodetest.Request{Key: key, Service: "service-0"})
		r.Run(time.Second)
		if !o.Answered {
			t.Errorf("request %d: got %v, want an answer", i+1, o.Refusal)
		}
	}
}
