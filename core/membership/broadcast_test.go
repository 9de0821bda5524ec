package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"coltsfootward"

	_ "coltsfootward/core/internal/testseed"

	"pgregory.net/rapid"
)

// broadcast is the reference model: every announcement reaches all members immediately
// and reliably.
type broadcast map[coltsfootward.InstanceID]offer

type offer struct {
	service  coltsfootward.ServiceName
	draining bool
}

func (b broadcast) upstreams(service coltsfootward.ServiceName) []coltsfootward.InstanceID {
	var ids []coltsfootward.InstanceID
	for id, o := range b {
		if o.service == service && !o.draining {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Members announce, drain, die and are replaced while domains are partitioned and
// messages are lost. Within two minutes after the last fault, every member must return
// the same upstreams as the reference model.
func TestGossipMatchesReliableBroadcast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"))
		c.populate(3, 5)
		c.run(20 * time.Second)
		model := make(broadcast)
		for _, m := range c.members {
			model[m.self.ID] = offer{service: m.machine.Local().Service}
		}
		for range rapid.IntRange(3, 15).Draw(t, "steps") {
			runStep(t, c, model)
			c.run(time.Duration(rapid.IntRange(1, 8000).Draw(t, "milliseconds")) * time.Millisecond)
		}
		c.blocked = nil
		var difference string
		agree := func() bool { difference = disagreement(c, model); return difference == "" }
		if _, ok := c.runUntil(2*time.Minute, agree); !ok {
			t.Fatal(difference)
		}
	})
}

func runStep(t *rapid.T, c *cluster, model broadcast) {
	id := coltsfootward.InstanceID(fmt.Sprintf("d%02d-%05d", rapid.IntRange(0, 2).Draw(t, "domain"), rapid.IntRange(0, 4).Draw(t, "member")))
	m := c.byID[id]
	service := coltsfootward.ServiceName(fmt.Sprintf("service-%d", rapid.IntRange(0, 3).Draw(t, "service")))
	switch rapid.SampledFrom([]string{"announce", "drain", "kill", "replace", "cut", "lossy", "heal"}).Draw(t, "step") {
	case "announce":
		if m.alive {
			m.machine.Announce(service, 5, false)
			model[id] = offer{service: service}
		}
	case "drain":
		if m.alive {
			m.machine.Announce(service, 5, true)
			model[id] = offer{service: service, draining: true}
		}
	case "kill":
		// The first member is the contact of all others and must live. Each domain
		// must keep two live members.
		if id != c.members[0].self.ID && c.liveCountIn(m.self.Domain) > 2 {
			m.alive = false
			delete(model, id)
		}
	case "replace":
		if id != c.members[0].self.ID {
			c.add(string(id), string(m.self.Domain), m.self.Incarnation+1).machine.Announce(service, 7, false)
			model[id] = offer{service: service}
		}
	case "cut":
		c.blocked = func(from, to coltsfootward.Instance) bool {
			return (from.Domain == m.self.Domain) != (to.Domain == m.self.Domain)
		}
	case "lossy":
		c.blocked = func(_, _ coltsfootward.Instance) bool { return c.source.IntN(3) == 0 }
	case "heal":
		c.blocked = nil
	}
}

func (c *cluster) liveCountIn(domain coltsfootward.FailureDomain) int {
	count := 0
	for _, m := range c.byID {
		if m.alive && m.self.Domain == domain {
			count++
		}
	}
	return count
}

func disagreement(c *cluster, model broadcast) string {
	for _, m := range c.members {
		if !m.alive {
			continue
		}
		for i := range 4 {
			service := coltsfootward.ServiceName(fmt.Sprintf("service-%d", i))
			var got []coltsfootward.InstanceID
			for _, a := range m.machine.Upstreams(service) {
				got = append(got, a.Instance.ID)
			}
			if want := model.upstreams(service); !slices.Equal(got, want) {
				return fmt.Sprintf("%s returns upstreams %v of %s, want %v", m.self.ID, got, service, want)
			}
		}
	}
	return ""
}
