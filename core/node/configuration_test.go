package node_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"
	"coltsfootward/core/record"

	_ "coltsfootward/core/internal/testseed"

	"pgregory.net/rapid"
)

const tradersKey = coltsfootward.KeyDigest("traders-digest")

// fleet is a rig with the same number of nodes in each failure domain, one
// organisation with a key, and one service.
type fleet struct {
	*nodetest.Rig
	domains []coltsfootward.FailureDomain
	members []*nodetest.Member
	changes []coltsfootward.Change
	// submitted is the revision of the last submitted change.
	submitted coltsfootward.Revision
}

func newFleet(seed uint64, domains, count int) *fleet {
	f := &fleet{Rig: nodetest.New(seed)}
	for d := range domains {
		f.domains = append(f.domains, coltsfootward.FailureDomain(fmt.Sprintf("domain-%d", d)))
	}
	f.submit(coltsfootward.Change{Organisation: &coltsfootward.Organisation{Name: "traders", Rate: coltsfootward.Rate{PerSecond: 1000, Burst: 1000}}})
	f.submit(coltsfootward.Change{Key: &coltsfootward.Key{ID: "k", Digest: tradersKey, Organisation: "traders"}})
	f.submit(coltsfootward.Change{Service: &coltsfootward.Service{Name: "quotes"}})
	for _, domain := range f.domains {
		for i := range count {
			id := coltsfootward.InstanceID(fmt.Sprintf("%s-%d", domain, i))
			f.members = append(f.members, f.Add(node.Options{Self: nodetest.Instance(id, domain), Domains: f.domains}))
		}
	}
	return f
}

func (f *fleet) submit(change coltsfootward.Change) {
	f.submitted++
	f.changes = append(f.changes, change)
	f.Submit(change)
}

// idleOrganisations are organisations that send no requests.
var idleOrganisations = []coltsfootward.OrganisationName{"other-0", "other-1", "other-2"}

// changeIdleRate changes the rate of one of the idle organisations.
func (f *fleet) changeIdleRate() {
	name := idleOrganisations[int(f.submitted)%len(idleOrganisations)]
	f.submit(coltsfootward.Change{Organisation: &coltsfootward.Organisation{Name: name, Rate: coltsfootward.Rate{PerSecond: float64(f.submitted), Burst: 1}}})
}

// reissueKey tries to make a withdrawn key valid again.
func (f *fleet) reissueKey() {
	f.submit(coltsfootward.Change{Key: &coltsfootward.Key{ID: "k", Digest: tradersKey, Organisation: "traders"}})
}

func (f *fleet) withdrawKey() {
	f.submit(coltsfootward.Change{Key: &coltsfootward.Key{ID: "k", Digest: tradersKey, Organisation: "traders", Withdrawn: true}})
}

// upToDate reports whether all running members, or those of the given failure
// domains, have the last revision in force.
func (f *fleet) upToDate(domains ...coltsfootward.FailureDomain) bool {
	for _, m := range f.members {
		included := len(domains) == 0 || slices.Contains(domains, m.Instance.Domain)
		if m.Alive() && included && m.Node().Configuration().Revision() != f.submitted {
			return false
		}
	}
	return true
}

// settle runs the rig until all members know each other and have the last
// revision, and for 10 s more.
func (f *fleet) settle(t testingT) {
	t.Helper()
	settled := func() bool {
		for _, m := range f.members {
			if len(m.Node().Status().Peers) != len(f.members)-1 {
				return false
			}
		}
		return f.upToDate()
	}
	if !f.RunUntil(time.Minute, settled) {
		t.Fatalf("not all nodes know each other and have revision %d after 1 min", f.submitted)
	}
	f.Run(10 * time.Second)
}

// testingT contains the methods that testing.T and rapid.T have in common.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
	Errorf(format string, args ...any)
}

// acceptsKey reports whether the node accepts the key of a request. There is no
// backend server, so every request is eventually refused. A paused node does
// not accept the key.
func acceptsKey(m *nodetest.Member) bool {
	o := m.Send(nodetest.Request{Key: tradersKey, Service: "quotes"})
	if o.Refusal == nil {
		// The request waits for a token of its organisation's rate, so its key
		// was accepted.
		return !o.Done && !m.Paused()
	}
	return o.Refusal.Kind != coltsfootward.RefusalUnauthenticated && o.Refusal.Kind != coltsfootward.RefusalConfiguration
}

