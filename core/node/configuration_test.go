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

// fleet is a rig with the same number of nodes in each of some domains, one
// organisation with a key and one service.
type fleet struct {
	*nodetest.Rig
	domains []coltsfootward.FailureDomain
	members []*nodetest.Member
	changes []coltsfootward.Change
	// submitted is the last revision that an operator stored.
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

// others are organisations that send nothing.
var others = []coltsfootward.OrganisationName{"other-0", "other-1", "other-2"}

// another changes the rate of one of the others.
func (f *fleet) another() {
	name := others[int(f.submitted)%len(others)]
	f.submit(coltsfootward.Change{Organisation: &coltsfootward.Organisation{Name: name, Rate: coltsfootward.Rate{PerSecond: float64(f.submitted), Burst: 1}}})
}

// reissue tries to make a withdrawn key good again.
func (f *fleet) reissue() {
	f.submit(coltsfootward.Change{Key: &coltsfootward.Key{ID: "k", Digest: tradersKey, Organisation: "traders"}})
}

func (f *fleet) withdraw() {
	f.submit(coltsfootward.Change{Key: &coltsfootward.Key{ID: "k", Digest: tradersKey, Organisation: "traders", Withdrawn: true}})
}

// current reports whether all living members, or those of one domain, have the
// last revision in force.
func (f *fleet) current(domains ...coltsfootward.FailureDomain) bool {
	for _, m := range f.members {
		counts := len(domains) == 0 || slices.Contains(domains, m.Instance.Domain)
		if m.Alive() && counts && m.Node().Configuration().Revision() != f.submitted {
			return false
		}
	}
	return true
}

// settle lets all members learn of each other and of the configuration.
func (f *fleet) settle(t require) {
	t.Helper()
	settled := func() bool {
		for _, m := range f.members {
			if len(m.Node().Status().Peers) != len(f.members)-1 {
				return false
			}
		}
		return f.current()
	}
	if !f.RunUntil(time.Minute, settled) {
		t.Fatalf("nodes do not know each other and revision %d after a minute", f.submitted)
	}
	f.Run(10 * time.Second)
}

// require is what testing.T and rapid.T share.
type require interface {
	Helper()
	Fatalf(format string, args ...any)
	Errorf(format string, args ...any)
}

// honours reports whether the node lets a request with the key pass its check
// of keys. There is no backend server, so that every request is refused in the
// end; a paused node says nothing.
func honours(m *nodetest.Member) bool {
	o := m.Send(nodetest.Request{Key: tradersKey, Service: "quotes"})
	if o.Refusal == nil {
		// It waits for a token of its organisation's rate, so its key was good.
		return !o.Done && !m.Paused()
	}
	return o.Refusal.Kind != coltsfootward.RefusalUnauthenticated && o.Refusal.Kind != coltsfootward.RefusalConfiguration
}

func (f *fleet) honouring() int {
	count := 0
	for _, m := range f.members {
		if m.Alive() && honours(m) {
			count++
		}
	}
	return count
}

// inForce returns the domains that have confirmed the last revision as a node
// that an operator asked sees it.
func (f *fleet) inForce(m *nodetest.Member) (confirmed, waiting []coltsfootward.FailureDomain) {
	for _, d := range m.Node().InForce(f.submitted) {
		if d.Revision >= f.submitted {
			confirmed = append(confirmed, d.Domain)
			continue
		}
		waiting = append(waiting, d.Domain)
	}
	return confirmed, waiting
}

// Operators change a rate. Only a few nodes of each domain read the platform,
// which serves some thousand reads a second and not one per node.
func TestFewNodesReadTheTable(t *testing.T) {
	f := newFleet(1, 3, 12)
	f.settle(t)
	before := *f.Table
	f.Run(20 * time.Second)
	slotReads, slotWrites := f.Table.SlotReads-before.SlotReads, f.Table.SlotWrites-before.SlotWrites
	reads, writes := f.Table.Reads-before.Reads-slotReads, f.Table.Writes-before.Writes-slotWrites
	if most := 3 * (3*20 + 4*3); reads > most || writes > 0 {
		t.Errorf("36 nodes at rest for 20 s: got %d reads and %d writes, want at most %d and none", reads, writes, most)
	}
	// Each of the 12 slots has three watchers, the holder among them, that look
	// every third of a term of 20 s: four times at most in 20 s.
	if most := 12 * 4; slotReads > 3*most || slotWrites > most {
		t.Errorf("12 slots for 20 s: got %d reads and %d writes, want at most %d and %d", slotReads, slotWrites, 3*most, most)
	}
	began := f.Now()
	f.another()
	if !f.RunUntil(3*time.Second, func() bool { return f.current() }) {
		t.Errorf("revision %d is not in force everywhere after 3 s", f.submitted)
	}
	t.Logf("in force at 36 nodes after %v, %d reads in 20 s", f.Now()-began, reads)
}

// An operator changes a rate while one domain is cut off from all else, and
// while an instance of another domain is dead. The operator must see the cut
// domain as waiting and must not wait for the dead instance.
func TestOperatorLearnsWhereAChangeIsInForce(t *testing.T) {
	f := newFleet(2, 3, 4)
	f.settle(t)
	f.members[1].Kill()
	f.CutDomain("domain-2", true)
	f.Run(15 * time.Second)
	f.another()
	asked := f.members[3]
	connected := func() bool {
		confirmed, _ := f.inForce(asked)
		return slices.Equal(confirmed, []coltsfootward.FailureDomain{"domain-0", "domain-1"})
	}
	if !f.RunUntil(10*time.Second, connected) {
		t.Fatalf("got %v, want domain-0 and domain-1 confirmed", asked.Node().InForce(f.submitted))
	}
	f.Run(20 * time.Second)
	if _, waiting := f.inForce(asked); !slices.Equal(waiting, []coltsfootward.FailureDomain{"domain-2"}) {
		t.Errorf("got %v waiting, want domain-2 alone", waiting)
	}
	f.HealDomain("domain-2")
	healed := f.Now()
	if !f.RunUntil(13*time.Second, func() bool { confirmed, _ := f.inForce(asked); return len(confirmed) == 3 }) {
		t.Errorf("got %v 13 s after the cut, want all confirmed", asked.Node().InForce(f.submitted))
	}
	t.Logf("confirmed everywhere %v after the cut", f.Now()-healed)
}

// The first member of a domain is the one that is asked how far the domain is.
// Restarted, it knows nobody for a moment; by its own word alone the change
// would count as in force while another member does not have it yet.
func TestRestartedCollectorSpeaksForNobodyElse(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, 2, 6)
		f.settle(t)
		behind := f.members[9]
		for _, m := range f.members {
			if m != behind {
				f.Cut(behind.Instance.ID, m.Instance.ID)
			}
		}
		f.Table.CutInstance(behind.Instance.ID, true)
		f.another()
		for _, m := range f.members[6:] {
			if m != behind {
				m.Kill()
				m.Restart()
			}
		}
		// After four seconds and more the domain may declare the member gone.
		for range 400 {
			if confirmed, _ := f.inForce(f.members[0]); slices.Contains(confirmed, "domain-1") {
				t.Fatalf("domain-1 confirmed revision %d while %s has %d", f.submitted, behind.Instance.ID, behind.Node().Configuration().Revision())
			}
			f.Run(10 * time.Millisecond)
		}
	}
}

