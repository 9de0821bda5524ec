package nodetest_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/fairshare"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"
)

// source is a stream of requests of one organisation, with exponential times between
// two requests.
type source struct {
	organisation string
	path         string
	perSecond    float64
	entries      string
	// from and until limit the time of the requests, relative to the start of the load;
	// until is the end of the run if it is zero.
	from, until time.Duration
}

const (
	warmUp    = 5 * time.Second
	competing = 15 * time.Second
)

// competition is a run in which sources compete for a service of four servers.
type competition struct {
	slots   int
	work    time.Duration
	limit   float64
	scope   node.ShareScope
	weights []string
	sources []source
	// fault is called at warmUp. Requests are counted from counted on, which is warmUp if
	// it is zero.
	fault   func(r *nodetest.Rig, members []*nodetest.Member)
	counted time.Duration
	// absent is the member whose server takes no work at first, if it is not zero.
	absent int
}

func sharesDocument(sources []source) coltsfootward.Configuration {
	document := limitDocument()
	routes := append(document.Routes(), coltsfootward.Route{
		Name: "orders", Host: routedHost, PathPrefix: "/orders/", Targets: []coltsfootward.RouteTarget{{Service: "quotes", Weight: 1}},
		Timeout: 2 * time.Second, Objective: 500 * time.Millisecond, Attempts: 2, Priority: coltsfootward.PriorityCritical,
	})
	var organisations []coltsfootward.Organisation
	var keys []coltsfootward.Key
	seen := make(map[string]bool)
	for _, s := range sources {
		if seen[s.organisation] {
			continue
		}
		seen[s.organisation] = true
		name := coltsfootward.OrganisationName(s.organisation)
		organisations = append(organisations, coltsfootward.Organisation{Name: name, Rate: coltsfootward.Rate{PerSecond: 100000, Burst: 100000}})
		keys = append(keys, coltsfootward.Key{ID: "k-" + s.organisation, Digest: coltsfootward.KeyDigest(s.organisation), Organisation: name})
	}
	return coltsfootward.NewConfiguration(1, organisations, keys, nil).WithRoutes(routes)
}

// run returns the share of each source's requests that were answered after warmUp, and
// the part of the capacity that was used.
func (c competition) run(t *testing.T, seed uint64) (served []float64, used float64) {
	t.Helper()
	options := node.Options{ShareScope: c.scope}
	options.ShareWeights, _ = fairshare.ParseWeights(c.weights)
	r, members := newRoutedRigWith(options, seed, 2, sharesDocument(c.sources), "north", "south")
	random := rand.New(rand.NewPCG(seed, 11))
	for i, m := range members {
		m.Announce("quotes", c.slots)
		if c.absent > 0 && i == c.absent {
			m.DrainBackend()
		}
		m.Backend.ServiceTime = func(message.Call) time.Duration {
			return time.Duration((0.6 + 0.8*random.Float64()) * float64(c.work))
		}
		if c.limit > 0 {
			m.Backend.Condition = limitedTo(c.limit)
		}
	}
	r.Run(time.Second)
	began := r.Now()
	counting := max(c.counted, warmUp)
	if c.fault != nil {
		r.After(warmUp, func() { c.fault(r, members) })
	}
	counted := make([][]*nodetest.Outcome, len(c.sources))
	for i, s := range c.sources {
		var next func()
		next = func() {
			if at := r.Now() - began; at >= warmUp+competing || s.until > 0 && at >= s.until {
				return
			}
			entry := members[s.entries[random.IntN(len(s.entries))]-'0']
			for i := 0; !entry.Alive(); i++ {
				entry = members[i]
			}
			o := entry.Send(nodetest.Request{Key: coltsfootward.KeyDigest(s.organisation), Host: routedHost, Path: s.path})
			if r.Now()-began >= counting {
				counted[i] = append(counted[i], o)
			}
			r.After(time.Duration(random.ExpFloat64()/s.perSecond*float64(time.Second)), next)
		}
		r.After(s.from+time.Duration(random.ExpFloat64()/s.perSecond*float64(time.Second)), next)
	}
	r.Run(warmUp + competing + 3*time.Second)
	for _, sent := range counted {
		served = append(served, answeredShare(sent))
	}
	seconds := (warmUp + competing - counting).Seconds()
	capacity := 4 * float64(c.slots) / c.work.Seconds() * seconds
	if c.limit > 0 {
		capacity = 4 * c.limit * seconds
	}
	done := 0
	for _, m := range members {
		if c.limit > 0 {
			checkLimit(t, m, c.limit, began)
		}
		for _, at := range reached(m, began+counting) {
			if at < began+warmUp+competing {
				done++
			}
		}
	}
	return served, float64(done) / capacity
}

const all = "0123"

// sizes are servers of the capacity of 100 requests a second.
var sizes = []competition{
	{slots: 4, work: 40 * time.Millisecond},
	{slots: 10, work: 100 * time.Millisecond},
	{slots: 40, work: 400 * time.Millisecond},
}

// Guards against organisations that are refused within their share because another one
// asks for more than the capacity, and against capacity that is left unused meanwhile.
func TestOrganisationsWithinTheirShareAreServed(t *testing.T) {
	for _, c := range sizes {
		for seed := range uint64(2) {
			c.scope = node.ShareScopeFleet
			c.sources = []source{
				{organisation: "a", path: "/quotes/x", perSecond: 80, entries: all}, {organisation: "b", path: "/quotes/x", perSecond: 80, entries: "01"},
				{organisation: "c", path: "/quotes/x", perSecond: 80, entries: "3"}, {organisation: "d", path: "/quotes/x", perSecond: 400, entries: all},
			}
			served, used := c.run(t, seed)
			t.Logf("%d slots, seed %d: served %.3f, used %.3f", c.slots, seed, served, used)
			if min(served[0], served[1], served[2]) < 0.97 || served[3] < 0.35 || used < 0.93 {
				t.Errorf("%d slots, seed %d: served %.3f, used %.3f; want 0.97 of the small ones, 0.35 of the large one, 0.93 used", c.slots, seed, served, used)
			}
		}
	}
}

