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

// routedDocument returns a configuration with one route for each service, and
// the organisation traders at that rate.
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

// newRouted returns a rig with nodes nodes in each of the domains, each with a
// backend server of quotes with four slots, and the document in force.
func newRouted(seed uint64, nodes int, document coltsfootward.Configuration, domains ...coltsfootward.FailureDomain) (*nodetest.Rig, []*nodetest.Member) {
	r := nodetest.New(seed)
	var members []*nodetest.Member
	for _, domain := range domains {
		for i := range nodes {
			id := coltsfootward.InstanceID(fmt.Sprintf("%s-%d", domain, i))
			members = append(members, r.Add(node.Options{
				Self: nodetest.Instance(id, domain), Domains: domains, Routed: true, ConfigurationSpread: 2 * time.Second, RetryShare: 0.2,
			}))
		}
	}
	for _, m := range members {
		m.Read(document)
		m.Announce("quotes", 4)
	}
	r.Run(8 * time.Second)
	return r, members
}

func get(m *nodetest.Member) *nodetest.Outcome {
	return m.Send(nodetest.Request{Key: key, Host: routedHost, Path: "/quotes/urea"})
}

func TestRoutedRequestIsAnswered(t *testing.T) {
	r, members := newRouted(1, 2, routedDocument(1, coltsfootward.Rate{PerSecond: 100, Burst: 100}, "quotes"), "north", "south")
	o := get(members[0])
	r.Run(time.Second)
	if !o.Answered {
		t.Errorf("got %+v, want an answer", o)
	}
}

// A node starts while the platform is away and learns the configuration from
// its peers. It took only the parts of it that an own deployment has, without
// the routes, and answered every request with 404.
func TestNodeLearnsRoutesFromPeers(t *testing.T) {
	r, members := newRouted(1, 2, routedDocument(7, coltsfootward.Rate{PerSecond: 100, Burst: 100}, "quotes"), "north", "south")
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

// A node that leaves still serves its callers for seconds. It gave up its slots of
// the rate at once, while the others, not told yet, still named it as the holder:
// every part looked silent for a second, and requests far inside the rate were
// refused as over it.
func TestLeavingNodeKeepsItsSlots(t *testing.T) {
	for seed := range uint64(5) {
		r, members := newRouted(seed, 3, routedDocument(1, coltsfootward.Rate{PerSecond: 300, Burst: 300}, "quotes"), "north")
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

// A backend server says that it leaves while requests wait for it. Its last word
// is acknowledged and it ends two seconds later; a request dispatched when its turn
// comes would reach it then. What waits goes to another server at once.
func TestDrainEmptiesTheQueue(t *testing.T) {
	document := routedDocument(1, coltsfootward.Rate{PerSecond: 10000, Burst: 10000}, "quotes")
	r, members := newRouted(1, 2, document, "north")
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
		t.Errorf("%d requests reached the backend server after it had said that it leaves", got-before)
	}
	for i, o := range sent {
		if !o.Done {
			t.Errorf("request %d has no final answer", i)
		}
	}
}

// The only server of a service rejects one request in ten, whatever the load. A
// rejection says that nothing ran, so the request is sent to it again.
func TestOnlyServerIsAskedAgain(t *testing.T) {
	r, members := newRouted(1, 1, routedDocument(1, coltsfootward.Rate{PerSecond: 1000, Burst: 1000}, "quotes"), "north")
	m := members[0]
	rejected := 0
	m.Backend.Reject = func(message.Call) bool {
		rejected++
		return rejected%10 == 0
	}
	answered := 0
	for range 80 {
		o := get(m)
		r.Run(30 * time.Millisecond)
		if o.Answered {
			answered++
		}
	}
	if rejected < 87 || answered < 79 {
		t.Errorf("%d of 80 answered with %d tries, want nearly all", answered, rejected)
	}
}

// A backend server breaks off and its request is sent to another one, where it
// makes its further calls again. These are repeats for the service called, which
// nobody can refuse there: uncounted, each layer of a chain adds a share of its own
// and the deepest service gets a multiple of it.
func TestCallsOfARepeatAreRepeats(t *testing.T) {
	document := routedDocument(1, coltsfootward.Rate{PerSecond: 1000, Burst: 1000}, "quotes", "feeds")
	routes := document.Routes()
	routes[1].Public = true
	r, members := newRouted(1, 3, document.WithRoutes(routes), "north")
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
	for range 40 { // earn a repeat
		failed = true
		get(members[0])
		r.Run(20 * time.Millisecond)
	}
	r.Run(time.Second)
	failed = false
	o := get(members[0])
	r.Run(time.Second)
	if !o.Answered || o.Attempts != 2 {
		t.Fatalf("got %+v, want an answer of the second attempt", o)
	}
	runs := members[2].Backend.Runs
	first, second := runs[len(runs)-2], runs[len(runs)-1]
	if first.Head.Retry || !second.Head.Retry {
		t.Errorf("calls marked as repeats: %v and %v, want the second one alone", first.Head.Retry, second.Head.Retry)
	}
}

// Every configuration names its routes anew. What a node had learnt of old names
// stayed for good, a little more with each of thousands of changes a day.
func TestNodeForgetsRoutesThatAreGone(t *testing.T) {
	r, members := newRouted(1, 2, routedDocument(1, coltsfootward.Rate{PerSecond: 1000, Burst: 1000}, "quotes"), "north")
	for revision := range coltsfootward.Revision(30) {
		document := routedDocument(revision+2, coltsfootward.Rate{PerSecond: 1000, Burst: 1000}, "quotes")
		routes := document.Routes()
		routes[0].Name = coltsfootward.RouteName(fmt.Sprintf("quotes-%d", revision))
		for _, m := range members {
			m.Read(document.WithRoutes(routes))
		}
		if o := get(members[0]); o == nil {
			t.Fatal("no request")
		}
		r.Run(100 * time.Millisecond)
	}
	if got := members[0].Node().KnownClasses(); got != 1 {
		t.Errorf("got %d classes of requests known, want the present one", got)
	}
}

// All nodes lose power and start again together. Callers come back at once, while
// nobody knows yet who holds the parts of the rate. Each part then counted as one
// whose holder does not answer and was left alone for a second, so that callers far
// inside the rate were refused as over it long after the holders were there.
func TestRateIsThereSoonAfterLossOfPower(t *testing.T) {
	document := routedDocument(1, coltsfootward.Rate{PerSecond: 200, Burst: 200}, "quotes")
	r, members := newRouted(1, 2, document, "north", "south")
	for _, m := range members {
		m.Kill()
	}
	r.Run(time.Second)
	for _, m := range members {
		m.Restart()
		m.Read(document)
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
		t.Errorf("%d of %d requests inside the rate were refused as over it", overRate, len(late))
	}
}
