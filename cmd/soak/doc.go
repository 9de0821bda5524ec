// Package soak runs the real node program as separate processes on this machine,
// beside stand-ins of the hosting platform, and injects faults from outside them:
// signals, and proxies before the store and the backend servers. Meanwhile callers
// send requests, and afterwards what they were told is compared with what backend
// servers saw. What happens and when follows from a seed; how processes interleave
// does not.
package soak
