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
