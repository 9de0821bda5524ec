package loop

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/core/record"
)

const (
	// eventRing is how many events may wait for the machine.
	eventRing = 4096
	// callRing is how many actions may wait for one call's goroutine. A call
	// gets a handful: one per attempt and one at its end.
	callRing = 16
	// tableRing is how many table operations may wait for a worker.
	tableRing = 256
	// tableWorkers is how many table operations run at once.
	tableWorkers = 4
	// tableTimeout bounds one operation on the platform's table.
	tableTimeout = 2 * time.Second
)

// Outlets carry out the actions that belong to no call. None of them may block.
type Outlets struct {
	// Send sends a message to a peer.
	Send func(to coltsfootward.Instance, m message.Message)
	// Table is the platform's table.
	Table coltsfootward.Table
	// Report takes a record for log and time line.
	Report func(record.Record)
	// InForce is given each whole configuration that comes into force; nil means
	// that nobody is.
	InForce func(coltsfootward.Configuration)
	// CheckBackend asks for a health check of the backend server; nil means that
	// there is none.
	CheckBackend func()
	// Drained is called once the node has nothing left to do after a drain.
	Drained func()
	// Observe is told of every event that the machine took, on the machine's
	// goroutine. Nil means that nobody is.
	Observe func(Observation)
}

// Observation is one event and what the machine made of it.
type Observation struct {
	Event   node.Event
	Actions []node.Action
	// Waited is how long the event waited for the machine.
	Waited time.Duration
	// Took is how long the machine and the hand-over of its actions took.
	Took time.Duration
}

// Loop runs a machine. Create it with New. It is safe for concurrent use.
type Loop struct {
	machine *node.Node
	clock   *Clock
	outlets Outlets
	events  chan posted
	table   chan func(context.Context)
	// ending is done once the loop is closed: operations on the table end with it.
	ending context.Context
	end    context.CancelFunc
	wait   sync.WaitGroup
	nextID atomic.Uint64

	mu    sync.Mutex
	calls map[node.CallID]chan node.Action
}

// New returns a loop that runs the machine until Close.
func New(machine *node.Node, clock *Clock, outlets Outlets) *Loop {
	l := &Loop{
		machine: machine,
		clock:   clock,
		outlets: outlets,
		events:  make(chan posted, eventRing),
		table:   make(chan func(context.Context), tableRing),
		calls:   make(map[node.CallID]chan node.Action),
	}
	l.ending, l.end = context.WithCancel(context.Background())
	l.wait.Go(l.run)
	for range tableWorkers {
		l.wait.Go(l.work)
	}
	return l
}

// Close stops the loop and waits for its goroutines.
func (l *Loop) Close() {
	l.end()
	l.wait.Wait()
}

// Done returns a channel that is closed when the loop stops.
func (l *Loop) Done() <-chan struct{} { return l.ending.Done() }

// posted is what waits for the machine: an event and since when, or an inspection.
type posted struct {
	event   node.Event
	at      time.Time
	inspect func(*node.Node)
}

// Post hands an event to the machine. It waits while the ring is full and
// drops the event once the loop has stopped.
func (l *Loop) Post(event node.Event) { l.enqueue(posted{event: event, at: time.Now()}) }

func (l *Loop) enqueue(p posted) bool {
	select {
	case l.events <- p:
		return true
	case <-l.ending.Done():
		return false
	}
}

// Inspect runs f on the machine's goroutine and waits for it. It returns false
// if the loop has stopped.
func (l *Loop) Inspect(f func(*node.Node)) bool {
	finished := make(chan struct{})
	if !l.enqueue(posted{inspect: func(n *node.Node) { f(n); close(finished) }}) {
		return false
	}
	select {
	case <-finished:
		return true
	case <-l.ending.Done():
		return false
	}
}

func (l *Loop) run() {
	timer := time.NewTimer(l.machine.NextTick())
	defer timer.Stop()
	for {
		select {
		case p := <-l.events:
			if p.inspect != nil {
				p.inspect(l.machine)
				continue
			}
			l.handle(p.event, p.at)
		case <-timer.C:
			l.handle(node.Tick{}, time.Now())
			timer.Reset(l.machine.NextTick())
		case <-l.ending.Done():
			return
		}
	}
}

