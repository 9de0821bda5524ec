package nodetest

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
)

const statusOK = http.StatusOK

// messageLoad keeps signatures short.
type messageLoad = message.Load

// Run is one execution of a request by a backend server.
type Run struct {
	Head  message.Call
	Token node.CallToken
	// From is the failure domain of the node that sent the request.
	From coltsfootward.FailureDomain
	// Arrived is the virtual time at which the request reached the backend server,
	// where it may still be queued. Ended is the time at which it completed, failed
	// or was cancelled.
	Arrived, Ended time.Duration
	// Completed is set if the request ran to completion.
	Completed bool
}

// Backend is a fake backend server. It serves up to Slots requests at once and
// queues any further ones in an unbounded queue. Its fields may be changed while
// the rig runs.
type Backend struct {
	// Slots is the number of requests served concurrently.
	Slots int
	// ServiceTime returns the time that a request takes once it has a slot and its
	// child calls have ended. Nil means 10 ms.
	ServiceTime func(message.Call) time.Duration
	// Children returns the child calls that a request makes, one after the other,
	// before its own service time. If one of them is not answered with success,
	// the request fails. Nil means no child calls.
	Children func(message.Call) []Request
	// Parallel makes all child calls of a request concurrently. If one of them is
	// not answered with success, the request fails at once and the other child
	// calls continue.
	Parallel bool
	// Transit, if set, returns the time that a message between the node and the server
	// takes, as far as it affects when child calls expire.
	Transit func() time.Duration
	// RespondsOnFailure makes a request end with a response of status 500 if one of
	// its child calls failed. Without it, the request ends without a response.
	RespondsOnFailure bool
	// Fail, if set, selects requests that end without a response after their
	// service time.
	Fail func(message.Call) bool
	// CrashOn, if set, selects requests that crash the server after their service
	// time.
	CrashOn func(message.Call) bool
	// Size returns the number of bytes of the bodies of a request and its response. Nil
	// means none.
	Size func(message.Call) int64
	// Reject, if set, selects requests that the server rejects without executing
	// them.
	Reject func(message.Call) bool
	// ColdRate is the number of requests a second that the server can handle while
	// it is cold. It crashes if more than twice as many arrive within one second.
	// Zero means no limit.
	ColdRate float64
	// ColdTime is the duration of the cold period after a crash.
	ColdTime time.Duration
	// Condition is what the server states about itself with each response.
	Condition coltsfootward.BackendCondition
	// IgnoresChecks makes health checks reach the server without a response.
	IgnoresChecks bool
	// Slowdown multiplies the service times of requests whose service begins now; zero means 1.
	Slowdown float64
	// StatesLoad makes the server state its load with each response. The slowdown that it states
	// is StatedSlowdown, which may be false, or Slowdown if that is zero.
	StatesLoad     bool
	StatedSlowdown float64
	// Crashes counts the server's crashes.
	Crashes int
	// Runs holds every request that reached the server, in order of arrival.
	Runs []*Run
	// Rejected holds the virtual times at which the server rejected requests, and
	// Checked those of its health checks.
	Rejected, Checked []time.Duration

	member  *Member
	service coltsfootward.ServiceName
	queue   []*job
	running map[node.CallID]*job
	// coldUntil is the time at which the cold period ends. down is set while the
	// server does not listen after a crash.
	coldUntil time.Duration
	down      bool
}

type job struct {
	call     node.CallID
	run      *Run
	children []Request
	child    *Outcome
	// pending is the number of parallel child calls that have not ended.
	pending int
	stopped bool
	// deadline is the deadline that the server was told, started when the request got
	// its slot, both in virtual time.
	deadline, started time.Duration
}

func newBackend(m *Member) *Backend {
	return &Backend{member: m, running: make(map[node.CallID]*job)}
}

// Running returns the number of requests that hold a slot.
func (b *Backend) Running() int { return len(b.running) }

// Queued returns the number of requests in the backend server's own queue.
func (b *Backend) Queued() int { return len(b.queue) }

