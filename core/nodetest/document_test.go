package nodetest_test

import (
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/nodetest"
)

// configurationBound is the time within which a change must be in force, as set for the
// nodes of newRoutedRig.
const configurationBound = 2 * time.Second

func outdated(members []*nodetest.Member, revision coltsfootward.Revision) int {
	count := 0
	for _, m := range members {
		if m.Node().Configuration().Revision() < revision {
			count++
		}
	}
	return count
}

// Guards against nodes that keep an outdated configuration because the platform has lost
// the long polls of all of them, at any moment and also after it was silent.
func TestChangeIsInForceWithoutLongPolls(t *testing.T) {
	rate := coltsfootward.Rate{PerSecond: 100, Burst: 100}
	for seed := range uint64(20) {
		r, members := newRoutedRig(seed, 4, routedDocument(1, rate, "quotes"), "north", "south", "west")
		r.Run(time.Duration(seed) * 137 * time.Millisecond)
		if seed%2 == 1 {
			r.Documents.Silent = true
			r.Run(4500 * time.Millisecond)
			r.Documents.Silent = false
		}
		r.Documents.Current = routedDocument(2, rate, "quotes")
		r.Run(configurationBound)
		if count := outdated(members, 2); count > 0 {
			t.Errorf("seed %d: %d of %d nodes have the old configuration %v after the change", seed, count, len(members), configurationBound)
		}
	}
}

// Guards against checks by all followers of the document at once: their number must not
// grow with the number of nodes and failure domains.
func TestFollowersShareChecks(t *testing.T) {
	const length = time.Minute
	rate := coltsfootward.Rate{PerSecond: 100, Burst: 100}
	for _, domains := range [][]coltsfootward.FailureDomain{{"north"}, {"north", "south", "west", "east", "centre", "coast"}} {
		r, _ := newRoutedRig(1, 10, routedDocument(1, rate, "quotes"), domains...)
		before := r.Documents.Checks
		r.Run(length)
		if checks := r.Documents.Checks - before; checks > int(2*length/time.Second) {
			t.Errorf("%d failure domains: got %d checks in %v, want at most two a second", len(domains), checks, length)
		}
	}
}

// Guards against changes that are missed because the node that usually checks the document
// gets no answers while its peers can reach it.
func TestFollowersReplaceOneWithoutAnswers(t *testing.T) {
	rate := coltsfootward.Rate{PerSecond: 100, Burst: 100}
	domains := []coltsfootward.FailureDomain{"north", "south", "west"}
	for first := range 4 {
		r, members := newRoutedRig(1, 4, routedDocument(1, rate, "quotes"), domains...)
		r.Documents.Unanswered = make(map[coltsfootward.InstanceID]bool)
		for i := range domains {
			r.Documents.Unanswered[members[4*i+first].Instance.ID] = true
		}
		r.Documents.Current = routedDocument(2, rate, "quotes")
		r.Run(configurationBound)
		if count := outdated(members, 2); count > 0 {
			t.Errorf("node %d of each domain without answers: %d of %d nodes have the old configuration %v after the change", first, count, len(members), configurationBound)
		}
	}
}

// Guards against a failure domain that relies on confirmations of domains from which it
// is partitioned.
func TestPartitionedDomainChecksDocument(t *testing.T) {
	rate := coltsfootward.Rate{PerSecond: 100, Burst: 100}
	r, members := newRoutedRig(1, 4, routedDocument(1, rate, "quotes"), "north", "south", "west")
	r.PartitionDomain("north", false)
	r.Run(time.Second)
	r.Documents.Current = routedDocument(2, rate, "quotes")
	r.Run(configurationBound)
	if count := outdated(members, 2); count > 0 {
		t.Errorf("%d of %d nodes have the old configuration %v after the change", count, len(members), configurationBound)
	}
}
