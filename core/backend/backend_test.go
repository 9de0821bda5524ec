package backend_test

import (
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
		Started: started.Add(d), Sequence: sequence, State: state,
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
