package main

import (
	"math"
	"os"
	"runtime/debug"
)

const (
	// collectAt lets the heap grow to five times what is live before a
	// collection. A node's live heap is a few megabytes, so at the runtime's
	// default it collects every hundred calls, a third of its processor time.
	collectAt = 400
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
