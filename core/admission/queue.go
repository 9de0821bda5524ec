package admission

import (
	"cmp"
	"slices"
	"time"

	"coltsfootward"
)

// RequestID names a request within one Controller.
type RequestID uint64

// Request is what admission needs to know of a request.
type Request struct {
	ID RequestID
	// Priority is the rank of the request's priority, 0 the most important.
	Priority int
	// ShedRank orders requests of all priorities; lower is more important.
	ShedRank uint32
	// Deep is set for requests that another request in service waits for.
	Deep         bool
	Organisation coltsfootward.OrganisationName
	// Weight is the organisation's share against others; zero means 1.
	Weight float64
	// Class groups requests that take about equally long.
	Class string
	// Arrived is when the request came, Deadline when its caller stops waiting.
	Arrived, Deadline time.Duration
	// StartBy is when what entitles the request to start ends; zero means that
	// it does not.
	StartBy time.Duration
	// Repeatable requests may be spent on trying out a server that seems too slow.
	Repeatable bool

	// cost is the slot time that the request is expected to take, in seconds.
	cost float64
}

// priorityCount is the number of priority ranks: four priorities, each of them
// in four ranks of a second one.
const priorityCount = 16

// Queue holds waiting requests. Requests of higher priority leave first;
// within a priority deep ones leave before fresh ones, since slots elsewhere
// are held for them; within these the organisations take turns in proportion
// to their weights, measured in slot time. The zero value is ready. It is not
// safe for concurrent use.
type Queue struct {
	lanes [2 * priorityCount]lane
	size  int
}

// lane is the part of the queue for one priority and depth.
//
// Turns are taken by start-time fair queueing: each organisation has a virtual
// time that advances by cost over weight with every request served, and the
// lowest is served next. An organisation that comes late starts at the lane's
// time, so it cannot save up turns while it is idle.
type lane struct {
	turns   []*turn
	virtual float64
	// past holds the virtual times of organisations with nothing waiting that
	// are still ahead of the lane's.
	past map[coltsfootward.OrganisationName]float64
}

// turn is an organisation's requests in a lane, most important first.
type turn struct {
	organisation coltsfootward.OrganisationName
	weight       float64
	virtual      float64
	cost         float64
	waiting      []Request
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// Push adds a request.
func (q *Queue) Push(r Request) {
	l := &q.lanes[laneOf(r)]
	t := l.turnOf(r)
	i, _ := slices.BinarySearchFunc(t.waiting, r, compareRank)
	t.waiting = slices.Insert(t.waiting, i, r)
	t.cost += r.slotTime()
	q.size++
}

func laneOf(r Request) int {
	index := 2 * min(max(r.Priority, 0), priorityCount-1)
	if !r.Deep {
		index++
	}
	return index
}

// compareRank orders the requests of one organisation and priority by shed
// rank, not by age: every depth of a call chain then serves the same requests
// first, and what a chain has begun it also finishes.
func compareRank(a, b Request) int {
	if c := cmp.Compare(a.ShedRank, b.ShedRank); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

func (r Request) slotTime() float64 { return max(r.cost, minimumCost) }

// minimumCost keeps turns apart before anything is known of service times.
const minimumCost = 0.001

func (l *lane) turnOf(r Request) *turn {
	for _, t := range l.turns {
		if t.organisation == r.Organisation {
			return t
		}
	}
	t := &turn{organisation: r.Organisation, weight: r.Weight, virtual: max(l.virtual, l.past[r.Organisation])}
	delete(l.past, r.Organisation)
	if t.weight <= 0 {
		t.weight = 1
	}
	l.turns = append(l.turns, t)
	return t
}

// Pop removes and returns the request to serve next.
func (q *Queue) Pop() (Request, bool) {
	for i := range q.lanes {
		l := &q.lanes[i]
		if len(l.turns) == 0 {
			continue
		}
		return q.serve(l), true
	}
	return Request{}, false
}

func (q *Queue) serve(l *lane) Request {
	next := slices.MinFunc(l.turns, func(a, b *turn) int {
		return cmp.Or(cmp.Compare(a.virtual, b.virtual), cmp.Compare(a.organisation, b.organisation))
	})
	r := next.waiting[0]
	l.virtual = next.virtual
	next.virtual += r.slotTime() / next.weight
	q.remove(l, next, 0)
	return r
}

func (q *Queue) remove(l *lane, t *turn, i int) {
	t.cost -= t.waiting[i].slotTime()
	t.waiting = slices.Delete(t.waiting, i, i+1)
	q.size--
	if len(t.waiting) == 0 {
		l.retire(t)
	}
}

// retire forgets an organisation with nothing left, but for how far its turns
// went: it would otherwise get a fresh start with every request that it sends
// one by one. Once nobody waits there is no contention and all start alike.
func (l *lane) retire(t *turn) {
	l.turns = slices.DeleteFunc(l.turns, func(other *turn) bool { return other == t })
	if len(l.turns) == 0 {
		l.virtual = 0
		clear(l.past)
		return
	}
	if l.past == nil {
		l.past = make(map[coltsfootward.OrganisationName]float64)
	}
	l.past[t.organisation] = t.virtual
}

// Evict removes and returns the request that matters least: the lowest
// priority that waits, fresh before deep, there the organisation with the most
// waiting work for its weight, and of its requests the one with the highest
// shed rank.
func (q *Queue) Evict() (Request, bool) {
	for i := len(q.lanes) - 1; i >= 0; i-- {
		l := &q.lanes[i]
		if len(l.turns) == 0 {
			continue
		}
		heaviest := slices.MaxFunc(l.turns, func(a, b *turn) int {
			return cmp.Or(cmp.Compare(a.cost/a.weight, b.cost/b.weight), cmp.Compare(a.organisation, b.organisation))
		})
		last := len(heaviest.waiting) - 1
		r := heaviest.waiting[last]
		q.remove(l, heaviest, last)
		return r, true
	}
	return Request{}, false
}

// Remove takes the request of that number out and reports whether it waited.
func (q *Queue) Remove(id RequestID) bool {
	removed := q.RemoveFunc(func(r Request) bool { return r.ID == id })
	return len(removed) > 0
}

// RemoveFunc takes out every request that drop accepts, most important first.
func (q *Queue) RemoveFunc(drop func(Request) bool) []Request {
	var removed []Request
	for i := range q.lanes {
		l := &q.lanes[i]
		for _, t := range slices.Clone(l.turns) {
			removed = append(removed, q.removeFrom(l, t, drop)...)
		}
	}
	return removed
}

func (q *Queue) removeFrom(l *lane, t *turn, drop func(Request) bool) []Request {
	var removed []Request
	for i := 0; i < len(t.waiting); {
		if !drop(t.waiting[i]) {
			i++
			continue
		}
		removed = append(removed, t.waiting[i])
		q.remove(l, t, i)
	}
	return removed
}

// cost returns the expected slot time of all waiting requests, in seconds.
func (q *Queue) cost() float64 { return q.costOf(len(q.lanes)) }

// ahead returns the expected slot time of everything that leaves before r, which may
// be the first of its lane.
func (q *Queue) ahead(r Request, first bool) float64 {
	lanes := laneOf(r) + 1
	if first {
		lanes--
	}
	return q.costOf(lanes)
}

// costOf returns the expected slot time of what waits in so many of the first lanes.
func (q *Queue) costOf(lanes int) float64 {
	total := 0.0
	for i := range lanes {
		for _, t := range q.lanes[i].turns {
			total += t.cost
		}
	}
	return total
}
