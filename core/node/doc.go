// Package node combines all decisions of one node in a single state machine.
//
// Handle takes the current time and one event and returns the resulting
// actions. The state machine reads no clock, opens no socket and starts no
// goroutine, so a test can drive any number of nodes in one process under its
// own clock and network. It is not safe for concurrent use: a single goroutine
// must call Handle.
//
// Each responsibility is a component with a file of its own. Components call
// each other directly and append their actions to the node's list of actions.
//
// The entry node of a request is the node that received it from the caller. It
// chooses an upstream, a backend server beside some node, and forwards the
// request to that node, which queues it and dispatches it to its local backend
// server. A child call is a request that a backend server makes while it serves
// another one; it enters at the node beside that server.
//
// Each failure domain has a fixed number of slots, which are held by nodes of
// the domain. Each organisation's rate is divided into parts, and each part
// belongs to a slot. The holder of a slot grants the tokens of its parts, and
// the claims on the idempotency keys that belong to the slot.
//
// A routed deployment (Options.Routed) chooses the service of a request by host
// and path, from a configuration that is a single document, and assigns slots
// by the membership roster alone. Any other deployment stores its configuration
// as numbered changes in the platform's table, and slots are held by leases in
// that table.
package node
