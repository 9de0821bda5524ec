package emulation_test

import (
	"fmt"

	"coltsfootward/core/emulation"
)

func ExampleDeployment_SlotTime() {
	d := emulation.Consortium()
	for _, class := range []string{"lookup", "certificate", "status", "run_log"} {
		for _, c := range d.Classes {
			if string(c.Name) == class {
				fmt.Println(class, "occupies the road sections for", d.SlotTime(c.Name, "sections"))
			}
		}
	}
	// Output:
	// lookup occupies the road sections for 275ms
	// certificate occupies the road sections for 550ms
	// status occupies the road sections for 88ms
	// run_log occupies the road sections for 0s
}
