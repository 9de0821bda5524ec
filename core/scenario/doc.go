// Package scenario runs a deployment under overload and measures the outcome
// for its callers' requests. Each scenario runs twice with the same demand:
// with node state machines under the rig of core/nodetest, and with a naive
// system for comparison. Time is virtual, and a run depends only on its seed.
package scenario
