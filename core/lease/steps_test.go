//go:build !race

package lease_test

// lastStep is how far the search lets time pass: a takeover and a step beyond.
const lastStep = 4