// An instance starts while the platform is away. Without its peers it would
// refuse every request until the platform is back; with an old peer's word it
// would go back to an earlier configuration.
func TestFreshInstanceDuringAnOutage(t *testing.T) {
	f := newFleet(4, 2, 4)
	f.settle(t)
	f.another()
	f.RunUntil(10*time.Second, func() bool { return f.current() })
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
	if !honours(added) {
		t.Error("the fresh instance refuses a good key")
	}
}

// An instance starts during an outage and its peers have dropped the oldest of
// thousands of changes. It has to take a whole configuration from one of them.
func TestFreshInstanceTakesASnapshot(t *testing.T) {
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
		t.Error("the snapshot differs from the configuration that it was taken of")
	}
	if !slices.ContainsFunc(added.Records, func(r record.Record) bool { return r.Code == record.SnapshotInForce }) {
		t.Error("no snapshot was taken: the test does not show what it is for")
	}
}

// A caller stays connected and goes on calling with a key that an operator
// withdraws, first with the platform well, then while the platform takes half a
// minute for each answer, so that the change itself comes late.
func TestWithdrawnKeyStopsEverywhereWithinSeconds(t *testing.T) {
	for _, slow := range []time.Duration{0, 30 * time.Second} {
		t.Run(fmt.Sprintf("platform slower by %v", slow), func(t *testing.T) {
			f := newFleet(6, 3, 8)
			f.settle(t)
			if got := f.honouring(); got != 24 {
				t.Fatalf("before: honoured at %d nodes, want 24", got)
			}
			f.Table.Slow = slow
			began := f.Now()
			f.members[10].Node().WithdrawKey(tradersKey)
			f.After(slow, f.withdraw)
			if !f.RunUntil(5*time.Second, func() bool { return f.honouring() == 0 }) {
				t.Fatalf("still honoured at %d nodes after 5 s", f.honouring())
			}
			t.Logf("honoured nowhere after %v", f.Now()-began)
			for range 60 {
				f.Run(time.Second)
				if got := f.honouring(); got != 0 {
					t.Fatalf("honoured again at %d nodes after %v", got, f.Now()-began)
				}
			}
			if !f.current() {
				t.Error("the withdrawal is not in force everywhere after a minute")
			}
		})
	}
}

