package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"coltsfootward/cmd/explain"
)

const refusedLine = `{"level":"info","ts":1700000001.2,"msg":"request_refused","node":"north-1","code":201,"request":"r-1","kind":"over_rate","execution":"not_run","detail":"above its rate","retry_after":"1s","waited":"1ms"}` + "\n"

const droppedLine = `{"level":"info","ts":1700000001.9,"msg":"records_dropped","node":"north-1","code":106,"of":"202","count":"3"}` + "\n"

// Operators' scripts depend on the exit codes.
func TestExplainExitCodes(t *testing.T) {
	tests := []struct {
		name, input string
		args        []string
		code        int
		want        string
	}{
		{"explained", refusedLine, []string{"explain", "r-1"}, 0, "north-1 refused it after 1ms as over_rate"},
		{"first of a kind", refusedLine, []string{"explain", "--first", "over_rate"}, 0, "request r-1"},
		{"not found", refusedLine, []string{"explain", "r-2"}, 1, "no log mentions"},
		{"no request", refusedLine, []string{"explain"}, 2, "--first"},
		{"both", refusedLine, []string{"explain", "--first", "timeout", "--summary"}, 2, "exclude"},
		{"no such file", "", []string{"explain", "r-1", "no-such.log"}, 2, "no-such.log"},
		{"in part", refusedLine + droppedLine, []string{"explain", "r-1"}, 3, "3 at north-1"},
		{"summary", refusedLine + droppedLine, []string{"explain", "--summary"}, 0, "left out of the logs: 3"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out, errout bytes.Buffer
			code := run(test.args, strings.NewReader(test.input), &out, &errout)
			if got := out.String() + errout.String(); code != test.code || !strings.Contains(got, test.want) {
				t.Errorf("got exit code %d and %q, want %d and %q", code, got, test.code, test.want)
			}
		})
	}
}

func TestExplainReadsFilesAndWritesJSON(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for i, text := range []string{droppedLine, refusedLine} {
		name := filepath.Join(dir, []string{"a.log", "b.log"}[i])
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		files = append(files, name)
	}
	var out, errout bytes.Buffer
	if code := run(append([]string{"explain", "--json", "r-1"}, files...), nil, &out, &errout); code != exitIncomplete {
		t.Fatalf("got exit code %d and %q, want %d", code, errout.String(), exitIncomplete)
	}
	var found explain.Explanation
	if err := json.Unmarshal(out.Bytes(), &found); err != nil {
		t.Fatal(err)
	}
	if found.Request != "r-1" || len(found.Lines) != 1 || len(found.Dropped) != 1 {
		t.Errorf("got %+v, want one line and one drop of r-1", found)
	}
}
