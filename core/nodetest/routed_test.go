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

const routedHost = "quotes.example"

// routedDocument returns a configuration with one route for each service and with
// the organisation traders at the given rate.
func routedDocument(revision coltsfootward.Revision, rate coltsfootward.Rate, services ...coltsfootward.ServiceName) coltsfootward.Configuration {
	var routes []coltsfootward.Route
	for _, service := range services {
		routes = append(routes, coltsfootward.Route{
			Name: coltsfootward.RouteName(service), Host: routedHost, PathPrefix: "/" + string(service) + "/",
			Targets: []coltsfootward.RouteTarget{{Service: service, Weight: 1}},
			Timeout: 2 * time.Second, Objective: 500 * time.Millisecond, Attempts: 2, Priority: coltsfootward.PriorityNormal,
		})
	}
	organisations := []coltsfootward.Organisation{{Name: "traders", Rate: rate}}
	keys := []coltsfootward.Key{{ID: "k", Digest: key, Organisation: "traders"}}
	return coltsfootward.NewConfiguration(revision, organisations, keys, nil).WithRoutes(routes)
}

// newRoutedRig returns a rig with the given number of nodes in each domain. Each node
// has a backend server of the service quotes with four slots, and document is in
// force.
func newRoutedRig(seed uint64, nodes int, document coltsfootward.Configuration, domains ...coltsfootward.FailureDomain) (*nodetest.Rig, []*nodetest.Member) {
	return newRoutedRigWith(node.Options{}, seed, nodes, document, domains...)
}

// newRoutedRigWith is newRoutedRig with the scope and weights of the given options.
func newRoutedRigWith(shares node.Options, seed uint64, nodes int, document coltsfootward.Configuration, domains ...coltsfootward.FailureDomain) (*nodetest.Rig, []*nodetest.Member) {
	r := nodetest.New(seed)
	var members []*nodetest.Member
	for _, domain := range domains {
		for i := range nodes {
			id := coltsfootward.InstanceID(fmt.Sprintf("%s-%d", domain, i))
			members = append(members, r.Add(node.Options{
				Self: nodetest.Instance(id, domain), Domains: domains, Routed: true, ConfigurationSpread: 2 * time.Second, RetryShare: 0.2,
				ShareScope: shares.ShareScope, ShareWeights: shares.ShareWeights,
			}))
		}
	}
	for _, m := range members {
		m.ReadConfiguration(document)
		m.Announce("quotes", 4)
	}
	r.Run(8 * time.Second)
	return r, members
}

func get(m *nodetest.Member) *nodetest.Outcome {
	return m.Send(nodetest.Request{Key: key, Host: routedHost, Path: "/quotes/urea"})
}

func TestRoutedRequestIsAnswered(t *testing.T) {
	r, members := newRoutedRig(1, 2, routedDocument(1, coltsfootward.Rate{PerSecond: 100, Burst: 100}, "quotes"), "north", "south")
	o := get(members[0])
	r.Run(time.Second)
	if !o.Answered {
		t.Errorf("got %+v, want an answer", o)
	}
}

// Guards against a node that answers every request with 404 after a start during an
// outage of the platform. The node receives the configuration from its peers and must
// apply the routes as well as the other components.
func TestNodeLearnsRoutesFromPeers(t *testing.T) {
	r, members := newRoutedRig(1, 2, routedDocument(7, coltsfootward.Rate{PerSecond: 100, Burst: 100}, "quotes"), "north", "south")
	late := members[1]
	late.Kill()
	r.Run(time.Second)
	late.Restart()
	r.Run(3 * time.Second)
	if got := late.Node().Configuration().Revision(); got != 7 {
		t.Fatalf("got revision %v, want 7 from its peers", got)
	}
	o := get(late)
	r.Run(time.Second)
	if o.Refusal != nil {
		t.Errorf("got %v, want an answer", o.Refusal)
	}
}

// Guards against requests far below the rate being refused as over the rate while a
// node drains. A draining node serves its callers for some seconds more. If it
// released its rate slots at once, its peers would still consider it the holder,
// and no part of the rate would grant them tokens for a second.
func TestDrainingNodeKeepsItsSlots(t *testing.T) {
	for seed := range uint64(5) {
		r, members := newRoutedRig(seed, 3, routedDocument(1, coltsfootward.Rate{PerSecond: 300, Burst: 300}, "quotes"), "north")
		for _, leaving := range members[:2] {
			leaving.Drain()
			for range 60 {
				var sent []*nodetest.Outcome
				for _, m := range members {
					sent = append(sent, get(m))
				}
				r.Run(20 * time.Millisecond)
				for _, o := range sent {
					if o.Refusal != nil && o.Refusal.Kind == coltsfootward.RefusalOverRate {
						t.Fatalf("seed %d: at %v: %v", seed, r.Now(), o.Refusal)
					}
				}
			}
		}
	}
}

// Guards against queued requests being dispatched to a backend server that is shutting
// down. The server announces that it drains while requests wait for it, and stops two
// seconds after the acknowledgement. The queued requests must move to another server at
// once.
func TestBackendDrainEmptiesTheQueue(t *testing.T) {
	document := routedDocument(1, coltsfootward.Rate{PerSecond: 10000, Burst: 10000}, "quotes")
	r, members := newRoutedRig(1, 2, document, "north")
	leaving, other := members[0], members[1]
	slow := func(message.Call) time.Duration { return 700 * time.Millisecond }
	leaving.Backend.ServiceTime, other.Backend.ServiceTime = slow, slow
	var sent []*nodetest.Outcome
	for range 16 {
		sent = append(sent, get(leaving))
	}
	r.Run(50 * time.Millisecond)
	leaving.DrainBackend()
	r.Run(5 * time.Millisecond)
	before := len(leaving.Backend.Runs)
	r.Run(4 * time.Second)
	if got := len(leaving.Backend.Runs); got != before {
		t.Errorf("%d requests reached the backend server after it had announced that it drains", got-before)
	}
	for i, o := range sent {
		if !o.Done {
			t.Errorf("request %d has not ended", i)
		}
	}
}

