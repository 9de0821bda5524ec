package admission

import "time"

// swing is how long a queue may be, in time, to count as a swing that passes.
const swing = 50 * time.Millisecond

// firstTurn is the rank of the first deep request that waits; later ones go behind
// it or before it.
const firstTurn = 1 << 31

// turns orders deep requests whose ranks are chance: calls that do not name the
// request that they are made for.
//
// The load that it is made for: each request makes four such calls, one after the
// other. By a rank of their own, of four calls the one that draws the worst waits
// until it is refused, and the work for the other three is lost. In a queue that is
// short they go by age, so that each waits a little and none is refused. In a long
// one that would have all of them wait until their requests' time is over; there the
// newest goes first: a request whose earlier calls were served goes on at once, and
// only those fail that are stuck already.
//
// The zero value is ready.
type turns struct {
	behind, before uint32
}

// next returns the rank of a request that comes to a queue of that length, and
// whether it goes before all that wait.
func (t *turns) next(length time.Duration, empty bool) (rank uint32, first bool) {
	if empty {
		*t = turns{}
	}
	if length <= swing {
		t.behind++
		return firstTurn + t.behind, false
	}
	t.before++
	return firstTurn - t.before, true
}