// Guards against weights that have no effect: an organisation of weight 3 gets three
// quarters of the capacity that two of unequal weight compete for.
func TestWeightsDivideTheCapacity(t *testing.T) {
	c := competition{slots: 10, work: 100 * time.Millisecond, scope: node.ShareScopeFleet, weights: []string{"a=3"}}
	c.sources = []source{{organisation: "a", path: "/quotes/x", perSecond: 400, entries: all}, {organisation: "b", path: "/quotes/x", perSecond: 400, entries: "12"}}
	served, used := c.run(t, 1)
	t.Logf("served %.3f, used %.3f", served, used)
	if ratio := served[0] / served[1]; ratio < 2.7 || ratio > 3.3 || used < 0.93 {
		t.Errorf("served %.3f, used %.3f, want three times as much of the first and 0.93 used", served, used)
	}
}

// Guards against important requests that fit the capacity and are refused because no
// others enter at the same node.
func TestImportantRequestsThatFitAreServedWhereverTheyEnter(t *testing.T) {
	for _, c := range sizes {
		for seed := range uint64(2) {
			c.scope = node.ShareScopeFleet
			c.sources = []source{{organisation: "a", path: "/orders/x", perSecond: 160, entries: "0"}, {organisation: "b", path: "/quotes/x", perSecond: 480, entries: "123"}}
			served, used := c.run(t, seed)
			t.Logf("%d slots, seed %d: served %.3f, used %.3f", c.slots, seed, served, used)
			if served[0] < 0.95 || used < 0.93 {
				t.Errorf("%d slots, seed %d: served %.3f, used %.3f; want 0.95 of the orders, 0.93 used", c.slots, seed, served, used)
			}
		}
	}
}

// Guards against the same where all servers name limits.
func TestImportantRequestsWithinLimitsAreServedWhereverTheyEnter(t *testing.T) {
	c := competition{slots: 40, work: 70 * time.Millisecond, limit: 15, scope: node.ShareScopeFleet}
	c.sources = []source{{organisation: "a", path: "/orders/x", perSecond: 24, entries: "0"}, {organisation: "b", path: "/quotes/x", perSecond: 72, entries: "123"}}
	for seed := range uint64(4) {
		served, used := c.run(t, seed)
		t.Logf("seed %d: served %.3f, used %.3f", seed, served, used)
		if served[0] < 0.95 || used < 0.93 {
			t.Errorf("seed %d: served %.3f, used %.3f; want 0.95 of the orders, 0.93 used", seed, served, used)
		}
	}
}

// Guards against faults after which organisations are refused within their share for
// longer than a few seconds, and against an overload that outlives its cause. An
// organisation that appears at all nodes may cost the others 1.5 of 15 s: the measured
// demand follows it with a time constant of 1 s.
func TestSharesOutliveFaults(t *testing.T) {
	large := source{organisation: "d", path: "/quotes/x", perSecond: 400, entries: all}
	for _, test := range []struct {
		name    string
		large   source
		fault   func(r *nodetest.Rig, members []*nodetest.Member)
		counted time.Duration
		least   float64
		used    float64
	}{
		{"node restarts", large, func(r *nodetest.Rig, members []*nodetest.Member) {
			members[0].Kill()
			r.After(500*time.Millisecond, func() {
				members[0].Restart()
				members[0].ReadConfiguration(sharesDocument([]source{{organisation: "a"}, {organisation: "b"}, {organisation: "c"}, {organisation: "d"}}))
				members[0].Announce("quotes", 10)
			})
		}, warmUp + 3*time.Second, 0.97, 0.9},
		{"domain is cut off", large, func(r *nodetest.Rig, _ []*nodetest.Member) {
			r.PartitionDomain("south", true)
		}, warmUp + 8*time.Second, 0.93, 0.9},
		{"domain is cut off for 4 s", large, func(r *nodetest.Rig, _ []*nodetest.Member) {
			r.PartitionDomain("south", true)
			r.After(4*time.Second, func() { r.HealDomain("south") })
		}, warmUp + 8*time.Second, 0.97, 0.9},
		{"server joins", large, func(_ *nodetest.Rig, members []*nodetest.Member) {
			members[1].Announce("quotes", 10)
		}, warmUp + 3*time.Second, 0.97, 0.9},
		{"organisation appears at all nodes", source{organisation: "d", path: "/quotes/x", perSecond: 400, entries: all, from: warmUp}, nil, warmUp, 0.9, 0.9},
		{"overload ends", source{organisation: "d", path: "/quotes/x", perSecond: 1200, entries: all, until: 8 * time.Second}, nil, 10 * time.Second, 0.995, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := competition{slots: 10, work: 100 * time.Millisecond, scope: node.ShareScopeFleet, fault: test.fault, counted: test.counted}
			c.sources = []source{
				{organisation: "a", path: "/quotes/x", perSecond: 80, entries: all},
				{organisation: "b", path: "/quotes/x", perSecond: 80, entries: all},
				{organisation: "c", path: "/quotes/x", perSecond: 80, entries: all}, test.large,
			}
			if test.name == "server joins" {
				c.absent = 1
			}
			served, used := c.run(t, 1)
			t.Logf("served %.3f, used %.3f", served, used)
			if min(served[0], served[1], served[2]) < test.least || used < test.used {
				t.Errorf("served %.3f, used %.3f, want %.3f of the first three and %.2f used", served, used, test.least, test.used)
			}
		})
	}
}