func (f *fleet) countAcceptingKey() int {
	count := 0
	for _, m := range f.members {
		if m.Alive() && acceptsKey(m) {
			count++
		}
	}
	return count
}

// confirmedDomains returns the failure domains that have confirmed the last
// revision and those that have not, as reported by m to an operator.
func (f *fleet) confirmedDomains(m *nodetest.Member) (confirmed, unconfirmed []coltsfootward.FailureDomain) {
	for _, d := range m.Node().WatchRevision(f.submitted) {
		if d.Revision >= f.submitted {
			confirmed = append(confirmed, d.Domain)
			continue
		}
		unconfirmed = append(unconfirmed, d.Domain)
	}
	return confirmed, unconfirmed
}

// Guards against overload of the platform. It serves a few thousand reads per second,
// which periodic reads by every node would exceed, so only a few nodes of each failure
// domain may poll it.
func TestOnlyFewNodesPollTable(t *testing.T) {
	f := newFleet(1, 3, 12)
	f.settle(t)
	before := *f.Table
	f.Run(20 * time.Second)
	slotReads, slotWrites := f.Table.SlotReads-before.SlotReads, f.Table.SlotWrites-before.SlotWrites
	reads, writes := f.Table.Reads-before.Reads-slotReads, f.Table.Writes-before.Writes-slotWrites
	if most := 3 * (3*20 + 4*3); reads > most || writes > 0 {
		t.Errorf("36 idle nodes for 20 s: got %d reads and %d writes, want at most %d and none", reads, writes, most)
	}
	// Each of the 12 slots has three watchers, including the holder. Each of
	// them reads the record every third of a 20 s term, so at most four times
	// in 20 s.
	if most := 12 * 4; slotReads > 3*most || slotWrites > most {
		t.Errorf("12 slots for 20 s: got %d reads and %d writes, want at most %d and %d", slotReads, slotWrites, 3*most, most)
	}
	began := f.Now()
	f.changeIdleRate()
	if !f.RunUntil(3*time.Second, func() bool { return f.upToDate() }) {
		t.Errorf("revision %d is not in force everywhere after 3 s", f.submitted)
	}
	t.Logf("in force at 36 nodes after %v, %d reads in 20 s", f.Now()-began, reads)
}

// An operator changes a rate during a network partition that isolates one
// failure domain, while an instance of another domain is dead. The isolated
// domain must be reported as unconfirmed, and the dead instance must not delay
// the confirmation.
func TestConfirmationDuringPartition(t *testing.T) {
	f := newFleet(2, 3, 4)
	f.settle(t)
	f.members[1].Kill()
	f.PartitionDomain("domain-2", true)
	f.Run(15 * time.Second)
	f.changeIdleRate()
	queried := f.members[3]
	othersConfirmed := func() bool {
		confirmed, _ := f.confirmedDomains(queried)
		return slices.Equal(confirmed, []coltsfootward.FailureDomain{"domain-0", "domain-1"})
	}
	if !f.RunUntil(10*time.Second, othersConfirmed) {
		t.Fatalf("got %v, want domain-0 and domain-1 confirmed", queried.Node().WatchRevision(f.submitted))
	}
	f.Run(20 * time.Second)
	if _, waiting := f.confirmedDomains(queried); !slices.Equal(waiting, []coltsfootward.FailureDomain{"domain-2"}) {
		t.Errorf("got %v unconfirmed, want domain-2 alone", waiting)
	}
	f.HealDomain("domain-2")
	healed := f.Now()
	if !f.RunUntil(13*time.Second, func() bool { confirmed, _ := f.confirmedDomains(queried); return len(confirmed) == 3 }) {
		t.Errorf("got %v 13 s after the partition, want all confirmed", queried.Node().WatchRevision(f.submitted))
	}
	t.Logf("confirmed everywhere %v after the partition", f.Now()-healed)
}

