// Package pressure lets entry nodes refuse requests that a service further down the
// call chain has no capacity for, before any service has started work on them.
//
// Four types work together. On each backend server's node, a Meter measures the load
// offered to the server, and a Throttle computes the fraction of the demand to
// refuse. Callees on the same node estimates which child calls the requests of each
// class make, so that responses also report the excess at the called services and the
// slot time that a request takes there. On each entry node, Gates refuses that
// fraction: the least important requests first and, among equally important ones, the
// most expensive.
//
// The design load is a burst whose demand for the last service of a call chain is
// twice the capacity of that service, while every request holds slots at all services
// up the chain. A request refused at the last service has wasted the work of the
// others. Because each request makes several calls to the saturated service, refusing
// a third of the calls fails nearly all requests. The package only makes decisions: it
// reads no clock and performs no I/O.
package pressure
