package completion_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/completion"
	"coltsfootward/core/message"

	"pgregory.net/rapid"
)

// Guards against an expected completion that is not a usable number, whatever peers report, that
// falls with more load or a higher slowdown, or that stays raised by an old statement.
func TestExpectedIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour
		var service completion.Service
		var server, slower completion.Server
		for range rapid.IntRange(0, 40).Draw(t, "costs") {
			class := rapid.StringN(0, 2, -1).Draw(t, "class")
			service.ObserveCost(&server, class, rapid.Float64Range(0, 10).Draw(t, "cost"))
		}
		slower = server
		load := message.Load{
			Slowdown:    rapid.Float64Range(0.1, 100).Draw(t, "slowdown"),
			SlowdownAge: time.Duration(rapid.Int64Range(0, int64(12*time.Second)).Draw(t, "age")),
			Wait:        time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "wait")),
		}
		server.ObserveLoad(now, load)
		load.Slowdown *= 1 + rapid.Float64Range(0, 3).Draw(t, "more")
		slower.ObserveLoad(now, load)
		use := completion.Use{Occupancy: rapid.Float64Range(0, 8).Draw(t, "occupancy"), Limit: rapid.Float64Range(1, 200).Draw(t, "limit")}
		fuller := use
		fuller.Occupancy += rapid.Float64Range(0, 3).Draw(t, "extra")
		expected := service.Expected(now, &server, "a", use)
		switch {
		case !(expected > 0) || math.IsInf(expected, 0):
			t.Fatalf("got %v, want a positive time", expected)
		case service.Expected(now, &slower, "a", use) < expected:
			t.Fatalf("a higher slowdown is expected to complete sooner")
		case service.Expected(now, &server, "a", fuller) < expected*(1-1e-9):
			t.Fatalf("a higher occupancy is expected to complete sooner")
		}
		if later := server.Slowdown(now + 10*time.Second); math.Abs(later-1) > 1e-4 {
			t.Fatalf("10 s later the slowdown still counts as %v", later)
		}
	})
}

// Guards against statements that arrive late but count as new ones.
func TestStatementDecaysFromItsOwnTime(t *testing.T) {
	var server completion.Server
	server.ObserveLoad(time.Minute, message.Load{Slowdown: 2.5, SlowdownAge: 600 * time.Millisecond})
	if got := server.Slowdown(time.Minute); got < 1.54 || got > 1.56 {
		t.Errorf("got a slowdown of %.3f after 600 ms, want 1 + 1.5/e", got)
	}
	server.Forget()
	if got := server.Slowdown(time.Minute); got != 1 || server.States(time.Minute) {
		t.Errorf("got a slowdown of %.3f after it was forgotten, want 1", got)
	}
}

// Guards against notices beyond their bounds: one per 100 ms, 32 nodes, 100 messages a second on
// average, and none for servers that state nothing.
func TestNoticesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var n completion.Notifier
		now, last, messages := time.Minute, time.Duration(0), 0
		states := rapid.Bool().Draw(t, "states")
		for range 2000 {
			now += 5 * time.Millisecond
			n.Used(now, coltsfootward.InstanceID(fmt.Sprint(rapid.IntRange(0, 300).Draw(t, "user"))))
			load := message.Load{Wait: time.Duration(rapid.IntRange(0, 10).Draw(t, "wait")) * time.Millisecond}
			if states {
				load.Slowdown = float64(rapid.IntRange(1, 4).Draw(t, "slowdown"))
			}
			receivers := n.Observe(now, load)
			if len(receivers) == 0 {
				continue
			}
			if len(receivers) > 32 || now-last < 100*time.Millisecond || !states {
				t.Fatalf("got %d receivers %v after the last notice, states: %t", len(receivers), now-last, states)
			}
			last = now
			messages += len(receivers)
		}
		if messages > 1000+96+1 {
			t.Fatalf("got %d messages in 10 s, want at most 100 a second and a burst of 96", messages)
		}
	})
}

// Guards against notices without news, against news that is lost in the interval between two
// notices, and against receivers other than the busiest recent users.
func TestNoticesTellChanges(t *testing.T) {
	var n completion.Notifier
	now := time.Minute
	n.Used(now-3*time.Second, "former")
	for i := range 40 {
		for range i + 1 {
			n.Used(now, coltsfootward.InstanceID(fmt.Sprintf("user-%02d", i)))
		}
	}
	steps := []struct {
		after time.Duration
		load  message.Load
		want  int
	}{
		{0, message.Load{Slowdown: 1.2}, 0},
		{0, message.Load{Slowdown: 2.5}, 32},
		{50 * time.Millisecond, message.Load{Slowdown: 1}, 0},
		{60 * time.Millisecond, message.Load{Slowdown: 1}, 32},
		{time.Second, message.Load{Slowdown: 1, Wait: time.Millisecond}, 0},
		{0, message.Load{Slowdown: 1, Wait: 20 * time.Millisecond}, 32},
		{60 * time.Millisecond, message.Load{Slowdown: 1}, 0},
		{300 * time.Millisecond, message.Load{Slowdown: 1}, 32},
		{time.Second, message.Load{Slowdown: 1}, 0},
	}
	for i, step := range steps {
		now += step.after
		receivers := n.Observe(now, step.load)
		if len(receivers) != step.want || step.want > 0 && receivers[0] != "user-39" {
			t.Errorf("step %d: got receivers %v, want %d, the busiest first", i, receivers, step.want)
		}
	}
}

// Guards against waits that begin and end all the time and use up the messages, so that nobody
// learns of a slowdown: of 68 entry nodes, 0.926 of the requests were served within twice the usual
// time then, and 0.948 with messages kept free.
func TestWaitsLeaveMessagesForSlowdowns(t *testing.T) {
	var n completion.Notifier
	now := time.Minute
	for step := range 100 {
		now += 100 * time.Millisecond
		for i := range 40 {
			n.Used(now, coltsfootward.InstanceID(fmt.Sprint(i)))
		}
		n.Observe(now, message.Load{Slowdown: 1, Wait: time.Duration(step%3/2) * 20 * time.Millisecond})
	}
	if got := len(n.Observe(now+100*time.Millisecond, message.Load{Slowdown: 2.5})); got != 32 {
		t.Errorf("got %d receivers of a new slowdown after many waits, want 32", got)
	}
}
