// Package attribution finds the request in service that a child call belongs to, in
// deployments whose backend servers make child calls without a token.
//
// The design load is a request whose child calls must all succeed while the called
// service serves only half of what it gets. Without attribution, each call has a random
// place in the queues, so that nearly every request loses one of its calls and the work
// done for the others. With it, all calls of a request carry the request's rank, and the
// services down the call chain serve the same requests.
//
// A call expires at its parent's deadline, or at a limit of its own that is counted from
// its parent's start. Index keeps the deadlines stated with the requests in service apart
// from each other, so that the time at which a call expires identifies its parent.
package attribution
