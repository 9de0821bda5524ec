// Package placement selects the backend server for each attempt. It picks the
// better of two random servers out of a stable subset of the service's servers
// (power of two choices), and prefers the node's own failure domain while the
// servers there have spare capacity.
//
// The decision is based on the load reported with responses and on the node's
// own requests in flight, never on reported health. A Pool is not safe for
// concurrent use. The caller supplies the time and the random source.
package placement
