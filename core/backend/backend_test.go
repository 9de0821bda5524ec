package backend_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/backend"
)

var started = time.UnixMilli(1_800_000_000_000)

// beat returns a heartbeat of the start at d after the first one.
func beat(id string, d time.Duration, sequence uint64, state coltsfootward.BackendState) coltsfootward.Heartbeat {
	return coltsfootward.Heartbeat{
		ID: id, Service: "quotes", Address: "10.0.0.1:80", Slots: 4,
		StartedAt: started.Add(d), Sequence: sequence, State: state,
	}
}

const (
	ready    = coltsfootward.BackendReady
	draining = coltsfootward.BackendDraining
	gone     = coltsfootward.BackendGone
)

func newMachine() *backend.Machine {
	return &backend.Machine{Service: "quotes", Address: "10.0.0.1:80"}
}

func expect(t *testing.T, m *backend.Machine, h coltsfootward.Heartbeat, want backend.Verdict) {
	t.Helper()
	if got := m.Take(h); got != want {
		t.Fatalf("heartbeat %+v: got %s, want %s", h, got, want)
	}
}

// A node is killed and started again beside a running backend server. It finds
// the server by a health check, which does not tell when the server started.
// The server's next heartbeat has a start: taken for another server's, it was
// refused, and so were all after it, until the server gave up its node.
func TestHeartbeatAfterRecoveryIsTaken(t *testing.T) {
	m := newMachine()
	if !m.Recover(coltsfootward.Heartbeat{ID: "a", Service: "quotes", Address: "10.0.0.1:80", Slots: 4, State: ready}) {
		t.Fatal("health check not taken")
	}
	expect(t, m, beat("a", 0, 7, ready), backend.VerdictTaken)
	expect(t, m, beat("a", 0, 8, draining), backend.VerdictTaken)
}

// A backend server says that it drains, and a heartbeat from before that was
// held up on its way. Believed, the late one would bring requests to a server
// that is about to end.
func TestLateReadyDoesNotUndoDraining(t *testing.T) {
	m := newMachine()
	expect(t, m, beat("a", 0, 5, ready), backend.VerdictTaken)
	expect(t, m, beat("a", 0, 7, draining), backend.VerdictTaken)
	expect(t, m, beat("a", 0, 6, ready), backend.VerdictOld)
	expect(t, m, beat("a", 0, 8, ready), backend.VerdictOld)
	if h, _ := m.Current(); h.State != draining {
		t.Fatalf("state is %s, want draining", h.State)
	}
}

// A backend server crashes behind a cut and another starts at its address. The
// cut heals, and a heartbeat of the first one arrives: it names a server that is
// gone.
func TestEarlierStartIsForeign(t *testing.T) {
	m := newMachine()
	expect(t, m, beat("a", 0, 5, ready), backend.VerdictTaken)
	expect(t, m, beat("b", 30*time.Second, 1, ready), backend.VerdictTaken)
	expect(t, m, beat("a", 0, 6, ready), backend.VerdictForeign)
	expect(t, m, beat("a", 0, 7, gone), backend.VerdictOld)
	if h, _ := m.Current(); h.ID != "b" || h.State != ready {
		t.Fatalf("current is %+v, want b, ready", h)
	}
}

// A backend server starts again under the name that it had: its sequence begins
// anew and must not count as old.
func TestSameNameLaterStart(t *testing.T) {
	m := newMachine()
	expect(t, m, beat("a", 0, 90, ready), backend.VerdictTaken)
	expect(t, m, beat("a", time.Minute, 1, ready), backend.VerdictTaken)
}

// A server that announces its end without having drained is gone, and a later
// heartbeat of the same start does not bring it back.
func TestGoneStaysGone(t *testing.T) {
	m := newMachine()
	expect(t, m, beat("a", 0, 5, ready), backend.VerdictTaken)
	expect(t, m, beat("a", 0, 6, gone), backend.VerdictTaken)
	expect(t, m, beat("a", 0, 7, ready), backend.VerdictOld)
	expect(t, m, beat("b", time.Second, 1, ready), backend.VerdictTaken)
}

// Another writer's heartbeat names a service or an address that is not this
// node's: it names no server to use.
func TestForeignHeartbeatNamesNobody(t *testing.T) {
	m := newMachine()
	h := beat("a", 0, 1, ready)
	h.Service = "orders"
	expect(t, m, h, backend.VerdictForeign)
	h = beat("a", 0, 1, ready)
	h.Address = "10.0.0.9:80"
	expect(t, m, h, backend.VerdictForeign)
	if _, known := m.Current(); known {
		t.Fatal("a foreign heartbeat was believed")
	}
}

