package node

import (
	"coltsfootward"

	"github.com/cespare/xxhash/v2"
)

// shedHashBits is the number of bits of a shed rank that come from the
// request's hash.
const shedHashBits = 28

// ShedRank orders requests for shedding: by priority first, then by a hash of
// organisation and request. All calls of a request carry the same rank, so
// every level of the call chain sheds the same requests, and the work already
// done for the other requests is not lost.
func ShedRank(priority coltsfootward.Priority, organisation coltsfootward.OrganisationName, request coltsfootward.RequestID) uint32 {
	return uint32(priority.Rank())<<shedHashBits | requestHash(organisation, request, shedHashBits)
}

// requestHash returns a hash of the organisation and the request with the given
// number of bits.
func requestHash(organisation coltsfootward.OrganisationName, request coltsfootward.RequestID, bits int) uint32 {
	return uint32(xxhash.Sum64String(string(organisation)+"\x00"+string(request)) >> (64 - bits))
}

// secondaryShift is the bit position of the secondary priority in a routed
// request's rank.
const secondaryShift = 26

// RoutedRank orders the requests of a routed deployment for shedding: by the
// organisation's priority, if it has one, then by the route's priority, then by
// a hash. If all organisations have the same priority, the route's decides.
func RoutedRank(priority, secondary coltsfootward.Priority, organisation coltsfootward.OrganisationName, request coltsfootward.RequestID) uint32 {
	return uint32(priority.Rank())<<shedHashBits | uint32(secondary.Rank())<<secondaryShift | requestHash(organisation, request, secondaryShift)
}

// shedRanks is the number of shed ranks.
const shedRanks = 4 << shedHashBits

// agingLimit bounds the number of retries that improve a request's rank.
const agingLimit = 3

// agedRank improves the rank of a caller's retry within its priority: each
// retry halves its distance to the front. Without this, chance alone would
// refuse some requests every time under a long overload, and their callers
// would give up after a few tries while others succeed at once. A caller that
// overstates its number of retries only gets ahead of requests of its own
// organisation, because fair queueing between organisations does not depend on
// the rank.
func agedRank(rank uint32, attempt int) uint32 {
	priorityBits := rank &^ (1<<shedHashBits - 1)
	hash := rank & (1<<shedHashBits - 1)
	return priorityBits | hash>>min(max(attempt-1, 0), agingLimit)
}
