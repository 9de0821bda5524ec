// Package fairshare divides the capacity of a service between the organisations that
// ask for it, by the demand of the whole fleet.
//
// The load that it answers is a service that is asked for more than it can serve, by
// callers of uneven size and importance that enter at different nodes. An entry node
// that refuses a fraction of its own demand refuses important requests although they
// fit, if only important ones enter there, and refuses a small organisation by the same
// fraction as a large one that causes the shortage.
//
// Divide is a pure function: entry nodes with the same summary and the same fraction to
// refuse compute the same division. The only state is that of Aging, which forgets within
// agingTime, so a node whose inputs were wrong for a while soon decides as the others again.
package fairshare