// The platform is away for an hour while all domains hear each other: keys go
// on working, since nobody could withdraw one. A domain cut off from all else
// cannot tell, and must stop when its grace is over, also if it slept.
func TestKeysStopAfterGraceBehindACutOnly(t *testing.T) {
	f := newFleet(7, 3, 2)
	f.settle(t)
	f.Table.Outage = true
	f.Run(time.Hour)
	if got := f.honouring(); got != 6 {
		t.Fatalf("an hour into the outage: honoured at %d nodes, want 6", got)
	}
	f.CutDomain("domain-1", true)
	f.Run(9 * time.Minute)
	if got := f.honouring(); got != 6 {
		t.Errorf("within the grace: honoured at %d nodes, want 6", got)
	}
	f.Run(3 * time.Minute)
	if got := f.honouring(); got != 4 || honours(f.members[2]) || honours(f.members[3]) {
		t.Errorf("after the grace: honoured at %d nodes, want 4, all outside the cut", got)
	}
	f.members[2].Kill()
	f.members[2].Restart()
	f.Run(30 * time.Second)
	if honours(f.members[2]) || f.members[2].Node().Configuration().Revision() != f.submitted {
		t.Errorf("restarted behind the cut: honours %v at revision %d, want false at %d", honours(f.members[2]), f.members[2].Node().Configuration().Revision(), f.submitted)
	}
	f.HealDomain("domain-1")
	if !f.RunUntil(15*time.Second, func() bool { return f.honouring() == 6 }) {
		t.Errorf("after the cut: honoured at %d nodes, want 6", f.honouring())
	}
	slept := f.members[0]
	slept.Suspend()
	f.Run(time.Hour)
	woke := honoursOnWaking(slept)
	if woke {
		t.Error("a node that slept for an hour honoured a key before it heard of anybody")
	}
}

// honoursOnWaking sends a request that is the first thing a node handles.
func honoursOnWaking(m *nodetest.Member) bool {
	o := m.Send(nodetest.Request{Key: tradersKey, Service: "quotes"})
	m.Resume()
	return o.Refusal == nil || o.Refusal.Kind != coltsfootward.RefusalConfiguration
}

// Nodes are killed, restarted and paused, domains cut off and the platform lost
// or slow, while operators change things and withdraw a key. No run of a node
// may ever go back, show anything but the changes up to its revision, or honour
// the key once it refused it; and when all is well again, all agree.
func TestNoRevisionEverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 2, 3)
		w := newWatcher(f)
		for range rapid.IntRange(5, 20).Draw(t, "steps") {
			disturb(t, f)
			f.Run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "milliseconds")) * time.Millisecond)
			w.check(t)
		}
		f.calm()
		if !f.RunUntil(time.Minute, func() bool { w.check(t); return f.current() }) {
			t.Fatalf("a minute after the last disturbance not all nodes have revision %d", f.submitted)
		}
	})
}

