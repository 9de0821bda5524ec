package nodetest

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"
)

const (
	// initialTime is the virtual time at which a rig starts. It is not zero, so
	// that code that fails to initialise a time is noticed.
	initialTime = time.Hour
	// wallStart is the Unix time, in seconds, that the wall clocks show at the
	// virtual time zero.
	wallStart = 1_800_000_000
	// DefaultDelay is the one-way delay of a link.
	DefaultDelay = 500 * time.Microsecond
	// breakDetectionDelay is the time after which a sender notices that a link is
	// partitioned or that a connection has broken. A health check of the backend
	// server takes as long.
	breakDetectionDelay = 200 * time.Millisecond
)

// Rig is a simulated deployment: nodes, the links between them and the
// platform's table. Create it with New. It is not safe for concurrent use.
type Rig struct {
	// Table is the fake of the platform's table, which all nodes share.
	Table *Table
	// Documents is the fake of the operators' document, which all nodes share.
	Documents *Documents
	// Delay returns the one-way delay between two instances; nil means
	// DefaultDelay.
	Delay func(from, to coltsfootward.Instance) time.Duration
	// DropMessage, if set, decides whether a message between nodes is lost.
	DropMessage func(from, to coltsfootward.Instance) bool

	source         *rand.Rand
	now            time.Duration
	queue          eventQueue
	scheduledCount uint64
	members        map[coltsfootward.InstanceID]*Member
	partitioned    map[link]bool
}

type link struct{ from, to coltsfootward.InstanceID }

// New returns a rig without nodes. All random choices derive from seed.
func New(seed uint64) *Rig {
	r := &Rig{
		source:      rand.New(rand.NewPCG(seed, seed)),
		now:         initialTime,
		members:     make(map[coltsfootward.InstanceID]*Member),
		partitioned: make(map[link]bool),
	}
	r.Table = newTable(r)
	r.Documents = &Documents{rig: r}
	return r
}

// Now returns the virtual time that has passed since the rig was created.
func (r *Rig) Now() time.Duration { return r.now - initialTime }

// Wall returns the current reading of the nodes' wall clocks.
func (r *Rig) Wall() time.Time { return time.Unix(wallStart, 0).UTC().Add(r.now) }

// Source returns the rig's random source.
func (r *Rig) Source() *rand.Rand { return r.source }

// After schedules f to run after the virtual time d. A negative d counts as zero.
func (r *Rig) After(d time.Duration, f func()) {
	r.scheduledCount++
	heap.Push(&r.queue, scheduled{at: r.now + max(d, 0), order: r.scheduledCount, run: f})
}

// Run advances the virtual time by d and runs the events that fall due.
func (r *Rig) Run(d time.Duration) {
	end := r.now + d
	for len(r.queue) > 0 && r.queue[0].at <= end {
		next := heap.Pop(&r.queue).(scheduled)
		r.now = next.at
		next.run()
	}
	r.now = end
}

// RunUntil advances the virtual time in steps of one millisecond until done
// returns true, for at most limit. It reports whether done returned true.
func (r *Rig) RunUntil(limit time.Duration, done func() bool) bool {
	end := r.now + limit
	for !done() {
		if r.now >= end {
			return false
		}
		r.Run(time.Millisecond)
	}
	return true
}

// Partition simulates a network partition between two instances: no message and no
// call passes in either direction until Heal.
func (r *Rig) Partition(a, b coltsfootward.InstanceID) {
	r.partitioned[link{a, b}] = true
	r.partitioned[link{b, a}] = true
}

// Heal restores the link between two instances in both directions.
func (r *Rig) Heal(a, b coltsfootward.InstanceID) {
	delete(r.partitioned, link{a, b})
	delete(r.partitioned, link{b, a})
}

// PartitionDomain partitions a failure domain from all others, and from the table
// as well if table is set.
func (r *Rig) PartitionDomain(domain coltsfootward.FailureDomain, table bool) {
	r.forEachCrossingLink(domain, r.Partition)
	if table {
		r.Table.setDomainPartitioned(domain, true)
	}
}

// HealDomain restores a failure domain's links to the others and to the table.
func (r *Rig) HealDomain(domain coltsfootward.FailureDomain) {
	r.forEachCrossingLink(domain, r.Heal)
	r.Table.setDomainPartitioned(domain, false)
}

func (r *Rig) forEachCrossingLink(domain coltsfootward.FailureDomain, apply func(a, b coltsfootward.InstanceID)) {
	for _, a := range r.Members() {
		for _, b := range r.Members() {
			if a.Instance.Domain == domain && b.Instance.Domain != domain {
				apply(a.Instance.ID, b.Instance.ID)
			}
		}
	}
}

// Members returns every node that was added, killed ones included, ordered by
// instance ID.
func (r *Rig) Members() []*Member {
	var all []*Member
	for _, id := range slices.Sorted(maps.Keys(r.members)) {
		all = append(all, r.members[id])
	}
	return all
}

// Submit writes changes to the table, each at the next revision, without going
// through a node's operator interface.
func (r *Rig) Submit(changes ...coltsfootward.Change) {
	for _, change := range changes {
		r.Table.submit(change)
	}
}

func (r *Rig) delay(from, to coltsfootward.Instance) time.Duration {
	if from.ID == to.ID {
		return 0
	}
	if r.Delay == nil {
		return DefaultDelay
	}
	return r.Delay(from, to)
}

func (r *Rig) connected(from, to coltsfootward.InstanceID) bool {
	return !r.partitioned[link{from, to}]
}

// scheduled is an event that runs at a given virtual time.
type scheduled struct {
	at    time.Duration
	order uint64
	run   func()
}

// eventQueue is a heap of events, ordered by time and then by the order in which
// they were scheduled.
type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduled)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Instance returns an instance with the given ID and domain. Its addresses
// derive from the ID and are therefore unique.
func Instance(id coltsfootward.InstanceID, domain coltsfootward.FailureDomain) coltsfootward.Instance {
	return coltsfootward.Instance{ID: id, Domain: domain, Address: string(id) + ":1", OperatorAddress: string(id) + ":2", Incarnation: 1}
}

// Add creates and starts the node that options.Self describes.
func (r *Rig) Add(options node.Options) *Member {
	m := newMember(r, options)
	r.members[options.Self.ID] = m
	m.boot()
	return m
}
