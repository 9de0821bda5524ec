package pressure

import "time"

const (
	// throttleInterval is the time between two settings of the part let pass.
	throttleInterval = 100 * time.Millisecond
	// throttleLag is how long what entry nodes let pass takes to show in the
	// ratio: the way of the news through the services above, the requests that
	// have begun, and the meter's own time. The ratio is compared with what was
	// let pass about so long ago; compared with what is let pass now, the same
	// overload would be answered again and again until it shows, and the part
	// would swing between everything and nothing.
	throttleLag = 900 * time.Millisecond
	// throttleStep is how much of the way to the part that the ratio asks for is
	// gone in one interval.
	throttleStep = 0.2
	// throttleMove is by how much the part may move in one interval's look, for
	// each part of the server that lies idle below idleRatio, or is asked for beyond
	// it. Where the news takes longer than throttleLag, as in fleets whose nodes hear
	// of a service but twice a second, the estimate of what is let pass runs ahead:
	// without this bound the part falls to almost nothing, and then takes many seconds
	// to grow again from there.
	throttleMove = 1.0
	idleRatio    = 0.9
	// lowestRatio bounds how far one look may raise the part.
	lowestRatio = 0.4
	// leastPassed is what is let pass at least, so that there are answers that
	// tell when the overload has ended.
	leastPassed = 0.03
)

// Throttle decides, at the node of a backend server, which part of the demand for
// its service the entry nodes are to let pass. Each entry node lets the mean of
// what it is told by the service's servers pass.
//
// It stands here and not at the entry nodes because its state sums up errors of
// the past. Kept at each entry node, the sums drifted apart: under a lasting
// overload one node refused the most important requests while another let the
// least important ones pass, each of them for good, since the server that both
// load looked just full. The zero value is ready and lets everything pass. It is
// not safe for concurrent use.
type Throttle struct {
	// excess is the part to refuse, effective the part let pass that the present
	// ratio is the effect of, less one.
	excess    float64
	effective float64
	next      time.Duration
}

// Observe takes in how much is offered to the server in proportion to what it
// serves well. It is called at least once in each interval.
func (t *Throttle) Observe(now time.Duration, ratio float64) {
	if now < t.next {
		return
	}
	t.next = max(t.next+throttleInterval, now)
	passed := 1 - t.excess
	wanted := min((1-t.effective)/max(ratio, lowestRatio), 1)
	wanted = max(wanted, min(passed+throttleMove*(idleRatio-ratio), 1))
	passed = max(passed+throttleStep*(wanted-passed), leastPassed)
	t.excess = 1 - passed
	t.effective += throttleInterval.Seconds() / throttleLag.Seconds() * (t.excess - t.effective)
}

// Excess returns the part of the demand that is to be refused, 0 to 1.
func (t *Throttle) Excess() float64 { return t.excess }
