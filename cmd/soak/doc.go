// Package soak runs the real node program as separate processes on this machine,
// together with stand-ins for the hosting platform, and injects faults from outside the
// processes: signals, and proxies in front of the store and the backend servers.
// Callers send requests meanwhile. Afterwards the outcomes that callers saw are
// compared with the requests that backend servers ran.
//
// A seed determines which faults are injected and when. The interleaving of the
// processes is not reproducible.
package soak
