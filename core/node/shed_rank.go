package node

import (
	"coltsfootward"

	"github.com/cespare/xxhash/v2"
)

// shedHashBits is how many bits of a shed rank come from the request's hash.
const shedHashBits = 28

// ShedRank orders requests for shedding: priority first, then a hash of
// organisation and request. All calls of a request carry the same rank, so
// every depth of the chain sheds the same requests and work already done for
// the others is not lost.
func ShedRank(priority coltsfootward.Priority, organisation coltsfootward.OrganisationName, request coltsfootward.RequestID) uint32 {
	return uint32(priority.Rank())<<shedHashBits | requestHash(organisation, request, shedHashBits)
}

// requestHash returns a hash of so many bits.
func requestHash(organisation coltsfootward.OrganisationName, request coltsfootward.RequestID, bits int) uint32 {
	return uint32(xxhash.Sum64String(string(organisation)+"\x00"+string(request)) >> (64 - bits))
}

// secondShift is where the second priority stands in a routed request's rank.
const secondShift = 26

// RoutedRank orders the requests of a routed deployment: by the organisation's
// priority, where it has one, then by the route's, then by a hash. With the same
// priority for all organisations the route's decides.
func RoutedRank(priority, second coltsfootward.Priority, organisation coltsfootward.OrganisationName, request coltsfootward.RequestID) uint32 {
	return uint32(priority.Rank())<<shedHashBits | uint32(second.Rank())<<secondShift | requestHash(organisation, request, secondShift)
}

// agingLimit bounds how many repeats move a request up.
const agingLimit = 3

// agedRank moves a caller's repeat up within its priority: each repeat halves
// its distance to the front. Under a long overload chance alone would refuse
// some requests every time, and their callers give up after a few tries while
// others succeed at once. A caller that overstates its repeats gets ahead of
// its own organisation's requests only, since turns between organisations do
// not depend on the rank.
func agedRank(rank uint32, attempt int) uint32 {
	class := rank &^ (1<<shedHashBits - 1)
	hash := rank & (1<<shedHashBits - 1)
	return class | hash>>min(max(attempt-1, 0), agingLimit)
}
