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

// newChainRig returns a rig with one node for each of three services, of which each
// calls the next one twice. The calls expire at their parent's deadline.
func newChainRig(attribution string) (*nodetest.Rig, []*nodetest.Member) {
	r := nodetest.New(1)
	services := []coltsfootward.ServiceName{"fronts", "middles", "depths"}
	document := routedDocument(1, coltsfootward.Rate{PerSecond: 1000, Burst: 1000}, services...)
	for i, route := range document.Routes() {
		route.Public = true
		document = document.WithRoutes(slices.Replace(slices.Clone(document.Routes()), i, i+1, route))
	}
	var members []*nodetest.Member
	for i, service := range services {
		m := r.Add(node.Options{
			Self: nodetest.Instance(coltsfootward.InstanceID(service), "north"), Domains: []coltsfootward.FailureDomain{"north"},
			Routed: true, RetryShare: 0.2, Attribution: attribution,
		})
		m.ReadConfiguration(document)
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

func sendRoot(m *nodetest.Member) *nodetest.Outcome {
	return m.Send(nodetest.Request{Key: key, Host: routedHost, Path: "/fronts/x"})
}

// Guards against importance that is lost on the way down, and against an account that
// reaches a backend server as the organisation.
func TestCallsInheritImportanceOverEveryDepth(t *testing.T) {
	for attribution, attributed := range map[string]bool{node.AttributionNone: false, node.AttributionDeadline: true} {
		r, members := newChainRig(attribution)
		// Deadlines are spaced from the first call of a server on.
		outcomes := []*nodetest.Outcome{sendRoot(members[0])}
		r.Run(time.Second)
		for range 20 {
			outcomes = append(outcomes, sendRoot(members[0]))
			r.Run(5 * time.Millisecond)
		}
		r.Run(3 * time.Second)
		if slices.ContainsFunc(outcomes, func(o *nodetest.Outcome) bool { return !o.Succeeded() }) {
			t.Fatal("got a request that was not answered, want none")
		}
		root, calls := members[0].Backend.Runs[0].Head, make(map[uint32]int)
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
	r, members := newChainRig(node.AttributionDeadline)
	members[0].Backend.RespondsOnFailure = true
	rejected := 0
	members[0].Backend.Reject = func(message.Call) bool { rejected++; return rejected%2 == 1 }
	for range 10 {
		sendRoot(members[0])
		r.Run(20 * time.Millisecond)
	}
	r.Run(3 * time.Second)
	retries := make(map[uint32]bool)
	for _, run := range members[0].Backend.Runs {
		retries[run.Head.ShedRank] = run.Head.Retry
	}
	for _, run := range members[2].Backend.Runs[:20] {
		if want, ok := retries[run.Head.ShedRank]; !ok || run.Head.Retry != want {
			t.Errorf("got retry %t, want %t as at the request", run.Head.Retry, want)
		}
	}
}

// Guards against calls that are attributed to requests of a node's earlier run.
func TestRestartedNodeAttributesNothing(t *testing.T) {
	r, members := newChainRig(node.AttributionDeadline)
	sendRoot(members[0])
	r.Run(time.Millisecond)
	members[0].Kill()
	members[0].Restart()
	members[0].ReadConfiguration(routedDocument(1, coltsfootward.Rate{PerSecond: 1000, Burst: 1000}, "middles").WithRoutes(
		[]coltsfootward.Route{{Name: "middles", Host: routedHost, PathPrefix: "/", Targets: []coltsfootward.RouteTarget{{Service: "middles", Weight: 1}}, Public: true}}))
	members[0].Send(nodetest.Request{Host: routedHost, Path: "/middles/x", Timeout: 1999 * time.Millisecond})
	if got := members[0].Node().Attributions(); got.None != 1 || got.Unique != 0 {
		t.Errorf("got %+v, want one call without a parent", got)
	}
}

// Guards against a log line of a refused call that does not name its parent request.
func TestRefusedCallNamesItsRequest(t *testing.T) {
	r, members := newChainRig(node.AttributionDeadline)
	members[2].Backend.Reject = func(message.Call) bool { return true }
	sendRoot(members[0])
	r.Run(3 * time.Second)
	want := []record.Field{{Name: "attribution", Value: "unique"}, {Name: "parent", Value: string(members[1].Backend.Runs[0].Head.Request)}, {Name: "account", Value: "traders"}}
	refused := slices.IndexFunc(members[1].Records, func(line record.Record) bool { return line.Code == record.RequestRefused })
	if refused < 0 || !slices.Equal(members[1].Records[refused].Fields[len(members[1].Records[refused].Fields)-3:], want) {
		t.Errorf("got refusal %d of %v, want the fields %v", refused, members[1].Records, want)
	}
}

// Guards against requests that fail because their node reads calls late after a pause.
func TestPausedNodeServesItsCalls(t *testing.T) {
	r, members := newChainRig(node.AttributionDeadline)
	sendRoot(members[0])
	r.Run(time.Second)
	var outcomes []*nodetest.Outcome
	for i := range 12 {
		outcomes = append(outcomes, sendRoot(members[0]))
		r.Run(10 * time.Millisecond)
		if i == 5 {
			members[1].Pause()
			r.Run(300 * time.Millisecond)
			members[1].Resume()
		}
	}
	r.Run(3 * time.Second)
	if slices.ContainsFunc(outcomes, func(o *nodetest.Outcome) bool { return !o.Succeeded() }) {
		t.Error("got a request that was not answered, want none")
	}
	if got := members[1].Node().Attributions(); got.None+got.Ambiguous == 0 || got.Unique < 20 {
		t.Errorf("got %+v, want calls without a parent from the pause and at least 20 with one", got)
	}
}
