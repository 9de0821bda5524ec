//go:build race

package lease_test

// lastStep is smaller under the race detector, which makes the search ten times
// as slow and has nothing to find in it: the search runs on one goroutine.
const lastStep = 3
