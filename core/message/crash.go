package message

import "time"

// CrashReport reports one crash of a backend server and the requests that may have
// caused it. Requests are named by their fingerprints.
type CrashReport struct {
	// ID identifies the crash.
	ID uint64 `msgpack:"id"`
	// Age is the time since the crash.
	Age time.Duration `msgpack:"age"`
	// Suspects are the requests that the server was running when it crashed.
	Suspects []uint64 `msgpack:"suspects,omitempty"`
	// Acquitted are the suspects of which an equal request has been answered since.
	Acquitted []uint64 `msgpack:"acquitted,omitempty"`
}
