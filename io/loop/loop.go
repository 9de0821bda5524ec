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
	// eventQueueSize is the capacity of the state machine's event queue.
	eventQueueSize = 4096
	// callQueueSize is the capacity of a call's action queue. A call gets few actions:
	// one per attempt and one at its end.
	callQueueSize = 16
	// tableQueueSize is how many table operations may wait for a worker.
	tableQueueSize = 256
	// tableWorkers is how many table operations run at once.
	tableWorkers = 4
	// tableTimeout is the timeout of one operation on the platform's table.
	tableTimeout = 2 * time.Second
)

// Handlers are the functions that execute the actions which belong to no call. They
// run on the state machine's goroutine and must not block, except for the methods of
// Table, which run on goroutines of their own.
type Handlers struct {
	// Send sends a message to a peer.
	Send func(to coltsfootward.Instance, m message.Message)
	// Table is the platform's table.
	Table coltsfootward.Table
	// Report writes a record to the log and the timeline.
	Report func(record.Record)
	// ConfigurationInForce, if not nil, is called with each full configuration that comes into
	// force.
	ConfigurationInForce func(coltsfootward.Configuration)
	// CheckDocument, if not nil, starts a check of the configuration document.
	CheckDocument func()
	// CheckBackend, if not nil, starts a health check of the backend server.
	CheckBackend func()
	// Drained is called once a drain is complete.
	Drained func()
	// Observe, if not nil, is called for every event that the state machine has
	// handled.
	Observe func(Observation)
}

// Observation describes how the state machine handled one event.
type Observation struct {
	Event   node.Event
	Actions []node.Action
	// Waited is how long the event was queued.
	Waited time.Duration
	// Took is how long it took to handle the event and to dispatch the actions.
	Took time.Duration
}

// Loop runs a state machine. Create it with New. It is safe for concurrent use.
type Loop struct {
	machine         *node.Node
	clock           *Clock
	handlers        Handlers
	events          chan queueEntry
	tableOperations chan func(context.Context)
	// ctx is cancelled when the loop is closed. It is the parent of the contexts of
	// all table operations.
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
	nextID atomic.Uint64

	mu    sync.Mutex
	calls map[node.CallID]chan node.Action
}

