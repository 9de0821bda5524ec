package coltsfootward

// BackendCondition is what a backend server states about itself in the head of a response.
// The zero value states nothing.
type BackendCondition struct {
	// Limited is set if the server names a limit: Limit is then the number of requests
	// per second that it takes from all nodes together.
	Limited bool
	Limit   float64
	// Leaving is set if the server is about to stop and takes no new requests.
	Leaving bool
}
