package rate

import (
	"slices"
	"time"

	"coltsfootward"
)

// DivisionTracker tracks the division of an organisation's rate limit at one node while
// the limit changes. The zero value has no parts. It is not safe for concurrent
// use.
//
// Slot holders receive a change at different times. If one holder raised its
// part before another had lowered its own, the sum would exceed both the old
// and the new limit. After a change that lowers any part, lowered parts are
// therefore effective at once and raised parts only after the delay given to
// Change. By then every holder has lowered its part, provided that a change
// reaches all holders within that delay less MaximumLife, and all tokens drawn
// before have been spent or have expired.
type DivisionTracker struct {
	current Division
	// effectiveAt is when the raised parts of the last change that lowered any
	// part became or become effective, by Instant.Monotonic.
	effectiveAt time.Duration
	// superseded are the previous divisions that other holders may still use.
	superseded []supersededDivision
}

type supersededDivision struct {
	division Division
	// until is when no holder uses the division any more, by Instant.Monotonic.
	until time.Duration
}

// Change makes division the current one. delay is how long raised parts wait if
// any part is lowered. It reports whether division differs from the current one.
func (s *DivisionTracker) Change(now coltsfootward.Instant, division Division, delay time.Duration) bool {
	if slices.Equal(s.current, division) {
		return false
	}
	if division.lowers(s.current) {
		s.effectiveAt = now.Monotonic + delay
		s.superseded = append(s.superseded, supersededDivision{division: s.current, until: now.Monotonic + delay})
	}
	s.current = division
	return true
}

// Current returns the division of the last change.
func (s *DivisionTracker) Current() Division { return s.current }

// EffectiveAt returns when the last change that lowered any part became or becomes
// fully effective, by Instant.Monotonic. Zero means that there was no such
// change.
func (s *DivisionTracker) EffectiveAt() time.Duration { return s.effectiveAt }

// Part returns the part that the holder of a slot may grant from at now: the
// lowest rate and burst of the current division and of all superseded divisions
// that other holders may still use.
func (s *DivisionTracker) Part(now coltsfootward.Instant, domain coltsfootward.FailureDomain, slot int) Part {
	s.superseded = slices.DeleteFunc(s.superseded, func(e supersededDivision) bool { return now.Monotonic >= e.until })
	part := s.current.At(domain, slot)
	for _, e := range s.superseded {
		before := e.division.At(domain, slot)
		part.Rate = min(part.Rate, before.Rate)
		part.Burst = min(part.Burst, before.Burst)
	}
	return part
}
