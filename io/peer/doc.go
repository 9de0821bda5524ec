// Package peer carries calls and messages between nodes: msgpack frames over
// TCP, many calls at once on one connection.
//
// Calls and messages travel on the connection that their sender dialled, so
// two nodes that talk both ways hold two connections. A call's answer is
// whole only if its end frame arrived; anything else is an error to its reader.
package peer
