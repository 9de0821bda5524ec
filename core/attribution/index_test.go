package attribution_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"coltsfootward/core/attribution"

	"pgregory.net/rapid"
)

func ExampleIndex() {
	x := attribution.NewIndex()
	x.Parent(0, "feed", time.Second) // a first call: the server makes calls
	a := x.Begin(attribution.Request{ID: 1, Class: "order", Root: attribution.Root{ShedRank: 1}, Deadline: time.Second})
	b := x.Begin(attribution.Request{ID: 2, Class: "order", Root: attribution.Root{ShedRank: 2}, Deadline: time.Second})
	fmt.Println(a, b)
	fmt.Println(x.Parent(100*time.Millisecond, "feed", b-time.Millisecond))
	fmt.Println(x.Parent(100*time.Millisecond, "feed", a+time.Millisecond))
	// Output:
	// 999.99ms 996.99ms
	// 2 unique
	// 0 none
}

// Guards against deadlines that are stated after the true one, or earlier than the
// longest shift, against windows that overlap although there was room, and against
// entries that stay after the end of their request.
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
			if got > now+left || got < now+left-min(150*time.Millisecond, left/8) {
				t.Fatalf("got deadline %v, want %v or up to an eighth of %v earlier", got, now+left, left)
			}
			near := func(other time.Duration) bool { return (other - got).Abs() < 3*time.Millisecond }
			if got != now+left && slices.ContainsFunc(stated, near) {
				t.Fatalf("got deadline %v, which was shifted and is within 3 ms of another", got)
			}
			stated = append(stated, got)
		}
		for i, expires := range stated {
			x.End(attribution.RequestID(i))
			if id, outcome := x.Parent(now, "feed", expires); outcome == attribution.OutcomeUnique && int(id) <= i {
				t.Fatalf("got request %d as the parent, which has ended", id)
			}
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

// accuracy simulates a load and returns which fractions of the calls after the first ten
// seconds get the right parent and a wrong one.
func accuracy(source *rand.Rand, l load) (right, wrong float64) {
	type event struct {
		at  time.Duration
		run func(now time.Duration)
	}
	x := attribution.NewIndex()
	var all, rightCount, wrongCount float64
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
				switch {
				case now < 10*time.Second:
					return
				case outcome == attribution.OutcomeUnique && found == id:
					rightCount++
				case outcome == attribution.OutcomeUnique:
					wrongCount++
				}
				all++
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
		id++
		arrive(id, next)
		next += time.Duration(source.ExpFloat64() / float64(l.perSecond) * float64(time.Second))
	}
	return rightCount / all, wrongCount / all
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
		if right, wrong := accuracy(rand.New(rand.NewPCG(seed, 1)), l); right < 0.9 || wrong > 0.03 {
			t.Fatalf("got %.3f of the calls with the right parent and %.3f with a wrong one, want at least 0.9 and at most 0.03", right, wrong)
		}
	})
}

// limitsAfter starts 4000 requests with two calls each, one made at once and one later,
// and returns the limits that changed and the time stated with the last request.
func limitsAfter(x *attribution.Index, now *time.Duration, expiry func(start, stated, made time.Duration) time.Duration) (limits []attribution.Limit, stated time.Duration) {
	source := rand.New(rand.NewPCG(1, 1))
	var inService []attribution.RequestID
	for range 4000 {
		*now += time.Duration(5+source.IntN(10)) * time.Millisecond
		id, start := attribution.RequestID(*now), *now
		deadline := start + time.Duration(1500+source.IntN(1000))*time.Millisecond
		stated = x.Begin(attribution.Request{ID: id, Class: "order", Root: attribution.Root{ShedRank: uint32(id)}, Start: start, Deadline: deadline})
		x.Parent(start, "feed", expiry(start, stated, start))
		x.Parent(start, "feed", expiry(start, stated, start+time.Duration(20+source.IntN(60))*time.Millisecond))
		if inService = append(inService, id); len(inService) > 10 {
			x.End(inService[0])
			inService = inService[1:]
		}
	}
	return x.Changes(), stated - *now
}

