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
	// start is the rig's time at its beginning; not zero, so that a part that
	// forgets to initialise a time shows it.
	start = time.Hour
	// wallStart is the wall clocks' reading at the rig's time zero, as a Unix time.
	wallStart = 1_800_000_000
	// DefaultDelay is the one-way delay of a link.
	DefaultDelay = 500 * time.Microsecond
	// breakDelay is how long a sender takes to notice that a link is cut.
	breakDelay = 200 * time.Millisecond
)

// Rig holds nodes, links and the table. Create it with New. It is not safe for
// concurrent use.
type Rig struct {
	// Table is the platform's table that all nodes share.
	Table *Table
	// Delay returns the one-way delay between two instances; nil means
	// DefaultDelay.
	Delay func(from, to coltsfootward.Instance) time.Duration
	// DropMessage, if set, decides whether a message between nodes is lost.
	DropMessage func(from, to coltsfootward.Instance) bool

	source  *rand.Rand
	now     time.Duration
	queue   eventQueue
	counter uint64
	members map[coltsfootward.InstanceID]*Member
	cut     map[link]bool
}

type link struct{ from, to coltsfootward.InstanceID }

// New returns an empty rig. All random choices follow from seed.
func New(seed uint64) *Rig {
	r := &Rig{
		source:  rand.New(rand.NewPCG(seed, seed)),
		now:     start,
		members: make(map[coltsfootward.InstanceID]*Member),
		cut:     make(map[link]bool),
	}
	r.Table = newTable(r)
	return r
}

// Now returns how long the rig has run.
func (r *Rig) Now() time.Duration { return r.now - start }

// Wall returns what the nodes' wall clocks show.
func (r *Rig) Wall() time.Time { return time.Unix(wallStart, 0).UTC().Add(r.now) }

// Source returns the rig's random source.
func (r *Rig) Source() *rand.Rand { return r.source }

// After runs f once d has passed.
func (r *Rig) After(d time.Duration, f func()) {
	r.counter++
	heap.Push(&r.queue, scheduled{at: r.now + max(d, 0), order: r.counter, run: f})
}

// Run lets d pass.
func (r *Rig) Run(d time.Duration) {
	end := r.now + d
	for len(r.queue) > 0 && r.queue[0].at <= end {
		next := heap.Pop(&r.queue).(scheduled)
		r.now = next.at
		next.run()
	}
	r.now = end
}

// RunUntil lets time pass until done returns true, for at most limit. It
// reports whether done became true.
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

// Cut drops everything between two instances, both ways.
func (r *Rig) Cut(a, b coltsfootward.InstanceID) {
	r.cut[link{a, b}] = true
	r.cut[link{b, a}] = true
}

// Heal undoes Cut.
func (r *Rig) Heal(a, b coltsfootward.InstanceID) {
	delete(r.cut, link{a, b})
	delete(r.cut, link{b, a})
}

// CutDomain cuts a failure domain off from all others, and from the table too
// if table is set.
func (r *Rig) CutDomain(domain coltsfootward.FailureDomain, table bool) {
	r.eachCrossing(domain, r.Cut)
	if table {
		r.Table.setCut(domain, true)
	}
}

// HealDomain undoes CutDomain.
func (r *Rig) HealDomain(domain coltsfootward.FailureDomain) {
	r.eachCrossing(domain, r.Heal)
	r.Table.setCut(domain, false)
}

func (r *Rig) eachCrossing(domain coltsfootward.FailureDomain, apply func(a, b coltsfootward.InstanceID)) {
	for _, a := range r.Members() {
		for _, b := range r.Members() {
			if a.Instance.Domain == domain && b.Instance.Domain != domain {
				apply(a.Instance.ID, b.Instance.ID)
			}
		}
	}
}

// Members returns every node that was added, in the order of their names.
func (r *Rig) Members() []*Member {
	var all []*Member
	for _, id := range slices.Sorted(maps.Keys(r.members)) {
		all = append(all, r.members[id])
	}
	return all
}

// Submit stores a change at the next revision, past any operator's interface.
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
	return !r.cut[link{from, to}]
}

// scheduled is something that will happen.
type scheduled struct {
	at    time.Duration
	order uint64
	run   func()
}

// eventQueue is a heap by time, then by the order of scheduling.
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

// Instance returns an instance of that name in that domain, with addresses
// that no other name shares.
func Instance(id coltsfootward.InstanceID, domain coltsfootward.FailureDomain) coltsfootward.Instance {
	return coltsfootward.Instance{ID: id, Domain: domain, Address: string(id) + ":1", OperatorAddress: string(id) + ":2", Incarnation: 1}
}

// Add starts a node. options.Self names it.
func (r *Rig) Add(options node.Options) *Member {
	m := newMember(r, options)
	r.members[options.Self.ID] = m
	m.boot()
	return m
}
