// Package node combines all decisions of one node in a single state machine.
//
// Handle takes the current time and one event and returns the resulting
// actions. The state machine reads no clock, opens no socket and starts no
// goroutine, so a test can drive any number of nodes in one process under its
// own clock and network. It is not safe for concurrent use: a single goroutine
// must call Handle.
//
// Each responsibility is a component with a file of its own. Components call
// each other directly and append their actions to the node.
package node
