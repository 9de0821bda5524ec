// Package nodetest runs the state machines of several nodes in one process
// under a virtual clock.
//
// It contains one small fake for each interface of a node: the clock, the link
// to a peer, the platform's table and the backend server. Tests combine them to
// reproduce failures: network partitions, paused, killed and restarted nodes, an
// outage of the table, responses lost after a write. A run is deterministic for
// a given seed. The package does not model the behaviour of a real network or
// machine, such as bandwidth or CPU time.
package nodetest
