package completion

import (
	"math"
	"time"

	"coltsfootward/core/message"
)

const (
	// excessTime is the time constant with which the excess of a slowdown over 1 decays
	// with the age of the statement: slowdowns last about this long.
	excessTime = 600 * time.Millisecond
	// waitTime is the time constant with which a reported wait decays. Queues change within a
	// few service times.
	waitTime = 500 * time.Millisecond
	// statementLifetime is the age from which a server counts as one that states nothing.
	// After this time, nothing is left of any plausible excess.
	statementLifetime = 10 * time.Second
	// costWeight is the EWMA weight of the newest cost in the mean of a class and in the
	// speed of a server.
	costWeight = 0.1
	// maximumClasses bounds the classes that are kept for a service and for each of its
	// servers.
	maximumClasses = 32
	// unknownSlotTime stands for the slot time of a request of which nothing is known.
	unknownSlotTime = 0.05
	// maximumUtilisation bounds the occupancy in the approximation of the mean wait, which
	// has no bound at full occupancy. Requests beyond the slots are counted separately.
	maximumUtilisation = 0.95
	// minimumSpeed and maximumSpeed bound the learned speed of a server.
	minimumSpeed, maximumSpeed = 0.1, 10.0
)

// Service holds the mean slot time of each class of requests at a service. The zero value
// is ready for use.
type Service struct {
	slotTimes map[string]float64
}

// Server holds what a backend server has stated and what its requests cost. The zero
// value is ready for use.
type Server struct {
	slotTimes map[string]float64
	// speed is the ratio of the mean slot times of the service to those at this server; zero
	// if it is unknown.
	speed float64
	// slowdown is what the server stated last, at statedAt; zero if it stated nothing.
	slowdown float64
	statedAt time.Duration
	// wait is the wait that was reported last, at waitAt.
	wait   time.Duration
	waitAt time.Duration
}

// ObserveCost records the slot time in seconds that a request of a class takes at the server
// when work takes as long as usual. Zero means that it is not known.
func (s *Service) ObserveCost(server *Server, class string, cost float64) {
	if class == "" || cost <= 0 {
		return
	}
	if s.slotTimes == nil {
		s.slotTimes = make(map[string]float64)
	}
	mean, known := s.slotTimes[class]
	if !known {
		if len(s.slotTimes) >= maximumClasses {
			return
		}
		mean = cost
	}
	mean += costWeight * (cost - mean)
	s.slotTimes[class] = mean
	server.observeCost(class, cost, mean)
}

func (s *Server) observeCost(class string, cost, mean float64) {
	ratio := min(max(mean/cost, minimumSpeed), maximumSpeed)
	if s.speed == 0 {
		s.speed = ratio
	}
	s.speed += costWeight * (ratio - s.speed)
	if s.slotTimes == nil {
		s.slotTimes = make(map[string]float64)
	}
	if _, known := s.slotTimes[class]; known || len(s.slotTimes) < maximumClasses {
		s.slotTimes[class] = cost
	}
}

// ObserveLoad records the wait and the slowdown of a load report that was made at the given
// time. A report without a slowdown does not void an earlier statement, which decays. A statement
// cannot be newer than the report: a negative age would keep it from decaying.
func (s *Server) ObserveLoad(at time.Duration, load message.Load) {
	s.wait, s.waitAt = load.Wait, at
	if load.Slowdown > 0 {
		s.slowdown, s.statedAt = load.Slowdown, at-max(load.SlowdownAge, 0)
	}
}

// Forget discards what was reported about the present state of the server. Its costs and its
// speed remain.
func (s *Server) Forget() {
	s.wait, s.slowdown = 0, 0
}

// States reports whether the server has stated a slowdown lately, whatever its value.
func (s *Server) States(now time.Duration) bool {
	return s.slowdown > 0 && now-s.statedAt < statementLifetime
}

// Statement returns the slowdown that the server stated last and the time since then.
func (s *Server) Statement(now time.Duration) (slowdown float64, age time.Duration, ok bool) {
	return s.slowdown, now - s.statedAt, s.States(now)
}

// Speed returns the learned speed of the server: how many times as fast as the mean of the
// service it serves requests when work takes as long as usual. Zero means unknown.
func (s *Server) Speed() float64 { return s.speed }

// Slowdown returns how many times as long as usual work is expected to take now.
func (s *Server) Slowdown(now time.Duration) float64 {
	if !s.States(now) {
		return 1
	}
	age := max(now-s.statedAt, 0)
	return 1 + (s.slowdown-1)*math.Exp(-age.Seconds()/excessTime.Seconds())
}

// Use describes how a server is used at present, as the node knows it.
type Use struct {
	// Occupancy is the number of requests at the server, the next one included, divided by
	// Limit.
	Occupancy float64
	// Limit is the number of requests that the server takes at once.
	Limit float64
}

// Expected returns the time in seconds after which a request of a class is expected to be
// complete if it is sent to the server now.
func (s *Service) Expected(now time.Duration, server *Server, class string, use Use) float64 {
	slotTime := s.slotTime(server, class)
	reported := server.wait.Seconds() * math.Exp(-max(now-server.waitAt, 0).Seconds()/waitTime.Seconds())
	beyond := max(use.Occupancy-1, 0) * slotTime
	wait := max(reported, beyond) + meanWait(use)*slotTime
	return (wait + slotTime) * server.Slowdown(now)
}

func (s *Service) slotTime(server *Server, class string) float64 {
	if cost, ok := server.slotTimes[class]; ok {
		return cost
	}
	mean, ok := s.slotTimes[class]
	if !ok {
		mean = unknownSlotTime
	}
	if server.speed > 0 {
		return mean / server.speed
	}
	return mean
}

// meanWait returns the mean wait at a server of the given occupancy in multiples of the slot
// time: Sakasegawa's approximation for requests that arrive at random. A server with more
// slots bears a higher occupancy. Without this term, every request would go to the
// fastest server until its last slot is taken, and reports a few milliseconds old would
// place the next ones in its queue.
func meanWait(use Use) float64 {
	limit := max(use.Limit, 1)
	utilisation := min(max(use.Occupancy-1/limit, 0), maximumUtilisation) // of those that are there already
	return math.Pow(utilisation, math.Sqrt(2*(limit+1))-1) / (limit * (1 - utilisation))
}
