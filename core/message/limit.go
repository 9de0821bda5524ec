package message

import "time"

// LimitShare tells an entry node its share of the limit that the backend server beside
// the sender names. It is part of Gossip.
type LimitShare struct {
	// Interval is the mean time between two requests that the receiver may send to the
	// server; zero means that the server names no limit.
	Interval time.Duration `msgpack:"interval"`
	// Limit is the limit that the server names for all nodes together, in requests per
	// second.
	Limit float64 `msgpack:"limit,omitempty"`
}

// LimitDemand is the reply to a LimitShare. It is part of Gossip.
type LimitDemand struct {
	// PerSecond is how many requests per second the sender has for the service of the
	// receiver's backend server, whether it sends them or not. Where the demand of the
	// fleet is known, requests that are admitted whole count for more.
	PerSecond float64 `msgpack:"per_second"`
}
