package endtoend_test

import (
	"strings"
	"testing"
)

// Operators' scripts branch on the exit codes, so each outcome must keep its code.
func TestExitCodes(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	tests := []struct {
		name, input string
		args        []string
		code        int
		want        string
	}{
		{"list", "", []string{"organisation", "list"}, 0, "traders"},
		{"shares", "", []string{"service", "shares", service}, 0, "no capacity is divided"},
		{"traffic between domains", "", []string{"service", "crossing"}, 0, "REQUESTS BY REASON"},
		{"help", "", []string{"service", "set", "--help"}, 0, "unrepeatable"},
		{"unknown command", "", []string{"dance"}, 2, "--help"},
		{"missing argument", "", []string{"organisation", "set", "brokers"}, 2, "rate"},
		{"bad name", "", []string{"organisation", "set", "two words", "--rate", "1", "--burst", "1"}, 2, "letters"},
		{"bad mark", "", []string{"service", "set", "other", "--mark", "GET"}, 2, "METHOD"},
		{"bad priority", "", []string{"service", "set", "other", "--mark", "GET / urgent"}, 2, "critical, high, normal or low"},
		{"object exists", "", []string{"organisation", "set", "traders", "--rate", "1", "--burst", "1"}, 3, "read it again"},
		{"old revision", "", []string{"service", "set", service, "--based-on", "999"}, 3, "read it again"},
		{"key's name is taken", "", []string{"key", "issue", "traders-1", "--organisation", "traders"}, 3, "read it again"},
		{"no such organisation", "", []string{"key", "issue", "nobody-1", "--organisation", "nobody"}, 1, "organisation set"},
		{"no such key", "", []string{"key", "withdraw", "nobody-1"}, 1, "key list"},
		{"short key", "short\n", []string{"key", "issue", "traders-2", "--organisation", "traders", "--from-stdin"}, 2, "at least"},
		{"future revision", "", []string{"watch", "9999", "--wait", "100ms"}, 4, "coltsfootctl watch 9999"},
		{"no node", "", []string{"--node", "127.0.0.1:1", "organisation", "set", "brokers", "--rate", "1", "--burst", "1"}, 5, "--change-id"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := tryCtl(t, test.input, d.north.operators, test.args...)
			if got.code != test.code || !strings.Contains(got.stdout+got.stderr, test.want) {
				t.Errorf("got exit code %d, %q and %q, want %d and %q", got.code, got.stdout, got.stderr, test.code, test.want)
			}
		})
	}
}

// The timeline command merges the timelines of all nodes and names a node that is down.
// Neither the timeline nor any node's log contains the caller's key.
func TestTimelineOfAllNodes(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	get(t, d.north.callers, "/"+service+"/page?key="+"other", d.key+"x")
	ctl(t, d.south.operators, "key", "withdraw", "traders-1")
	eventually(t, "both nodes refuse the withdrawn key", func() bool {
		return get(t, d.north.callers, "/"+service+"/page", d.key).status == 401 &&
			get(t, d.south.callers, "/"+service+"/page", d.key).status == 401
	})
	timeline := tryCtl(t, "", d.north.operators, "timeline", "--limit", "0")
	for _, want := range []string{"north-1", "south-1", "node_started", "backend_announced", "key_withdrawn"} {
		if !strings.Contains(timeline.stdout, want) {
			t.Errorf("got no %q on the timeline:\n%s", want, timeline.stdout)
		}
	}
	d.south.kill()
	withoutSouth := tryCtl(t, "", d.north.operators, "timeline")
	if withoutSouth.code != 0 || !strings.Contains(withoutSouth.stderr, d.south.operators) {
		t.Errorf("got exit code %d and %q, want 0 and the node that is down named", withoutSouth.code, withoutSouth.stderr)
	}
	for _, text := range []string{timeline.stdout, d.north.output.String(), d.south.output.String()} {
		if strings.Contains(text, d.key) {
			t.Errorf("got the key in a log or on the timeline")
		}
	}
}
