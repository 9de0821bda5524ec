// Package membership decides who is in the system, what backend servers offer
// and who can be reached, at a cost per node that does not grow with their number.
//
// A Machine probes one member of its own failure domain and one of another each
// second. A member that answers neither a probe nor those that others make on
// request is suspected; if it does not refute that in time, it is gone. News of
// members spreads by gossip, only while there is any; two rosters are compared
// now and then by a hash, which heals whatever gossip missed.
//
// Only members of its own failure domain declare a member gone. A domain that
// cannot be reached is left out as a whole, by each node's own evidence, and
// its members are kept: a cut between domains costs no news, and what was known
// before it is known again at the first answer after it.
//
// A Machine reads no clock and opens no socket. It is not safe for concurrent use.
package membership