// Guards against a change that is reported as in force although a member lacks it. The
// first member of a failure domain, its collector, confirms revisions for the domain.
// Just after a restart it knows no other member, and a confirmation based only on its
// own revision must not count.
func TestRestartedCollectorDoesNotConfirmForDomain(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, 2, 6)
		f.settle(t)
		outdated := f.members[9]
		for _, m := range f.members {
			if m != outdated {
				f.Partition(outdated.Instance.ID, m.Instance.ID)
			}
		}
		f.Table.SetInstancePartitioned(outdated.Instance.ID, true)
		f.changeIdleRate()
		for _, m := range f.members[6:] {
			if m != outdated {
				m.Kill()
				m.Restart()
			}
		}
		// After a little more than four seconds the failure domain may declare
		// the member gone.
		for range 400 {
			if confirmed, _ := f.confirmedDomains(f.members[0]); slices.Contains(confirmed, "domain-1") {
				t.Fatalf("domain-1 confirmed revision %d while %s has %d", f.submitted, outdated.Instance.ID, outdated.Node().Configuration().Revision())
			}
			f.Run(10 * time.Millisecond)
		}
	}
}

// An instance starts while the platform is unavailable. Without a configuration
// from its peers it would refuse every request until the platform returns. An
// outdated peer must not make it adopt an earlier revision.
func TestInstanceStartsDuringOutage(t *testing.T) {
	f := newFleet(4, 2, 4)
	f.settle(t)
	f.changeIdleRate()
	f.RunUntil(10*time.Second, func() bool { return f.upToDate() })
	f.Table.Outage = true
	fresh := f.members[5]
	fresh.Kill()
	f.Run(10 * time.Second)
	fresh.Restart()
	contacted := f.members[4].Instance
	options := node.Options{Self: nodetest.Instance("domain-1-new", "domain-1"), Domains: f.domains, Contacts: []coltsfootward.Instance{contacted}}
	f.members = append(f.members, f.Add(options))
	added := f.members[len(f.members)-1]
	if !f.RunUntil(10*time.Second, func() bool { return added.Node().Configuration().Revision() == f.submitted }) {
		t.Errorf("10 s after its start the instance has revision %d, want %d", added.Node().Configuration().Revision(), f.submitted)
	}
	if !acceptsKey(added) {
		t.Error("the new instance refuses a valid key")
	}
}

// An instance starts while the platform is unavailable, and its peers no longer
// have the oldest of several thousand changes. It must receive a full
// configuration from one of them.
func TestStartingInstanceReceivesSnapshot(t *testing.T) {
	f := newFleet(5, 1, 3)
	for range 2500 {
		f.submit(coltsfootward.Change{Service: &coltsfootward.Service{Name: coltsfootward.ServiceName(fmt.Sprintf("service-%d", f.submitted))}})
	}
	f.settle(t)
	f.Table.Outage = true
	options := node.Options{Self: nodetest.Instance("domain-0-new", "domain-0"), Domains: f.domains, Contacts: []coltsfootward.Instance{f.members[0].Instance}}
	added := f.Add(options)
	if !f.RunUntil(10*time.Second, func() bool { return added.Node().Configuration().Revision() == f.submitted }) {
		t.Fatalf("got revision %d, want %d", added.Node().Configuration().Revision(), f.submitted)
	}
	got, want := added.Node().Configuration(), f.members[0].Node().Configuration()
	if fmt.Sprint(got.Services(), got.Keys(), got.Organisations()) != fmt.Sprint(want.Services(), want.Keys(), want.Organisations()) {
		t.Error("the snapshot differs from the configuration that it was taken from")
	}
	if !slices.ContainsFunc(added.Records, func(r record.Record) bool { return r.Code == record.SnapshotInForce }) {
		t.Error("no snapshot was put in force, so the test did not exercise snapshots")
	}
}

// A key must be rejected at all nodes within seconds after an operator
// withdraws it, also while the platform takes 30 s for each response and
// the change itself therefore arrives late.
func TestWithdrawnKeyIsRejectedEverywhereWithinSeconds(t *testing.T) {
	for _, slow := range []time.Duration{0, 30 * time.Second} {
		t.Run(fmt.Sprintf("platform slower by %v", slow), func(t *testing.T) {
			f := newFleet(6, 3, 8)
			f.settle(t)
			if got := f.countAcceptingKey(); got != 24 {
				t.Fatalf("before the withdrawal: key accepted at %d nodes, want 24", got)
			}
			f.Table.ExtraDelay = slow
			began := f.Now()
			f.members[10].Node().WithdrawKey(tradersKey)
			f.After(slow, f.withdrawKey)
			if !f.RunUntil(5*time.Second, func() bool { return f.countAcceptingKey() == 0 }) {
				t.Fatalf("key still accepted at %d nodes after 5 s", f.countAcceptingKey())
			}
			t.Logf("key rejected everywhere after %v", f.Now()-began)
			for range 60 {
				f.Run(time.Second)
				if got := f.countAcceptingKey(); got != 0 {
					t.Fatalf("key accepted again at %d nodes after %v", got, f.Now()-began)
				}
			}
			if !f.upToDate() {
				t.Error("the withdrawal is not in force everywhere after 1 min")
			}
		})
	}
}

