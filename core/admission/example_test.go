package admission_test

import (
	"fmt"
	"time"

	"coltsfootward/core/admission"
)

func ExampleController() {
	c := admission.NewController(1)
	now := time.Duration(0)
	for id, priority := range []int{2, 3, 0} {
		c.Offer(now, admission.Request{ID: admission.RequestID(id), Priority: priority, Organisation: "traders", Deadline: time.Second})
		if r, ok := c.Next(now); ok {
			fmt.Println("begins:", r.ID)
		}
	}
	c.Done(now, 0, false)
	r, _ := c.Next(now)
	fmt.Println("next:", r.ID)
	// Output:
	// begins: 0
	// next: 2
}
