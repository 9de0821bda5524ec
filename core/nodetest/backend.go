package nodetest

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
)

const statusOK = http.StatusOK

// messageLoad keeps the signatures of this package short.
type messageLoad = message.Load

// Run is one request as the backend server saw it.
type Run struct {
	Head  message.Call
	Token node.CallToken
	// Began is when it reached the backend server, Ended when it left it.
	Began, Ended time.Duration
	// Completed is set if it ran to its end.
	Completed bool
}

// Backend is a fake backend server: slots, and a queue of its own without
// bound for whatever its node sends beyond them. Its fields may be changed
// while the rig runs.
type Backend struct {
	// Slots is how many requests it serves at once.
	Slots int
	// ServiceTime returns how long a request takes once it has a slot; nil
	// means 10 ms.
	ServiceTime func(message.Call) time.Duration
	// Children returns the further calls that a request makes, one after the
	// other, before its own service time. If one of them is not answered, the
	// request fails. Nil means none.
	Children func(message.Call) []Request
	// Parallel makes a request's further calls all at once. If one of them is
	// not answered, the request fails at once and the others go on.
	Parallel bool
	// AnswersFailures makes a request one of whose further calls was not answered
	// end with an answer of status 500, and not without one.
	AnswersFailures bool
	// Fail, if set, makes requests end without an answer after their time.
	Fail func(message.Call) bool
	// Reject, if set, makes the server answer that it does not run a request.
	Reject func(message.Call) bool
	// ColdRate is how many requests a second it bears while it is cold; with more
	// than twice as many in one second it crashes. Zero means that it bears all.
	ColdRate float64
	// ColdTime is how long it is cold after a crash.
	ColdTime time.Duration
	// Crashes is how often it has crashed.
	Crashes int
	// Runs holds every request that reached it, in order.
	Runs []*Run

	member  *Member
	service coltsfootward.ServiceName
	queue   []*job
	running map[node.CallID]*job
	// coldUntil is when it is warm, down is set while it does not listen.
	coldUntil time.Duration
	down      bool
}

type job struct {
	call     node.CallID
	run      *Run
	children []Request
	child    *Outcome
	// pending counts parallel calls that have not ended.
	pending int
	stopped bool
}

func newBackend(m *Member) *Backend {
	return &Backend{member: m, running: make(map[node.CallID]*job)}
}

// Running returns how many requests hold a slot.
func (b *Backend) Running() int { return len(b.running) }

// Waiting returns how many requests wait inside the backend server.
func (b *Backend) Waiting() int { return len(b.queue) }

func (b *Backend) reset() {
	for _, j := range b.running {
		j.stopped = true
	}
	b.running = make(map[node.CallID]*job)
	b.queue = nil
}

func (b *Backend) start(a node.Dispatch) {
	s, ok := b.member.serving[a.Call]
	if !ok {
		return
	}
	if b.Reject != nil && b.Reject(s.head.Head) {
		b.member.event(func() node.Event { return node.DispatchEnded{Call: a.Call, Kind: node.DispatchRejected} })
		return
	}
	if b.down {
		b.member.event(func() node.Event { return node.BackendLost{} })
		b.member.event(func() node.Event { return node.DispatchEnded{Call: a.Call, Kind: node.DispatchUnsent} })
		return
	}
	run := &Run{Head: s.head.Head, Token: a.Token, Began: b.member.rig.Now()}
	b.Runs = append(b.Runs, run)
	j := &job{call: a.Call, run: run}
	if b.Children != nil {
		j.children = b.Children(run.Head)
	}
	b.queue = append(b.queue, j)
	if b.overwhelmed() {
		b.crash()
		return
	}
	b.fill()
}

// crashTime is how long a backend server that has crashed does not listen.
const crashTime = 500 * time.Millisecond

// GoCold makes the backend server cold for that long, as far as it is concerned; its
// node is not told.
func (b *Backend) GoCold(d time.Duration) { b.coldUntil = b.member.rig.Now() + d }

// Cold returns how much longer the backend server is cold.
func (b *Backend) Cold() time.Duration { return max(b.coldUntil-b.member.rig.Now(), 0) }

