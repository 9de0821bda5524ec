package nodetest_test

import (
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"
)

// grantingRig returns a rig of one domain whose nodes grant retries. Each request may be
// seen by two backend servers, or more often if they reject it.
func grantingRig(nodes int, granting bool) (*nodetest.Rig, []*nodetest.Member) {
	r := nodetest.New(1)
	route := coltsfootward.Route{
		Name: "quotes", Host: routedHost, PathPrefix: "/quotes/", Attempts: 2, Public: true,
		Targets: []coltsfootward.RouteTarget{{Service: "quotes", Weight: 1}},
	}
	document := coltsfootward.NewConfiguration(1, nil, nil, nil).WithRoutes([]coltsfootward.Route{route})
	var members []*nodetest.Member
	for i := range nodes {
		id := coltsfootward.InstanceID([]string{"a", "b", "c", "d"}[i])
		members = append(members, r.Add(node.Options{
			Self: nodetest.Instance(id, "north"), Domains: []coltsfootward.FailureDomain{"north"}, Routed: true,
			ConfigurationSpread: 2 * time.Second, RetryShare: 1, RetryBurst: 400, RetryGrants: granting,
		}))
	}
	for _, m := range members {
		m.ReadConfiguration(document)
		m.Announce("quotes", 4)
	}
	r.Run(12 * time.Second)
	return r, members
}

// Guards against a request that ends after four rejections although the budget allows
// more, and against nodes that change what they send while the setting is off.
func TestGrantedRetriesGoBeyondFourAttempts(t *testing.T) {
	for _, test := range []struct {
		granting      bool
		all, repeated int
	}{{false, 4, 0}, {true, 12, 11}} {
		r, members := grantingRig(2, test.granting)
		all, repeated := 0, 0
		for _, m := range members {
			m.Backend.Reject = func(call message.Call) bool {
				all++
				if call.Sends > 0 {
					repeated++
				}
				return true
			}
		}
		o := get(members[0])
		r.Run(2 * time.Second)
		if all != test.all || repeated != test.repeated {
			t.Errorf("granting %t: got %d arrivals, %d with a count, want %d and %d", test.granting, all, repeated, test.all, test.repeated)
		}
		if o.Refusal == nil || o.Refusal.Execution != coltsfootward.ExecutionNotRun {
			t.Errorf("granting %t: got %+v, want a refusal that says that nothing ran", test.granting, o)
		}
	}
}

// Guards against a request that fails with the node that served it. The entry node's own
// part of the budget covers attempts whose node did not answer.
func TestLostAttemptIsRetriedWithoutGrant(t *testing.T) {
	r, members := grantingRig(3, true)
	for _, m := range members {
		m.Backend.ServiceTime = func(message.Call) time.Duration { return 200 * time.Millisecond }
	}
	o := get(members[0])
	r.Run(50 * time.Millisecond)
	for _, m := range members[1:] {
		if len(m.Backend.Runs) > 0 {
			m.Kill()
		}
	}
	r.Run(5 * time.Second)
	if !o.Succeeded() {
		t.Errorf("got %+v, want an answer", o.Refusal)
	}
}