// Guards against a limit that is not learned or that is kept after the server has stopped
// to use it, and against deadlines that are capped although calls have timeouts from when
// they are made: the first call of a request expires a constant time after the request's
// start, but a cap would take time from the later one.
func TestLimits(t *testing.T) {
	const own = 700 * time.Millisecond
	x, now := attribution.NewIndex(), time.Duration(0)
	limits, stated := limitsAfter(x, &now, func(start, stated, _ time.Duration) time.Duration {
		return min(stated, start+own) - time.Millisecond/2
	})
	if len(limits) != 1 || (limits[0].After-own).Abs() > 2*time.Millisecond || stated > own {
		t.Errorf("got limits %v and a request with %v stated, want one limit of 700 ms that caps it", limits, stated)
	}
	limits, stated = limitsAfter(x, &now, func(_, stated, _ time.Duration) time.Duration { return stated - time.Millisecond/2 })
	if len(limits) != 1 || limits[0].After != 0 || stated < time.Second {
		t.Errorf("got limits %v and a request with %v stated, want that the limit is dropped", limits, stated)
	}
	x = attribution.NewIndex()
	limits, stated = limitsAfter(x, &now, func(_, _, made time.Duration) time.Duration { return made + own })
	if len(limits) != 1 || !limits[0].FromCall || stated < time.Second {
		t.Errorf("got limits %v and a request with %v stated for calls with timeouts, want one from the call that caps nothing", limits, stated)
	}
}

// Guards against calls that stay without a parent because each brings a timeout of its own,
// which is shorter than what its parent has left.
func TestCallsWithTimeoutsOfTheirOwn(t *testing.T) {
	source := rand.New(rand.NewPCG(3, 1))
	x, now := attribution.NewIndex(), time.Duration(0)
	right := 0
	for i := range 4000 {
		now += time.Duration(5+source.IntN(10)) * time.Millisecond
		id := attribution.RequestID(i + 1)
		stated := x.Begin(attribution.Request{ID: id, Class: "order", Root: attribution.Root{ShedRank: uint32(id)}, Start: now, Deadline: now + time.Second, Usual: 100 * time.Millisecond})
		if stated < now+590*time.Millisecond {
			t.Fatalf("request %d: got %v stated of 1 s, want at least the shortest timeout", id, stated-now)
		}
		timeout := time.Duration(600+source.IntN(100)) * time.Millisecond
		made := now + time.Duration(10+source.IntN(80))*time.Millisecond
		if parent, outcome := x.Parent(made, "feed", min(stated-time.Millisecond/2, made+timeout)); i >= 2000 && outcome == attribution.OutcomeUnique && parent == id {
			right++
		}
		if i >= 10 {
			x.End(id - 10)
		}
	}
	if right < 1900 {
		t.Errorf("got the right parent for %d of 2000 calls, want at least 1900", right)
	}
}

// BenchmarkIndex measures one request with two calls at a server with 139 slots in use.
func BenchmarkIndex(b *testing.B) {
	x := attribution.NewIndex()
	for i := range b.N {
		id, start := attribution.RequestID(i), time.Duration(i)*5*time.Millisecond
		stated := x.Begin(attribution.Request{ID: id, Root: attribution.Root{ShedRank: uint32(i)}, Start: start, Deadline: start + 2*time.Second})
		x.Parent(start, "feed", stated-time.Millisecond)
		x.Parent(start, "feed", stated-time.Millisecond)
		x.End(id - min(id, 139))
	}
}

// Guards against a learned timeout that is kept after the server has begun to use much shorter
// ones, so that no call has a parent by which the age of the timeout would be noticed.
func TestTimeoutExpiresWithoutParents(t *testing.T) {
	x, now := attribution.NewIndex(), time.Duration(0)
	call := func(i int, timeout time.Duration) {
		now += 100 * time.Millisecond
		id := attribution.RequestID(i)
		x.Begin(attribution.Request{ID: id, Class: "order", Root: attribution.Root{ShedRank: uint32(i)}, Start: now, Deadline: now + time.Second, Usual: 100 * time.Millisecond})
		x.Parent(now, "feed", now+timeout+time.Duration(i%7)*10*time.Millisecond)
		x.End(id)
	}
	for i := range 200 {
		call(i, 600*time.Millisecond)
	}
	if changes := x.Changes(); len(changes) == 0 || !changes[0].FromCall || changes[0].After == 0 {
		t.Fatalf("got changes %v, want a learned timeout", changes)
	}
	for i := range 1300 {
		call(i, 250*time.Millisecond)
	}
	dropped := slices.ContainsFunc(x.Changes(), func(l attribution.Limit) bool { return l.FromCall && l.After == 0 })
	if !dropped {
		t.Error("the timeout was kept for more than 2 min although no call has a parent")
	}
}
