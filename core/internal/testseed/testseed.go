// Package testseed fixes the seed of property tests, so that every run of the
// tests gives the same result. A test package uses it by a blank import. The
// flag -rapid.seed sets another seed.
package testseed

import (
	"flag"

	// The flags of rapid must be registered before one of them is set.
	_ "pgregory.net/rapid"
)

// seed is the value of -rapid.seed unless the command line sets another.
const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("testseed: " + err.Error() + ": use the present name of rapid's flag")
	}
}
