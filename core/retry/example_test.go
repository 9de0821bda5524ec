package retry_test

import (
	"fmt"

	"coltsfootward/core/retry"
)

func ExampleAllowance() {
	var a retry.Allowance
	granted := 0
	for range 100 {
		if a.Take(0) {
			granted++
		}
	}
	fmt.Println(granted, "retries of 100 failures")
	// Output: 20 retries of 100 failures
}

func ExampleGrants() {
	g := retry.Grants{Share: 0.2}
	for range 100 {
		g.RecordDispatch(0, retry.Attempt{Direct: true})
		g.RecordEnd(0, true)
	}
	granted := 0
	for range 100 {
		if g.Grant(0, retry.Ask{Direct: true}) {
			granted++
		}
	}
	fmt.Println(granted, "retries granted for 100 rejections")
	// Output: 17 retries granted for 100 rejections
}
