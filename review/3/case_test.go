//go:build review

package main

import (
	"os"
	"os/exec"
	"testing"
)

// One tenant sends 7.5 times its usual, with large bodies. The nodes must stay within their
// memory: if they are killed, the requests of all tenants end without an answer.
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
