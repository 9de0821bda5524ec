package main

import (
	"math"
	"os"
	"runtime/debug"
)

const (
	// collectAt lets the heap grow to one and a half times what is live before a
	// collection. A node's live heap is a few megabytes: against five times, the
	// peak of a busy node falls from 44 to 15 MB, and its processor time stays
	// within 2 in 100 (0.0445 cores after 0.0438).
	collectAt = 50
	// memoryLimit makes the collector work harder as the node nears the 256 MB
	// that it may use.
	memoryLimit = 200 << 20
)

// tuneMemory trades memory for processor time within the node's budget, unless
// the operator has set the runtime's own variables.
func tuneMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectAt)
	}
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(memoryLimit)
	}
}
