// Package membership maintains the list of running nodes, the services that their
// backend servers offer, and which failure domains can be reached. The cost per
// node does not grow with the number of nodes.
//
// The protocol is a variant of SWIM. Each second a Machine probes one member of
// its own failure domain and one member of another. A member that answers neither
// the direct probe nor the indirect probes of other members is suspected; if it
// does not refute the suspicion in time, it is declared gone. Membership updates
// spread by gossip, and no gossip is sent when there are none. Periodic
// anti-entropy compares the rosters of two nodes by hash and repairs whatever
// gossip missed.
//
// Only members of its own failure domain declare a member gone. If a whole domain
// cannot be reached, each node excludes it on the evidence of its own probes and
// keeps its members in the roster. A network partition between domains therefore
// causes no membership updates, and the members are available again with the
// first message that arrives after the partition heals.
//
// A Machine reads no clock and opens no socket. It is not safe for concurrent use.
package membership
