// Package emulation runs a whole routed deployment under a virtual clock: the
// node state machines under the rig of core/nodetest, backend servers whose
// requests occupy their slots while they make child calls, and callers with
// latency objectives, deadlines and retries of their own. It reports the
// outcome for callers, second by second, so that a change to queueing, refusal
// or placement can be tried out and guarded by a test.
package emulation
