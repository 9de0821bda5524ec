package membership_test

import (
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
)

// started returns a cluster whose members all know each other.
func started(t *testing.T, seed uint64, domains, count int) *cluster {
	t.Helper()
	c := newCluster(seed)
	c.populate(domains, count)
	if took, ok := c.until(2*time.Minute, c.converged); !ok {
		t.Fatalf("members do not know each other after %v", took)
	}
	c.run(30 * time.Second)
	return c
}

func state(m *clusterMember, id coltsfootward.InstanceID) message.MemberState {
	found, _ := m.machine.Member(id)
	return found.State
}

func offers(m *clusterMember, service coltsfootward.ServiceName, id coltsfootward.InstanceID) bool {
	for _, a := range m.machine.Upstreams(service) {
		if a.Instance.ID == id {
			return true
		}
	}
	return false
}

// An operator drains a backend server. Callers at other nodes go on being sent
// to it, and are refused there, until its news has reached them all.
func TestDrainIsKnownToAllWithinSeconds(t *testing.T) {
	c := started(t, 1, 4, 25)
	drained := c.members[7]
	service := drained.machine.Local().Service
	drained.machine.Announce(service, 10, true)
	took, ok := c.until(10*time.Second, func() bool {
		return c.all(func(m *clusterMember) bool { return !offers(m, service, drained.self.ID) })
	})
	if !ok {
		t.Errorf("some members still offer the drained backend server after %v", took)
	}
	t.Logf("known to all after %v", took)
}

// An instance is killed. Its backend server goes on being chosen for new work,
// which fails, until its own domain has found it out and told the others.
func TestKilledInstanceGetsNoWorkAfterSeconds(t *testing.T) {
	c := started(t, 2, 4, 25)
	killed := c.members[30]
	service := killed.machine.Local().Service
	killed.alive = false
	took, ok := c.until(20*time.Second, func() bool {
		return c.all(func(m *clusterMember) bool { return !offers(m, service, killed.self.ID) })
	})
	if !ok {
		t.Errorf("some members still offer the killed instance after %v", took)
	}
	t.Logf("offered nowhere after %v", took)
}

// An instance is replaced under the same name and address. News of its earlier
// run, that it drains and that it is gone, arrives after the new one's
// announcement; taken in, it would keep work from the new one for good.
func TestLateNewsOfAnEarlierRunChangesNothing(t *testing.T) {
	c := started(t, 3, 2, 10)
	old := c.members[4]
	service := old.machine.Local().Service
	late := message.News{Announcement: old.machine.Local(), State: message.MemberGone}
	late.Announcement.Version += 1000
	late.Announcement.Draining = true
	c.add(string(old.self.ID), string(old.self.Domain), 2).machine.Announce(service, 12, false)
	current := func() bool {
		return c.all(func(m *clusterMember) bool {
			found, ok := m.machine.Member(old.self.ID)
			return ok && found.Announcement.Instance.Incarnation == 2 && found.Announcement.Slots == 12 && offers(m, service, old.self.ID)
		})
	}
	if took, ok := c.until(20*time.Second, current); !ok {
		t.Fatalf("the new run is not known everywhere after %v", took)
	}
	for _, m := range c.members {
		if m.alive {
			m.machine.Receive(coltsfootward.At(c.now), "d00-00001", &message.Gossip{News: []message.News{late}}, 0)
		}
	}
	for range 50 {
		if !current() {
			t.Fatal("late news of the earlier run displaced the present one")
		}
		c.run(100 * time.Millisecond)
	}
}

// A live member's answers are lost for a while and its domain spreads that it
// is suspected. If it could not refute that, it would get no work again until
// it is restarted.
func TestSuspectedMemberRefutes(t *testing.T) {
	c := started(t, 4, 2, 10)
	accused := c.members[3]
	c.blocked = func(from, to coltsfootward.Instance) bool {
		return from.ID == accused.self.ID || to.ID == accused.self.ID
	}
	alive := func(m *clusterMember) bool { return state(m, accused.self.ID) == message.MemberAlive }
	if _, ok := c.until(20*time.Second, func() bool { return !c.all(alive) }); !ok {
		t.Fatal("nobody suspects the member that does not answer")
	}
	c.blocked = nil
	c.run(time.Second)
	if took, ok := c.until(20*time.Second, func() bool { return c.all(alive) }); !ok {
		t.Errorf("some members still hold the live member for dead after %v", took)
	}
}

// A node is paused for a minute and wakes. All its probes are overdue, though
// the answers wait in its buffers; it would accuse live members.
func TestPausedMemberAccusesNobodyOnWaking(t *testing.T) {
	c := started(t, 5, 1, 5)
	woken := c.members[2]
	accused := false
	woken.alive = false
	c.run(time.Second)
	woken.machine.Tick(coltsfootward.At(c.now))
	c.now += time.Minute
	for range 3 {
		woken.machine.Tick(coltsfootward.At(c.now))
		for _, other := range c.members {
			accused = accused || state(woken, other.self.ID) != message.MemberAlive
		}
	}
	if accused {
		t.Error("the woken node holds a member for suspected or gone")
	}
}

