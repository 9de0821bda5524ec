package coltsfootward

import "time"

// Heartbeat is the periodic report of a backend server to the node that runs beside
// it.
type Heartbeat struct {
	// ID identifies the backend server. It may stay the same over restarts.
	ID string
	// Service is the service that the backend server offers at Address, an IP
	// address and a port.
	Service ServiceName
	Address string
	// Slots is the number of requests that the backend server handles at once.
	Slots int
	// ColdRemaining is the remaining time for which the backend server is cold, that is,
	// slow after its start.
	ColdRemaining time.Duration
	// StartedAt is the time at which the backend server started, by its own wall
	// clock. It differs between the runs of one server.
	StartedAt time.Time
	// Sequence numbers the heartbeats of one run.
	Sequence uint64
	// State reports whether the backend server accepts new requests.
	State BackendState
}

// BackendState reports whether a backend server accepts new requests.
type BackendState string

// The states of a backend server.
const (
	// BackendReady means that the backend server accepts requests.
	BackendReady BackendState = "ready"
	// BackendDraining means that the backend server completes its running requests
	// and accepts no new ones.
	BackendDraining BackendState = "draining"
	// BackendGone means that the backend server has deregistered.
	BackendGone BackendState = "gone"
)
