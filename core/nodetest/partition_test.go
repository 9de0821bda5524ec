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

// partitionGroup partitions the members for which inside returns true from all others, or
// heals these links.
func partitionGroup(members []*nodetest.Member, inside func(int) bool, change func(a, b coltsfootward.InstanceID)) {
	for i, a := range members {
		for j, b := range members {
			if inside(i) && !inside(j) {
				change(a.Instance.ID, b.Instance.ID)
			}
		}
	}
}

// sendThrough sends a request through each live member every 50 ms for the duration d.
func sendThrough(r *nodetest.Rig, members []*nodetest.Member, d time.Duration) []*nodetest.Outcome {
	var sent []*nodetest.Outcome
	for until := r.Now() + d; r.Now() < until; {
		for _, m := range members {
			if m.Alive() {
				sent = append(sent, get(m))
			}
		}
		r.Run(50 * time.Millisecond)
	}
	return sent
}

// mostWithin returns the largest number of answered requests that were sent and ended
// within a window.
func mostWithin(sent []*nodetest.Outcome, window time.Duration) int {
	most, from, answered := 0, 0, make([]*nodetest.Outcome, 0, len(sent))
	for _, o := range sent {
		if o.Answered {
			answered = append(answered, o)
		}
	}
	for to, last := range answered {
		for last.Ended-answered[from].Sent > window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// Guards against an organisation that gets more than its rate while a group of nodes of
// several failure domains is partitioned from the others, and after that: both sides then
// hold all parts of the rate.
func TestPartitionedGroupsShareRate(t *testing.T) {
	const window = 5 * time.Second
	limit := coltsfootward.Rate{PerSecond: 60, Burst: 60}
	// The rate and burst with the overage that the users accept, and their slack.
	bound := int((limit.PerSecond*window.Seconds()+float64(limit.Burst))*1.1) + 20
	domains := []coltsfootward.FailureDomain{"north", "south", "west"}
	tests := []struct {
		name   string
		inside func(int) bool
		// restarted is the member that is restarted while it is partitioned; -1 for none.
		restarted int
	}{
		{"one of four in each domain", func(i int) bool { return i%4 == 0 }, -1},
		{"two of four in each domain", func(i int) bool { return i%4 < 2 }, -1},
		{"five of twelve", func(i int) bool { return i < 3 || i == 5 || i == 9 }, -1},
		{"a member of the smaller side restarts", func(i int) bool { return i%4 < 2 }, 0},
		{"a member of the larger side restarts", func(i int) bool { return i%4 == 0 }, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(3) {
				for _, length := range []time.Duration{3 * time.Second, 7 * time.Second, 12 * time.Second, 40 * time.Second} {
					r, members := newRoutedRig(seed+1, 4, routedDocument(1, limit, "quotes"), domains...)
					for _, m := range members {
						m.Announce("quotes", 100)
					}
					sent := sendThrough(r, members, time.Duration(seed)*300*time.Millisecond)
					partitionGroup(members, test.inside, r.Partition)
					sent = append(sent, sendThrough(r, members, length/2)...)
					if test.restarted >= 0 {
						members[test.restarted].Kill()
						sent = append(sent, sendThrough(r, members, 500*time.Millisecond)...)
						members[test.restarted].Restart()
						members[test.restarted].Announce("quotes", 100)
					}
					sent = append(sent, sendThrough(r, members, length/2)...)
					partitionGroup(members, test.inside, r.Heal)
					sent = append(sent, sendThrough(r, members, 25*time.Second)...)
					r.Run(2 * time.Second)
					if most := mostWithin(sent, window); most > bound {
						t.Errorf("seed %d, partitioned for %v: %d requests ran within %v, allowed %d", seed+1, length, most, window, bound)
					}
				}
			}
		})
	}
}

// Guards against an organisation that loses more of its rate than the share of the nodes
// that were lost, or that loses it after they have left in order or are back.
func TestLostMembersTakeOnlyTheirShare(t *testing.T) {
	limit := coltsfootward.Rate{PerSecond: 120, Burst: 120}
	const members, measured = 12, 20 * time.Second
	tests := []struct {
		name  string
		lose  func(r *nodetest.Rig, m *nodetest.Member)
		count int
		share float64
	}{
		{"none", nil, 0, 1},
		{"one killed", func(_ *nodetest.Rig, m *nodetest.Member) { m.Kill() }, 1, 11.0 / 12},
		{"two of a domain killed", func(_ *nodetest.Rig, m *nodetest.Member) { m.Kill() }, 2, 10.0 / 12},
		{"two of a domain left", func(r *nodetest.Rig, m *nodetest.Member) {
			m.Drain()
			m.Finish()
			r.Run(time.Second)
			m.Kill()
		}, 2, 1},
		{"two of a domain restarted", func(r *nodetest.Rig, m *nodetest.Member) {
			m.Kill()
			r.Run(time.Second)
			m.Restart()
			m.Announce("quotes", 100)
		}, 2, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, all := newRoutedRig(7, members/3, routedDocument(1, limit, "quotes"), "north", "south", "west")
			for _, m := range all {
				m.Announce("quotes", 100)
			}
			for _, m := range all[:test.count] {
				test.lose(r, m)
			}
			r.Run(15 * time.Second)
			var answered int
			for _, o := range sendThrough(r, all, measured) {
				if o.Answered {
					answered++
				}
			}
			if want := int(0.9 * test.share * limit.PerSecond * measured.Seconds()); answered < want {
				t.Errorf("got %d requests answered in %v, want at least %d", answered, measured, want)
			}
			t.Logf("%d answered in %v", answered, measured)
		})
	}
}

// Guards against a service that gets more retries than its budget because groups of nodes
// that are partitioned from each other each use the whole of it.
func TestPartitionedGroupsShareRetries(t *testing.T) {
	const (
		window     = 10 * time.Second
		retryShare = 0.001
		retryBurst = 120
		groups     = 4
	)
	domains := []coltsfootward.FailureDomain{"north", "south", "west"}
	r := nodetest.New(5)
	var members []*nodetest.Member
	for _, domain := range domains {
		for i := range groups {
			m := r.Add(node.Options{
				Self:    nodetest.Instance(coltsfootward.InstanceID(fmt.Sprintf("%s-%d", domain, i)), domain),
				Domains: domains, Routed: true, ConfigurationSpread: 2 * time.Second, RetryShare: retryShare, RetryBurst: retryBurst,
			})
			m.ReadConfiguration(routedDocument(1, coltsfootward.Rate{PerSecond: 1e6, Burst: 1e6}, "quotes"))
			m.Announce("quotes", 100)
			m.Backend.Fail = func(message.Call) bool { return true }
			members = append(members, m)
		}
	}
	r.Run(8 * time.Second)
	for group := range groups {
		partitionGroup(members, func(i int) bool { return i%groups == group }, r.Partition)
	}
	r.Run(20 * time.Second)
	sent := sendThrough(r, members, window)
	r.Run(2 * time.Second)
	retries := 0
	for _, o := range sent {
		retries += max(o.Attempts-1, 0)
	}
	if allowed := int(retryShare*float64(len(sent))) + retryBurst; retries > allowed {
		t.Errorf("got %d retries of %d requests in %v, allowed %d", retries, len(sent), window, allowed)
	}
	t.Logf("%d retries of %d requests", retries, len(sent))
}
