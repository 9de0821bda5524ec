package pressure

import "math"

const (
	// slotTimeWeight is the EWMA weight of the newest request in the mean slot time.
	slotTimeWeight = 0.05
	// queueMargin takes the place of targetMargin, and maxQueueTarget bounds the target
	// utilisation. With 0.12 and 0.95, an organisation that asks for the whole capacity
	// of servers with 4 slots got 0.32 of it beside three that use 0.6; 0.35 is wanted.
	queueMargin    = 0.07
	maxQueueTarget = 0.965
	// allowedQueue is the number of waiting requests, as a multiple of the square root
	// of the number of slots, that requests which arrive at random cause at the target
	// utilisation.
	allowedQueue = 3.0
)

// SetQueueAllowed makes Ratio ignore the queue that requests arriving at random cause at
// the target utilisation.
//
// Without it, 0.77 to 0.83 of the capacity was used while requests were refused, for two
// reasons. A queue that a server near its capacity has at any rate counted as excess
// demand: without the backlog, 0.88 to 0.90 was used. And of two noisy averages, the
// requests in service and those offered, the larger one was compared with the capacity,
// although they are equal in the long run: with the demand offered alone, the target
// utilisation was reached.
func (m *Meter) SetQueueAllowed(allowed bool) { m.queueAllowed = allowed }

// queueRatio returns the ratio with the allowed queue.
func (m *Meter) queueRatio(slots float64) float64 {
	target := min(1-queueMargin/math.Sqrt(slots), maxQueueTarget)
	queue := max(m.backlog-allowedQueue*math.Sqrt(slots)*m.meanSlotTime, 0)
	return min((m.offered+queue/drainTime.Seconds())/(slots*target), maxRatio)
}
