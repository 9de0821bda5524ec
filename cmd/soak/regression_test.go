package soak

import (
	"testing"
	"time"
)

// Each seed that has ever failed has a test here, with the duration that it failed with.

// Guards against a backend server that gets more requests than the limit that it names
// since its latest start, when its node is killed and started anew.
func TestSoakSeed9105(t *testing.T) {
	runSeed(t, Options{Program: buildNode(t), Seed: 9105, Duration: 10 * time.Second})
}
