package admission

import "time"

// shortQueue is the length of a queue, in time, up to which it counts as a passing
// fluctuation.
const shortQueue = 50 * time.Millisecond

// initialRank is the rank of the first waiting deep request. Later requests are
// ranked after or before it.
const initialRank = 1 << 31

// adaptiveLIFO orders deep requests whose ranks are random because the calls do not
// name their parent request and were not attributed to one.
//
// The design load is requests that each make four such calls, one after the other. If
// each call had a random rank, the call with the worst rank of the four would wait
// until it is refused, and the work for the other three would be lost. In a short
// queue the calls are therefore served in order of arrival, so that each waits a
// little and none is refused. In a long queue that order would let all of them wait
// until their requests' deadlines have passed. There the newest call is served first:
// a request whose earlier calls were served proceeds at once, and only requests with a
// call that has already waited for long fail.
//
// The zero value is ready for use.
type adaptiveLIFO struct {
	appended, prepended uint32
}

// assign returns the rank of a request that joins a queue of the given length, and
// whether the request is placed before all waiting ones.
func (l *adaptiveLIFO) assign(length time.Duration, empty bool) (rank uint32, first bool) {
	if empty {
		*l = adaptiveLIFO{}
	}
	if length <= shortQueue {
		l.appended++
		return initialRank + l.appended, false
	}
	l.prepended++
	return initialRank - l.prepended, true
}