// While the platform is unavailable, no key can be withdrawn, so nodes that
// reach most failure domains accept keys during the whole outage, here an
// hour. An isolated failure domain cannot know whether a key was withdrawn and
// must reject all keys after the grace period, also after its nodes were
// suspended.
func TestOnlyIsolatedDomainRejectsKeysAfterGracePeriod(t *testing.T) {
	f := newFleet(7, 3, 2)
	f.settle(t)
	f.Table.Outage = true
	f.Run(time.Hour)
	if got := f.countAcceptingKey(); got != 6 {
		t.Fatalf("after an outage of 1 h: key accepted at %d nodes, want 6", got)
	}
	f.PartitionDomain("domain-1", true)
	f.Run(9 * time.Minute)
	if got := f.countAcceptingKey(); got != 6 {
		t.Errorf("within the grace period: key accepted at %d nodes, want 6", got)
	}
	f.Run(3 * time.Minute)
	if got := f.countAcceptingKey(); got != 4 || acceptsKey(f.members[2]) || acceptsKey(f.members[3]) {
		t.Errorf("after the grace period: key accepted at %d nodes, want 4, none of them isolated", got)
	}
	f.members[2].Kill()
	f.members[2].Restart()
	f.Run(30 * time.Second)
	if acceptsKey(f.members[2]) || f.members[2].Node().Configuration().Revision() != f.submitted {
		t.Errorf("restarted while isolated: accepts key %v at revision %d, want false at %d", acceptsKey(f.members[2]), f.members[2].Node().Configuration().Revision(), f.submitted)
	}
	f.HealDomain("domain-1")
	if !f.RunUntil(15*time.Second, func() bool { return f.countAcceptingKey() == 6 }) {
		t.Errorf("after the partition: key accepted at %d nodes, want 6", f.countAcceptingKey())
	}
	suspended := f.members[0]
	suspended.Suspend()
	f.Run(time.Hour)
	accepted := acceptsKeyOnResume(suspended)
	if accepted {
		t.Error("a node that was suspended for 1 h accepted a key before it received a message")
	}
}

// acceptsKeyOnResume reports whether a suspended node accepts a key if the
// request is the first event that it handles after it resumes.
func acceptsKeyOnResume(m *nodetest.Member) bool {
	o := m.Send(nodetest.Request{Key: tradersKey, Service: "quotes"})
	m.Resume()
	return o.Refusal == nil || o.Refusal.Kind != coltsfootward.RefusalConfiguration
}

// Nodes are killed, restarted and paused, failure domains are isolated, and the
// platform is unavailable or slow, while operators make changes and withdraw a
// key. During a run of a node its revision must not decrease, its configuration
// must equal the changes up to that revision, and it must not accept the key
// after rejecting it. After all faults have ended, all nodes must agree.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 2, 3)
		w := newRevisionChecker(f)
		for range rapid.IntRange(5, 20).Draw(t, "steps") {
			injectFault(t, f)
			f.Run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "milliseconds")) * time.Millisecond)
			w.check(t)
		}
		f.healAll()
		if !f.RunUntil(time.Minute, func() bool { w.check(t); return f.upToDate() }) {
			t.Fatalf("not all nodes have revision %d 1 min after the last fault", f.submitted)
		}
	})
}

