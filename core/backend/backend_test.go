package backend_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/backend"
)

var firstStart = time.UnixMilli(1_800_000_000_000)

// heartbeat returns a heartbeat of a server that started at the given offset
// from the first start.
func heartbeat(id string, offset time.Duration, sequence uint64, state coltsfootward.BackendState) coltsfootward.Heartbeat {
	return coltsfootward.Heartbeat{
		ID: id, Service: "quotes", Address: "10.0.0.1:80", Slots: 4,
		StartedAt: firstStart.Add(offset), Sequence: sequence, State: state,
	}
}

const (
	ready    = coltsfootward.BackendReady
	draining = coltsfootward.BackendDraining
	gone     = coltsfootward.BackendGone
)

func newTracker() *backend.Tracker {
	return &backend.Tracker{Service: "quotes", Address: "10.0.0.1:80"}
}

func expectVerdict(t *testing.T, tracker *backend.Tracker, h coltsfootward.Heartbeat, want backend.Verdict) {
	t.Helper()
	if got := tracker.Apply(h); got != want {
		t.Fatalf("heartbeat %+v: got %s, want %s", h, got, want)
	}
}

// A node is restarted beside a running backend server and finds it by a health
// check, which does not report when the server started. The server's next
// heartbeat has a start time. If it were rejected as another server's, so would
// be all later ones, until the server gave up its node.
func TestHeartbeatAfterHealthCheckIsAccepted(t *testing.T) {
	tracker := newTracker()
	if !tracker.Recover(coltsfootward.Heartbeat{ID: "a", Service: "quotes", Address: "10.0.0.1:80", Slots: 4, State: ready}) {
		t.Fatal("health check not accepted")
	}
	expectVerdict(t, tracker, heartbeat("a", 0, 7, ready), backend.VerdictAccepted)
	expectVerdict(t, tracker, heartbeat("a", 0, 8, draining), backend.VerdictAccepted)
}

// A backend server announces that it drains, and an earlier heartbeat arrives
// late. Accepting the delayed one would route requests to a server that is
// about to end.
func TestDelayedReadyDoesNotUndoDraining(t *testing.T) {
	tracker := newTracker()
	expectVerdict(t, tracker, heartbeat("a", 0, 5, ready), backend.VerdictAccepted)
	expectVerdict(t, tracker, heartbeat("a", 0, 7, draining), backend.VerdictAccepted)
	expectVerdict(t, tracker, heartbeat("a", 0, 6, ready), backend.VerdictStale)
	expectVerdict(t, tracker, heartbeat("a", 0, 8, ready), backend.VerdictStale)
	if h, _ := tracker.Current(); h.State != draining {
		t.Fatalf("state is %s, want draining", h.State)
	}
}

// A backend server crashes behind a network partition and another one starts at
// its address. When the partition heals, a heartbeat of the first server
// arrives, which has ended.
func TestEarlierStartIsForeign(t *testing.T) {
	tracker := newTracker()
	expectVerdict(t, tracker, heartbeat("a", 0, 5, ready), backend.VerdictAccepted)
	expectVerdict(t, tracker, heartbeat("b", 30*time.Second, 1, ready), backend.VerdictAccepted)
	expectVerdict(t, tracker, heartbeat("a", 0, 6, ready), backend.VerdictForeign)
	expectVerdict(t, tracker, heartbeat("a", 0, 7, gone), backend.VerdictStale)
	if h, _ := tracker.Current(); h.ID != "b" || h.State != ready {
		t.Fatalf("current is %+v, want b, ready", h)
	}
}

// A backend server restarts under its previous name. Its sequence numbers start
// over and must not count as stale.
func TestRestartUnderSameNameIsAccepted(t *testing.T) {
	tracker := newTracker()
	expectVerdict(t, tracker, heartbeat("a", 0, 90, ready), backend.VerdictAccepted)
	expectVerdict(t, tracker, heartbeat("a", time.Minute, 1, ready), backend.VerdictAccepted)
}

// A server that announces its end without draining first is gone, and a later
// heartbeat of the same start does not make it ready again.
func TestGoneIsFinal(t *testing.T) {
	tracker := newTracker()
	expectVerdict(t, tracker, heartbeat("a", 0, 5, ready), backend.VerdictAccepted)
	expectVerdict(t, tracker, heartbeat("a", 0, 6, gone), backend.VerdictAccepted)
	expectVerdict(t, tracker, heartbeat("a", 0, 7, ready), backend.VerdictStale)
	expectVerdict(t, tracker, heartbeat("b", time.Second, 1, ready), backend.VerdictAccepted)
}

// A heartbeat of another sender has a service or an address that does not match
// this node's backend server. It must not be accepted.
func TestForeignHeartbeatIsRejected(t *testing.T) {
	tracker := newTracker()
	h := heartbeat("a", 0, 1, ready)
	h.Service = "orders"
	expectVerdict(t, tracker, h, backend.VerdictForeign)
	h = heartbeat("a", 0, 1, ready)
	h.Address = "10.0.0.9:80"
	expectVerdict(t, tracker, h, backend.VerdictForeign)
	if _, known := tracker.Current(); known {
		t.Fatal("a foreign heartbeat was accepted")
	}
}

