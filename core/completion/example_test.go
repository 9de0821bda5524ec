package completion_test

import (
	"fmt"
	"time"

	"coltsfootward/core/completion"
	"coltsfootward/core/message"
)

func ExampleService() {
	var service completion.Service
	var slow, usual completion.Server
	service.ObserveCost(&slow, "read", 0.1)
	service.ObserveCost(&usual, "read", 0.1)
	now := time.Minute
	slow.ObserveLoad(now, message.Load{Slowdown: 2.5})
	use := completion.Use{Occupancy: 0.25, Limit: 60}
	fmt.Printf("%.2f s, %.2f s\n", service.Expected(now, &slow, "read", use), service.Expected(now, &usual, "read", use))
	now += 3 * time.Second
	fmt.Printf("%.2f s after the statement has become old\n", service.Expected(now, &slow, "read", use))
	// Output:
	// 0.25 s, 0.10 s
	// 0.10 s after the statement has become old
}
