package nodetest_test

import (
	"slices"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"
	"coltsfootward/core/record"
)

// chainDocument returns a configuration with public routes to the services.
func chainDocument(services ...coltsfootward.ServiceName) coltsfootward.Configuration {
	document := routedDocument(1, coltsfootward.Rate{PerSecond: 1000, Burst: 1000}, services...)
	routes := slices.Clone(document.Routes())
	for i := range routes {
		routes[i].Public = true
	}
	return document.WithRoutes(routes)
}

// newChainRig returns a rig with one node for each of three services, of which each
// calls the next one twice. The calls expire at their parent's deadline.
func newChainRig(t *testing.T, attribution string) (*nodetest.Rig, []*nodetest.Member) {
	t.Helper()
	r := nodetest.New(1)
	services := []coltsfootward.ServiceName{"fronts", "middles", "depths"}
	var members []*nodetest.Member
	for i, service := range services {
		m := r.Add(node.Options{
			Self: nodetest.Instance(coltsfootward.InstanceID(service), "north"), Domains: []coltsfootward.FailureDomain{"north"},
			Routed: true, RetryShare: 0.2, Attribution: attribution,
		})
		m.ReadConfiguration(chainDocument(services...))
		m.Announce(service, 16)
		if i+1 < len(services) {
			child := nodetest.Request{Host: routedHost, Path: "/" + string(services[i+1]) + "/x", ExpiresWithParent: true}
			m.Backend.Children = func(message.Call) []nodetest.Request { return []nodetest.Request{child, child} }
		}
		members = append(members, m)
	}
	r.Run(8 * time.Second)
	return r, members
}

// Guards against importance that is lost on the way down, and against an account that
// reaches a backend server as the organisation.
func TestCallsInheritImportanceOverEveryDepth(t *testing.T) {
	for _, attribution := range []string{node.AttributionNone, node.AttributionDeadline} {
		r, members := newChainRig(t, attribution)
		// Deadlines are spaced from the first call of a server on.
		outcomes := []*nodetest.Outcome{members[0].Send(nodetest.Request{Key: key, Host: routedHost, Path: "/fronts/x"})}
		r.Run(time.Second)
		for range 20 {
			outcomes = append(outcomes, members[0].Send(nodetest.Request{Key: key, Host: routedHost, Path: "/fronts/x"}))
			r.Run(5 * time.Millisecond)
		}
		r.Run(3 * time.Second)
		if slices.ContainsFunc(outcomes, func(o *nodetest.Outcome) bool { return !o.Succeeded() }) {
			t.Fatal("got a request that was not answered, want none")
		}
		root := members[0].Backend.Runs[0].Head
		calls := make(map[uint32]int)
		attributed := attribution == node.AttributionDeadline
		for _, run := range members[2].Backend.Runs {
			h := run.Head
			if h.Organisation != "" || h.Attributed != attributed {
				t.Fatalf("%s: got %+v, want no organisation and attributed %t", attribution, h, attributed)
			}
			if attributed && (h.Account != "traders" || h.Depth != 2 || h.Priority != root.Priority || h.SecondaryPriority != root.SecondaryPriority) {
				t.Fatalf("got %+v, want the account and the priorities of %+v at depth 2", h, root)
			}
			calls[h.ShedRank]++
		}
		for _, run := range members[0].Backend.Runs {
			if got := calls[run.Head.ShedRank]; attributed && got != 4 {
				t.Errorf("got %d calls with the rank of a request, want 4", got)
			}
		}
	}
}