// The only server of a service rejects one request in ten, whatever the load. A
// rejection guarantees that nothing ran, so the node must retry the request at the same
// server.
func TestRejectedRequestIsRetriedAtOnlyServer(t *testing.T) {
	r, members := newRoutedRig(1, 1, routedDocument(1, coltsfootward.Rate{PerSecond: 1000, Burst: 1000}, "quotes"), "north")
	m := members[0]
	attempts := 0
	m.Backend.Reject = func(message.Call) bool {
		attempts++
		return attempts%10 == 0
	}
	answered := 0
	for range 80 {
		o := get(m)
		r.Run(30 * time.Millisecond)
		if o.Answered {
			answered++
		}
	}
	if attempts < 87 || answered < 79 {
		t.Errorf("%d of 80 answered with %d attempts, want at least 79 answered and 87 attempts", answered, attempts)
	}
}

// Guards against child calls of a retry that are not counted as retries. A backend
// server fails and its request is retried at another one, which makes the child calls
// again. For the called service these calls are retries as well, and it cannot refuse
// them. If they were not counted, each layer of a chain would add its own retry
// share, and the last service would receive a multiple of it.
func TestChildCallsOfRetryAreRetries(t *testing.T) {
	document := routedDocument(1, coltsfootward.Rate{PerSecond: 1000, Burst: 1000}, "quotes", "feeds")
	routes := document.Routes()
	routes[1].Public = true
	r, members := newRoutedRig(1, 3, document.WithRoutes(routes), "north")
	members[2].Announce("feeds", 4)
	r.Run(time.Second)
	failed := false
	for _, m := range members[:2] {
		m.Backend.Children = func(message.Call) []nodetest.Request {
			return []nodetest.Request{{Host: routedHost, Path: "/feeds/urea"}}
		}
		m.Backend.Fail = func(message.Call) bool {
			first := !failed
			failed = true
			return first
		}
	}
	for range 40 { // accumulate the retry budget for one retry
		failed = true
		get(members[0])
		r.Run(20 * time.Millisecond)
	}
	r.Run(time.Second)
	failed = false
	o := get(members[0])
	r.Run(time.Second)
	if !o.Answered || o.Attempts != 2 {
		t.Fatalf("got %+v, want a response to the second attempt", o)
	}
	runs := members[2].Backend.Runs
	first, second := runs[len(runs)-2], runs[len(runs)-1]
	if first.Head.Retry || !second.Head.Retry {
		t.Errorf("calls marked as retries: %v and %v, want only the second one", first.Head.Retry, second.Head.Retry)
	}
}

// Guards against a memory leak: each configuration here renames its route, and a node
// that never dropped its statistics of removed routes would grow with each of
// thousands of changes a day.
func TestNodeDropsStateOfRemovedRoutes(t *testing.T) {
	r, members := newRoutedRig(1, 2, routedDocument(1, coltsfootward.Rate{PerSecond: 1000, Burst: 1000}, "quotes"), "north")
	for revision := range coltsfootward.Revision(30) {
		document := routedDocument(revision+2, coltsfootward.Rate{PerSecond: 1000, Burst: 1000}, "quotes")
		routes := document.Routes()
		routes[0].Name = coltsfootward.RouteName(fmt.Sprintf("quotes-%d", revision))
		for _, m := range members {
			m.ReadConfiguration(document.WithRoutes(routes))
		}
		if o := get(members[0]); o == nil {
			t.Fatal("no request")
		}
		r.Run(100 * time.Millisecond)
	}
	if got := members[0].Node().KnownClasses(); got != 1 {
		t.Errorf("got %d classes of requests, want only the current one", got)
	}
}

// Guards against requests far below the rate being refused as over the rate after all
// nodes have lost power and restarted together. Callers return at once, when no node
// knows yet which nodes hold the parts of the rate. If a part without a known holder
// were treated like one whose holder does not respond, nodes would back off from it
// for a second and refuse requests long after the holders are known.
func TestRateIsAvailableSoonAfterPowerLoss(t *testing.T) {
	document := routedDocument(1, coltsfootward.Rate{PerSecond: 200, Burst: 200}, "quotes")
	r, members := newRoutedRig(1, 2, document, "north", "south")
	for _, m := range members {
		m.Kill()
	}
	r.Run(time.Second)
	for _, m := range members {
		m.Restart()
		m.ReadConfiguration(document)
		m.Announce("quotes", 4)
	}
	const step, formation = 20 * time.Millisecond, 600 * time.Millisecond
	restarted := r.Now()
	var late []*nodetest.Outcome
	for r.Now() < restarted+2*time.Second {
		for _, m := range members {
			o := get(m)
			if r.Now() > restarted+formation {
				late = append(late, o)
			}
		}
		r.Run(step)
	}
	r.Run(time.Second)
	overRate := 0
	for _, o := range late {
		if o.Refusal != nil && o.Refusal.Kind == coltsfootward.RefusalOverRate {
			overRate++
		}
	}
	if overRate > len(late)/20 {
		t.Errorf("%d of %d requests within the rate were refused as over the rate", overRate, len(late))
	}
}
