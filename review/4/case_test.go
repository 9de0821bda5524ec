//go:build review

package main

import (
	"errors"
	"os/exec"
	"testing"
)

// Clients leave while upstreams become cold. No process may end, and no request that a sound
// upstream is working on may end with a closed connection.
func TestReview4(t *testing.T) {
	for _, command := range []string{
		"go build -buildvcs=false -ldflags=-linkmode=external -o target/ ./cmd/coltsfootward",
		"review/build-2.sh",
		"review/4/run.sh",
	} {
		run := exec.Command("sh", "-c", command)
		run.Dir = "../.."
		output, err := run.CombinedOutput()
		var ended *exec.ExitError
		switch {
		case err == nil:
		case errors.As(err, &ended) && ended.ExitCode() == 1:
			t.Errorf("%s: the rule was broken: %s", command, output)
		default:
			t.Fatalf("%s: %v: %s", command, err, output)
		}
	}
}
