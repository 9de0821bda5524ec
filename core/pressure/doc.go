// Package pressure has entry nodes refuse what a service further down a chain of
// calls could not serve, before anything has begun to work for it.
//
// Four parts work together. A Meter at each backend server's node measures how
// much is offered to the server, and a Throttle beside it decides which part of the
// demand is to be refused. Callees at the same node learn which further calls each
// class of requests makes, so that an answer can tell the same of the services
// below, and what a request takes of each. Gates at each entry node refuse that
// part, least important first, and among equals those that take most.
//
// The load that it is made for: a deep service has half the capacity that a burst
// asks of it, and every request holds slots of all services above it. Refused at
// the deep service, a request has cost those above it their work for nothing, and
// because a request needs several of its calls, a third of them refused fails
// nearly all requests. The package decides only: it reads no clock and does no I/O.
package pressure
