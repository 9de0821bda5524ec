// Package loop runs a node's state machine. A single goroutine passes events to the
// state machine and dispatches the resulting actions. All queues are bounded.
package loop
