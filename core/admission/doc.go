// Package admission decides which requests a backend server serves, which wait
// for it and which are refused. It stands at the server's own node, where all
// work for the server passes, so it goes by what it sees itself: reported
// health and load play no part.
//
// A Limiter finds how many requests the server handles at once, a Queue orders
// what waits, a Shedder tells entry nodes which requests to refuse before any
// work is done, and a Controller puts the three together. None of them is safe
// for concurrent use; time and randomness come from the caller.
package admission
