package claim_test

import (
	"fmt"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/claim"

	"github.com/google/uuid"
)

const window = 10 * time.Minute

// mint returns a UUID of version 7 that carries the time.
func mint(t time.Time) string {
	id := uuid.Must(uuid.NewV7())
	for i, shift := range []int{40, 32, 24, 16, 8, 0} {
		id[i] = byte(t.UnixMilli() >> shift)
	}
	return id.String()
}

// world is one key, its claimants, and the holders that follow each other.
type world struct {
	now     coltsfootward.Instant
	holder  *claim.Holder
	key     claim.Key
	permits [2]time.Duration // until when claimant i may dispatch; zero means not
	ran     [2]bool
	over    [2]bool
	runs    []time.Duration
	ends    []func()
}

// steps are what may happen, in any order. Each reports whether it changed
// anything; one that did not is not followed further.
var steps = []struct {
	name string
	take func(w *world) bool
}{
	{"claim 0", func(w *world) bool { return w.claim(0) }},
	{"claim 1", func(w *world) bool { return w.claim(1) }},
	{"dispatch 0", func(w *world) bool { return w.dispatch(0) }},
	{"dispatch 1", func(w *world) bool { return w.dispatch(1) }},
	{"give up 0", func(w *world) bool { return w.giveUp(0) }},
	{"give up 1", func(w *world) bool { return w.giveUp(1) }},
	{"end 0", func(w *world) bool { return w.end(0) }},
	{"late news", func(w *world) bool {
		for _, end := range w.ends {
			end()
		}
		return len(w.ends) > 0
	}},
	{"takeover", func(w *world) bool {
		w.holder = claim.NewHolder(claim.Options{}, w.now)
		return true
	}},
	{"handover", func(w *world) bool {
		next := claim.NewHolder(claim.Options{}, w.now)
		next.Take(w.now, w.holder.Handover(w.now))
		w.holder = next
		return true
	}},
	{"half a window passes", func(w *world) bool { w.now = w.now.Add(window / 2); return true }},
	{"a moment passes", func(w *world) bool { w.now = w.now.Add(20 * time.Second); return true }},
}

func id(i int) claim.ID { return claim.ID(fmt.Sprint("claimant ", i)) }

func (w *world) claim(i int) bool {
	v := w.holder.Claim(w.now, claim.Request{Key: w.key, ID: id(i)})
	if v.Decision != claim.Granted {
		return false
	}
	// A claimant that has ended may still have a request under way; nobody
	// waits for the verdict.
	if !w.over[i] {
		w.permits[i] = w.now.Monotonic + v.Life
	}
	return true
}

func (w *world) dispatch(i int) bool {
	if w.now.Monotonic >= w.permits[i] {
		return false
	}
	w.permits[i] = 0
	w.ran[i], w.over[i] = true, true
	w.runs = append(w.runs, w.now.Monotonic)
	return true
}

// giveUp tells the holder that nothing ran; the news may come again later.
func (w *world) giveUp(i int) bool {
	if w.permits[i] == 0 {
		return false
	}
	w.permits[i] = 0
	w.over[i] = true
	w.tell(i, coltsfootward.ExecutionNotRun)
	return true
}

func (w *world) end(i int) bool {
	if !w.ran[i] {
		return false
	}
	w.tell(i, coltsfootward.ExecutionRan)
	return true
}

func (w *world) tell(i int, execution coltsfootward.Execution) {
	end := func() { w.holder.End(w.now, w.key, id(i), execution, nil) }
	w.ends = append(w.ends, end)
	end()
}

// A farmer's order comes twice, through two nodes, in every order of claims,
// dispatches, ends, late and repeated news, takeovers that lose all claims and
// passing time. A key that carries its time must never run twice, an opaque one
// never twice within the window.
func TestEveryOrderOfEventsRunsKeyOnce(t *testing.T) {
	const depth = 7
	start := coltsfootward.At(time.Hour)
	for _, test := range []struct {
		name string
		text string
	}{
		{"opaque", "order-17"},
		{"minted before the term", mint(start.Wall.Add(-time.Minute))},
		{"minted now", mint(start.Wall.Add(time.Second))},
		{"minted by a clock ahead", mint(start.Wall.Add(3 * time.Second))},
		{"minted in the future", mint(start.Wall.Add(window))},
	} {
		explored, ran, twice := 0, 0, false
		path := make([]int, 0, depth)
		var explore func()
		explore = func() {
			if twice {
				return
			}
			w := &world{now: start, key: claim.Key{Organisation: "traders", Text: test.text}}
			w.holder = claim.NewFirstHolder(claim.Options{}, start.Add(-time.Hour))
			for i, s := range path {
				if !steps[s].take(w) && i == len(path)-1 {
					return
				}
			}
			explored++
			if len(w.runs) > 0 {
				ran++
			}
			if len(w.runs) > 1 && w.runs[len(w.runs)-1]-w.runs[0] < window {
				twice = true
				var names []string
				for _, s := range path {
					names = append(names, steps[s].name)
				}
				t.Errorf("%s: ran twice after %q", test.name, names)
				return
			}
			for s := range steps {
				if len(path) < depth {
					path = append(path, s)
					explore()
					path = path[:len(path)-1]
				}
			}
		}
		explore()
		t.Logf("%s: %d orders of events, the request ran in %d", test.name, explored, ran)
	}
}

