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
	for _, m := range members {
		m.Announce("quotes", c.slots)
		m.Backend.ServiceTime = func(message.Call) time.Duration {
			return time.Duration((0.6 + 0.8*random.Float64()) * float64(c.work))
		}
		if c.limit > 0 {
			m.Backend.Condition = limitedTo(c.limit)
		}
	}
	r.Run(time.Second)
	began := r.Now()
	counted := make([][]*nodetest.Outcome, len(c.sources))
	for i, s := range c.sources {
		var next func()
		next = func() {
			if r.Now()-began >= warmUp+competing {
				return
			}
			entry := members[s.entries[random.IntN(len(s.entries))]-'0']
			o := entry.Send(nodetest.Request{Key: coltsfootward.KeyDigest(s.organisation), Host: routedHost, Path: s.path})
			if r.Now()-began >= warmUp {
				counted[i] = append(counted[i], o)
			}
			r.After(time.Duration(random.ExpFloat64()/s.perSecond*float64(time.Second)), next)
		}
		r.After(time.Duration(random.ExpFloat64()/s.perSecond*float64(time.Second)), next)
	}
	r.Run(warmUp + competing + 3*time.Second)
	for _, sent := range counted {
		served = append(served, answeredShare(sent))
	}
	capacity := 4 * float64(c.slots) / c.work.Seconds() * competing.Seconds()
	if c.limit > 0 {
		capacity = 4 * c.limit * competing.Seconds()
	}
	done := 0
	for _, m := range members {
		for _, at := range reached(m, began+warmUp) {
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
			c.sources = []source{{"a", "/quotes/x", 80, all}, {"b", "/quotes/x", 80, "01"}, {"c", "/quotes/x", 80, "3"}, {"d", "/quotes/x", 400, all}}
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
	c.sources = []source{{"a", "/quotes/x", 400, all}, {"b", "/quotes/x", 400, "12"}}
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
			c.sources = []source{{"a", "/orders/x", 160, "0"}, {"b", "/quotes/x", 480, "123"}}
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
	c.sources = []source{{"a", "/orders/x", 24, "0"}, {"b", "/quotes/x", 72, "123"}}
	for seed := range uint64(4) {
		served, used := c.run(t, seed)
		t.Logf("seed %d: served %.3f, used %.3f", seed, served, used)
		if served[0] < 0.95 || used < 0.93 {
			t.Errorf("seed %d: served %.3f, used %.3f; want 0.95 of the orders, 0.93 used", seed, served, used)
		}
	}
}
