package attribution_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/attribution"

	"pgregory.net/rapid"
)

func ExampleIndex() {
	x := attribution.NewIndex()
	second := time.Second
	x.Parent(0, "feed", second) // a first call: the server makes calls
	a := x.Begin(attribution.Request{ID: 1, Class: "order", Root: attribution.Root{ShedRank: 1}, Start: 0, Deadline: second})
	b := x.Begin(attribution.Request{ID: 2, Class: "order", Root: attribution.Root{ShedRank: 2}, Start: 0, Deadline: second})
	fmt.Println(a, b)
	fmt.Println(x.Parent(100*time.Millisecond, "feed", b-time.Millisecond))
	fmt.Println(x.Parent(100*time.Millisecond, "feed", a+time.Millisecond))
	// Output:
	// 999.99ms 996.99ms
	// 2 unique
	// 0 none
}

// Guards against deadlines that are stated after the true one, or earlier than the
// longest shift, and against windows that overlap although there was room.
func TestStatedDeadlines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := attribution.NewIndex()
		x.Parent(0, "feed", time.Second)
		var stated []time.Duration
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 150).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "gap")) * time.Microsecond
			left := time.Duration(rapid.IntRange(1, 3_000_000).Draw(t, "left")) * time.Microsecond
			got := x.Begin(attribution.Request{ID: attribution.RequestID(i), Root: attribution.Root{ShedRank: uint32(i)}, Start: now, Deadline: now + left})
			shift := min(150*time.Millisecond, left/8)
			if got > now+left || got < now+left-shift {
				t.Fatalf("got deadline %v, want %v or up to %v earlier", got, now+left, shift)
			}
			near := func(other time.Duration) bool { return (other - got).Abs() < 3*time.Millisecond }
			if got != now+left && slices.ContainsFunc(stated, near) {
				t.Fatalf("got deadline %v, which was shifted and is within 3 ms of another", got)
			}
			stated = append(stated, got)
		}
	})
}

// Guards against entries that stay after the end of their request, and against counts
// that omit a call.
func TestEndedRequestsHaveNoCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := attribution.NewIndex()
		count := rapid.IntRange(1, 50).Draw(t, "requests")
		stated := make([]time.Duration, count)
		for i := range stated {
			stated[i] = x.Begin(attribution.Request{ID: attribution.RequestID(i), Deadline: time.Second})
		}
		for i := range stated {
			x.End(attribution.RequestID(i))
		}
		for _, expires := range stated {
			if _, outcome := x.Parent(0, "feed", expires); outcome != attribution.OutcomeNone {
				t.Fatalf("got %s, want none", outcome)
			}
		}
		if got := x.Counts(); got.None != count || x.Len() != 0 {
			t.Fatalf("got %+v with %d requests in service, want %d without a parent", got, x.Len(), count)
		}
	})
}

// Guards against two calls of one root request that are taken for calls of two requests.
func TestOneRootIsUnique(t *testing.T) {
	for other, want := range map[uint32]attribution.Outcome{7: attribution.OutcomeUnique, 8: attribution.OutcomeAmbiguous} {
		x := attribution.NewIndex()
		x.Begin(attribution.Request{ID: 1, Root: attribution.Root{ShedRank: 7}, Deadline: time.Second})
		x.Begin(attribution.Request{ID: 2, Root: attribution.Root{ShedRank: other}, Deadline: time.Second})
		if _, got := x.Parent(0, "feed", time.Second-time.Millisecond); got != want {
			t.Errorf("got %s for requests of roots 7 and %d, want %s", got, other, want)
		}
	}
}

// load is a randomly drawn load of one server.
type load struct {
	perSecond, calls int
	// longest is the longest service time. own is the limit of the calls after the start
	// of their parent; zero means none.
	longest, own time.Duration
	timeouts     [2]time.Duration
}

// accuracy simulates a load and returns the counts of the calls after the first ten
// seconds, and how many of the unique ones have the wrong parent.
func accuracy(source *rand.Rand, l load) (counts attribution.Counts, wrong int) {
	type event struct {
		at  time.Duration
		run func(now time.Duration)
	}
	x := attribution.NewIndex()
	var before attribution.Counts
	var events []event
	after := func(at time.Duration, run func(time.Duration)) {
		i, _ := slices.BinarySearchFunc(events, at, func(e event, at time.Duration) int { return int(e.at - at) })
		events = slices.Insert(events, i, event{at, run})
	}
	upTo := func(d time.Duration) time.Duration { return time.Duration(source.Int64N(int64(d))) }
	arrive := func(id attribution.RequestID, now time.Duration) {
		deadline := now + l.timeouts[0] + upTo(l.timeouts[1]-l.timeouts[0])
		stated := x.Begin(attribution.Request{ID: id, Class: "order", Root: attribution.Root{ShedRank: uint32(id)}, Start: now, Deadline: deadline})
		// The request reaches the server with whole milliseconds left.
		reached := now + upTo(time.Millisecond/2)
		known := reached + (stated - now).Truncate(time.Millisecond)
		if l.own > 0 {
			known = min(known, reached+l.own)
		}
		took := upTo(l.longest)
		after(now+took, func(time.Duration) { x.End(id) })
		for range l.calls {
			made := reached + upTo(took+1)
			timeout := (known - made).Truncate(time.Millisecond)
			arrived := made + upTo(time.Millisecond/2)
			if timeout <= 0 || arrived >= now+took {
				continue
			}
			after(arrived, func(now time.Duration) {
				found, outcome := x.Parent(now, "feed", now+timeout)
				if now > 10*time.Second && outcome == attribution.OutcomeUnique && found != id {
					wrong++
				}
			})
		}
	}
	id, next := attribution.RequestID(0), time.Duration(0)
	for next < 20*time.Second {
		if len(events) > 0 && events[0].at <= next {
			e := events[0]
			events = events[1:]
			e.run(e.at)
			continue
		}
		if next < 10*time.Second {
			before = x.Counts()
		}
		id++
		arrive(id, next)
		next += time.Duration(source.ExpFloat64() / float64(l.perSecond) * float64(time.Second))
	}
	counts = x.Counts()
	counts.Unique -= before.Unique
	counts.Ambiguous -= before.Ambiguous
	counts.None -= before.None
	return counts, wrong
}

