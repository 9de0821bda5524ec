package lease_test

import (
	"fmt"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/lease"

	"github.com/cespare/xxhash/v2"
)

// The durations used in the search are multiples of one clock step.
const (
	step   = time.Second
	term   = 2 * step
	margin = step
)

// maximumFaults is the number of faults on one path of the search.
const maximumFaults = 1

// operation is one operation of a node on the row; done is set once it has taken
// effect.
type operation struct {
	action lease.Action
	done   bool
	row    coltsfootward.Row
	err    error
}

// actor is one node in the search. Its operation op is meaningful only while
// operationPending is set.
type actor struct {
	slot lease.Slot
	// now is the reading of the node's clocks.
	now              coltsfootward.Instant
	paused           bool
	suspended        bool
	operationPending bool
	op               operation
	// lateWrite is a write that the node treats as failed but that may still take
	// effect.
	lateWrite    lease.Write
	hasLateWrite bool
}

// model is one state of the search. An assignment copies it completely.
type model struct {
	actors  [2]actor
	row     coltsfootward.Row
	elapsed int
	// faultsLeft is how many more faults may occur on this path.
	faultsLeft int
}

func newModel() model {
	var w model
	w.faultsLeft = maximumFaults
	for i := range w.actors {
		self := coltsfootward.Instance{ID: coltsfootward.InstanceID(rune('a' + i)), Incarnation: 1}
		w.actors[i].slot = *lease.New(lease.Options{Self: self, Term: term, Margin: margin})
		w.actors[i].now = coltsfootward.At(time.Hour)
	}
	return w
}

// settle runs a node's operations until it has none in flight.
func (w *model) settle(i int) {
	for busy := true; busy; {
		busy = w.tick(i) || w.applyOperation(i) || w.deliverReply(i)
	}
}

// fingerprint returns a hash of the state. It leaves out the row's value: every
// write has its own token, so the records in the slots and operations identify it.
func (w *model) fingerprint() uint64 {
	hash := xxhash.New()
	fmt.Fprint(hash, w.row.Version, w.elapsed, w.faultsLeft)
	for _, a := range w.actors {
		fmt.Fprint(hash, a.slot, a.now.Monotonic, a.now.Expiry, a.paused, a.suspended, a.operationPending)
		fmt.Fprint(hash, a.op.action, a.op.done, a.op.row.Version, a.op.err, a.lateWrite, a.hasLateWrite)
	}
	return hash.Sum64()
}

func (w *model) held(i int) bool { return w.actors[i].slot.Held(w.actors[i].now) }

func (w *model) apply(action lease.Action) (coltsfootward.Row, error) {
	write, ok := action.(lease.Write)
	if !ok {
		return w.row, nil
	}
	if write.Version != w.row.Version {
		return w.row, coltsfootward.ErrConflict
	}
	w.row = coltsfootward.Row{Key: "slot", Value: write.Record.Encode(), Version: w.row.Version + 1}
	return w.row, nil
}

func (a *actor) begin(action lease.Action) {
	a.operationPending = action != nil
	a.op = operation{action: action}
}

func (a *actor) completeOperation(row coltsfootward.Row, err error) {
	_, read := a.op.action.(lease.Read)
	if read {
		a.begin(a.slot.ReadCompleted(a.now, row, err))
		return
	}
	a.begin(a.slot.WriteCompleted(a.now, err))
}

// event is one possible next event; run returns false if it cannot occur in the
// state.
type event struct {
	name string
	run  func(w *model) bool
}

func events() []event {
	all := []event{{"time passes", passTime}}
	for i := range 2 {
		name := string(rune('a' + i))
		all = append(all,
			event{name + " ticks", func(w *model) bool { return w.tick(i) }},
			event{name + "'s operation takes effect", func(w *model) bool { return w.applyOperation(i) }},
			event{name + " receives the reply", func(w *model) bool { return w.deliverReply(i) }},
			event{name + "'s operation gets no reply", func(w *model) bool { return w.loseReply(i) }},
			event{name + "'s late write takes effect", func(w *model) bool { return w.applyLateWrite(i) }},
			event{name + " pauses", func(w *model) bool { return w.pause(i, false) }},
			event{name + " is suspended", func(w *model) bool { return w.pause(i, true) }},
			event{name + " resumes", func(w *model) bool { return w.resume(i) }},
			event{name + "'s wall clock jumps", func(w *model) bool { return w.jump(i) }},
			event{name + " releases", func(w *model) bool { return w.release(i) }},
		)
	}
	return all
}

