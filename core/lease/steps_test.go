//go:build !race

package lease_test

// maximumSteps is the number of clock steps that the search covers: a takeover and
// one step after it.
const maximumSteps = 4
