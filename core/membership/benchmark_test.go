package membership_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/membership"
	"coltsfootward/core/message"
)

// The benchmarks measure how the costs in docs/CAPACITY.md grow with the number of
// nodes. Run each once:
//
//	go test ./core/membership -run '^$' -bench . -benchtime 1x

const measuredTime = time.Minute

// BenchmarkQuiet measures the messages and bytes that a node sends while nothing changes.
func BenchmarkQuiet(b *testing.B) {
	for _, size := range []int{52, 100, 200, 400} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for range b.N {
				c := newCluster(1)
				c.populate(4, size/4)
				c.run(2 * time.Minute)
				report(b, c, size, func() { c.run(measuredTime) })
			}
		})
	}
}

// BenchmarkChurn measures the messages and bytes that a node sends while members change
// their announcements, at ten times the target's rate of updates.
func BenchmarkChurn(b *testing.B) {
	for _, size := range []int{52, 100, 200, 400} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for range b.N {
				c := newCluster(1)
				c.populate(4, size/4)
				c.run(2 * time.Minute)
				report(b, c, size, func() {
					for range 60 {
						m := c.members[c.source.IntN(size)]
						m.machine.Announce("service-0", c.source.IntN(100)+1, false)
						c.run(measuredTime / 60)
					}
				})
			}
		})
	}
}

// report calls run, which must simulate one minute, and reports the messages, bytes,
// peers and CPU time per node.
func report(b *testing.B, c *cluster, size int, run func()) {
	c.countBytes, c.messages, c.bytes, c.links = true, 0, 0, make(map[[2]coltsfootward.InstanceID]bool)
	start := time.Now()
	run()
	elapsed := time.Since(start)
	perNode := float64(size) * measuredTime.Seconds()
	b.ReportMetric(float64(c.messages)/perNode, "messages/s/node")
	b.ReportMetric(float64(c.bytes)/perNode, "bytes/s/node")
	b.ReportMetric(float64(len(c.links))/float64(size), "peers/node")
	b.ReportMetric(elapsed.Seconds()*1e6/perNode, "cpu-us/s/node")
	b.ReportMetric(0, "ns/op")
}

// machineWithMembers returns a machine with size members, in 18 domains and 1,500
// services, and the updates with which they were added.
func machineWithMembers(size int) (*membership.Machine, []message.MemberUpdate) {
	self := coltsfootward.Instance{ID: "self", Domain: "d00", Address: "10.0.0.1:7000", Incarnation: 1}
	options := membership.Options{Self: self, Send: func(coltsfootward.Instance, message.Message) {}}
	m := membership.New(options, rand.New(rand.NewPCG(1, 2)), coltsfootward.At(time.Hour))
	var page message.RosterPage
	for i := range size {
		page.Updates = append(page.Updates, message.MemberUpdate{State: message.MemberAlive, Announcement: message.Announcement{
			Instance: coltsfootward.Instance{
				ID: coltsfootward.InstanceID(fmt.Sprintf("instance-%05d", i)), Domain: coltsfootward.FailureDomain(fmt.Sprintf("d%02d", i%18)),
				Address: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250), OperatorAddress: fmt.Sprintf("10.1.%d.%d:7100", i/250, i%250), Incarnation: 1_800_000_000_000_000_000,
			},
			Version: 3, Service: coltsfootward.ServiceName(fmt.Sprintf("service-%04d", i%1500)), Slots: 40,
		}})
	}
	m.Receive(coltsfootward.At(time.Hour), "instance-00001", &page, 0)
	return m, page.Updates
}

// BenchmarkRosterMemory measures the memory of a roster.
func BenchmarkRosterMemory(b *testing.B) {
	for _, size := range []int{6000, 12000, 24000} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				m, _ := machineWithMembers(size)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "bytes/member")
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
				runtime.KeepAlive(m)
			}
		})
	}
}

// BenchmarkReceiveGossip measures the CPU time of one gossip message with the maximum
// number of updates, at a full roster.
func BenchmarkReceiveGossip(b *testing.B) {
	for _, size := range []int{6000, 24000} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			m, updates := machineWithMembers(size)
			now := coltsfootward.At(2 * time.Hour)
			b.ResetTimer()
			for i := range b.N {
				gossip := &message.Gossip{}
				for k := range 8 {
					update := &updates[(i*8+k)%size]
					update.Announcement.Version++
					gossip.Updates = append(gossip.Updates, *update)
				}
				m.Receive(now, "instance-00001", gossip, 0)
			}
		})
	}
}

// BenchmarkTick measures the CPU time of a tick at a full roster.
func BenchmarkTick(b *testing.B) {
	for _, size := range []int{6000, 24000} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			m, _ := machineWithMembers(size)
			now := coltsfootward.At(2 * time.Hour)
			b.ResetTimer()
			for range b.N {
				now = now.Add(10 * time.Millisecond)
				m.Tick(now)
			}
		})
	}
}

// BenchmarkUpstreams measures the CPU time of a look-up of a service's 16 backend servers
// at a full roster.
func BenchmarkUpstreams(b *testing.B) {
	m, _ := machineWithMembers(24000)
	b.ResetTimer()
	for range b.N {
		if got := len(m.Upstreams("service-0007")); got != 16 {
			b.Fatalf("got %d, want 16", got)
		}
	}
}

// BenchmarkFirstRoster measures the time and the bytes until a new node has received a
// full roster from its contact.
func BenchmarkFirstRoster(b *testing.B) {
	for _, size := range []int{6000, 24000} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			for range b.N {
				c := newCluster(1)
				first := c.add("first", "d00", 1)
				_, updates := machineWithMembers(size)
				first.machine.Receive(coltsfootward.At(c.now), "nobody", &message.RosterPage{Updates: updates}, 0)
				c.countBytes = true
				joined := c.add("fresh", "d00", 1)
				took, ok := c.runUntil(10*time.Minute, func() bool { return len(joined.machine.All()) >= size })
				if !ok {
					b.Fatalf("the new node has %d of %d members", len(joined.machine.All()), size)
				}
				b.ReportMetric(took.Seconds(), "s")
				b.ReportMetric(float64(c.bytes)/1e6, "MB")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
