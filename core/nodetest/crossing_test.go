package nodetest_test

import (
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/nodetest"
	"coltsfootward/core/record"
)

// crossedSince returns the fraction of the requests of the nodes of a domain since the
// given time that backend servers in other domains got.
func crossedSince(members []*nodetest.Member, from coltsfootward.FailureDomain, since time.Duration) float64 {
	all, crossed := 0, 0
	for _, m := range members {
		for _, run := range m.Backend.Runs {
			if run.From != from || run.Arrived < since {
				continue
			}
			all++
			if m.Instance.Domain != from {
				crossed++
			}
		}
	}
	return float64(crossed) / float64(max(all, 1))
}

func servedShare(outcomes []*nodetest.Outcome) float64 {
	served := 0
	for _, o := range outcomes {
		if o.Succeeded() {
			served++
		}
	}
	return float64(served) / float64(max(len(outcomes), 1))
}

// Guards against a domain that refuses requests while others have free slots, and against
// requests that go on crossing afterwards: half of the callers of two domains move to the
// third within an instant, and back.
func TestMovedCallersAreServedElsewhere(t *testing.T) {
	r, members := newCrossingRig(4, 30, "north", "south", "west")
	usual := map[coltsfootward.FailureDomain]float64{"north": 180, "south": 180, "west": 180}
	moved := map[coltsfootward.FailureDomain]float64{"north": 360, "south": 90, "west": 90}
	play(r, members, 3*time.Second, usual)
	if got := crossedSince(members, "north", 0); got > 0.02 {
		t.Errorf("%.3f of the requests cross while every domain has room, want none", got)
	}
	play(r, members, 3*time.Second, moved)
	begun := r.Now()
	sent := play(r, members, 4*time.Second, moved)
	r.Run(2 * time.Second)
	if got := servedShare(sent["north"]); got < 0.97 {
		t.Errorf("%.3f of the moved callers' requests are served, want 0.97: the other domains have room", got)
	}
	if got := crossedSince(members, "north", begun); got < 0.1 || got > 0.5 {
		t.Errorf("%.3f of the requests cross, want about the surplus, 0.25", got)
	}
	if got := crossedSince(members, "south", begun); got > 0 {
		t.Errorf("%.3f of the requests cross from a domain with room, want none", got)
	}
	play(r, members, 4*time.Second, usual)
	ended := r.Now()
	play(r, members, 2*time.Second, usual)
	if got := crossedSince(members, "north", ended); got > 0.02 {
		t.Errorf("%.3f of the requests cross 4 s after the callers returned, want none", got)
	}
	codes := make(map[record.Code]int)
	for _, entry := range members[0].Records {
		codes[entry.Code]++
	}
	if codes[record.CrossingBegan] == 0 || codes[record.CrossingEnded] == 0 || codes[record.CrossingBegan] > 10 {
		t.Errorf("got %d records of the begin and %d of the end of crossing, want at least one and at most ten", codes[record.CrossingBegan], codes[record.CrossingEnded])
	}
}

// Guards against requests that cross between domains which are equally full.
func TestNothingCrossesWithoutRoom(t *testing.T) {
	r, members := newCrossingRig(5, 30, "north", "south", "west")
	load := map[coltsfootward.FailureDomain]float64{"north": 450, "south": 450, "west": 450}
	play(r, members, 4*time.Second, load)
	begun := r.Now()
	play(r, members, 4*time.Second, load)
	for _, domain := range []coltsfootward.FailureDomain{"north", "south", "west"} {
		if got := crossedSince(members, domain, begun); got > 0.15 {
			t.Errorf("%.3f of the requests of %s cross, want at most 0.15", got, domain)
		}
	}
}

// Guards against a domain out of service, or cut off, whose requests or servers are
// lost to it for longer than the state lasts.
func TestCrossingFollowsTheDomainsState(t *testing.T) {
	r, members := newCrossingRig(6, 30, "north", "south")
	load := map[coltsfootward.FailureDomain]float64{"north": 100, "south": 100}
	play(r, members, 3*time.Second, load)
	for _, m := range members {
		m.ReadDomains(coltsfootward.OutOfService{Version: 1, Domains: []coltsfootward.FailureDomain{"north"}})
	}
	play(r, members, time.Second, load)
	begun := r.Now()
	sent := play(r, members, 2*time.Second, load)
	r.Run(time.Second)
	if got := crossedSince(members, "north", begun); got < 1 || servedShare(sent["north"]) < 0.97 {
		t.Errorf("%.3f of the requests of a domain out of service cross and %.3f are served, want 1 and 0.97", got, servedShare(sent["north"]))
	}
	for _, m := range members {
		m.ReadDomains(coltsfootward.OutOfService{Version: 2})
	}
	play(r, members, 5*time.Second, load)
	begun = r.Now()
	play(r, members, 2*time.Second, load)
	if got := crossedSince(members, "north", begun); got > 0.02 {
		t.Errorf("%.3f of the requests cross after the domain is in service again, want none", got)
	}
	r.PartitionDomain("south", true)
	play(r, members, 4*time.Second, load)
	cut := play(r, members, 2*time.Second, map[coltsfootward.FailureDomain]float64{"north": 240, "south": 100})
	r.Run(time.Second)
	if got := servedShare(cut["north"]); got < 0.97 {
		t.Errorf("%.3f of the requests on one side of a cut are served, want 0.97", got)
	}
}