// A node is restarted and finds its backend server by a health check. The server
// says that it ends, without having drained, and the node acknowledges. A "ready"
// that was held up on its way comes in after that: believed, requests reached a
// server that had long been acknowledged as leaving. The health check had not told
// when the server started, so the late word passed for that of a new start.
func TestEndAfterRecoveryStays(t *testing.T) {
	for _, late := range []coltsfootward.Heartbeat{
		beat("a", 0, 9, ready), beat("a", 0, 7, ready), beat("a", -time.Minute, 9, ready), beat("a", 0, 10, draining),
	} {
		m := newMachine()
		if !m.Recover(coltsfootward.Heartbeat{ID: "a", Service: "quotes", Address: "10.0.0.1:80", Slots: 4, State: ready}) {
			t.Fatal("health check not taken")
		}
		expect(t, m, beat("a", 0, 8, gone), backend.VerdictTaken)
		if got := m.Take(late); got == backend.VerdictTaken {
			t.Errorf("late %+v: got %s", late, got)
		}
		expect(t, m, beat("a", time.Minute, 1, ready), backend.VerdictTaken)
		if h, _ := m.Current(); h.State != ready {
			t.Errorf("after a new start: state is %s, want ready", h.State)
		}
	}
}

// A late "ready" of a server's earlier start comes in after a recovery and is
// believed for want of anything better. Then the present start ends. A "ready" of
// that start, held up as well, was taken for a third one.
func TestEndOfLaterStartThanKnown(t *testing.T) {
	m := newMachine()
	if !m.Recover(coltsfootward.Heartbeat{ID: "a", Service: "quotes", Address: "10.0.0.1:80", Slots: 4, State: ready}) {
		t.Fatal("health check not taken")
	}
	expect(t, m, beat("a", 0, 9, ready), backend.VerdictTaken)
	expect(t, m, beat("a", time.Minute, 4, gone), backend.VerdictTaken)
	expect(t, m, beat("a", time.Minute, 3, ready), backend.VerdictOld)
	expect(t, m, beat("a", 2*time.Minute, 1, ready), backend.VerdictTaken)
}

// Words of several starts of a server come in any order, beside a node that has
// recovered or not. Two things hold in all orders: a start whose leaving has been
// acknowledged is not believed to be ready again, and the first word of the newest
// start is taken.
func TestNoOrderOfWordsUndoesAnEnd(t *testing.T) {
	const starts, words = 3, 5
	for seed := range uint64(3000) {
		source := rand.New(rand.NewPCG(seed, 17))
		sameName := source.IntN(2) == 0
		var all []coltsfootward.Heartbeat
		for start := range starts {
			id := "a"
			if !sameName {
				id = string(rune('a' + start))
			}
			leaves := source.IntN(words)
			for sequence := range words {
				state := ready
				if sequence >= leaves {
					state = []coltsfootward.BackendState{draining, gone}[source.IntN(2)]
				}
				all = append(all, beat(id, time.Duration(start)*time.Minute, uint64(sequence+1), state))
			}
		}
		source.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		m := newMachine()
		if source.IntN(2) == 0 {
			m.Recover(coltsfootward.Heartbeat{ID: all[0].ID, Service: "quotes", Address: "10.0.0.1:80", Slots: 4, State: ready})
		}
		var left, newest time.Time
		for i, h := range all {
			_, before := m.Current()
			verdict := m.Take(h)
			if h.State == ready && h.StartedAt.After(newest) && verdict != backend.VerdictTaken {
				t.Fatalf("seed %d, word %d: the newest start's %+v got %s", seed, i, h, verdict)
			}
			newest = later(newest, h.StartedAt)
			if verdict != backend.VerdictForeign && h.State != ready {
				left = later(left, h.StartedAt)
			}
			current, known := m.Current()
			if before && !known {
				t.Fatalf("seed %d, word %d: the server is no longer known", seed, i)
			}
			if current.State == ready && !current.StartedAt.IsZero() && !current.StartedAt.After(left) {
				t.Fatalf("seed %d, word %d: %+v made a server ready that had said that it leaves", seed, i, h)
			}
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
