// Package peer carries calls and messages between nodes as msgpack frames
// over TCP. Many concurrent calls share one connection.
//
// Calls and messages are sent on the connection that their sender dialled, so
// two nodes that send to each other hold two connections. A response is complete
// only if its end frame has arrived; otherwise reading its body returns an error.
package peer