// New returns a loop that runs the state machine until Close.
func New(machine *node.Node, clock *Clock, handlers Handlers) *Loop {
	l := &Loop{
		machine:         machine,
		clock:           clock,
		handlers:        handlers,
		events:          make(chan queueEntry, eventQueueSize),
		tableOperations: make(chan func(context.Context), tableQueueSize),
		calls:           make(map[node.CallID]chan node.Action),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.wait.Go(l.run)
	for range tableWorkers {
		l.wait.Go(l.runTableWorker)
	}
	return l
}

// Now returns the present instant of the clock by which the state machine runs.
func (l *Loop) Now() coltsfootward.Instant { return l.clock.Now() }

// Close stops the loop and waits for its goroutines.
func (l *Loop) Close() {
	l.cancel()
	l.wait.Wait()
}

// Done returns a channel that is closed when the loop stops.
func (l *Loop) Done() <-chan struct{} { return l.ctx.Done() }

// queueEntry is an entry of the event queue: an event and the time it was queued, or a
// function that inspects the state machine.
type queueEntry struct {
	event    node.Event
	queuedAt time.Time
	inspect  func(*node.Node)
}

// Post queues an event for the state machine. It blocks while the queue is full, and
// drops the event if the loop has stopped.
func (l *Loop) Post(event node.Event) { l.enqueue(queueEntry{event: event, queuedAt: time.Now()}) }

func (l *Loop) enqueue(entry queueEntry) bool {
	select {
	case l.events <- entry:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// Inspect runs f on the state machine's goroutine, after the events that are already
// queued, and waits until f has returned. It returns false if the loop has stopped.
func (l *Loop) Inspect(f func(*node.Node)) bool {
	finished := make(chan struct{})
	if !l.enqueue(queueEntry{inspect: func(n *node.Node) { f(n); close(finished) }}) {
		return false
	}
	select {
	case <-finished:
		return true
	case <-l.ctx.Done():
		return false
	}
}

func (l *Loop) run() {
	timer := time.NewTimer(l.machine.NextTick())
	defer timer.Stop()
	for {
		select {
		case entry := <-l.events:
			if entry.inspect != nil {
				entry.inspect(l.machine)
				continue
			}
			l.handle(entry.event, entry.queuedAt)
		case <-timer.C:
			l.handle(node.Tick{}, time.Now())
			timer.Reset(l.machine.NextTick())
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *Loop) handle(event node.Event, queuedAt time.Time) {
	started := time.Now()
	actions := l.machine.Handle(l.clock.Now(), event)
	for _, action := range actions {
		l.execute(action)
	}
	if l.handlers.Observe != nil {
		l.handlers.Observe(Observation{Event: event, Actions: actions, Waited: started.Sub(queuedAt), Took: time.Since(started)})
	}
}

func (l *Loop) execute(action node.Action) {
	switch a := action.(type) {
	case node.Refuse:
		l.deliver(a.Call, a)
	case node.Forward:
		l.deliver(a.Call, a)
	case node.Dispatch:
		l.deliver(a.Call, a)
	case node.Replay:
		l.deliver(a.Call, a)
	case node.EndResponse:
		l.deliver(a.Call, a)
	case node.CancelAttempt:
		l.deliver(a.Call, a)
	case node.CancelDispatch:
		l.deliver(a.Call, a)
	case node.Send:
		l.handlers.Send(a.To, a.Message)
	case node.ConfigurationInForce:
		if l.handlers.ConfigurationInForce != nil {
			l.handlers.ConfigurationInForce(a.Configuration)
		}
	case node.CheckDocument:
		if l.handlers.CheckDocument != nil {
			l.handlers.CheckDocument()
		}
	case node.CheckBackend:
		if l.handlers.CheckBackend != nil {
			l.handlers.CheckBackend()
		}
	case node.Report:
		l.handlers.Report(a.Record)
	case node.Drained:
		l.handlers.Drained()
	case node.ReadTable:
		l.tableOperation(a.Operation, func(ctx context.Context) ([]coltsfootward.Row, error) {
			row, err := l.handlers.Table.Read(ctx, a.Key)
			return []coltsfootward.Row{row}, err
		})
	case node.ScanTable:
		l.tableOperation(a.Operation, func(ctx context.Context) ([]coltsfootward.Row, error) {
			return l.handlers.Table.Scan(ctx, a.Prefix, a.After, a.Limit)
		})
	case node.TransactTable:
		l.tableOperation(a.Operation, func(ctx context.Context) ([]coltsfootward.Row, error) {
			return nil, l.handlers.Table.Transact(ctx, a.Transaction)
		})
	}
}

// tableOperation queues an operation for the table workers. If the queue is full, the
// platform is so slow that waiting longer would not help, and the operation fails with
// ErrUnavailable at once.
func (l *Loop) tableOperation(id node.OperationID, run func(context.Context) ([]coltsfootward.Row, error)) {
	operation := func(ctx context.Context) {
		rows, err := run(ctx)
		if err != nil && !errors.Is(err, coltsfootward.ErrConflict) {
			err = coltsfootward.ErrUnavailable
		}
		l.Post(node.TableResult{Operation: id, Rows: rows, Err: err})
	}
	select {
	case l.tableOperations <- operation:
	default:
		l.wait.Go(func() { l.Post(node.TableResult{Operation: id, Err: coltsfootward.ErrUnavailable}) })
	}
}

func (l *Loop) runTableWorker() {
	for {
		select {
		case operation := <-l.tableOperations:
			ctx, cancel := context.WithTimeout(l.ctx, tableTimeout)
			operation(ctx)
			cancel()
		case <-l.ctx.Done():
			return
		}
	}
}

// Call connects one call's goroutine to the state machine.
type Call struct {
	// ID identifies the call in events.
	ID node.CallID
	// Actions delivers the actions that the state machine requests for this call.
	Actions <-chan node.Action
	loop    *Loop
}

// Open registers a new call. The caller must Close it when the call has ended.
func (l *Loop) Open() *Call {
	id := node.CallID(l.nextID.Add(1))
	actions := make(chan node.Action, callQueueSize)
	l.mu.Lock()
	l.calls[id] = actions
	l.mu.Unlock()
	return &Call{ID: id, Actions: actions, loop: l}
}

// Close unregisters the call. Later actions for it are dropped.
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