func (l *Loop) handle(event node.Event, posted time.Time) {
	begun := time.Now()
	actions := l.machine.Handle(l.clock.Now(), event)
	for _, action := range actions {
		l.perform(action)
	}
	if l.outlets.Observe != nil {
		l.outlets.Observe(Observation{Event: event, Actions: actions, Waited: begun.Sub(posted), Took: time.Since(begun)})
	}
}

func (l *Loop) perform(action node.Action) {
	switch a := action.(type) {
	case node.Refuse:
		l.deliver(a.Call, a)
	case node.Forward:
		l.deliver(a.Call, a)
	case node.Dispatch:
		l.deliver(a.Call, a)
	case node.Replay:
		l.deliver(a.Call, a)
	case node.EndAnswer:
		l.deliver(a.Call, a)
	case node.CancelAttempt:
		l.deliver(a.Call, a)
	case node.CancelDispatch:
		l.deliver(a.Call, a)
	case node.Send:
		l.outlets.Send(a.To, a.Message)
	case node.ConfigurationInForce:
		if l.outlets.InForce != nil {
			l.outlets.InForce(a.Configuration)
		}
	case node.CheckBackend:
		if l.outlets.CheckBackend != nil {
			l.outlets.CheckBackend()
		}
	case node.Report:
		l.outlets.Report(a.Record)
	case node.Drained:
		l.outlets.Drained()
	case node.ReadTable:
		l.tableOperation(a.Operation, func(ctx context.Context) ([]coltsfootward.Row, error) {
			row, err := l.outlets.Table.Read(ctx, a.Key)
			return []coltsfootward.Row{row}, err
		})
	case node.ScanTable:
		l.tableOperation(a.Operation, func(ctx context.Context) ([]coltsfootward.Row, error) {
			return l.outlets.Table.Scan(ctx, a.Prefix, a.After, a.Limit)
		})
	case node.TransactTable:
		l.tableOperation(a.Operation, func(ctx context.Context) ([]coltsfootward.Row, error) {
			return nil, l.outlets.Table.Transact(ctx, a.Transaction)
		})
	}
}

// tableOperation queues an operation. With the ring full the platform is so
// slow that waiting longer would not help: the operation counts as unanswered.
func (l *Loop) tableOperation(id node.OperationID, run func(context.Context) ([]coltsfootward.Row, error)) {
	operation := func(ctx context.Context) {
		rows, err := run(ctx)
		if err != nil && !errors.Is(err, coltsfootward.ErrConflict) {
			err = coltsfootward.ErrUnavailable
		}
		l.Post(node.TableAnswered{Operation: id, Rows: rows, Err: err})
	}
	select {
	case l.table <- operation:
	default:
		l.wait.Go(func() { l.Post(node.TableAnswered{Operation: id, Err: coltsfootward.ErrUnavailable}) })
	}
}

func (l *Loop) work() {
	for {
		select {
		case operation := <-l.table:
			ctx, cancel := context.WithTimeout(l.ending, tableTimeout)
			operation(ctx)
			cancel()
		case <-l.ending.Done():
			return
		}
	}
}

// Call is one call's line to the machine.
type Call struct {
	// ID numbers the call in events.
	ID node.CallID
	// Actions brings what the machine wants done for this call.
	Actions <-chan node.Action
	loop    *Loop
}

// Open returns a new call. Close it once it is over.
func (l *Loop) Open() *Call {
	id := node.CallID(l.nextID.Add(1))
	actions := make(chan node.Action, callRing)
	l.mu.Lock()
	l.calls[id] = actions
	l.mu.Unlock()
	return &Call{ID: id, Actions: actions, loop: l}
}

// Close forgets the call.
func (c *Call) Close() {
	c.loop.mu.Lock()
	defer c.loop.mu.Unlock()
	delete(c.loop.calls, c.ID)
}

func (l *Loop) deliver(id node.CallID, action node.Action) {
	l.mu.Lock()
	actions, ok := l.calls[id]
	l.mu.Unlock()
	if !ok {
		return
	}
	select {
	case actions <- action:
	default:
	}
}
