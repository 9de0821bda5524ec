//go:build review

package main

import (
	"os"
	"os/exec"
	"testing"
)

// A node is stopped while pipelined idempotent requests are at work. All that it has passed on
// to upstreams must be answered.
func TestReview3(t *testing.T) {
	if err := os.Chdir("../.."); err != nil {
		t.Fatal(err)
	}
	if output, err := exec.Command("go", "build", "-buildvcs=false", "-o", "target/", "./cmd/coltsfootward").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	if status := play(); status != 0 {
		t.Errorf("got status %d, want 0: see review/3/record.txt", status)
	}
}
