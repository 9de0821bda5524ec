// Package crossing decides which requests are sent to servers in another failure domain.
//
// It answers loads that are uneven between domains: a wave of demand that reaches the
// domains one after the other, callers that move to another domain, and domains with
// different numbers of servers. Sending a request away as soon as one server is nearly
// full lets nearly all requests cross under an overload, although the other domains are
// as full: bytes between domains are expensive, and the requests gain nothing. Here a
// domain sends away only the demand that exceeds its capacity, and only as much as the
// others have room for.
package crossing
