package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// regressions are seeds that have failed once, with what it was.
var regressions = []uint64{}

// build builds the node.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "coltsfootward")
	if output, err := exec.Command("go", "build", "-o", program, "coltsfootward/cmd/coltsfootward").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return program
}

// Processes are killed, paused, stopped and restarted, connections delayed, cut one
// way, silenced and reset, and the store is away, all of it overlapping, while
// callers place orders. No order runs twice, no refusal lies, every answer is the
// caller's own and whole, no organisation runs more than its rate, and planned
// stops cut off nobody.
func TestPromisesUnderFaults(t *testing.T) {
	program := build(t)
	for _, seed := range append([]uint64{1, 4}, regressions...) {
		directory := t.TempDir()
		report, err := Run(Options{Program: program, Directory: directory, Seed: seed, Duration: 6 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: %d requests, %d of %d served after the faults, faults %v", seed, report.Requests, report.CalmServed, report.CalmRequests, report.Faults)
		for _, finding := range report.Findings {
			t.Errorf("seed %d: %s", seed, finding)
		}
		if t.Failed() {
			logs(t, directory)
		}
	}
}

// logs shows the end of each node's log.
func logs(t *testing.T, directory string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*.log"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s:\n%s", filepath.Base(file), text[max(0, len(text)-4000):])
	}
}