// A node is restarted and finds its backend server by a health check. The
// server announces its end without draining first, and the node acknowledges. A
// delayed "ready" arrives after that. Since the health check does not report
// when the server started, the delayed heartbeat could be mistaken for that of
// a new start, and requests would reach a server whose end has long been
// acknowledged.
func TestEndAfterHealthCheckIsFinal(t *testing.T) {
	for _, delayed := range []coltsfootward.Heartbeat{
		heartbeat("a", 0, 9, ready), heartbeat("a", 0, 7, ready), heartbeat("a", -time.Minute, 9, ready), heartbeat("a", 0, 10, draining),
	} {
		tracker := newTracker()
		if !tracker.Recover(coltsfootward.Heartbeat{ID: "a", Service: "quotes", Address: "10.0.0.1:80", Slots: 4, State: ready}) {
			t.Fatal("health check not accepted")
		}
		expectVerdict(t, tracker, heartbeat("a", 0, 8, gone), backend.VerdictAccepted)
		if got := tracker.Apply(delayed); got == backend.VerdictAccepted {
			t.Errorf("delayed %+v: got %s", delayed, got)
		}
		expectVerdict(t, tracker, heartbeat("a", time.Minute, 1, ready), backend.VerdictAccepted)
		if h, _ := tracker.Current(); h.State != ready {
			t.Errorf("after a new start: state is %s, want ready", h.State)
		}
	}
}

// A delayed "ready" of a server's earlier start arrives after a recovery by
// health check and is accepted, since nothing contradicts it. Then the present
// start announces its end. A delayed "ready" of that start must not be mistaken
// for a third start.
func TestEndOfUnknownLaterStart(t *testing.T) {
	tracker := newTracker()
	if !tracker.Recover(coltsfootward.Heartbeat{ID: "a", Service: "quotes", Address: "10.0.0.1:80", Slots: 4, State: ready}) {
		t.Fatal("health check not accepted")
	}
	expectVerdict(t, tracker, heartbeat("a", 0, 9, ready), backend.VerdictAccepted)
	expectVerdict(t, tracker, heartbeat("a", time.Minute, 4, gone), backend.VerdictAccepted)
	expectVerdict(t, tracker, heartbeat("a", time.Minute, 3, ready), backend.VerdictStale)
	expectVerdict(t, tracker, heartbeat("a", 2*time.Minute, 1, ready), backend.VerdictAccepted)
}

// Heartbeats of several starts of a server arrive in any order, at a node that
// has or has not recovered by a health check. Two things hold in all orders: a
// start whose end has been acknowledged never counts as ready again, and the
// first heartbeat of the newest start is accepted.
func TestEndIsFinalInAnyOrder(t *testing.T) {
	const starts, heartbeats = 3, 5
	for seed := range uint64(3000) {
		source := rand.New(rand.NewPCG(seed, 17))
		sameName := source.IntN(2) == 0
		var all []coltsfootward.Heartbeat
		for start := range starts {
			id := "a"
			if !sameName {
				id = string(rune('a' + start))
			}
			leavingFrom := source.IntN(heartbeats)
			for sequence := range heartbeats {
				state := ready
				if sequence >= leavingFrom {
					state = []coltsfootward.BackendState{draining, gone}[source.IntN(2)]
				}
				all = append(all, heartbeat(id, time.Duration(start)*time.Minute, uint64(sequence+1), state))
			}
		}
		source.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		tracker := newTracker()
		if source.IntN(2) == 0 {
			tracker.Recover(coltsfootward.Heartbeat{ID: all[0].ID, Service: "quotes", Address: "10.0.0.1:80", Slots: 4, State: ready})
		}
		var latestLeaving, newest time.Time
		for i, h := range all {
			_, wasKnown := tracker.Current()
			verdict := tracker.Apply(h)
			if h.State == ready && h.StartedAt.After(newest) && verdict != backend.VerdictAccepted {
				t.Fatalf("seed %d, heartbeat %d: the newest start's %+v got %s", seed, i, h, verdict)
			}
			newest = latest(newest, h.StartedAt)
			if verdict != backend.VerdictForeign && h.State != ready {
				latestLeaving = latest(latestLeaving, h.StartedAt)
			}
			current, known := tracker.Current()
			if wasKnown && !known {
				t.Fatalf("seed %d, heartbeat %d: the server is no longer known", seed, i)
			}
			if current.State == ready && !current.StartedAt.IsZero() && !current.StartedAt.After(latestLeaving) {
				t.Fatalf("seed %d, heartbeat %d: %+v made a server ready that had announced that it leaves", seed, i, h)
			}
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