// Guards against calls that are seldom attributed, or to the wrong request, under loads
// with up to 120 requests in service, with and without limits of the calls' own.
func TestAccuracy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := load{
			perSecond: rapid.IntRange(20, 240).Draw(t, "per second"),
			calls:     rapid.IntRange(1, 4).Draw(t, "calls"),
			longest:   time.Duration(rapid.IntRange(100, 500).Draw(t, "longest")) * time.Millisecond,
			timeouts:  [2]time.Duration{1500 * time.Millisecond, time.Duration(rapid.IntRange(1501, 3000).Draw(t, "timeout")) * time.Millisecond},
		}
		if rapid.Bool().Draw(t, "limited") {
			l.own = time.Duration(rapid.IntRange(600, 1000).Draw(t, "own")) * time.Millisecond
		}
		seed := rapid.Uint64().Draw(t, "seed")
		counts, wrong := accuracy(rand.New(rand.NewPCG(seed, 1)), l)
		all := float64(counts.Unique + counts.Ambiguous + counts.None)
		right, wrongShare := float64(counts.Unique-wrong)/all, float64(wrong)/all
		t.Logf("%+v: %+v, right %.3f, wrong %.3f", l, counts, right, wrongShare)
		if right < 0.9 || wrongShare > 0.03 {
			t.Fatalf("got %.3f of the calls with the right parent and %.3f with a wrong one, want at least 0.9 and at most 0.03", right, wrongShare)
		}
	})
}

// Guards against deadlines that are capped although calls have timeouts from when they are
// made: the first call of a request expires a constant time after the request's start,
// but a cap would take time from the later one.
func TestTimeoutsOfCallsAreNoLimit(t *testing.T) {
	x := attribution.NewIndex()
	source := rand.New(rand.NewPCG(1, 1))
	now := time.Duration(0)
	for i := range 4000 {
		id := attribution.RequestID(i)
		now += time.Duration(5+source.IntN(10)) * time.Millisecond
		x.Begin(attribution.Request{ID: id, Class: "order", Root: attribution.Root{ShedRank: uint32(id)}, Start: now, Deadline: now + 2*time.Second})
		x.Parent(now, "feed", now+700*time.Millisecond)
		later := time.Duration(20+source.IntN(60)) * time.Millisecond
		x.Parent(now, "feed", now+later+700*time.Millisecond)
		x.End(id - min(id, 10))
	}
	if got := x.Changes(); len(got) > 0 {
		t.Errorf("got %v, want no limit", got)
	}
}

// Guards against a limit that is kept after the server has stopped to use it, and against
// deadlines that stay capped.
func TestDroppedLimit(t *testing.T) {
	x := attribution.NewIndex()
	source := rand.New(rand.NewPCG(1, 1))
	id, now := attribution.RequestID(0), time.Duration(0)
	run := func(own time.Duration) (limits []attribution.Limit, stated time.Duration) {
		for range 4000 {
			id++
			now += time.Duration(5+source.IntN(10)) * time.Millisecond
			deadline := now + time.Duration(1500+source.IntN(1000))*time.Millisecond
			stated = x.Begin(attribution.Request{ID: id, Class: "order", Root: attribution.Root{ShedRank: uint32(id)}, Start: now, Deadline: deadline}) - now
			x.Parent(now+time.Millisecond, "feed", now+min(stated, own)-time.Millisecond/2)
			x.End(id - min(id, 10))
		}
		return x.Changes(), stated
	}
	route := coltsfootward.RouteName("feed")
	limits, stated := run(700 * time.Millisecond)
	if len(limits) != 1 || limits[0].Route != route || (limits[0].After-700*time.Millisecond).Abs() > 2*time.Millisecond || stated > 700*time.Millisecond {
		t.Errorf("got limits %v and a request with %v stated, want one limit of 700 ms that caps it", limits, stated)
	}
	limits, stated = run(time.Hour)
	if len(limits) != 1 || limits[0].After != 0 || stated < time.Second {
		t.Errorf("got limits %v and a request with %v stated, want that the limit is dropped", limits, stated)
	}
}