// Guards against a call of a request that is no retry which counts as one, and the other
// way round: with attribution this does not depend on the share of retries in service.
func TestCallsInheritRetry(t *testing.T) {
	r, members := newChainRig(t, node.AttributionDeadline)
	members[0].Backend.RespondsOnFailure = true
	rejected := false
	members[0].Backend.Reject = func(message.Call) bool {
		rejected = !rejected
		return rejected
	}
	for range 10 {
		members[0].Send(nodetest.Request{Key: key, Host: routedHost, Path: "/fronts/x"})
		r.Run(20 * time.Millisecond)
	}
	r.Run(3 * time.Second)
	retries := make(map[uint32]bool)
	for _, run := range members[0].Backend.Runs {
		retries[run.Head.ShedRank] = run.Head.Retry
	}
	for _, run := range members[2].Backend.Runs {
		if want, ok := retries[run.Head.ShedRank]; !ok || run.Head.Retry != want {
			t.Errorf("got retry %t, want %t as at the request", run.Head.Retry, want)
		}
	}
	if len(members[2].Backend.Runs) == 0 {
		t.Error("got no calls at the deepest service")
	}
}

// Guards against calls that are attributed to requests of a node's earlier run.
func TestRestartedNodeAttributesNothing(t *testing.T) {
	r, members := newChainRig(t, node.AttributionDeadline)
	members[0].Backend.ServiceTime = func(message.Call) time.Duration { return time.Second }
	members[0].Send(nodetest.Request{Key: key, Host: routedHost, Path: "/fronts/x"})
	r.Run(time.Millisecond)
	members[0].Kill()
	members[0].Restart()
	members[0].ReadConfiguration(chainDocument("fronts", "middles", "depths"))
	r.Run(time.Second)
	members[0].Send(nodetest.Request{Host: routedHost, Path: "/middles/x", Timeout: 999 * time.Millisecond})
	r.Run(time.Second)
	if got := members[0].Node().Attributions(); got.None != 1 || got.Unique != 0 {
		t.Errorf("got %+v, want one call without a parent", got)
	}
}

// Guards against a log line of a refused call that does not name its parent request.
func TestRefusedCallNamesItsRequest(t *testing.T) {
	r, members := newChainRig(t, node.AttributionDeadline)
	members[2].Backend.Reject = func(message.Call) bool { return true }
	members[0].Send(nodetest.Request{Key: key, Host: routedHost, Path: "/fronts/x"})
	r.Run(3 * time.Second)
	parent := members[1].Backend.Runs[0].Head.Request
	for _, line := range members[1].Records {
		if line.Code != record.RequestRefused {
			continue
		}
		fields := make(map[string]string)
		for _, f := range line.Fields {
			fields[f.Name] = f.Value
		}
		if fields["parent"] != string(parent) || fields["attribution"] != "unique" || fields["account"] != "traders" {
			t.Errorf("got %v, want the parent %s", fields, parent)
		}
		return
	}
	t.Error("got no refused call")
}

// Guards against requests that fail, or whose calls all get a wrong parent, because their
// node reads calls late after a pause.
func TestPausedNodeServesItsCalls(t *testing.T) {
	r, members := newChainRig(t, node.AttributionDeadline)
	members[0].Send(nodetest.Request{Key: key, Host: routedHost, Path: "/fronts/x"})
	r.Run(time.Second)
	var outcomes []*nodetest.Outcome
	for i := range 12 {
		outcomes = append(outcomes, members[0].Send(nodetest.Request{Key: key, Host: routedHost, Path: "/fronts/x"}))
		r.Run(10 * time.Millisecond)
		if i == 5 {
			members[1].Pause()
			r.Run(300 * time.Millisecond)
			members[1].Resume()
		}
	}
	r.Run(3 * time.Second)
	for _, o := range outcomes {
		if !o.Succeeded() {
			t.Fatalf("got %+v, want an answer", o)
		}
	}
	for _, run := range members[2].Backend.Runs {
		if run.Head.Organisation != "" || run.Head.Account != "" && run.Head.Account != "traders" {
			t.Errorf("got %+v, want no organisation and no account but that of the callers", run.Head)
		}
	}
	if got := members[1].Node().Attributions(); got.None+got.Ambiguous == 0 || got.Unique < 20 {
		t.Errorf("got %+v, want calls without a parent from the pause and at least 20 with one", got)
	}
}
