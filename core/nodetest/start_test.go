package nodetest_test

import (
	"fmt"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"
)

// startDomains are the failure domains of a fleet that starts.
var startDomains = []coltsfootward.FailureDomain{"east", "north", "south", "west"}

// nodesPerStartDomain is the number of nodes in each domain.
const nodesPerStartDomain = 12

// documentStore is a fake of the platform's storage of the configuration document. It
// serves each node as the node's DocumentTask demands, and counts the calls.
type documentStore struct {
	document       coltsfootward.Configuration
	reads, follows int
	// unavailableTo selects the nodes whose calls fail; nil means that none do.
	unavailableTo func(m *nodetest.Member) bool
}

// serve performs the current document task of each live node once. following holds the
// latest revision that each following node has received.
func (s *documentStore) serve(members []*nodetest.Member, following map[*nodetest.Member]coltsfootward.Revision) {
	for _, m := range members {
		if !m.Alive() || s.unavailableTo != nil && s.unavailableTo(m) {
			continue
		}
		switch m.Node().DocumentTask() {
		case node.DocumentRead:
			s.reads++
			m.ReadConfiguration(s.document)
		case node.DocumentFollow:
			if seen, ok := following[m]; !ok || seen < s.document.Revision() {
				s.follows++
				following[m] = s.document.Revision()
				m.ReadConfiguration(s.document)
			}
		}
	}
}

func newStart(seed uint64) (*nodetest.Rig, []*nodetest.Member) {
	r := nodetest.New(seed)
	var members []*nodetest.Member
	for _, domain := range startDomains {
		for i := range nodesPerStartDomain {
			id := coltsfootward.InstanceID(fmt.Sprintf("%s-%02d", domain, i))
			members = append(members, r.Add(node.Options{Self: nodetest.Instance(id, domain), Domains: startDomains, Routed: true}))
		}
	}
	return r, members
}

func restartAll(r *nodetest.Rig, members []*nodetest.Member) {
	for _, m := range members {
		m.Kill()
	}
	r.Run(time.Second)
	for _, m := range members {
		m.Restart()
	}
}

func withoutDocument(members []*nodetest.Member) int {
	without := 0
	for _, m := range members {
		if m.Node().Configuration().Revision() == 0 {
			without++
		}
	}
	return without
}

// Guards against several calls to the platform per node, each of which is charged, when
// a whole fleet restarts.
func TestFleetRestartLimitsPlatformCalls(t *testing.T) {
	for seed := range uint64(3) {
		r, members := newStart(seed)
		r.Run(10 * time.Second)
		table := r.Table
		reads, writes := table.Reads, table.Writes
		store := &documentStore{document: routedDocument(3, coltsfootward.Rate{PerSecond: 10, Burst: 10}, "quotes")}
		following := make(map[*nodetest.Member]coltsfootward.Revision)
		restartAll(r, members)
		for range 100 {
			r.Run(100 * time.Millisecond)
			store.serve(members, following)
		}
		if without := withoutDocument(members); without > 0 {
			t.Errorf("seed %d: %d of %d nodes have no document 10 s after the restart", seed, without, len(members))
		}
		calls := table.Reads - reads + table.Writes - writes + store.reads + store.follows
		if calls > 2*len(members) {
			t.Errorf("seed %d: %d calls for %d nodes (%d reads of contacts, %d writes, %d reads of the document, %d follow the document), want at most two per node",
				seed, calls, len(members), table.Reads-reads, table.Writes-writes, store.reads, store.follows)
		}
	}
}

// Guards against nodes that keep calling the platform for the document while it is
// unavailable, and against nodes that wait long after it has returned.
func TestStartWhilePlatformIsUnavailable(t *testing.T) {
	const outage = 5 * time.Second
	r, members := newStart(1)
	r.Run(10 * time.Second)
	store := &documentStore{document: routedDocument(3, coltsfootward.Rate{PerSecond: 10, Burst: 10}, "quotes")}
	following := make(map[*nodetest.Member]coltsfootward.Revision)
	r.Table.Outage = true
	restartAll(r, members)
	outageEnd := r.Now() + outage
	store.unavailableTo = func(*nodetest.Member) bool { return r.Now() < outageEnd }
	requests := 0
	for r.Now() < outageEnd {
		r.Run(100 * time.Millisecond)
		for _, m := range members {
			if task := m.Node().DocumentTask(); task == node.DocumentRead || task == node.DocumentFollow {
				requests++
			}
		}
	}
	if requests > 0 {
		t.Errorf("nodes requested the document %d times although the platform did not even return the contacts", requests)
	}
	r.Table.Outage = false
	for range 40 {
		r.Run(100 * time.Millisecond)
		store.serve(members, following)
	}
	if without := withoutDocument(members); without > 0 {
		t.Errorf("%d of %d nodes have no document 4 s after the platform returned", without, len(members))
	}
}

// Guards against a whole failure domain missing a configuration change because the
// platform is unavailable to the domain's nodes that follow the document.
func TestChangeReachesDomainWithoutPlatformAccess(t *testing.T) {
	r, members := newStart(2)
	store := &documentStore{document: routedDocument(3, coltsfootward.Rate{PerSecond: 10, Burst: 10}, "quotes")}
	following := make(map[*nodetest.Member]coltsfootward.Revision)
	for range 100 {
		r.Run(100 * time.Millisecond)
		store.serve(members, following)
	}
	store.unavailableTo = func(m *nodetest.Member) bool { return m.Instance.Domain == "east" }
	store.document = routedDocument(4, coltsfootward.Rate{PerSecond: 20, Burst: 20}, "quotes")
	for range 20 {
		r.Run(100 * time.Millisecond)
		store.serve(members, following)
	}
	for _, m := range members {
		if got := m.Node().Configuration().Revision(); got != 4 {
			t.Errorf("%s has revision %v 2 s after the change, want 4", m.Instance.ID, got)
		}
	}
}
