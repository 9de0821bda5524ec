// Package placement chooses the backend server for each attempt: the better of
// two random ones out of a stable subset of the service's, in the node's own
// failure domain as long as there is room.
//
// It goes by what comes back with answers and by what the node itself has
// under way, never by reported health. A Pool is not safe for concurrent use;
// time and randomness come from the caller.
package placement