func TestDecisions(t *testing.T) {
	start := coltsfootward.At(time.Hour)
	first := claim.Request{Key: claim.Key{Organisation: "traders", Text: "k"}, ID: "a", Content: 1}
	repeat := claim.Request{Key: first.Key, ID: "b", Content: 1}
	other := claim.Request{Key: first.Key, ID: "b", Content: 2}
	answer := &claim.Answer{Status: 200, Body: []byte("lodged")}
	for _, test := range []struct {
		name  string
		first bool
		take  func(h *claim.Holder)
		ask   claim.Request
		after time.Duration
		want  claim.Decision
	}{
		{"fresh key", true, func(*claim.Holder) {}, first, 0, claim.Granted},
		{"asked again after the claim's life", true, func(h *claim.Holder) { h.Claim(start, first) }, first, claim.DefaultLife, claim.Running},
		{"verdict lost, asked again", true, func(h *claim.Holder) { h.Claim(start, first) }, first, time.Second, claim.Granted},
		{"repeat of a running one", true, func(h *claim.Holder) { h.Claim(start, first) }, repeat, time.Second, claim.Running},
		{"key for another request", true, func(h *claim.Holder) { h.Claim(start, first) }, other, time.Second, claim.Reused},
		{"repeat after the answer", true, func(h *claim.Holder) {
			h.Claim(start, first)
			h.End(start, first.Key, "a", coltsfootward.ExecutionRan, answer)
		}, repeat, time.Second, claim.AlreadyRun},
		{"repeat after a lost answer", true, func(h *claim.Holder) {
			h.Claim(start, first)
			h.End(start, first.Key, "a", coltsfootward.ExecutionUnknown, nil)
		}, repeat, time.Second, claim.AlreadyRun},
		{"repeat after nothing ran", true, func(h *claim.Holder) {
			h.Claim(start, first)
			h.End(start, first.Key, "a", coltsfootward.ExecutionNotRun, nil)
		}, repeat, time.Second, claim.Granted},
		{"another's end frees nothing", true, func(h *claim.Holder) {
			h.Claim(start, first)
			h.End(start, first.Key, "z", coltsfootward.ExecutionNotRun, nil)
		}, repeat, time.Second, claim.Running},
		{"opaque key after a handover", false, func(h *claim.Holder) {
			h.Take(start, claim.NewFirstHolder(claim.Options{}, start).Handover(start))
		}, first, time.Second, claim.Granted},
		{"repeat after a handover", false, func(h *claim.Holder) {
			before := claim.NewFirstHolder(claim.Options{}, start)
			before.Claim(start, first)
			h.Take(start, before.Handover(start))
		}, repeat, time.Second, claim.Running},
		{"opaque key after a takeover", false, func(*claim.Holder) {}, first, window + claim.DefaultLife - 1, claim.HeldOff},
		{"opaque key a window later", false, func(*claim.Holder) {}, first, window + claim.DefaultLife, claim.Granted},
		{"key made before the term", false, func(*claim.Holder) {}, claim.Request{Key: claim.Key{Text: mint(start.Wall)}}, time.Minute, claim.Forgotten},
		{"key made within the term", false, func(*claim.Holder) {}, claim.Request{Key: claim.Key{Text: mint(start.Wall.Add(time.Minute))}}, time.Minute, claim.Granted},
		{"the same in a named domain", false, func(*claim.Holder) {}, claim.Request{Key: claim.Key{Text: "north:" + mint(start.Wall.Add(time.Minute))}}, time.Minute, claim.Granted},
		{"key older than the window", true, func(*claim.Holder) {}, claim.Request{Key: claim.Key{Text: mint(start.Wall)}}, window + claim.DefaultLife, claim.Forgotten},
	} {
		h := claim.NewHolder(claim.Options{}, start)
		if test.first {
			h = claim.NewFirstHolder(claim.Options{}, start)
		}
		test.take(h)
		if got := h.Claim(start.Add(test.after), test.ask); got.Decision != test.want {
			t.Errorf("%s: got %+v, want %s", test.name, got, test.want)
		}
	}
}

// A flood of keys must neither grow the holder without bound nor push out a
// claim whose request may have run.
func TestFullHolderForgetsNoClaim(t *testing.T) {
	start := coltsfootward.At(time.Hour)
	h := claim.NewFirstHolder(claim.Options{Claims: 100}, start)
	request := func(i int) claim.Request {
		return claim.Request{Key: claim.Key{Text: fmt.Sprint(i)}, ID: id(i)}
	}
	for i := range 1000 {
		got := h.Claim(start.Add(time.Duration(i)), request(i))
		if i < 100 && got.Decision != claim.Granted || i >= 100 && (got.Decision != claim.Full || got.RetryAfter <= 0) {
			t.Fatalf("key %d: got %+v", i, got)
		}
	}
	if got := h.Claim(start.Add(time.Minute), claim.Request{Key: request(0).Key, ID: "other"}); got.Decision != claim.Running {
		t.Errorf("repeat of the first key: got %s, want %s", got.Decision, claim.Running)
	}
	if got := h.Claim(start.Add(window+claim.DefaultLife+time.Second), request(2000)); got.Decision != claim.Granted || h.Len() != 1 {
		t.Errorf("after the window: got %s with %d claims, want %s with 1", got.Decision, h.Len(), claim.Granted)
	}
}
