// Package nodetest drives node machines in one process under a virtual clock.
//
// It holds one small fake for each interface of a node: the clock, the link to
// a peer, the platform's table and the backend server. Tests compose them into
// the failure they are about: cut links, paused, killed and restarted nodes,
// an outage of the table, answers lost after the write. Everything is
// deterministic for a seed. It is no model of a network or a machine.
package nodetest
