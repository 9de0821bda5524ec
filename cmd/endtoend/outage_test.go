package endtoend_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"coltsfootward/standin/platform"
)

// The platform is unavailable under load. Callers must not be affected. An operator's
// change must end with the exit code for an unknown outcome and report its change id.
// Sent again with that change id after the outage, it must be applied only once.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	c := startCallers(d, d.north, 4)
	c.awaitMore(t, 50)
	d.setFailure(platform.Failure{Outage: true})
	eventually(t, "both nodes notice", func() bool {
		return !d.status(d.north).PlatformAvailable && !d.status(d.south).PlatformAvailable
	})
	c.awaitMore(t, 200)
	change := []string{"--wait", "2s", "organisation", "set", "brokers", "--rate", "5", "--burst", "10", "--change-id", "brokers-1"}
	duringOutage := tryCtl(t, "", d.north.operators, change...)
	if duringOutage.code != 5 || !strings.Contains(duringOutage.stderr, "brokers-1") {
		t.Errorf("got exit code %d and %q during the outage, want 5 and the change id", duringOutage.code, duringOutage.stderr)
	}
	d.setFailure(platform.Failure{})
	var first outcome
	eventually(t, "the change is in force", func() bool {
		first = tryCtl(t, "", d.north.operators, change...)
		return first.code == 0
	})
	again := tryCtl(t, "", d.south.operators, change...)
	if again.code != 0 || again.stdout != first.stdout {
		t.Errorf("got %d %q for the change sent again, want 0 %q", again.code, again.stdout, first.stdout)
	}
	if failures := c.finish(); len(failures) > 0 {
		t.Errorf("got %d of %d requests refused, the first %s, want none", len(failures), c.count(), failures[0])
	}
}

// Every response to a write is lost after the write took effect. An operator's change
// must be reported as stored, and be applied only once.
func TestLostWriteResponses(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	d.setFailure(platform.Failure{LoseWriteResponses: true})
	var result outcome
	eventually(t, "the change is in force", func() bool {
		result = tryCtl(t, "", d.north.operators, "organisation", "set", "brokers", "--rate", "5", "--burst", "10", "--change-id", "brokers-1")
		return result.code == 0
	})
	d.setFailure(platform.Failure{})
	for _, node := range []*nodeProcess{d.north, d.south} {
		if got := revisionOf(t, node, "brokers"); !strings.HasPrefix(result.stdout, fmt.Sprintf("revision %s ", got)) {
			t.Errorf("got revision %s in the list, want that of %q", got, result.stdout)
		}
	}
}

// revisionOf returns the revision of an organisation according to a node.
func revisionOf(t *testing.T, node *nodeProcess, name string) string {
	t.Helper()
	var list struct {
		Organisations []struct {
			Name     string `json:"name"`
			Revision string `json:"revision"`
		} `json:"organisations"`
	}
	if err := json.Unmarshal([]byte(ctl(t, node.operators, "organisation", "list", "--output", "json")), &list); err != nil {
		t.Fatal(err)
	}
	for _, o := range list.Organisations {
		if o.Name == name {
			return o.Revision
		}
	}
	return ""
}

// Operators change one organisation concurrently through two nodes, all based on the
// same revision. One change must succeed; the others must fail with a conflict.
func TestConcurrentOperatorChanges(t *testing.T) {
	t.Parallel()
	const operators = 8
	d := startDeployment(t)
	basedOn := revisionOf(t, d.north, "traders")
	outcomes := make([]outcome, operators)
	var wait sync.WaitGroup
	for i := range operators {
		node := d.north
		if i%2 == 1 {
			node = d.south
		}
		wait.Go(func() {
			outcomes[i] = tryCtl(t, "", node.operators, "organisation", "set", "traders",
				"--rate", fmt.Sprint(100+i), "--burst", "1000", "--based-on", basedOn)
		})
	}
	wait.Wait()
	winner := -1
	for i, o := range outcomes {
		switch {
		case o.code == 0 && winner < 0:
			winner = i
		case o.code == 0:
			t.Errorf("the changes of operators %d and %d both succeeded, want one", winner, i)
		case o.code != 3:
			t.Errorf("operator %d: got exit code %d and %q, want 0 or 3", i, o.code, o.stderr)
		}
	}
	if winner < 0 {
		t.Fatalf("got no winner: %+v", outcomes)
	}
	for _, node := range []*nodeProcess{d.north, d.south} {
		want := fmt.Sprintf(`"rate_per_second": %d,`, 100+winner)
		if list := ctl(t, node.operators, "organisation", "list", "--output", "json"); !strings.Contains(list, want) {
			t.Errorf("got %s, want the winner's %s", list, want)
		}
	}
}
