package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"coltsfootward"
	"coltsfootward/core/membership"
	"coltsfootward/core/message"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	tickInterval = 50 * time.Millisecond
	linkDelay    = time.Millisecond
)

// cluster runs membership machines, without the rest of a node, under a virtual clock.
type cluster struct {
	now     time.Duration
	queue   deliveries
	order   uint64
	source  *rand.Rand
	members []*clusterMember
	byID    map[coltsfootward.InstanceID]*clusterMember
	// blocked reports whether a message between two instances is lost. Nil loses none.
	blocked func(from, to coltsfootward.Instance) bool
	// countBytes enables the counting of bytes and links.
	countBytes      bool
	messages, bytes int
	// links contains each pair of sender and receiver seen while countBytes is set.
	links map[[2]coltsfootward.InstanceID]bool
}

type clusterMember struct {
	cluster *cluster
	self    coltsfootward.Instance
	machine *membership.Machine
	alive   bool
}

func newCluster(seed uint64) *cluster {
	return &cluster{
		now:    time.Hour,
		links:  make(map[[2]coltsfootward.InstanceID]bool),
		source: rand.New(rand.NewPCG(seed, 1)),
		byID:   make(map[coltsfootward.InstanceID]*clusterMember),
	}
}

// populate adds count members to each domain. All have the very first member as their
// contact. Each announces a backend server; the services go round-robin.
func (c *cluster) populate(domains, count int) {
	for d := range domains {
		for i := range count {
			m := c.add(fmt.Sprintf("d%02d-%05d", d, i), fmt.Sprintf("d%02d", d), 1)
			m.machine.Announce(coltsfootward.ServiceName(fmt.Sprintf("service-%d", i%4)), 10, false)
		}
	}
}

func (c *cluster) add(id, domain string, incarnation coltsfootward.Incarnation) *clusterMember {
	self := coltsfootward.Instance{
		ID: coltsfootward.InstanceID(id), Domain: coltsfootward.FailureDomain(domain),
		Address: "10.10.10.10:7000", OperatorAddress: "10.10.10.10:7100", Incarnation: incarnation,
	}
	m := &clusterMember{cluster: c, self: self, alive: true}
	m.machine = membership.New(membership.Options{Self: self, Send: m.send}, rand.New(rand.NewPCG(c.source.Uint64(), 2)), coltsfootward.At(c.now))
	if old, ok := c.byID[self.ID]; ok {
		old.alive = false
	}
	c.byID[self.ID] = m
	c.members = append(c.members, m)
	if c.members[0] != m {
		m.machine.Contact(coltsfootward.At(c.now), c.members[0].self)
	}
	c.schedule(time.Duration(c.source.Int64N(int64(tickInterval))), m.tick)
	return m
}

func (m *clusterMember) tick() {
	if !m.alive {
		return
	}
	m.machine.Tick(coltsfootward.At(m.cluster.now))
	m.cluster.schedule(tickInterval, m.tick)
}

func (m *clusterMember) send(to coltsfootward.Instance, sent message.Message) {
	c := m.cluster
	c.messages++
	if c.countBytes {
		data, err := msgpack.Marshal(sent)
		if err != nil {
			panic(err)
		}
		c.bytes += len(data)
		c.links[[2]coltsfootward.InstanceID{m.self.ID, to.ID}] = true
	}
	if c.blocked != nil && c.blocked(m.self, to) {
		return
	}
	c.schedule(linkDelay, func() {
		target, ok := c.byID[to.ID]
		if ok && target.alive {
			target.machine.Receive(coltsfootward.At(c.now), m.self.ID, sent, linkDelay)
		}
	})
}

func (c *cluster) schedule(d time.Duration, f func()) {
	c.order++
	heap.Push(&c.queue, delivery{c.now + d, c.order, f})
}

func (c *cluster) run(d time.Duration) {
	end := c.now + d
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(delivery)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// runUntil runs the cluster until done returns true, at most for limit. It returns the
// elapsed time and whether done returned true.
func (c *cluster) runUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := c.now
	for !done() {
		if c.now-start >= limit {
			return c.now - start, false
		}
		c.run(100 * time.Millisecond)
	}
	return c.now - start, true
}

// allLive reports whether the condition is true for every live member.
func (c *cluster) allLive(condition func(m *clusterMember) bool) bool {
	for _, m := range c.members {
		if m.alive && !condition(m) {
			return false
		}
	}
	return true
}

func (c *cluster) liveCount() int {
	count := 0
	for _, m := range c.members {
		if m.alive {
			count++
		}
	}
	return count
}

func (c *cluster) converged() bool {
	live := c.liveCount()
	return c.allLive(func(m *clusterMember) bool { return m.machine.Size() == live })
}

type delivery struct {
	at    time.Duration
	order uint64
	run   func()
}

type deliveries []delivery

func (q deliveries) Len() int { return len(q) }
func (q deliveries) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q deliveries) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *deliveries) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q *deliveries) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
