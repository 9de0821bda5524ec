package coltsfootward_test

import (
	"fmt"

	"coltsfootward"
)

func ExampleOutOfService() {
	var none coltsfootward.OutOfService
	one := none.WithDomain("south", true).WithVersion(7)
	both := one.WithDomain("north", true).WithDomain("north", true)
	fmt.Println(both.Domains, one.Domains, none.Has("south"))
	fmt.Println(both.WithDomain("south", false).SameDomains(none.WithDomain("north", true)))
	// Output:
	// [north south] [south] false
	// true
}