// MostStarts returns the highest number of requests that reached the backend server
// within a second, of those that came from that time on.
func (b *Backend) MostStarts(from time.Duration) int {
	most, first := 0, 0
	for i, run := range b.Runs {
		if run.Began < from {
			first = i + 1
			continue
		}
		for run.Began-b.Runs[first].Began >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (b *Backend) overwhelmed() bool {
	return b.ColdRate > 0 && b.Cold() > 0 && float64(b.MostStarts(b.member.rig.Now()-time.Second)) > 2*b.ColdRate
}

// crash breaks off all and does not listen for a while. It comes back cold.
func (b *Backend) crash() {
	b.Crashes++
	b.down = true
	b.Break()
	boot := b.member.boots
	b.member.rig.After(crashTime, func() {
		b.down = false
		if b.member.boots == boot {
			b.member.AnnounceCold(b.service, b.Slots, b.ColdTime)
		}
	})
}

// Break breaks off all that the backend server has in hand.
func (b *Backend) Break() {
	for _, id := range slices.Sorted(maps.Keys(b.running)) {
		b.queue = append(b.queue, b.running[id])
	}
	broken := b.queue
	b.reset()
	for _, j := range broken {
		j.stopped = true
		b.member.event(func() node.Event { return node.DispatchEnded{Call: j.call, Kind: node.DispatchFailed} })
	}
}

func (b *Backend) fill() {
	for len(b.queue) > 0 && len(b.running) < b.Slots {
		j := b.queue[0]
		b.queue = b.queue[1:]
		b.running[j.call] = j
		b.step(j)
	}
}

// step makes the next further call, or serves.
func (b *Backend) step(j *job) {
	if b.Parallel && len(j.children) > 0 {
		b.fanOut(j)
		return
	}
	if len(j.children) > 0 {
		child := j.children[0]
		j.children = j.children[1:]
		child.Token = j.run.Token
		b.callChild(j, child)
		return
	}
	b.serve(j)
}

// fanOut makes all further calls at once and serves when all are answered.
func (b *Backend) fanOut(j *job) {
	children := j.children
	j.children = nil
	j.pending = len(children)
	for _, child := range children {
		child.Token = j.run.Token
		o := b.member.Send(child)
		o.OnDone(func() {
			j.pending--
			switch {
			case j.stopped:
			case !o.Served():
				b.failed(j)
			case j.pending == 0:
				b.serve(j)
			}
		})
	}
}

func (b *Backend) serve(j *job) {
	d := 10 * time.Millisecond
	if b.ServiceTime != nil {
		d = b.ServiceTime(j.run.Head)
	}
	b.member.rig.After(d, func() {
		if !j.stopped {
			b.finish(j, b.Fail == nil || !b.Fail(j.run.Head))
		}
	})
}

func (b *Backend) callChild(j *job, child Request) {
	outcome := b.member.Send(child)
	j.child = outcome
	outcome.OnDone(func() {
		j.child = nil
		if j.stopped {
			return
		}
		if !outcome.Served() {
			b.failed(j)
			return
		}
		b.step(j)
	})
}

// failed ends a request one of whose further calls was not answered.
func (b *Backend) failed(j *job) {
	if s, ok := b.member.serving[j.call]; ok && b.AnswersFailures {
		s.status = http.StatusInternalServerError
		b.end(j, node.DispatchEnded{Call: j.call, Kind: node.DispatchAnswered, Failed: true})
		return
	}
	b.finish(j, false)
}

func (b *Backend) finish(j *job, completed bool) {
	kind := node.DispatchFailed
	if completed {
		kind = node.DispatchAnswered
	}
	j.run.Completed = completed
	b.end(j, node.DispatchEnded{Call: j.call, Kind: kind})
}

func (b *Backend) end(j *job, ended node.DispatchEnded) {
	j.stopped = true
	delete(b.running, j.call)
	j.run.Ended = b.member.rig.Now()
	b.member.event(func() node.Event { return ended })
	b.fill()
}

// cancel ends a request that nobody waits for.
func (b *Backend) cancel(call node.CallID) {
	j, ok := b.running[call]
	if !ok {
		index := slices.IndexFunc(b.queue, func(q *job) bool { return q.call == call })
		if index < 0 {
			return
		}
		j = b.queue[index]
		b.queue = slices.Delete(b.queue, index, index+1)
	}
	j.stopped = true
	delete(b.running, call)
	delete(b.member.serving, call)
	j.run.Ended = b.member.rig.Now()
	if j.child != nil {
		j.child.Leave()
	}
	b.member.event(func() node.Event { return node.DispatchEnded{Call: call, Kind: node.DispatchCancelled} })
	b.fill()
}
