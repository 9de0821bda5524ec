// Package node composes all decisions of one node into a single state machine.
//
// Handle takes the time and one event and returns the actions that follow. The
// machine reads no clock, opens no socket and starts no goroutine, so a test
// can drive any number of nodes in one process under its own clock and network.
// It is not safe for concurrent use: one goroutine feeds it.
//
// Each duty is a part with a file of its own; parts call each other directly
// and collect actions in the node.
package node
