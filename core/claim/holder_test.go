package claim_test

import (
	"fmt"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/claim"

	"github.com/google/uuid"
)

// retentionWindow is how long a holder retains a claim by default.
const retentionWindow = 10 * time.Minute

// timedKey returns a UUID of version 7 with the timestamp t.
func timedKey(t time.Time) string {
	id := uuid.Must(uuid.NewV7())
	for i, shift := range []int{40, 32, 24, 16, 8, 0} {
		id[i] = byte(t.UnixMilli() >> shift)
	}
	return id.String()
}

// model is the state of one key, its two claimants and the current holder.
type model struct {
	now    coltsfootward.Instant
	holder *claim.Holder
	key    claim.Key
	// dispatchUntil is until when each claimant may dispatch; zero means that it
	// may not.
	dispatchUntil [2]time.Duration
	ran           [2]bool
	ended         [2]bool
	// runs are the times at which the request was dispatched.
	runs []time.Duration
	// ends deliver each message about the end of a claim once more.
	ends []func()
}

// steps are the possible events. Each reports whether it had an effect; an order
// of events is not continued after one without effect.
var steps = []struct {
	name  string
	apply func(w *model) bool
}{
	{"claim 0", func(w *model) bool { return w.claim(0) }},
	{"claim 1", func(w *model) bool { return w.claim(1) }},
	{"dispatch 0", func(w *model) bool { return w.dispatch(0) }},
	{"dispatch 1", func(w *model) bool { return w.dispatch(1) }},
	{"give up 0", func(w *model) bool { return w.giveUp(0) }},
	{"give up 1", func(w *model) bool { return w.giveUp(1) }},
	{"end 0", func(w *model) bool { return w.end(0) }},
	{"late report", func(w *model) bool {
		for _, end := range w.ends {
			end()
		}
		return len(w.ends) > 0
	}},
	{"takeover", func(w *model) bool {
		w.holder = claim.NewHolder(claim.Options{}, w.now)
		return true
	}},
	{"handover", func(w *model) bool {
		next := claim.NewHolder(claim.Options{}, w.now)
		next.Restore(w.now, w.holder.Handover(w.now))
		w.holder = next
		return true
	}},
	{"half a window passes", func(w *model) bool { w.now = w.now.Add(retentionWindow / 2); return true }},
	{"a moment passes", func(w *model) bool { w.now = w.now.Add(20 * time.Second); return true }},
}

func id(i int) claim.ID { return claim.ID(fmt.Sprint("claimant ", i)) }

func (w *model) claim(i int) bool {
	v := w.holder.Claim(w.now, claim.Request{Key: w.key, ID: id(i)})
	if v.Decision != claim.Granted {
		return false
	}
	// A claim request of a claimant that has ended may still be in flight. Its
	// verdict is ignored.
	if !w.ended[i] {
		w.dispatchUntil[i] = w.now.Monotonic + v.Lifetime
	}
	return true
}

func (w *model) dispatch(i int) bool {
	if w.now.Monotonic >= w.dispatchUntil[i] {
		return false
	}
	w.dispatchUntil[i] = 0
	w.ran[i], w.ended[i] = true, true
	w.runs = append(w.runs, w.now.Monotonic)
	return true
}

// giveUp reports to the holder that the request did not run. The report may be
// delivered again later.
func (w *model) giveUp(i int) bool {
	if w.dispatchUntil[i] == 0 {
		return false
	}
	w.dispatchUntil[i] = 0
	w.ended[i] = true
	w.reportEnd(i, coltsfootward.ExecutionNotRun)
	return true
}

func (w *model) end(i int) bool {
	if !w.ran[i] {
		return false
	}
	w.reportEnd(i, coltsfootward.ExecutionRan)
	return true
}

func (w *model) reportEnd(i int, execution coltsfootward.Execution) {
	end := func() { w.holder.End(w.now, w.key, id(i), execution, nil) }
	w.ends = append(w.ends, end)
	end()
}