// passTime advances the clocks by one step. A node that is not paused starts due
// operations at once, but operations and their replies may take any time.
func passTime(w *model) bool {
	for i := range w.actors {
		if next := *w; next.tick(i) {
			return false
		}
	}
	w.elapsed++
	for i := range w.actors {
		a := &w.actors[i]
		a.now.Expiry += step
		if !a.suspended {
			a.now.Monotonic += step
		}
	}
	return w.elapsed <= maximumSteps
}

func (w *model) tick(i int) bool {
	a := &w.actors[i]
	if a.paused || a.operationPending {
		return false
	}
	a.begin(a.slot.Tick(a.now, lease.Candidacy{Eligible: true}))
	w.completeRead(i)
	return a.operationPending
}

// completeRead lets a read take effect as soon as it is sent. This loses no case: the
// reply may still arrive late, and its content is then at least as stale as if the
// read had taken effect later.
func (w *model) completeRead(i int) {
	if _, ok := w.actors[i].op.action.(lease.Read); ok {
		w.applyOperation(i)
	}
}

func (w *model) applyOperation(i int) bool {
	a := &w.actors[i]
	if !a.operationPending || a.op.done {
		return false
	}
	a.op.row, a.op.err = w.apply(a.op.action)
	a.op.done = true
	return true
}

func (w *model) deliverReply(i int) bool {
	a := &w.actors[i]
	if a.paused || !a.operationPending || !a.op.done {
		return false
	}
	a.completeOperation(a.op.row, a.op.err)
	w.completeRead(i)
	return true
}

func (w *model) loseReply(i int) bool {
	a := &w.actors[i]
	if a.paused || !a.operationPending || w.faultsLeft == 0 {
		return false
	}
	w.faultsLeft--
	if write, ok := a.op.action.(lease.Write); ok && !a.op.done {
		a.lateWrite, a.hasLateWrite = write, true
	}
	a.completeOperation(coltsfootward.Row{}, coltsfootward.ErrUnavailable)
	return true
}

func (w *model) applyLateWrite(i int) bool {
	a := &w.actors[i]
	if !a.hasLateWrite {
		return false
	}
	_, _ = w.apply(a.lateWrite)
	a.lateWrite, a.hasLateWrite = lease.Write{}, false
	return true
}

func (w *model) pause(i int, suspend bool) bool {
	a := &w.actors[i]
	if a.paused || w.faultsLeft == 0 {
		return false
	}
	w.faultsLeft--
	a.paused, a.suspended = true, suspend
	return true
}

func (w *model) resume(i int) bool {
	a := &w.actors[i]
	if !a.paused {
		return false
	}
	a.paused, a.suspended = false, false
	return true
}

func (w *model) jump(i int) bool {
	if w.faultsLeft == 0 {
		return false
	}
	w.faultsLeft--
	w.actors[i].now.Expiry += 2 * term
	return true
}

func (w *model) release(i int) bool {
	a := &w.actors[i]
	if a.paused || w.faultsLeft == 0 || !w.held(i) {
		return false
	}
	w.faultsLeft--
	a.slot.Release(false)
	return true
}

// Guards against two nodes holding a slot at the same time, which would grant an
// organisation twice its part of the rate. This can happen if the holder notices
// the end of its term late, because it was paused, its clock stopped or the reply
// to its write was late, or if the other node takes the slot over too early or
// after a stale read. The test tries every order of these events up to maximumSteps
// clock steps and maximumFaults faults.
func TestNeverTwoHolders(t *testing.T) {
	all := events()
	start := newModel()
	start.settle(0)
	if !start.held(0) {
		t.Fatal("got no holder to begin with, want the first node")
	}
	seen := map[uint64]bool{start.fingerprint(): true}
	type state struct {
		model model
		path  *trace
	}
	queue := []state{{model: start}}
	takeovers := 0
	for len(queue) > 0 {
		current := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, e := range all {
			next := current.model
			if !e.run(&next) {
				continue
			}
			path := &trace{event: e.name, previous: current.path}
			if next.held(0) && next.held(1) {
				t.Fatalf("got two holders, want one, after:%s", path)
			}
			fingerprint := next.fingerprint()
			if seen[fingerprint] {
				continue
			}
			seen[fingerprint] = true
			if next.held(1) && next.actors[1].slot.Epoch() > 1 {
				takeovers++
			}
			queue = append(queue, state{model: next, path: path})
		}
	}
	t.Logf("%d states, %d of them after a takeover", len(seen), takeovers)
	if takeovers == 0 {
		t.Error("got no takeover in any order of events, want at least one, else the search proves nothing")
	}
}

// trace is the list of events that led to a state.
type trace struct {
	event    string
	previous *trace
}

func (p *trace) String() string {
	if p == nil {
		return ""
	}
	return p.previous.String() + "\n\t" + p.event
}
