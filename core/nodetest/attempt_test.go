package nodetest_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"

	_ "coltsfootward/core/internal/testseed"

	"pgregory.net/rapid"
)

// chain is a rig with one service per layer; each service calls the next one.
type chain struct {
	rig     *nodetest.Rig
	entry   *nodetest.Member
	members []*nodetest.Member
}

type chainOptions struct {
	depth, fanOut, instances, budget int
	parallel                         bool
	// fail is the share of runs, at every layer, that fail after their service time.
	fail float64
}

func layer(depth int) coltsfootward.ServiceName {
	return coltsfootward.ServiceName(fmt.Sprintf("layer-%d", depth))
}

func newChain(seed uint64, o chainOptions) *chain {
	c := &chain{rig: nodetest.New(seed)}
	domains := []coltsfootward.FailureDomain{"north", "south"}
	c.rig.Submit(
		coltsfootward.Change{Organisation: &coltsfootward.Organisation{Name: "traders", Rate: coltsfootward.Rate{PerSecond: 1e6, Burst: 1e6}}},
		coltsfootward.Change{Key: &coltsfootward.Key{ID: "k", Digest: key, Organisation: "traders"}},
	)
	source := rand.New(rand.NewPCG(seed, 9))
	c.entry = c.rig.Add(node.Options{Self: nodetest.Instance("entry", "north"), Domains: domains})
	for depth := range o.depth {
		c.rig.Submit(coltsfootward.Change{Service: &coltsfootward.Service{Name: layer(depth), Attempts: o.budget}})
		for i := range o.instances {
			id := coltsfootward.InstanceID(fmt.Sprintf("node-%d-%d", depth, i))
			m := c.rig.Add(node.Options{Self: nodetest.Instance(id, domains[i%2]), Domains: domains})
			m.Announce(layer(depth), 1000)
			m.Backend.Parallel = o.parallel
			m.Backend.Fail = func(message.Call) bool { return source.Float64() < o.fail }
			if depth+1 < o.depth {
				m.Backend.Children = func(message.Call) []nodetest.Request { return children(depth+1, o.fanOut) }
			}
			c.members = append(c.members, m)
		}
	}
	c.rig.Run(5 * time.Second)
	return c
}

func children(depth, fanOut int) []nodetest.Request {
	all := make([]nodetest.Request, fanOut)
	for i := range all {
		all[i] = nodetest.Request{Service: layer(depth)}
	}
	return all
}

// dispatches returns, for each request, the number of runs at all layers.
func (c *chain) dispatches() map[coltsfootward.RequestID]int {
	counts := make(map[coltsfootward.RequestID]int)
	for _, m := range c.members {
		for _, run := range m.Backend.Runs {
			counts[run.Head.Request]++
		}
	}
	return counts
}

func (c *chain) total() int {
	total := 0
	for _, count := range c.dispatches() {
		total += count
	}
	return total
}

// Guards against a request being dispatched more often, over all services, than
// its attempt budget allows. This happens if one attempt of the budget is available
// in two places, if the allocation of a lost child call is given out a second time,
// or if the attempts of a late child call are not counted because its parent has
// ended. Runs fail, links are partitioned, nodes are killed and paused, and callers
// cancel their requests or time out, in random order.
func TestAttemptsNeverExceedBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := chainOptions{
			depth:     rapid.IntRange(1, 7).Draw(t, "depth"),
			fanOut:    rapid.IntRange(1, 3).Draw(t, "fan out"),
			instances: rapid.IntRange(1, 3).Draw(t, "instances"),
			budget:    rapid.IntRange(1, 60).Draw(t, "budget"),
			parallel:  rapid.Bool().Draw(t, "parallel"),
			fail:      rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "fail"),
		}
		c := newChain(rapid.Uint64().Draw(t, "seed"), o)
		var outcomes []*nodetest.Outcome
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			outcomes = append(outcomes, c.step(t)...)
			c.rig.Run(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond)
		}
		c.rig.Run(15 * time.Second)
		for request, count := range c.dispatches() {
			if count > o.budget {
				t.Fatalf("request %s: got %d dispatches, want at most %d", request, count, o.budget)
			}
		}
		for i, outcome := range outcomes {
			if !outcome.Done {
				t.Fatalf("request %d has not ended", i)
			}
		}
	})
}