func (b *Backend) reset() {
	for _, j := range b.running {
		j.stopped = true
	}
	b.running = make(map[node.CallID]*job)
	b.queue = nil
}

func (b *Backend) start(a node.Dispatch) {
	p, ok := b.member.peerCalls[a.Call]
	if !ok {
		return
	}
	if b.Reject != nil && b.Reject(p.head.Head) {
		b.Rejected = append(b.Rejected, b.member.rig.Now())
		b.stateCondition(a.Call)
		load := b.load()
		b.member.deliver(func() node.Event { return node.DispatchEnded{Call: a.Call, Kind: node.DispatchRejected, Load: load} })
		return
	}
	if b.down {
		b.member.deliver(func() node.Event { return node.BackendLost{} })
		b.member.deliver(func() node.Event { return node.DispatchEnded{Call: a.Call, Kind: node.DispatchUnsent} })
		return
	}
	run := &Run{Head: p.head.Head, Token: a.Token, From: p.origin.Instance.Domain, Arrived: b.member.rig.Now()}
	b.Runs = append(b.Runs, run)
	j := &job{call: a.Call, run: run, deadline: b.receivedDeadline(a)}
	if b.Children != nil {
		j.children = b.Children(run.Head)
	}
	b.queue = append(b.queue, j)
	if b.overloaded() {
		b.crash()
		return
	}
	b.startQueued()
}

// crashDowntime is the time for which a crashed backend server does not listen.
const crashDowntime = 500 * time.Millisecond

// SetCold makes the backend server cold for d without reporting this to its node.
func (b *Backend) SetCold(d time.Duration) { b.coldUntil = b.member.rig.Now() + d }

// Cold returns the remaining time of the backend server's cold period.
func (b *Backend) Cold() time.Duration { return max(b.coldUntil-b.member.rig.Now(), 0) }

