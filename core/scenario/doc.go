// Package scenario puts a deployment under overload and measures what becomes
// of its callers' requests. Each scenario runs twice with the same demand: on
// node machines under the rig of core/nodetest, and on a naive system for
// comparison. Everything follows from a seed and a virtual clock.
package scenario
