package rate

import (
	"slices"
	"time"

	"coltsfootward"
)

// Share follows an organisation's division through changes, as one node sees
// them. The zero value has no parts. It is not safe for concurrent use.
//
// Holders learn of a change at different times. If one raised its part while
// another had not yet lowered its own, the sum would be above both the old
// and the new bound. So a change that lowers any part is lowered at once and
// raised only after Delay: by then every holder has lowered, provided that a
// change reaches all holders within Delay less MaximumLife, and what was drawn
// before has been spent or is void.
type Share struct {
	current Division
	// settled is when the last raise after a lowering came or comes into force.
	settled time.Duration
	// earlier are divisions that other holders may still go by.
	earlier []supersededDivision
}

type supersededDivision struct {
	division Division
	// until is when no holder goes by it any more, by Instant.Monotonic.
	until time.Duration
}

// Change puts a division in force. It reports whether anything differs.
func (s *Share) Change(now coltsfootward.Instant, division Division, delay time.Duration) bool {
	if slices.Equal(s.current, division) {
		return false
	}
	if division.lowers(s.current) {
		s.settled = now.Monotonic + delay
		s.earlier = append(s.earlier, supersededDivision{division: s.current, until: now.Monotonic + delay})
	}
	s.current = division
	return true
}

// Current returns the division that was put in force last.
func (s *Share) Current() Division { return s.current }

// Settled returns when the last change that moved shares between parts came or
// comes into force, by Instant.Monotonic; zero means that there was none.
func (s *Share) Settled() time.Duration { return s.settled }

// Part returns what the holder of a slot may go by at now.
func (s *Share) Part(now coltsfootward.Instant, domain coltsfootward.FailureDomain, slot int) Part {
	s.earlier = slices.DeleteFunc(s.earlier, func(e supersededDivision) bool { return now.Monotonic >= e.until })
	part := s.current.At(domain, slot)
	for _, e := range s.earlier {
		before := e.division.At(domain, slot)
		part.Rate = min(part.Rate, before.Rate)
		part.Burst = min(part.Burst, before.Burst)
	}
	return part
}