// MaxArrivalsPerSecond returns the highest number of requests that reached the
// backend server within any second from the given time on.
func (b *Backend) MaxArrivalsPerSecond(from time.Duration) int {
	most, first := 0, 0
	for i, run := range b.Runs {
		if run.Arrived < from {
			first = i + 1
			continue
		}
		for run.Arrived-b.Runs[first].Arrived >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (b *Backend) overloaded() bool {
	return b.ColdRate > 0 && b.Cold() > 0 && float64(b.MaxArrivalsPerSecond(b.member.rig.Now()-time.Second)) > 2*b.ColdRate
}

// Crash simulates a crash of the server for a reason other than its requests.
func (b *Backend) Crash() { b.crash() }

// crash aborts all requests and stops listening for crashDowntime. Unless the
// node has restarted by then, the server then announces itself as cold.
func (b *Backend) crash() {
	b.Crashes++
	b.down = true
	b.AbortAll()
	boot := b.member.boots
	b.member.rig.After(crashDowntime, func() {
		b.down = false
		if b.member.boots == boot {
			b.member.AnnounceCold(b.service, b.Slots, b.ColdTime)
		}
	})
}

// AbortAll aborts all running and queued requests without a response.
func (b *Backend) AbortAll() {
	for _, id := range slices.Sorted(maps.Keys(b.running)) {
		b.queue = append(b.queue, b.running[id])
	}
	aborted := b.queue
	b.reset()
	for _, j := range aborted {
		j.stopped = true
		b.member.deliver(func() node.Event { return node.DispatchEnded{Call: j.call, Kind: node.DispatchFailed} })
	}
}

func (b *Backend) startQueued() {
	for len(b.queue) > 0 && len(b.running) < b.Slots {
		j := b.queue[0]
		b.queue = b.queue[1:]
		b.running[j.call] = j
		j.started = b.member.rig.Now()
		b.nextStep(j)
	}
}

// nextStep makes the next child call, or starts the service time if none remains.
func (b *Backend) nextStep(j *job) {
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

// fanOut makes all child calls concurrently and starts the service time once all
// are answered.
func (b *Backend) fanOut(j *job) {
	children := j.children
	j.children = nil
	j.pending = len(children)
	for _, child := range children {
		child.Token = j.run.Token
		b.sendChild(j, child, func(o *Outcome) {
			j.pending--
			switch {
			case j.stopped:
			case !o.Succeeded():
				b.failChildCall(j)
			case j.pending == 0:
				b.serve(j)
			}
		})
	}
}

// receivedDeadline returns the deadline of a request as the server computes it from the
// whole milliseconds that it is told.
func (b *Backend) receivedDeadline(a node.Dispatch) time.Duration {
	stated := cmp.Or(a.StatedDeadline, a.Deadline)
	remaining := max((stated - b.member.instant().Expiry).Truncate(time.Millisecond), time.Millisecond)
	return b.member.rig.Now() + b.transit() + remaining
}

func (b *Backend) transit() time.Duration {
	if b.Transit == nil {
		return 0
	}
	return b.Transit()
}

// sendChild sends a child call and calls done when it has ended. A call without time
// left is not sent.
func (b *Backend) sendChild(j *job, child Request, done func(*Outcome)) {
	transit := time.Duration(0)
	if child.ExpiresWithParent {
		expires := j.deadline
		if child.ParentLimit > 0 {
			expires = min(expires, j.started+child.ParentLimit)
		}
		child.Timeout = (expires - b.member.rig.Now()).Truncate(time.Millisecond)
		if child.Timeout <= 0 {
			done(&Outcome{Done: true})
			return
		}
		transit = b.transit()
	}
	send := func() {
		o := b.member.Send(child)
		if !b.Parallel {
			j.child = o
		}
		o.OnDone(func() { done(o) })
	}
	if transit == 0 {
		send()
		return
	}
	b.member.rig.After(transit, func() {
		if !j.stopped {
			send()
		}
	})
}

func (b *Backend) serve(j *job) {
	d := 10 * time.Millisecond
	if b.ServiceTime != nil {
		d = b.ServiceTime(j.run.Head)
	}
	d = time.Duration(float64(d) * cmp.Or(b.Slowdown, 1))
	b.member.rig.After(d, func() {
		switch {
		case j.stopped:
		case b.CrashOn != nil && b.CrashOn(j.run.Head):
			b.crash()
		default:
			b.finish(j, b.Fail == nil || !b.Fail(j.run.Head))
		}
	})
}

func (b *Backend) callChild(j *job, child Request) {
	b.sendChild(j, child, func(outcome *Outcome) {
		j.child = nil
		if j.stopped {
			return
		}
		if !outcome.Succeeded() {
			b.failChildCall(j)
			return
		}
		b.nextStep(j)
	})
}

// failChildCall ends a request after one of its child calls failed.
func (b *Backend) failChildCall(j *job) {
	if p, ok := b.member.peerCalls[j.call]; ok && b.RespondsOnFailure {
		p.status = http.StatusInternalServerError
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
	if ended.Kind == node.DispatchAnswered {
		b.stateCondition(j.call)
		ended.Load = b.load()
	}
	b.member.deliver(func() node.Event { return ended })
	b.startQueued()
}

// load returns the load that the server states with a response.
func (b *Backend) load() coltsfootward.BackendLoad {
	if !b.StatesLoad {
		return coltsfootward.BackendLoad{}
	}
	return coltsfootward.BackendLoad{}.WithRunning(b.Running()).WithWaiting(b.Queued()).WithSlots(b.Slots).
		WithSlowdown(cmp.Or(b.StatedSlowdown, b.Slowdown, 1))
}

// stateCondition delivers the condition that the response to a call states.
func (b *Backend) stateCondition(call node.CallID) {
	condition := b.Condition
	b.member.deliver(func() node.Event { return node.BackendAnswered{Call: call, Condition: condition} })
}

// cancel ends a request whose response nobody waits for, together with its child
// call in progress.
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
	delete(b.member.peerCalls, call)
	j.run.Ended = b.member.rig.Now()
	if j.child != nil {
		j.child.Cancel()
	}
	b.member.deliver(func() node.Event { return node.DispatchEnded{Call: call, Kind: node.DispatchCancelled} })
	b.startQueued()
}
