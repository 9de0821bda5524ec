//go:build race

package lease_test

// maximumSteps is smaller under the race detector, which slows the search down ten
// times and cannot find races in it: the search runs on one goroutine.
const maximumSteps = 3
