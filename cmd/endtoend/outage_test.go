package endtoend_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"coltsfootward/standin/platform"
)

// The platform goes away under traffic. Callers notice nothing, an operator's
// change ends in doubt with its change id, and sent again with it after the
// outage it is applied once.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	c := startCallers(d, d.north, 4)
	c.further(t, 50)
	d.fail(platform.Failure{Outage: true})
	eventually(t, "both nodes notice", func() bool {
		return !d.status(d.north).PlatformAvailable && !d.status(d.south).PlatformAvailable
	})
	c.further(t, 200)
	change := []string{"--wait", "2s", "organisation", "set", "brokers", "--rate", "5", "--burst", "10", "--change-id", "brokers-1"}
	doubt := tryCtl(t, "", d.north.operators, change...)
	if doubt.code != 5 || !strings.Contains(doubt.errout, "brokers-1") {
		t.Errorf("got exit code %d and %q during the outage, want 5 and the change id", doubt.code, doubt.errout)
	}
	d.fail(platform.Failure{})
	var first outcome
	eventually(t, "the change is in force", func() bool {
		first = tryCtl(t, "", d.north.operators, change...)
		return first.code == 0
	})
	again := tryCtl(t, "", d.south.operators, change...)
	if again.code != 0 || again.out != first.out {
		t.Errorf("got %d %q for the change sent again, want 0 %q", again.code, again.out, first.out)
	}
	if bad := c.end(); len(bad) > 0 {
		t.Errorf("got %d of %d callers refused, the first %s, want none", len(bad), c.count(), bad[0])
	}
}

// Every answer to a write is lost after the write took effect. An operator's
// change must be told as what it is, stored, and be applied once.
func TestLostWriteAnswers(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	d.fail(platform.Failure{LoseWriteAnswers: true})
	var told outcome
	eventually(t, "the change is in force", func() bool {
		told = tryCtl(t, "", d.north.operators, "organisation", "set", "brokers", "--rate", "5", "--burst", "10", "--change-id", "brokers-1")
		return told.code == 0
	})
	d.fail(platform.Failure{})
	for _, node := range []*nodeProcess{d.north, d.south} {
		if got := revisionOf(t, node, "brokers"); !strings.HasPrefix(told.out, fmt.Sprintf("revision %s ", got)) {
			t.Errorf("got revision %s in the list, want that of %q", got, told.out)
		}
	}
}

// revisionOf returns the revision of an organisation as a node lists it.
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

// Operators change one organisation at the same moment through two nodes, all
// having seen the same revision. One wins; the others are told of the conflict.
func TestOperatorsRace(t *testing.T) {
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
			t.Errorf("got operators %d and %d told that they won, want one", winner, i)
		case o.code != 3:
			t.Errorf("operator %d: got exit code %d and %q, want 0 or 3", i, o.code, o.errout)
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
