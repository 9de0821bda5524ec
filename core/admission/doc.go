// Package admission decides which requests a backend server serves, which wait for it
// and which are refused. It runs on the server's own node, through which all requests
// to the server pass, so it relies on its own observations only and uses neither
// reported health nor reported load.
//
// A Limiter finds the number of requests that the server handles concurrently, a
// Queue orders the waiting requests, a Shedder computes which requests entry nodes
// should refuse before any work is done, and a Controller combines the three. None of
// them is safe for concurrent use. The caller supplies time and randomness.
package admission
