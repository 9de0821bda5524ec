package admission

import (
	"cmp"
	"slices"
	"time"

	"coltsfootward"
)

// RequestID identifies a request within a Controller.
type RequestID uint64

// Request describes a request for admission.
type Request struct {
	ID RequestID
	// Priority is the rank of the request's priority; 0 is the most important.
	Priority int
	// ShedRank orders requests of all priorities; lower is more important.
	ShedRank uint32
	// Deep is set for child calls, which another request in service waits for.
	// Requests without it are root requests.
	Deep bool
	// Attributed is set for a deep request whose Priority and ShedRank are those of the
	// root request that led to it.
	Attributed   bool
	Organisation coltsfootward.OrganisationName
	// Weight is the organisation's weight relative to others; zero means 1.
	Weight float64
	// Class groups requests that take about equally long.
	Class string
	// Arrived is the arrival time of the request; Deadline is when its caller stops
	// waiting.
	Arrived, Deadline time.Duration
	// StartBy is the time when the request's permission to start expires; zero means
	// never.
	StartBy time.Duration
	// Repeatable requests may be used as probes of a server that seems too slow.
	Repeatable bool

	// cost is the slot time, in seconds, that the request is expected to take.
	cost float64
}

// priorityCount is the number of priority ranks: four priorities with four secondary
// priorities each.
const priorityCount = 16

// leastShare is the part of its share of the waiting slot time that every lane is served.
// Without it, less important requests that an entry node has admitted would wait until
// their callers' deadlines while more important ones keep arriving, and the work already
// done for them would be lost.
const leastShare = 0.25

// Queue holds waiting requests. Requests of higher priority leave first. Within a
// priority, deep requests leave before root requests, because slots at other services
// are held for them. Each priority and depth nevertheless gets leastShare of its share of the
// waiting slot time. Among requests of the same priority and depth, the organisations
// are served in proportion to their weights, measured in slot time. The zero value is
// ready for use. Queue is not safe for concurrent use.
type Queue struct {
	lanes [2 * priorityCount]lane
	size  int
	// cost is the slot time of all waiting requests.
	cost float64
}

// lane is the part of the queue for one priority and depth.
//
// It uses start-time fair queueing. Each organisation's flow has a virtual time,
// which advances by cost divided by weight with every request served, and the flow
// with the lowest virtual time is served next. A new flow starts at the virtual time
// of the lane, so an organisation gains no credit while it is idle.
type lane struct {
	flows       []*flow
	virtualTime float64
	// cost is the slot time of the waiting requests. credit is the slot time that the
	// lane may be served before more important ones.
	cost, credit float64
	// idle holds the virtual times of organisations without waiting requests, because
	// these times may be later than the lane's virtual time.
	idle map[coltsfootward.OrganisationName]float64
}

// flow holds an organisation's requests in a lane, most important first.
type flow struct {
	organisation coltsfootward.OrganisationName
	weight       float64
	virtualTime  float64
	cost         float64
	waiting      []Request
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// Push adds a request.
func (q *Queue) Push(r Request) {
	l := &q.lanes[laneOf(r)]
	f := l.flowOf(r)
	i, _ := slices.BinarySearchFunc(f.waiting, r, compareRank)
	f.waiting = slices.Insert(f.waiting, i, r)
	f.cost += r.slotTime()
	l.cost += r.slotTime()
	q.cost += r.slotTime()
	q.size++
}

func laneOf(r Request) int {
	index := 2 * min(max(r.Priority, 0), priorityCount-1)
	if !r.Deep {
		index++
	}
	return index
}

// compareRank orders the requests of one organisation and priority by shed rank and
// not by age: all services of a call chain then serve the same requests first, and
// requests that the chain has started are also completed.
func compareRank(a, b Request) int {
	if c := cmp.Compare(a.ShedRank, b.ShedRank); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

func (r Request) slotTime() float64 { return max(r.cost, minimumCost) }

// minimumCost, in seconds, keeps shares fair while service times are unknown.
const minimumCost = 0.001

func (l *lane) flowOf(r Request) *flow {
	for _, f := range l.flows {
		if f.organisation == r.Organisation {
			return f
		}
	}
	f := &flow{organisation: r.Organisation, weight: r.Weight, virtualTime: max(l.virtualTime, l.idle[r.Organisation])}
	delete(l.idle, r.Organisation)
	if f.weight <= 0 {
		f.weight = 1
	}
	l.flows = append(l.flows, f)
	return f
}

// Pop removes and returns the request to serve next.
func (q *Queue) Pop() (Request, bool) {
	l := q.nextLane()
	if l == nil {
		return Request{}, false
	}
	return q.serve(l), true
}

// nextLane returns the lane to serve next: the first one whose credit covers a request or,
// if there is none, the most important one. It returns nil if no request waits.
func (q *Queue) nextLane() *lane {
	var first *lane
	for i := range q.lanes {
		l := &q.lanes[i]
		switch {
		case len(l.flows) == 0:
		case first == nil:
			first = l
		case l.credit >= l.nextFlow().waiting[0].slotTime():
			return l
		}
	}
	return first
}

// nextFlow returns the flow of a lane that is served next.
func (l *lane) nextFlow() *flow {
	return slices.MinFunc(l.flows, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.virtualTime, b.virtualTime), cmp.Compare(a.organisation, b.organisation))
	})
}

