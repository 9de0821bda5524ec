package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

func buildNode(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "coltsfootward")
	if output, err := exec.Command("go", "build", "-o", program, "coltsfootward/cmd/coltsfootward").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return program
}

// Checks the guarantees under overlapping faults: processes are killed, paused, stopped
// and restarted, connections are delayed, blocked in one direction, silenced and reset,
// and the store is unavailable, while callers place orders. No order may run twice, no
// refused request may have run, every response must be complete and the caller's own,
// no organisation may exceed its rate, and planned stops may abort no request.
func TestGuaranteesUnderFaults(t *testing.T) {
	program := buildNode(t)
	for _, seed := range []uint64{1, 4} {
		runSeed(t, Options{Program: program, Seed: seed, Duration: 6 * time.Second})
	}
}

// Checks the same guarantees with the settings for contended services: servers make calls
// for orders, state slowdowns and reject requests.
func TestGuaranteesOfContendedServices(t *testing.T) {
	runSeed(t, Options{Program: buildNode(t), Seed: 20002, Duration: 6 * time.Second, Contended: true})
}

// runSeed fails the test if a run violates a guarantee.
func runSeed(t *testing.T, o Options) {
	t.Helper()
	o.Directory = t.TempDir()
	report, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %d requests, %d of %d served after the faults, faults %v", o.Seed, report.Requests, report.ServedAfterFaults, report.RequestsAfterFaults, report.Faults)
	for _, finding := range report.Findings {
		t.Errorf("seed %d: %s", o.Seed, finding)
	}
	if t.Failed() {
		showLogs(t, o.Directory)
	}
}

// showLogs logs the last 4000 bytes of each node's log.
func showLogs(t *testing.T, directory string) {
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
