// Package completion computes when a request is expected to be complete at a backend
// server that states how long work takes on its machine, and decides which nodes learn of
// a change of that statement.
//
// The design load is a service some of whose machines take 2.5 times as long for 600 ms at a
// time. Occupancy does not show this: nobody waits at a slow server that has free slots.
// Measured latencies show it only when the slow responses have arrived, by which time the machine
// is often fast again. A node that goes by these two alone places an eighth of the
// requests at a slow server out of eight.
//
// A statement may be old, stuck or false. Its effect therefore decays with its age, it is
// compared only in most placements (core/placement), and no request is refused because
// of it. The types of this package are not safe for concurrent use. The caller supplies
// the time.
package completion
