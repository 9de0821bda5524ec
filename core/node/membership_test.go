package node_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"
	"coltsfootward/core/record"
)

// An operator stops a node. The other nodes must learn of it within seconds and
// must not report it as failed, since that would log a warning for every
// planned stop.
func TestPlannedStopIsNotReportedAsFailure(t *testing.T) {
	f := newFleet(1, 2, 5)
	f.settle(t)
	leaving := f.members[3]
	leaving.Announce("quotes", 4)
	f.Run(3 * time.Second)
	leaving.Drain()
	f.Run(3 * time.Second)
	for _, m := range f.members {
		for _, u := range m.Node().Status().Upstreams {
			if u.Announcement.Instance.ID == leaving.Instance.ID && !u.Announcement.Draining {
				t.Errorf("%s does not know after 3 s that %s drains", m.Instance.ID, leaving.Instance.ID)
			}
		}
	}
	if !leaving.Drained {
		t.Fatal("a node without requests in progress has not drained")
	}
	leaving.Kill()
	f.Run(30 * time.Second)
	for _, m := range f.members {
		for _, r := range m.Records {
			if r.Code == record.MemberSuspected || r.Code == record.MemberGone {
				t.Errorf("%s reported %s %v", m.Instance.ID, r.Name, r.Fields)
			}
		}
	}
}

// All instances of a deployment were replaced while none was running. The new
// ones have other names and addresses, and the table contains only the old
// ones. The new instances must find each other nevertheless.
func TestNodesFindEachOtherDespiteStaleContacts(t *testing.T) {
	f := newFleet(2, 2, 6)
	f.settle(t)
	for _, m := range f.members {
		m.Kill()
	}
	f.members = nil
	for _, domain := range f.domains {
		for i := range 6 {
			id := coltsfootward.InstanceID(fmt.Sprintf("%s-new-%d", domain, i))
			f.members = append(f.members, f.Add(node.Options{Self: nodetest.Instance(id, domain), Domains: f.domains}))
		}
	}
	f.settle(t)
}

// An instance is replaced by one with the same name at another address while
// its failure domain still considers the earlier run alive. Requests must go to
// the new address.
func TestReplacedInstanceIsReachedAtNewAddress(t *testing.T) {
	f := newFleet(3, 2, 4)
	f.settle(t)
	old := f.members[2]
	old.Announce("quotes", 4)
	f.Run(3 * time.Second)
	old.Kill()
	self := old.Instance
	self.Address, self.Incarnation = "elsewhere:1", 1
	replaced := f.Add(node.Options{Self: self, Domains: f.domains})
	replaced.Kill()
	replaced.Restart()
	replaced.Announce("quotes", 8)
	knowsNewAddress := func(m *nodetest.Member) bool {
		return slices.ContainsFunc(m.Node().Status().Upstreams, func(u node.UpstreamStatus) bool {
			return u.Announcement.Instance.Address == "elsewhere:1" && u.Announcement.Slots == 8
		})
	}
	if !f.RunUntil(10*time.Second, func() bool {
		return !slices.ContainsFunc(f.members, func(m *nodetest.Member) bool { return m.Alive() && !knowsNewAddress(m) })
	}) {
		t.Error("the new address is not known everywhere after 10 s")
	}
}
