package rate

import (
	"slices"
	"time"

	"coltsfootward"
)

// DivisionTracker tracks the division of an organisation's rate limit at one node
// while the limit changes. The zero value has no parts. It is not safe for
// concurrent use.
//
// Slot holders receive a change at different times. If one holder raised its
// part before another had lowered its own, the sum would exceed both the old
// and the new limit. After a change that lowers any part, lowered parts are
// therefore effective at once and raised parts only after the delay given to
// Change. By then every holder has lowered its part, provided that a change
// reaches all holders within that delay less MaximumLifetime, and all tokens drawn
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

// Change makes division the current one. delay is the time until raised parts are
// effective if any part is lowered. Change reports whether division differs from the
// previous one.
func (t *DivisionTracker) Change(now coltsfootward.Instant, division Division, delay time.Duration) bool {
	if slices.Equal(t.current, division) {
		return false
	}
	if division.lowers(t.current) {
		t.effectiveAt = now.Monotonic + delay
		t.superseded = append(t.superseded, supersededDivision{division: t.current, until: now.Monotonic + delay})
	}
	t.current = division
	return true
}

// Current returns the division of the last change.
func (t *DivisionTracker) Current() Division { return t.current }

// EffectiveAt returns when the last change that lowered any part became or becomes
// fully effective, by Instant.Monotonic. Zero means that there was no such change.
func (t *DivisionTracker) EffectiveAt() time.Duration { return t.effectiveAt }

// Part returns the part that the holder of a slot may grant from at now: the
// lowest rate and burst of the current division and of all superseded divisions
// that other holders may still use.
func (t *DivisionTracker) Part(now coltsfootward.Instant, domain coltsfootward.FailureDomain, slot int) Part {
	t.superseded = slices.DeleteFunc(t.superseded, func(e supersededDivision) bool { return now.Monotonic >= e.until })
	part := t.current.At(domain, slot)
	for _, e := range t.superseded {
		before := e.division.At(domain, slot)
		part.Rate = min(part.Rate, before.Rate)
		part.Burst = min(part.Burst, before.Burst)
	}
	return part
}