func disturb(t *rapid.T, f *fleet) {
	m := f.members[rapid.IntRange(0, len(f.members)-1).Draw(t, "member")]
	domain := f.domains[rapid.IntRange(0, len(f.domains)-1).Draw(t, "domain")]
	switch rapid.SampledFrom([]string{"change", "change", "withdraw", "reissue", "kill", "restart", "pause", "resume", "cut", "heal", "cut from table", "lossy links", "outage", "lose", "slow", "well"}).Draw(t, "step") {
	case "change":
		f.another()
	case "withdraw":
		f.withdraw()
	case "reissue":
		f.reissue()
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
		f.CutDomain(domain, true)
	case "heal":
		f.HealDomain(domain)
	case "cut from table":
		f.Table.CutInstance(m.Instance.ID, true)
	case "lossy links":
		f.DropMessage = func(_, _ coltsfootward.Instance) bool { return f.Source().IntN(2) == 0 }
	case "outage":
		f.Table.Outage = true
	case "lose":
		f.Table.LoseAnswers = true
	case "slow":
		f.Table.Slow = 5 * time.Second
	case "well":
		f.well()
	}
}

func (f *fleet) well() {
	f.Table.Outage, f.Table.LoseAnswers, f.Table.Slow = false, false, 0
}

func (f *fleet) calm() {
	f.well()
	f.DropMessage = nil
	for _, domain := range f.domains {
		f.HealDomain(domain)
	}
	for _, m := range f.members {
		f.Table.CutInstance(m.Instance.ID, false)
		m.Resume()
		if !m.Alive() {
			m.Restart()
		}
	}
}

// watcher remembers the highest revision of each run of each node, and compares
// each with a naive replay of all changes.
type watcher struct {
	fleet   *fleet
	highest map[coltsfootward.InstanceID]runRevision
}

type runRevision struct {
	incarnation coltsfootward.Incarnation
	revision    coltsfootward.Revision
}

func newWatcher(f *fleet) *watcher {
	return &watcher{f, make(map[coltsfootward.InstanceID]runRevision)}
}

func (w *watcher) check(t require) {
	t.Helper()
	for _, m := range w.fleet.members {
		if !m.Alive() {
			continue
		}
		c := m.Node().Configuration()
		id, run := m.Instance.ID, m.Instance.Incarnation
		if seen := w.highest[id]; seen.incarnation == run && c.Revision() < seen.revision {
			t.Fatalf("%s went from revision %d back to %d", id, seen.revision, c.Revision())
		}
		w.highest[id] = runRevision{run, c.Revision()}
		if c.Revision() > w.fleet.submitted {
			t.Fatalf("%s has revision %d, only %d are stored", id, c.Revision(), w.fleet.submitted)
		}
		want := w.replay(c.Revision())
		key, _ := c.Key(tradersKey)
		got := outline{withdrawn: key.Withdrawn}
		for i, name := range others {
			o, _ := c.Organisation(name)
			got.rates[i] = o.Rate.PerSecond
		}
		if got != want {
			t.Fatalf("%s at revision %d: got %+v, want %+v", id, c.Revision(), got, want)
		}
		if want.withdrawn && honours(m) {
			t.Fatalf("%s honours a withdrawn key", id)
		}
	}
}

// outline is what the property compares of a configuration.
type outline struct {
	rates     [3]float64
	withdrawn bool
}

// replay returns what the first changes amount to, one after the other.
func (w *watcher) replay(r coltsfootward.Revision) outline {
	var o outline
	for _, change := range w.fleet.changes[:r] {
		if change.Organisation != nil {
			if i := slices.Index(others, change.Organisation.Name); i >= 0 {
				o.rates[i] = change.Organisation.Rate.PerSecond
			}
		}
		if change.Key != nil {
			o.withdrawn = o.withdrawn || change.Key.Withdrawn
		}
	}
	return o
}

// A page of an old snapshot was long under way and arrives after newer changes.
// Put in force, it would bring back what operators have changed since.
func TestLatePageOfAnOldSnapshotChangesNothing(t *testing.T) {
	s := newSingle(t)
	s.configure(coltsfootward.Rate{PerSecond: 1, Burst: 1})
	s.handle(node.MessageArrived{From: "north-2", Message: &message.ConfigurationPage{Revision: 2, Pages: 1}})
	if got := s.node.Configuration().Revision(); got != 3 {
		t.Errorf("got revision %d, want 3", got)
	}
}
