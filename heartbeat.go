package coltsfootward

import "time"

// Heartbeat is what a backend server says of itself to the node beside it, over
// and over.
type Heartbeat struct {
	// ID names the backend server. It may be the same over several starts.
	ID string
	// Service is what it serves, at Address, an IP number and a port.
	Service ServiceName
	Address string
	// Slots is how many requests it serves at once.
	Slots int
	// Cold is how much longer it is slow after its start.
	Cold time.Duration
	// Started is when it started by its own wall clock. It tells its starts apart.
	Started time.Time
	// Sequence counts the heartbeats of one start.
	Sequence uint64
	// State says whether it takes work.
	State BackendState
}

// BackendState says whether a backend server takes work.
type BackendState string

// The states of a backend server.
const (
	// BackendReady means that it takes work.
	BackendReady BackendState = "ready"
	// BackendDraining means that it finishes what runs and takes no new work.
	BackendDraining BackendState = "draining"
	// BackendGone means that it has announced its end.
	BackendGone BackendState = "gone"
)