// step sends a request, causes a failure or ends one.
func (c *chain) step(t *rapid.T) []*nodetest.Outcome {
	m := c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, "member")]
	other := c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, "other")]
	switch rapid.SampledFrom([]string{"send", "send", "leave", "timeout", "cut", "heal", "kill", "pause", "resume"}).Draw(t, "step") {
	case "send":
		return []*nodetest.Outcome{c.entry.Send(nodetest.Request{Key: key, Service: layer(0)})}
	case "leave":
		o := c.entry.Send(nodetest.Request{Key: key, Service: layer(0)})
		c.rig.After(time.Duration(rapid.IntRange(0, 60).Draw(t, "leave after"))*time.Millisecond, o.Cancel)
		return []*nodetest.Outcome{o}
	case "timeout":
		timeout := time.Duration(rapid.IntRange(1, 60).Draw(t, "timeout")) * time.Millisecond
		return []*nodetest.Outcome{c.entry.Send(nodetest.Request{Key: key, Service: layer(0), Timeout: timeout})}
	case "cut":
		c.rig.Partition(m.Instance.ID, other.Instance.ID)
	case "heal":
		c.rig.Heal(m.Instance.ID, other.Instance.ID)
	case "kill":
		if m.Alive() {
			m.Kill()
		}
	case "pause":
		if m.Alive() {
			m.Pause()
			c.rig.After(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause for"))*time.Millisecond, m.Resume)
		}
	}
	return nil
}

// retryPerLayer simulates a chain in which each layer makes up to three attempts
// of a call, independently of the other layers. It returns the number of
// dispatches that one call causes and whether the call is answered.
func retryPerLayer(source *rand.Rand, depth int, o chainOptions) (int, bool) {
	total := 0
	for range 3 {
		total++
		answered := true
		if depth+1 < o.depth {
			for range o.fanOut {
				used, ok := retryPerLayer(source, depth+1, o)
				total += used
				answered = answered && ok
				if !ok && !o.parallel {
					break
				}
			}
		}
		if answered && source.Float64() >= o.fail {
			return total, true
		}
	}
	return total, false
}

// Compares the attempt budget with independent retries at each layer. In a chain
// of seven services that fail at every layer, independent retries multiply: one
// request becomes thousands of dispatches, which keep the services overloaded.
// The attempt budget bounds the total.
func TestAttemptsComparedWithRetriesPerLayer(t *testing.T) {
	for _, o := range []chainOptions{
		{depth: 7, fanOut: 1, instances: 2, budget: 16, fail: 0},
		{depth: 7, fanOut: 1, instances: 2, budget: 16, fail: 0.1},
		{depth: 7, fanOut: 1, instances: 2, budget: 32, fail: 0.1},
		{depth: 7, fanOut: 1, instances: 2, budget: 16, fail: 1},
		{depth: 4, fanOut: 3, instances: 2, budget: 60, parallel: true, fail: 0},
		{depth: 4, fanOut: 3, instances: 2, budget: 60, parallel: true, fail: 0.01},
		{depth: 7, fanOut: 3, instances: 2, budget: 1600, parallel: true, fail: 0},
		{depth: 7, fanOut: 3, instances: 2, budget: 1600, parallel: true, fail: 0.01},
		{depth: 7, fanOut: 3, instances: 2, budget: 1600, parallel: true, fail: 1},
	} {
		c := newChain(1, o)
		source := rand.New(rand.NewPCG(1, 9))
		requests := 20
		if o.fanOut == 3 && o.fail == 1 {
			requests = 2 // with retries per layer, each request causes millions of dispatches
		}
		perLayerTotal, perLayerAnswered, answered := 0, 0, 0
		for range requests {
			used, ok := retryPerLayer(source, 0, o)
			perLayerTotal += used
			if ok {
				perLayerAnswered++
			}
			outcome := c.entry.Send(nodetest.Request{Key: key, Service: layer(0)})
			c.rig.Run(2 * time.Second)
			if outcome.Answered {
				answered++
			}
		}
		t.Logf("depth %d, fan-out %d, failing %4.1f%%: dispatches %6d, answered %2d of %d; retries per layer: dispatches %8d, answered %2d",
			o.depth, o.fanOut, 100*o.fail, c.total(), answered, requests, perLayerTotal, perLayerAnswered)
		if total, limit := c.total(), requests*o.budget; total > limit {
			t.Errorf("%+v: got %d dispatches, want at most %d", o, total, limit)
		}
		if o.fail == 0 && answered < requests-1 {
			t.Errorf("%+v: answered %d of %d without a failure", o, answered, requests)
		}
		if o.fail == 1 && perLayerTotal < 10*c.total() {
			t.Errorf("%+v: retries per layer made %d dispatches, want at least ten times the %d under the attempt budget", o, perLayerTotal, c.total())
		}
	}
}
