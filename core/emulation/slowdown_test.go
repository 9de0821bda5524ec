package emulation_test

import (
	"sync"
	"testing"
	"time"

	"coltsfootward/core/emulation"
)

// slowSeeds is the number of runs. The shares of a single one vary by 0.003 with the random draws.
const slowSeeds = 10

// servedShares runs Meters with one server at a time that takes 2.5 times as long for 600 ms, and
// returns the mean fractions of the requests that were served, and served within the objective,
// which is twice the usual time.
func servedShares(t *testing.T, statesLoad bool) (all, prompt float64) {
	t.Helper()
	outcomes := make([]emulation.Counts, slowSeeds)
	var wait sync.WaitGroup
	for i := range outcomes {
		wait.Go(func() {
			outcomes[i] = emulation.Run(emulation.Meters(), emulation.Disturbance{
				Service: "meters", Slowdown: 2.5, SlowTurn: 600 * time.Millisecond, SlowSpan: span(0, runLength), StatesLoad: statesLoad,
			}, runLength, uint64(i)+1).Total()
		})
	}
	wait.Wait()
	for i, n := range outcomes {
		served, onTime := float64(n.OnTime+n.Late)/float64(n.Requests), float64(n.OnTime)/float64(n.Requests)
		t.Logf("states load: %t, seed %d: %.4f served, %.4f within twice the usual time", statesLoad, i+1, served, onTime)
		all += served / slowSeeds
		prompt += onTime / slowSeeds
	}
	t.Logf("mean: %.4f served, %.4f within twice the usual time", all, prompt)
	return all, prompt
}

// Guards against requests that are placed at a machine that states that it is slow. Without
// the statement, 0.952 were served and 0.881 within twice the usual time.
func TestSlowMachinesAreAvoided(t *testing.T) {
	if all, prompt := servedShares(t, true); all < 0.99 || prompt < 0.93 {
		t.Errorf("got %.4f served and %.4f within twice the usual time, want 0.99 and 0.93", all, prompt)
	}
}
