// Package demand measures the demand for services that are nearly at capacity and sums
// it up over all entry nodes, so that each of them can decide by what the whole fleet
// asks for instead of by its own callers alone.
package demand
