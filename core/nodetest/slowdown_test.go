package nodetest_test

import (
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/nodetest"
	"coltsfootward/core/record"
)

// newStatingRig returns a rig of four nodes in one domain whose backend servers state their load,
// under load for a second.
func newStatingRig(seed uint64) (*nodetest.Rig, []*nodetest.Member) {
	r, members := newRoutedRig(seed, 4, limitDocument(), "north")
	for _, m := range members {
		m.Announce("quotes", 40)
		m.Backend.StatesLoad = true
	}
	r.Run(time.Second)
	sendLoad(r, members, 400, time.Second)
	return r, members
}

// shareOf returns the share of the requests from the given time on that reached the server.
func shareOf(members []*nodetest.Member, m *nodetest.Member, from time.Duration) float64 {
	all := 0
	for _, other := range members {
		all += len(reached(other, from))
	}
	return float64(len(reached(m, from))) / float64(all)
}

func slowdownSeenBy(m *nodetest.Member, of coltsfootward.InstanceID) float64 {
	for _, server := range m.Node().Servers("quotes") {
		if server.Instance.ID == of {
			return server.Slowdown
		}
	}
	return 0
}

func count(m *nodetest.Member, code record.Code) int {
	n := 0
	for _, r := range m.Records {
		if r.Code == code {
			n++
		}
	}
	return n
}

// Guards against a slow server that gets its usual share although it states that it is slow, and
// against one that states so falsely, or keeps stating so, and gets less than a tenth of the share.
func TestStatedSlowdownShiftsRequests(t *testing.T) {
	for _, test := range []struct {
		name             string
		slowdown, stated float64
	}{{"slow", 2.5, 0}, {"false", 1, 2.5}, {"very false", 1, 100}, {"false and fast", 2.5, 0.1}} {
		t.Run(test.name, func(t *testing.T) {
			var shares [2]float64
			for i, states := range []bool{false, true} {
				r, members := newStatingRig(1)
				for _, m := range members {
					m.Backend.StatesLoad = states
				}
				r.Run(15 * time.Second) // by then, earlier statements have expired
				slow := members[1]
				slow.Backend.Slowdown, slow.Backend.StatedSlowdown = test.slowdown, test.stated
				from := r.Now()
				sendLoad(r, members, 800, 10*time.Second)
				shares[i] = shareOf(members, slow, from)
			}
			if usual, got := shares[0], shares[1]; got < usual/10 || got > 0.5 || test.name == "slow" && got > usual/2 {
				t.Errorf("got a share of %.4f, %.4f without statements; want a tenth of that to 0.5, and at most half of it if the server is slow", got, usual)
			}
			t.Logf("share %.4f, without statements %.4f", shares[1], shares[0])
		})
	}
}

// Guards against entry nodes that learn of a slowdown only with their own next response. A notice that
// is lost must be made up for by that response.
func TestNoticeTellsEntryNodes(t *testing.T) {
	for _, lost := range []bool{false, true} {
		r, members := newStatingRig(2)
		slow, entry := members[0], members[1]
		if lost {
			r.DropMessage = func(from, _ coltsfootward.Instance) bool { return from.ID == slow.Instance.ID }
		}
		slow.Backend.Slowdown = 2.5
		sendLoad(r, []*nodetest.Member{slow}, 100, 200*time.Millisecond)
		if got := slowdownSeenBy(entry, slow.Instance.ID); (got == 2.5) == lost {
			t.Errorf("notices lost: %t: the entry node sees a slowdown of %v", lost, got)
		}
		sendLoad(r, members, 400, time.Second)
		if got := slowdownSeenBy(entry, slow.Instance.ID); got != 2.5 {
			t.Errorf("notices lost: %t: the entry node sees a slowdown of %v after a second with requests, want 2.5", lost, got)
		}
		if !lost && (count(slow, record.BackendSlowdown) == 0 || count(entry, record.LoadNoticeReceived) == 0) {
			t.Error("the change of the slowdown was not recorded at both nodes")
		}
	}
}

// Guards against a server that has restarted, or whose node cannot be reached, and is judged by what it
// stated before.
func TestStatementEndsWithTheServer(t *testing.T) {
	r, members := newStatingRig(3)
	slow, entry := members[0], members[1]
	slow.AnnounceStart("1")
	slow.Backend.Slowdown = 4
	sendLoad(r, members, 400, time.Second)
	if got := slow.Node().StatedLoad().Slowdown; got != 4 {
		t.Fatalf("got a stated slowdown of %v, want 4", got)
	}
	slow.Backend.Slowdown = 1
	slow.AnnounceStart("2")
	if got := slow.Node().StatedLoad().Slowdown; got != 0 {
		t.Errorf("got a stated slowdown of %v after a restart, want none", got)
	}
	for _, m := range members[1:] {
		r.Partition(slow.Instance.ID, m.Instance.ID)
	}
	sent := r.Now()
	sendLoad(r, []*nodetest.Member{entry}, 200, 12*time.Second)
	if got := slowdownSeenBy(entry, slow.Instance.ID); got != 0 {
		t.Errorf("got a stated slowdown of %v %v after the node was cut off, want none", got, r.Now()-sent)
	}
}

// Guards against service times that are divided by the last stated slowdown after the server has
// ceased to state any, which makes the server look several times as fast as it is.
func TestStatementEndsWithoutFurtherOnes(t *testing.T) {
	r, members := newStatingRig(4)
	former, entry := members[0], members[1]
	former.Backend.Slowdown = 4
	sendLoad(r, members, 400, time.Second)
	former.Backend.Slowdown, former.Backend.StatesLoad = 1, false
	sendLoad(r, members, 400, 30*time.Second)
	if got := former.Node().StatedLoad().Slowdown; got != 0 {
		t.Errorf("got a stated slowdown of %v from 30 s ago, want none", got)
	}
	for _, server := range entry.Node().Servers("quotes") {
		if server.Instance.ID == former.Instance.ID && (server.Speed < 0.8 || server.Speed > 1.25) {
			t.Errorf("got a speed of %.2f, want that of the other servers", server.Speed)
		}
	}
}
