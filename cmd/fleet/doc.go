// Package fleet runs nodes of a hosted deployment as processes on this machine, for
// tools that measure or harm them from outside.
package fleet
