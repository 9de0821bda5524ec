// Package fleet runs nodes of a hosted deployment as processes on this machine, for
// tools that measure them or inject faults from outside.
package fleet
