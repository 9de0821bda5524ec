package lease_test

import (
	"fmt"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/lease"

	"github.com/cespare/xxhash/v2"
)

// The search's times, in whole steps of its clock.
const (
	step   = time.Second
	term   = 2 * step
	margin = step
)

// incidents is how many things go wrong on one path.
const incidents = 1

// operation is one operation of a node on the row.
type operation struct {
	action lease.Action
	done   bool
	row    coltsfootward.Row
	err    error
}

// actor is one node of the search.
type actor struct {
	slot lease.Slot
	// now is what the node's clocks show.
	now       coltsfootward.Instant
	paused    bool
	suspended bool
	waiting   bool
	op        operation
	// stray is a write whose answer was given up, but which may yet arrive.
	stray    lease.Write
	hasStray bool
}

// world is one state of the search. Copying it copies all of it.
type world struct {
	actors  [2]actor
	row     coltsfootward.Row
	elapsed int
	// left is how many things may still go wrong.
	left int
}

func newWorld() world {
	var w world
	w.left = incidents
	for i := range w.actors {
		self := coltsfootward.Instance{ID: coltsfootward.InstanceID(rune('a' + i)), Incarnation: 1}
		w.actors[i].slot = *lease.New(lease.Options{Self: self, Term: term, Margin: margin})
		w.actors[i].now = coltsfootward.At(time.Hour)
	}
	return w
}

// settle lets a node's operations run until it waits for time to pass.
func (w *world) settle(i int) {
	for busy := true; busy; {
		busy = w.tick(i) || w.effect(i) || w.answered(i)
	}
}

// fingerprint tells states apart. Every write of a row has its own token, so
// the records stand for the rows' values.
func (w *world) fingerprint() uint64 {
	hash := xxhash.New()
	fmt.Fprint(hash, w.row.Version, w.elapsed, w.left)
	for _, a := range w.actors {
		fmt.Fprint(hash, a.slot, a.now.Monotonic, a.now.Expiry, a.paused, a.suspended, a.waiting)
		fmt.Fprint(hash, a.op.action, a.op.done, a.op.row.Version, a.op.err, a.stray, a.hasStray)
	}
	return hash.Sum64()
}

func (w *world) held(i int) bool { return w.actors[i].slot.Held(w.actors[i].now) }

func (w *world) apply(action lease.Action) (coltsfootward.Row, error) {
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
	a.waiting = action != nil
	a.op = operation{action: action}
}

func (a *actor) answer(row coltsfootward.Row, err error) {
	_, read := a.op.action.(lease.Read)
	if read {
		a.begin(a.slot.ReadAnswered(a.now, row, err))
		return
	}
	a.begin(a.slot.WriteAnswered(a.now, err))
}

// event is one thing that may happen next; it returns false if it cannot.
type event struct {
	name string
	run  func(w *world) bool
}

func events() []event {
	all := []event{{"time passes", passTime}}
	for i := range 2 {
		name := string(rune('a' + i))
		all = append(all,
			event{name + " ticks", func(w *world) bool { return w.tick(i) }},
			event{name + "'s operation takes effect", func(w *world) bool { return w.effect(i) }},
			event{name + " is answered", func(w *world) bool { return w.answered(i) }},
			event{name + "'s operation goes unanswered", func(w *world) bool { return w.lose(i) }},
			event{name + "'s old write arrives", func(w *world) bool { return w.strayArrives(i) }},
			event{name + " pauses", func(w *world) bool { return w.pause(i, false) }},
			event{name + " is suspended", func(w *world) bool { return w.pause(i, true) }},
			event{name + " resumes", func(w *world) bool { return w.resume(i) }},
			event{name + "'s wall clock jumps", func(w *world) bool { return w.jump(i) }},
			event{name + " releases", func(w *world) bool { return w.release(i) }},
		)
	}
	return all
}

// passTime moves the clocks. A node that is not paused does at once what is due;
// its operations and their answers may take as long as they like.
func passTime(w *world) bool {
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
	return w.elapsed <= lastStep
}

func (w *world) tick(i int) bool {
	a := &w.actors[i]
	if a.paused || a.waiting {
		return false
	}
	a.begin(a.slot.Tick(a.now, lease.Candidacy{Eligible: true}))
	w.look(i)
	return a.waiting
}

// look lets a read take effect when it is sent. Its answer may still come
// late, so it is as stale as one that took effect later, or more.
func (w *world) look(i int) {
	if _, ok := w.actors[i].op.action.(lease.Read); ok {
		w.effect(i)
	}
}

func (w *world) effect(i int) bool {
	a := &w.actors[i]
	if !a.waiting || a.op.done {
		return false
	}
	a.op.row, a.op.err = w.apply(a.op.action)
	a.op.done = true
	return true
}

func (w *world) answered(i int) bool {
	a := &w.actors[i]
	if a.paused || !a.waiting || !a.op.done {
		return false
	}
	a.answer(a.op.row, a.op.err)
	w.look(i)
	return true
}

func (w *world) lose(i int) bool {
	a := &w.actors[i]
	if a.paused || !a.waiting || w.left == 0 {
		return false
	}
	w.left--
	if write, ok := a.op.action.(lease.Write); ok && !a.op.done {
		a.stray, a.hasStray = write, true
	}
	a.answer(coltsfootward.Row{}, coltsfootward.ErrUnavailable)
	return true
}

func (w *world) strayArrives(i int) bool {
	a := &w.actors[i]
	if !a.hasStray {
		return false
	}
	_, _ = w.apply(a.stray)
	a.stray, a.hasStray = lease.Write{}, false
	return true
}

func (w *world) pause(i int, suspend bool) bool {
	a := &w.actors[i]
	if a.paused || w.left == 0 {
		return false
	}
	w.left--
	a.paused, a.suspended = true, suspend
	return true
}

func (w *world) resume(i int) bool {
	a := &w.actors[i]
	if !a.paused {
		return false
	}
	a.paused, a.suspended = false, false
	return true
}

func (w *world) jump(i int) bool {
	if w.left == 0 {
		return false
	}
	w.left--
	w.actors[i].now.Expiry += 2 * term
	return true
}

func (w *world) release(i int) bool {
	a := &w.actors[i]
	if a.paused || w.left == 0 || !w.held(i) {
		return false
	}
	w.left--
	a.slot.Release(false)
	return true
}

// Two nodes grant the same part of an organisation's rate, so that it gets
// twice its share. One held the slot and was late to notice that its term was
// over: it was paused, or its clock stood still, or its write was answered
// late; the other took the slot over too early, or on an old look at it.
// Every order of these events up to the bounds above is tried.
func TestNeverTwoHolders(t *testing.T) {
	all := events()
	start := newWorld()
	start.settle(0)
	if !start.held(0) {
		t.Fatal("got no holder to begin with, want the first node")
	}
	seen := map[uint64]bool{start.fingerprint(): true}
	type state struct {
		world world
		path  *trace
	}
	queue := []state{{world: start}}
	takeovers := 0
	for len(queue) > 0 {
		current := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, e := range all {
			next := current.world
			if !e.run(&next) {
				continue
			}
			path := &trace{event: e.name, before: current.path}
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
			queue = append(queue, state{world: next, path: path})
		}
	}
	t.Logf("%d states, %d of them after a takeover", len(seen), takeovers)
	if takeovers == 0 {
		t.Error("got no takeover in any order of events, want some: the search proves nothing without")
	}
}

// trace is the way to a state.
type trace struct {
	event  string
	before *trace
}

func (p *trace) String() string {
	if p == nil {
		return ""
	}
	return p.before.String() + "\n\t" + p.event
}
