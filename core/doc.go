// Package core is the root of the decisions. Nothing below it reads a clock,
// opens a socket, starts a goroutine or uses global randomness: time, events
// and the random source are given, so the same events and seed always yield
// the same actions.
package core
