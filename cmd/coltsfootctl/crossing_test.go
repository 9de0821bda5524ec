package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// Guards against nodes of one domain that replace each other's counts, and against rows of
// other services.
func TestServiceCrossingAddsUpNodes(t *testing.T) {
	var out bytes.Buffer
	c := &serviceCrossing{session: &session{out: &out}}
	c.Args.Name = "quotes"
	rows := make(map[string]*crossingRow)
	for _, text := range []string{
		`{"coltsfootward":{"node":{"domain":"north","crossing":[{"service":"quotes","to":"south","fraction":0.25,"requests":{"surplus":7},"bytes":100}]}}}`,
		`{"coltsfootward":{"node":{"domain":"north","crossing":[{"service":"quotes","to":"south","fraction":0.2,"requests":{"surplus":3,"probe":1},"bytes":50},{"service":"orders","to":"south"}]}}}`,
	} {
		var vars crossingVars
		if err := json.Unmarshal([]byte(text), &vars); err != nil {
			t.Fatal(err)
		}
		c.add(rows, vars)
	}
	if len(rows) != 1 {
		t.Fatalf("got %d rows, want one", len(rows))
	}
	for _, row := range rows {
		if err := c.print([]*crossingRow{row}); err != nil {
			t.Fatal(err)
		}
	}
	line := strings.Join(strings.Fields(strings.Split(out.String(), "\n")[1]), " ")
	if want := "quotes north south 0.25 probe 1, surplus 10 150"; line != want {
		t.Errorf("got %q, want %q", line, want)
	}
}
