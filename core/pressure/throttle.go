package pressure

import "time"

const (
	// throttleInterval is the time between two updates of the admitted fraction.
	throttleInterval = 100 * time.Millisecond
	// throttleLag is the delay until a change of the admitted fraction shows in the
	// ratio. It consists of the propagation of reports up the call chain, the
	// requests that have already started, and the time constant of the meter. The
	// ratio is compared with the fraction that was admitted about that long ago. If
	// it were compared with the fraction admitted now, the same overload would be
	// corrected again and again until the effect shows, and the fraction would
	// oscillate between everything and nothing.
	throttleLag = 900 * time.Millisecond
	// throttleStep is the share of the difference from the wanted fraction that is
	// corrected in one interval.
	throttleStep = 0.2
	// throttleGain limits the decrease of the fraction per interval, and sets a
	// minimum for its increase: the wanted fraction is at least the present one plus
	// throttleGain times the difference between idleRatio and the ratio. Where
	// reports take longer than throttleLag, as in deployments whose nodes receive
	// only two reports per second about a service, laggedExcess follows the excess
	// faster than the ratio does. Without this limit, the fraction falls to almost
	// nothing and then takes many seconds to recover.
	throttleGain = 1.0
	idleRatio    = 0.9
	// minRatio bounds how far one observation may raise the fraction.
	minRatio = 0.4
	// minAdmitted is the minimum admitted fraction. It ensures that there are
	// responses that report the end of the overload.
	minAdmitted = 0.03
)

// Throttle computes, on the node of a backend server, the fraction of the demand for
// its service that entry nodes are to refuse. Each entry node applies the average of
// what the servers of the service report.
//
// The throttle runs on the server's node and not on the entry nodes because its state
// accumulates past errors. When each entry node kept this state, the states drifted
// apart: under a sustained overload, one node refused the most important requests
// while another admitted the least important ones. Neither corrected that, because
// the server that both load appeared to be just at capacity. The zero value is ready
// for use and refuses nothing. Throttle is not safe for concurrent use.
type Throttle struct {
	// excess is the fraction to refuse. laggedExcess is the excess that caused the
	// present ratio: a moving average of excess with the time constant throttleLag.
	excess       float64
	laggedExcess float64
	next         time.Duration
}

// Observe updates the excess with the ratio of the offered load to the capacity. It
// must be called at least once per interval.
func (t *Throttle) Observe(now time.Duration, ratio float64) {
	if now < t.next {
		return
	}
	t.next = max(t.next+throttleInterval, now)
	admitted := 1 - t.excess
	wanted := min((1-t.laggedExcess)/max(ratio, minRatio), 1)
	wanted = max(wanted, min(admitted+throttleGain*(idleRatio-ratio), 1))
	admitted = max(admitted+throttleStep*(wanted-admitted), minAdmitted)
	t.excess = 1 - admitted
	t.laggedExcess += throttleInterval.Seconds() / throttleLag.Seconds() * (t.excess - t.laggedExcess)
}

// Excess returns the fraction of the demand to refuse, 0 to 1.
func (t *Throttle) Excess() float64 { return t.excess }
