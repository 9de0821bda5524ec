package admission

import "time"

const (
	// kneeFraction is the fraction of its slots up to which a server with a knee runs
	// at full speed.
	kneeFraction = 0.95
	// kneeMinSlots is the minimum number of slots for a lower limit. With fewer
	// slots, keeping one of them free costs more than a knee does.
	kneeMinSlots = 8
	// kneeSamples is the number of completed requests in a phase. The mean service
	// time of so many requests varies by about a twentieth.
	kneeSamples = 128
	// nearLimitFraction is the fraction of the lower limit that must have been in
	// service for a completed request to count as a sample of a nearly saturated
	// server.
	nearLimitFraction = 0.8
	// kneeSearchTimeout is the maximum duration of a search. Phases further apart
	// would compare two different loads.
	kneeSearchTimeout = 5 * time.Second
	// kneeSearchInterval is the time between two searches.
	kneeSearchInterval = 30 * time.Second
)

// knee determines whether a server has a higher throughput with all of its slots in
// use or with a few of them left free.
//
// The design load is an overloaded service whose servers slow down when they are
// nearly saturated, for example by a third. With every slot in use, the throughput of
// such a server is a fifth lower than with one slot in twenty left free, just when
// all of it is needed. A search compares service times of two consecutive phases, one
// with the lower limit and one with all slots. Both phases have the same mix of
// requests, so that a slow called service is not mistaken for a knee. Until the first
// search has ended, a server is assumed to have a knee, because a mistake costs less
// in this direction.
//
// The zero value is ready for use.
type knee struct {
	phase kneePhase
	// useAll is set if the last search found a higher throughput with all slots.
	useAll bool
	// searchBegan is the time of the first sample of the current search, nextSearch
	// the earliest start of the next search. searching is set while the current
	// search has samples.
	searchBegan, nextSearch time.Duration
	searching               bool
	// phaseBegan is the start of the phase. Requests that started earlier are not
	// counted.
	phaseBegan time.Duration
	// samples is the number of completed requests counted in the phase.
	samples int
	classes map[string]*kneeStats
}

// kneePhase is the phase of the search for a knee.
type kneePhase string

// The phases. The zero value is the first.
const (
	kneeLower   kneePhase = ""
	kneeFull    kneePhase = "beyond"
	kneeDecided kneePhase = "known"
)

// kneeStats sums up the service times of a class in the two phases.
type kneeStats struct {
	lowerCount, lowerSum float64
	fullCount, fullSum   float64
}

// limit returns how many requests a server with the given number of slots should
// serve at once.
func (k *knee) limit(slots int) int {
	if slots < kneeMinSlots || k.phase == kneeFull || k.phase == kneeDecided && k.useAll {
		return slots
	}
	return lowerLimit(slots)
}

func lowerLimit(slots int) int { return int(kneeFraction * float64(slots)) }

// observe processes a completed request.
func (k *knee) observe(s Sample, slots int) {
	if slots < kneeMinSlots || s.Aborted {
		return
	}
	if k.phase == kneeDecided {
		if s.Ended >= k.nextSearch {
			k.enterPhase(kneeLower, s.Ended)
		}
		return
	}
	if s.Began < k.phaseBegan {
		return
	}
	low := lowerLimit(slots)
	if s.Running > low != (k.phase == kneeFull) || float64(s.Running) < nearLimitFraction*float64(low) {
		return
	}
	if !k.searching {
		k.searching = true
		k.searchBegan = s.Ended
	}
	k.add(s)
	switch {
	case s.Ended-k.searchBegan > kneeSearchTimeout:
		k.classes = nil
		k.enterPhase(kneeLower, s.Ended)
	case k.samples < kneeSamples:
	case k.phase == kneeLower:
		k.enterPhase(kneeFull, s.Ended)
	default:
		k.decide(slots)
		k.enterPhase(kneeDecided, s.Ended)
		k.nextSearch = s.Ended + kneeSearchInterval
	}
}

func (k *knee) enterPhase(phase kneePhase, now time.Duration) {
	k.phase = phase
	k.phaseBegan = now
	k.samples = 0
	k.searching = phase == kneeFull
}

func (k *knee) add(s Sample) {
	if k.classes == nil {
		k.classes = make(map[string]*kneeStats)
	}
	stats, ok := k.classes[s.Class]
	if !ok {
		if len(k.classes) >= maximumClasses {
			return
		}
		stats = &kneeStats{}
		k.classes[s.Class] = stats
	}
	k.samples++
	took := s.usualDuration().Seconds()
	if k.phase == kneeFull {
		stats.fullCount++
		stats.fullSum += took
		return
	}
	stats.lowerCount++
	stats.lowerSum += took
}

// decide compares the two phases class by class. The samples count half in the next
// search.
func (k *knee) decide(slots int) {
	weights, slowdown := 0.0, 0.0
	for _, stats := range k.classes {
		if weight := min(stats.lowerCount, stats.fullCount); weight > 0 && stats.lowerSum > 0 {
			weights += weight
			slowdown += weight * (stats.fullSum / stats.fullCount) / (stats.lowerSum / stats.lowerCount)
		}
		stats.lowerCount, stats.lowerSum = stats.lowerCount/2, stats.lowerSum/2
		stats.fullCount, stats.fullSum = stats.fullCount/2, stats.fullSum/2
	}
	capacityRatio := float64(slots) / float64(lowerLimit(slots))
	k.useAll = weights > 0 && slowdown/weights < capacityRatio
}