// grantCredit gives each lane its least share of a slot time that is served.
func (q *Queue) grantCredit(served float64) {
	for i := range q.lanes {
		if l := &q.lanes[i]; len(l.flows) > 0 {
			l.credit += leastShare * served * l.cost / q.cost
		}
	}
}

func (q *Queue) serve(l *lane) Request {
	next := l.nextFlow()
	r := next.waiting[0]
	q.grantCredit(r.slotTime())
	l.credit = max(l.credit-r.slotTime(), 0)
	l.virtualTime = next.virtualTime
	next.virtualTime += r.slotTime() / next.weight
	q.remove(l, next, 0)
	return r
}

func (q *Queue) remove(l *lane, f *flow, i int) {
	cost := f.waiting[i].slotTime()
	f.cost -= cost
	l.cost -= cost
	q.cost -= cost
	f.waiting = slices.Delete(f.waiting, i, i+1)
	q.size--
	if q.size == 0 {
		q.cost = 0 // without the rounding errors of the differences
	}
	if len(f.waiting) == 0 {
		l.removeFlow(f)
	}
}

// removeFlow removes the flow of an organisation without waiting requests, but keeps
// its virtual time. Otherwise an organisation that sends its requests one by one
// would restart at the lane's virtual time with each of them. An empty lane has no
// contention, so all flows start alike.
func (l *lane) removeFlow(f *flow) {
	l.flows = slices.DeleteFunc(l.flows, func(other *flow) bool { return other == f })
	if len(l.flows) == 0 {
		l.virtualTime, l.cost, l.credit = 0, 0, 0
		clear(l.idle)
		return
	}
	if l.idle == nil {
		l.idle = make(map[coltsfootward.OrganisationName]float64)
	}
	l.idle[f.organisation] = f.virtualTime
}

// Evict removes and returns the least important request. It takes the lowest priority
// that has waiting requests, and there root requests before deep requests. Of these it
// takes the organisation with the most waiting slot time relative to its weight, and of
// this organisation's requests the one with the highest shed rank.
func (q *Queue) Evict() (Request, bool) {
	for i := len(q.lanes) - 1; i >= 0; i-- {
		l := &q.lanes[i]
		if len(l.flows) == 0 {
			continue
		}
		heaviest := slices.MaxFunc(l.flows, func(a, b *flow) int {
			return cmp.Or(cmp.Compare(a.cost/a.weight, b.cost/b.weight), cmp.Compare(a.organisation, b.organisation))
		})
		last := len(heaviest.waiting) - 1
		r := heaviest.waiting[last]
		q.remove(l, heaviest, last)
		return r, true
	}
	return Request{}, false
}

// Remove removes a request and reports whether it was waiting.
func (q *Queue) Remove(id RequestID) bool {
	removed := q.RemoveFunc(func(r Request) bool { return r.ID == id })
	return len(removed) > 0
}

// RemoveFunc removes and returns all requests for which drop returns true, most
// important first.
func (q *Queue) RemoveFunc(drop func(Request) bool) []Request {
	var removed []Request
	for i := range q.lanes {
		l := &q.lanes[i]
		for _, f := range slices.Clone(l.flows) {
			removed = append(removed, q.removeFrom(l, f, drop)...)
		}
	}
	return removed
}

func (q *Queue) removeFrom(l *lane, f *flow, drop func(Request) bool) []Request {
	var removed []Request
	for i := 0; i < len(f.waiting); {
		if !drop(f.waiting[i]) {
			i++
			continue
		}
		removed = append(removed, f.waiting[i])
		q.remove(l, f, i)
	}
	return removed
}

// totalCost returns the expected slot time, in seconds, of all waiting requests.
func (q *Queue) totalCost() float64 { return q.cost }

// costAhead returns the expected slot time, in seconds, of the requests that leave
// before r. first is set if r is placed before all others in its lane.
func (q *Queue) costAhead(r Request, first bool) float64 {
	lane := laneOf(r)
	switch {
	case r.Attributed:
		return q.costOfLanes(lane) + q.lanes[lane].costBefore(r)
	case first:
		return q.costOfLanes(lane)
	default:
		return q.costOfLanes(lane + 1)
	}
}

// costBefore returns the expected slot time, in seconds, of the requests in the lane that
// rank before r.
func (l *lane) costBefore(r Request) float64 {
	total := 0.0
	for _, f := range l.flows {
		for _, waiting := range f.waiting {
			if waiting.ShedRank >= r.ShedRank {
				break
			}
			total += waiting.slotTime()
		}
	}
	return total
}

// costOfLanes returns the expected slot time, in seconds, of the requests in the
// given number of leading lanes.
func (q *Queue) costOfLanes(lanes int) float64 {
	total := 0.0
	for i := range lanes {
		total += q.lanes[i].cost
	}
	return total
}
