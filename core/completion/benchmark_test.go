package completion_test

import (
	"fmt"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/completion"
	"coltsfootward/core/message"
)

func BenchmarkExpected(b *testing.B) {
	var service completion.Service
	var server completion.Server
	service.ObserveCost(&server, "read", 0.1)
	server.ObserveLoad(0, message.Load{Slowdown: 2.5})
	for b.Loop() {
		service.Expected(time.Millisecond, &server, "read", completion.Use{Occupancy: 0.7, Limit: 60})
	}
}

// One iteration is a notice to 32 out of 256 entry nodes; at most ten are sent a second.
func BenchmarkNotice(b *testing.B) {
	var n completion.Notifier
	now := time.Minute
	for b.Loop() {
		now += time.Second
		for i := range 256 {
			n.Used(now, coltsfootward.InstanceID(fmt.Sprint(i)))
		}
		n.Observe(now, message.Load{Slowdown: 1 + float64(now/time.Second%2)})
	}
}
