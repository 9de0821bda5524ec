// Package emulation runs a whole routed deployment under a virtual clock: node
// machines in the rig of core/nodetest, backend servers that hold their slots
// while they make further calls, and callers with objectives, deadlines and
// repeats of their own. It tells what callers got, second by second, so that a
// decision about queueing, refusing or placing can be tried and held by a test.
package emulation
