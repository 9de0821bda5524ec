//go:build review

package main

import (
	"errors"
	"os/exec"
	"testing"
)

// The store is away and comes back without its history. A key that is taken away after that must
// be refused within the time for changes of the configuration.
func TestReview5(t *testing.T) {
	for _, command := range []string{
		"go build -buildvcs=false -ldflags=-linkmode=external -o target/ ./cmd/coltsfootward",
		"review/build-2.sh",
		"review/5/run.sh",
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
