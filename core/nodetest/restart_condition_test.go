package nodetest_test

import (
	"fmt"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/nodetest"
)

// restartBesideServer restarts the node of the first member, whose server has slots and
// takes a second for a request, after the time down. The server states the condition all
// along. It returns when the node started.
func restartBesideServer(c coltsfootward.BackendCondition, slots int, down time.Duration, prepare func(*nodetest.Member)) (m *nodetest.Member, started time.Duration) {
	r, members := newLimitRig(1, limitDocument())
	for _, m := range members {
		m.Announce("quotes", slots)
		m.Backend.ServiceTime = func(message.Call) time.Duration { return time.Second }
	}
	m = members[0]
	m.Backend.Condition = c
	sendLoad(r, members, 400, 4*time.Second)
	m.Kill()
	sendLoad(r, members[1:], 400, down)
	m.Restart()
	m.ReadConfiguration(limitDocument())
	if prepare != nil {
		prepare(m)
	}
	m.Announce("quotes", slots)
	started = r.Now()
	sendLoad(r, members, 400, 6*time.Second)
	return m, started
}

// Guards against a restarted node that fills all slots of a server with a limit before
// the server's first answer can name the limit.
func TestRestartedNodeKeepsLimit(t *testing.T) {
	for _, down := range []time.Duration{300 * time.Millisecond, 5 * time.Second} {
		for _, slots := range []int{8, 30, 120} {
			for _, limit := range []float64{0, 0.5} {
				t.Run(fmt.Sprintf("down %v, %d slots, limit %v", down, slots, limit), func(t *testing.T) {
					m, started := restartBesideServer(limitedTo(limit), slots, down, nil)
					checkLimit(t, m, limit, started-limitNotice)
				})
			}
		}
	}
}

// Guards against a restarted node that sends many requests to a server that has said in
// its answers that it leaves, while its heartbeats report that it is ready.
func TestRestartedNodeSparesLeavingServer(t *testing.T) {
	m, started := restartBesideServer(coltsfootward.BackendCondition{Leaving: true}, 30, 5*time.Second, nil)
	runs := 0
	for _, run := range m.Backend.Runs {
		if run.Arrived >= started {
			runs++
		}
	}
	if runs > 1 {
		t.Errorf("%d requests reached the server after the node's start, want at most 1", runs)
	}
}

// Guards against a restarted node that takes a health check without a response for a
// server without a limit.
func TestRestartedNodeKeepsLimitWithoutHealthCheck(t *testing.T) {
	const limit = 0.5
	m, started := restartBesideServer(limitedTo(limit), 30, 5*time.Second, func(m *nodetest.Member) { m.Backend.IgnoresChecks = true })
	checkLimit(t, m, limit, started-limitNotice)
}

// Guards against a restarted node that holds requests back from a server without a limit
// for longer than a health check takes.
func TestRestartedNodeUsesItsServer(t *testing.T) {
	m, started := restartBesideServer(coltsfootward.BackendCondition{}, 30, 300*time.Millisecond, nil)
	if got := most(reached(m, started), time.Second); got < 15 {
		t.Errorf("%d requests reached the server within a second, want at least half of its 30 slots", got)
	}
}

// Guards against a restarted node that treats a cold or slow server like any other until
// its next heartbeat or answer.
func TestRestartedNodeLearnsColdnessAndSlowdown(t *testing.T) {
	r, members := newColdRig(1, 2, "north", "south")
	m := members[0]
	m.Backend.StatesLoad, m.Backend.StatedSlowdown = true, 3
	m.Kill()
	r.Run(time.Second)
	m.Restart()
	m.ReadConfiguration(coldDocument())
	m.Announce("quotes", 40)
	m.Backend.SetCold(coldTime)
	r.Run(200 * time.Millisecond)
	if got := m.Node().Cold().Remaining; got < coldTime/2 {
		t.Errorf("the node takes its server for cold for another %v, want some %v", got, coldTime)
	}
	if got := m.Node().StatedLoad().Slowdown; got != 3 {
		t.Errorf("the node takes its server for %v times as slow as usual, want 3", got)
	}
}