// Guards against a request running twice because it arrives through two nodes. The
// test tries every order of claims, dispatches, ends, late and repeated reports,
// handovers, takeovers that lose all claims, and passing time. A request whose key has
// a timestamp must never run twice; one whose key has none must not run twice within
// the retention window. The test checks only the retention window for both.
func TestKeyRunsOnceInEveryOrderOfEvents(t *testing.T) {
	const depth = 7
	start := coltsfootward.At(time.Hour)
	for _, test := range []struct {
		name string
		text string
	}{
		{"no timestamp", "order-17"},
		{"created before the term", timedKey(start.Wall.Add(-time.Minute))},
		{"created now", timedKey(start.Wall.Add(time.Second))},
		{"created by a clock that is ahead", timedKey(start.Wall.Add(3 * time.Second))},
		{"timestamp in the future", timedKey(start.Wall.Add(retentionWindow))},
	} {
		explored, ran, twice := 0, 0, false
		path := make([]int, 0, depth)
		var explore func()
		explore = func() {
			if twice {
				return
			}
			w := &model{now: start, key: claim.Key{Organisation: "traders", Text: test.text}}
			w.holder = claim.NewFirstHolder(claim.Options{}, start.Add(-time.Hour))
			for i, s := range path {
				if !steps[s].apply(w) && i == len(path)-1 {
					return
				}
			}
			explored++
			if len(w.runs) > 0 {
				ran++
			}
			if len(w.runs) > 1 && w.runs[len(w.runs)-1]-w.runs[0] < retentionWindow {
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

// Guards against a repeated request that runs again, and against a new request that
// is not granted: each case prepares a holder and states its decision on one claim.
func TestClaimDecisions(t *testing.T) {
	start := coltsfootward.At(time.Hour)
	first := claim.Request{Key: claim.Key{Organisation: "traders", Text: "k"}, ID: "a", Content: 1}
	repeat := claim.Request{Key: first.Key, ID: "b", Content: 1}
	other := claim.Request{Key: first.Key, ID: "b", Content: 2}
	response := &claim.RetainedResponse{Status: 200, Body: []byte("lodged")}
	for _, test := range []struct {
		name    string
		first   bool
		prepare func(h *claim.Holder)
		request claim.Request
		after   time.Duration
		want    claim.Decision
	}{
		{"fresh key", true, func(*claim.Holder) {}, first, 0, claim.Granted},
		{"resent after the claim's lifetime", true, func(h *claim.Holder) { h.Claim(start, first) }, first, claim.DefaultLifetime, claim.Running},
		{"resent after a lost verdict", true, func(h *claim.Holder) { h.Claim(start, first) }, first, time.Second, claim.Granted},
		{"repeat of a running request", true, func(h *claim.Holder) { h.Claim(start, first) }, repeat, time.Second, claim.Running},
		{"key for another request", true, func(h *claim.Holder) { h.Claim(start, first) }, other, time.Second, claim.Reused},
		{"repeat after the response", true, func(h *claim.Holder) {
			h.Claim(start, first)
			h.End(start, first.Key, "a", coltsfootward.ExecutionRan, response)
		}, repeat, time.Second, claim.AlreadyRun},
		{"repeat after a lost response", true, func(h *claim.Holder) {
			h.Claim(start, first)
			h.End(start, first.Key, "a", coltsfootward.ExecutionUnknown, nil)
		}, repeat, time.Second, claim.AlreadyRun},
		{"repeat after nothing ran", true, func(h *claim.Holder) {
			h.Claim(start, first)
			h.End(start, first.Key, "a", coltsfootward.ExecutionNotRun, nil)
		}, repeat, time.Second, claim.Granted},
		{"end of another claim is ignored", true, func(h *claim.Holder) {
			h.Claim(start, first)
			h.End(start, first.Key, "z", coltsfootward.ExecutionNotRun, nil)
		}, repeat, time.Second, claim.Running},
		{"key without timestamp after a handover", false, func(h *claim.Holder) {
			h.Restore(start, claim.NewFirstHolder(claim.Options{}, start).Handover(start))
		}, first, time.Second, claim.Granted},
		{"repeat after a handover", false, func(h *claim.Holder) {
			before := claim.NewFirstHolder(claim.Options{}, start)
			before.Claim(start, first)
			h.Restore(start, before.Handover(start))
		}, repeat, time.Second, claim.Running},
		{"key without timestamp after a takeover", false, func(*claim.Holder) {}, first, retentionWindow + claim.DefaultLifetime - 1, claim.HeldOff},
		{"key without timestamp a window later", false, func(*claim.Holder) {}, first, retentionWindow + claim.DefaultLifetime, claim.Granted},
		{"key created before the term", false, func(*claim.Holder) {}, claim.Request{Key: claim.Key{Text: timedKey(start.Wall)}}, time.Minute, claim.Forgotten},
		{"key created within the term", false, func(*claim.Holder) {}, claim.Request{Key: claim.Key{Text: timedKey(start.Wall.Add(time.Minute))}}, time.Minute, claim.Granted},
		{"key created within the term that names a domain", false, func(*claim.Holder) {}, claim.Request{Key: claim.Key{Text: "north:" + timedKey(start.Wall.Add(time.Minute))}}, time.Minute, claim.Granted},
		{"key older than the window", true, func(*claim.Holder) {}, claim.Request{Key: claim.Key{Text: timedKey(start.Wall)}}, retentionWindow + claim.DefaultLifetime, claim.Forgotten},
	} {
		h := claim.NewHolder(claim.Options{}, start)
		if test.first {
			h = claim.NewFirstHolder(claim.Options{}, start)
		}
		test.prepare(h)
		if got := h.Claim(start.Add(test.after), test.request); got.Decision != test.want {
			t.Errorf("%s: got %+v, want %s", test.name, got, test.want)
		}
	}
}

// Guards against a flood of keys that grows the holder's memory without bound, or
// evicts claims whose requests may have run, so that a repeated request runs again.
func TestFullHolderKeepsClaims(t *testing.T) {
	start := coltsfootward.At(time.Hour)
	h := claim.NewFirstHolder(claim.Options{MaximumClaims: 100}, start)
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
	if got := h.Claim(start.Add(retentionWindow+claim.DefaultLifetime+time.Second), request(2000)); got.Decision != claim.Granted || h.Len() != 1 {
		t.Errorf("after the window: got %s with %d claims, want %s with 1", got.Decision, h.Len(), claim.Granted)
	}
}