// A failure domain is cut off for two minutes while a backend server on each
// side drains. During the cut each side offers nothing of the other; a few
// seconds after it both know all, and nobody was declared gone.
func TestCutDomainHeals(t *testing.T) {
	c := started(t, 6, 3, 10)
	cut := coltsfootward.FailureDomain("d01")
	inside, outside := c.members[14], c.members[4]
	c.blocked = func(from, to coltsfootward.Instance) bool { return (from.Domain == cut) != (to.Domain == cut) }
	separated := func() bool {
		return c.all(func(m *clusterMember) bool {
			for _, a := range m.machine.Upstreams("service-0") {
				if (a.Instance.Domain == cut) != (m.self.Domain == cut) {
					return false
				}
			}
			return true
		})
	}
	took, ok := c.until(30*time.Second, separated)
	if !ok {
		t.Fatalf("work is still offered across the cut after %v", took)
	}
	t.Logf("no work across the cut after %v", took)
	inside.machine.Announce("service-0", 10, true)
	outside.machine.Announce("service-0", 10, true)
	c.run(2 * time.Minute)
	for _, m := range c.members {
		for _, other := range m.machine.All() {
			if other.State != message.MemberAlive {
				t.Fatalf("%s holds %s for %s, want alive: only its own domain may declare it gone", m.self.ID, other.Announcement.Instance.ID, other.State)
			}
		}
	}
	c.blocked = nil
	took, ok = c.until(30*time.Second, func() bool {
		return c.all(func(m *clusterMember) bool {
			return m.machine.Reachable(cut) && m.machine.Reachable("d00") && m.machine.Reachable("d02") &&
				!offers(m, "service-0", inside.self.ID) && !offers(m, "service-0", outside.self.ID) &&
				len(m.machine.Upstreams("service-0")) == 7
		})
	})
	if !ok {
		t.Errorf("the sides do not agree %v after the cut", took)
	}
	t.Logf("agreed %v after the cut", took)
}

// A domain is cut in two behind a switch for ten minutes, so that each half
// declares the other gone. After it, members must not go on calling each other
// gone; the memory of those that are gone must end all the same.
func TestDomainCutInTwoHeals(t *testing.T) {
	c := started(t, 7, 2, 12)
	left := make(map[coltsfootward.InstanceID]bool)
	for _, m := range c.members[:6] {
		left[m.self.ID] = true
	}
	c.blocked = func(from, to coltsfootward.Instance) bool { return left[from.ID] != left[to.ID] }
	c.run(10 * time.Minute)
	if got := state(c.members[0], c.members[8].self.ID); got != message.MemberGone {
		t.Fatalf("across the switch: got %s, want gone", got)
	}
	c.blocked = nil
	if took, ok := c.until(time.Minute, c.converged); !ok {
		t.Errorf("members do not know each other again after %v", took)
	}
	killed := c.members[1]
	killed.alive = false
	c.run(time.Hour + 3*time.Minute)
	if !c.all(func(m *clusterMember) bool { _, ok := m.machine.Member(killed.self.ID); return !ok }) {
		t.Error("a member that is gone for over an hour is still remembered")
	}
}

// A member is gone for over an hour and half the others have forgotten it. The
// rest tell them of it when rosters are compared; taken in, it would be passed
// back and forth and remembered for ever.
func TestForgottenMemberIsNotLearntAgain(t *testing.T) {
	c := started(t, 8, 1, 4)
	gone := message.News{Announcement: c.members[1].machine.Local(), State: message.MemberGone}
	gone.Announcement.Instance.ID = "d00-forgotten"
	c.members[0].machine.Receive(coltsfootward.At(c.now), "d00-00001", &message.RosterPage{News: []message.News{gone}}, 0)
	if got, ok := c.members[0].machine.Member("d00-forgotten"); ok {
		t.Errorf("got %+v, want no memory of it", got)
	}
}

// A member loses every message for a few seconds, in which all others hear that
// a backend server drains and cease to pass that on. Nobody tells the member any
// more; it would send work there until the server's next change.
func TestMissedNewsIsMadeUpFor(t *testing.T) {
	for seed := range uint64(5) {
		c := started(t, 20+seed, 3, 25)
		deaf, drained := c.members[40], c.members[8]
		service := drained.machine.Local().Service
		c.blocked = func(_, to coltsfootward.Instance) bool { return to.ID == deaf.self.ID }
		drained.machine.Announce(service, 10, true)
		c.run(3 * time.Second)
		c.blocked = nil
		if !offers(deaf, service, drained.self.ID) {
			t.Fatal("the deaf member heard the news all the same: the test does not show what it is for")
		}
		if took, ok := c.until(30*time.Second, func() bool { return !offers(deaf, service, drained.self.ID) }); !ok {
			t.Errorf("seed %d: still offered after %v", seed, took)
		}
	}
}

// A node's own link is broken for three minutes. If it took all others for dead
// meanwhile, it would accuse its whole domain at its return, and each would have
// to refute that.
func TestIsolatedMemberAccusesFew(t *testing.T) {
	c := started(t, 9, 2, 25)
	lone := c.members[5]
	c.blocked = func(from, to coltsfootward.Instance) bool { return from.ID == lone.self.ID || to.ID == lone.self.ID }
	c.run(3 * time.Minute)
	accused := 0
	for _, other := range lone.machine.All() {
		if other.State != message.MemberAlive {
			accused++
		}
	}
	if accused > 3 {
		t.Errorf("got %d of 50 members accused, want at most 3", accused)
	}
	c.blocked = nil
	if took, ok := c.until(20*time.Second, c.converged); !ok {
		t.Errorf("members do not know each other again after %v", took)
	}
}

// Guards against a node that has just started and knows few of a fleet of hundreds for
// seconds: its requests crowd the few backend servers that it has heard of.
func TestFreshMemberKnowsHundredsWithinASecond(t *testing.T) {
	c := started(t, 1, 6, 33)
	fresh := c.add("fresh", "d00", 1)
	want := len(c.members)
	took, ok := c.until(10*time.Second, func() bool { return fresh.machine.Size() >= want })
	if !ok || took > time.Second {
		t.Errorf("the fresh member knows %d of %d after %s (%t), want all within 1 s", fresh.machine.Size(), want, took, ok)
	}
}