func injectFault(t *rapid.T, f *fleet) {
	m := f.members[rapid.IntRange(0, len(f.members)-1).Draw(t, "member")]
	domain := f.domains[rapid.IntRange(0, len(f.domains)-1).Draw(t, "domain")]
	switch rapid.SampledFrom([]string{"change", "change", "withdraw", "reissue", "kill", "restart", "pause", "resume", "cut", "heal", "cut from table", "lossy links", "outage", "lose", "slow", "well"}).Draw(t, "step") {
	case "change":
		f.changeIdleRate()
	case "withdraw":
		f.withdrawKey()
	case "reissue":
		f.reissueKey()
	case "kill":
		m.Kill()
	case "restart":
		if !m.Alive() {
			m.Restart()
		}
	case "pause":
		m.Pause()
	case "resume":
		m.Resume()
	case "cut":
		f.PartitionDomain(domain, true)
	case "heal":
		f.HealDomain(domain)
	case "cut from table":
		f.Table.SetInstancePartitioned(m.Instance.ID, true)
	case "lossy links":
		f.DropMessage = func(_, _ coltsfootward.Instance) bool { return f.Source().IntN(2) == 0 }
	case "outage":
		f.Table.Outage = true
	case "lose":
		f.Table.LoseResponses = true
	case "slow":
		f.Table.ExtraDelay = 5 * time.Second
	case "well":
		f.restoreTable()
	}
}

func (f *fleet) restoreTable() {
	f.Table.Outage, f.Table.LoseResponses, f.Table.ExtraDelay = false, false, 0
}

func (f *fleet) healAll() {
	f.restoreTable()
	f.DropMessage = nil
	for _, domain := range f.domains {
		f.HealDomain(domain)
	}
	for _, m := range f.members {
		f.Table.SetInstancePartitioned(m.Instance.ID, false)
		m.Resume()
		if !m.Alive() {
			m.Restart()
		}
	}
}

// revisionChecker records the highest revision of each run of each node, and
// compares each node's configuration with a sequential replay of the changes.
type revisionChecker struct {
	fleet   *fleet
	highest map[coltsfootward.InstanceID]runRevision
}

type runRevision struct {
	incarnation coltsfootward.Incarnation
	revision    coltsfootward.Revision
}

func newRevisionChecker(f *fleet) *revisionChecker {
	return &revisionChecker{f, make(map[coltsfootward.InstanceID]runRevision)}
}

func (w *revisionChecker) check(t testingT) {
	t.Helper()
	for _, m := range w.fleet.members {
		if !m.Alive() {
			continue
		}
		c := m.Node().Configuration()
		id, run := m.Instance.ID, m.Instance.Incarnation
		if seen := w.highest[id]; seen.incarnation == run && c.Revision() < seen.revision {
			t.Fatalf("%s: revision decreased from %d to %d", id, seen.revision, c.Revision())
		}
		w.highest[id] = runRevision{run, c.Revision()}
		if c.Revision() > w.fleet.submitted {
			t.Fatalf("%s has revision %d, only %d are stored", id, c.Revision(), w.fleet.submitted)
		}
		want := w.replay(c.Revision())
		key, _ := c.Key(tradersKey)
		got := summary{withdrawn: key.Withdrawn}
		for i, name := range idleOrganisations {
			o, _ := c.Organisation(name)
			got.rates[i] = o.Rate.PerSecond
		}
		if got != want {
			t.Fatalf("%s at revision %d: got %+v, want %+v", id, c.Revision(), got, want)
		}
		if want.withdrawn && acceptsKey(m) {
			t.Fatalf("%s accepts a withdrawn key", id)
		}
	}
}

// summary contains the values of a configuration that the test compares: the rates of
// the idle organisations, and whether the key is withdrawn.
type summary struct {
	rates     [3]float64
	withdrawn bool
}

// replay returns the summary after the first r changes.
func (w *revisionChecker) replay(r coltsfootward.Revision) summary {
	var o summary
	for _, change := range w.fleet.changes[:r] {
		if change.Organisation != nil {
			if i := slices.Index(idleOrganisations, change.Organisation.Name); i >= 0 {
				o.rates[i] = change.Organisation.Rate.PerSecond
			}
		}
		if change.Key != nil {
			o.withdrawn = o.withdrawn || change.Key.Withdrawn
		}
	}
	return o
}

// A page of an old snapshot arrives late, after newer changes. If the node put the
// snapshot in force, it would undo those changes.
func TestLatePageOfOldSnapshotIsIgnored(t *testing.T) {
	s := newTestNode(t)
	s.configure(coltsfootward.Rate{PerSecond: 1, Burst: 1})
	s.handle(node.MessageArrived{From: "north-2", Message: &message.ConfigurationPage{Revision: 2, Pages: 1}})
	if got := s.node.Configuration().Revision(); got != 3 {
		t.Errorf("got revision %d, want 3", got)
	}
}
