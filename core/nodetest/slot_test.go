package nodetest_test

import (
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/nodetest"
)

// smallRate is so low that the rate consists of a single part in one failure domain.
var smallRate = coltsfootward.Rate{PerSecond: 5, Burst: 5}

// sendSlowly sends one request every 400 ms through the live members in turn until the
// virtual time d, and returns the number of answered requests.
func sendSlowly(r *nodetest.Rig, members []*nodetest.Member, d time.Duration) int {
	var sent []*nodetest.Outcome
	for i := 0; r.Now() < d; i++ {
		if m := members[i%len(members)]; m.Alive() {
			sent = append(sent, get(m))
		}
		r.Run(400 * time.Millisecond)
	}
	answered := 0
	for _, o := range sent {
		if o.Answered {
			answered++
		}
	}
	return answered
}

// Guards against a small organisation being refused for a long time after the node that
// holds the only part of its rate was killed for good.
func TestPartOfKilledHolderIsTakenOver(t *testing.T) {
	document := routedDocument(1, smallRate, "quotes")
	for killed := range 8 {
		r, members := newRoutedRig(1, 4, document, "north", "south")
		members[killed].Kill()
		r.Run(8 * time.Second)
		from := r.Now()
		if answered := sendSlowly(r, members, from+4*time.Second); answered < 7 {
			t.Errorf("with %s killed: got %d answers in the 4 s from 8 s after the kill on, want at least 7", members[killed].Instance.ID, answered)
		}
	}
}

// Guards against an organisation being granted twice its burst after a partition: the
// holder of its part was unreachable, another node took over, and the first holder
// returns. The nodes' rosters may differ for one second, in which both holders may
// grant tokens.
func TestReturningHolderStartsWithEmptyBucket(t *testing.T) {
	document := routedDocument(1, smallRate, "quotes")
	for round := range 12 {
		partitioned := round % 4
		r, members := newRoutedRig(uint64(round), 4, document, "north")
		for _, other := range members {
			if other != members[partitioned] {
				r.Partition(members[partitioned].Instance.ID, other.Instance.ID)
			}
		}
		var sent []*nodetest.Outcome
		sendLoadFor := func(d time.Duration) {
			for until := r.Now() + d; r.Now() < until; {
				for _, m := range members {
					sent = append(sent, get(m))
				}
				r.Run(50 * time.Millisecond)
			}
		}
		sendLoadFor(12 * time.Second)
		for _, other := range members {
			r.Heal(members[partitioned].Instance.ID, other.Instance.ID)
		}
		healed := r.Now()
		sendLoadFor(5 * time.Second)
		r.Run(2 * time.Second)
		answered := 0
		for _, o := range sent {
			if o.Answered && o.Sent >= healed {
				answered++
			}
		}
		const observedSeconds, rosterLagSeconds = 5, 1
		bound := smallRate.Burst + int64((observedSeconds+rosterLagSeconds)*smallRate.PerSecond)
		if int64(answered) > bound {
			t.Errorf("with %s partitioned: got %d answers in the 5 s after the partition healed, want at most %d", members[partitioned].Instance.ID, answered, bound)
		}
	}
}
