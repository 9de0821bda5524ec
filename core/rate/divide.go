// Package rate holds an organisation to its rate and burst over all instances
// together, without any of them knowing what the others do.
//
// The rate and burst are divided into parts. Each part lives in a Bucket at
// the holder of one slot. Entry nodes draw tokens from the buckets and spend
// them within a short life. The bound on the whole is the sum of the parts'
// bounds. The package decides only: it reads no clock and does no I/O.
package rate

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"coltsfootward"

	"github.com/cespare/xxhash/v2"
)

// Token is one token in the units that rates and levels are counted in, so
// that parts add up exactly.
const Token = 1_000_000

const (
	// partBurst is the smallest burst of a part if there is to be more than
	// one. A part of fewer tokens is empty so often that requests inside the
	// rate would be refused at its holder while other parts are full.
	partBurst = 4
	// partRate is the rate in tokens per second above which a failure domain
	// gets a further part, so that no holder serves the draws of a large
	// organisation alone.
	partRate = 1000
)

const (
	// MinimumLife is the shortest life of a token: a draw from another failure
	// domain, the way to the upstream's node and a short queue fit into it.
	MinimumLife = 50 * time.Millisecond
	// MaximumLife bounds how late a token is spent. A longer one would lower
	// the bucket's depth further and gain nothing: requests do not queue longer.
	MaximumLife = time.Second
	// lifeShare is the part of the burst, one in so many, that may be spent late.
	lifeShare = 4
	// smallLate is the late spending, one token in so many, below which the
	// refill rate is lowered in place of the depth: a burst of two would
	// otherwise lose a whole token to a thousandth of one.
	smallLate = 50
)

// Part is one part of an organisation's rate and burst, and the slot whose
// holder keeps it. The zero value is no part: nothing may start.
type Part struct {
	Domain coltsfootward.FailureDomain
	Slot   int
	// Rate is the part's rate in units of Token per second.
	Rate int64
	// Burst is the part's burst in whole tokens. Only whole tokens make the
	// bound exact for parts whose late spending is below one token.
	Burst int64
}

// Shape is how a part's bucket keeps the part's bound although tokens are
// spent up to Life after they were drawn.
type Shape struct {
	// Life is how long a token may be spent, counted from before it was drawn.
	Life time.Duration
	// Depth is how much the bucket holds at most, in units of Token.
	Depth int64
	// Refill is the bucket's rate in units of Token per second.
	Refill int64
}

// Shape returns the part's shape.
//
// What starts within a window w was drawn within w + Life, so a bucket of the
// part's full burst b and rate r would let b + r·w + r·Life start. With the
// depth lowered to b − c the bucket must refill k + c tokens before b + k can
// have been drawn. These start within no less than (k + c)/Refill − Life, and
// that must be at least k/r for every whole k ≥ 1. It holds for Refill = r if
// c ≥ r·Life, else for Refill = r·(1 + c)/(1 + r·Life).
func (p Part) Shape() Shape {
	if p.Burst < 1 || p.Rate < 0 {
		return Shape{}
	}
	burst := p.Burst * Token
	spare := burst - Token
	life := p.life(spare)
	late := mulDiv(p.Rate, int64(life), int64(time.Second)) + 1
	less := min(late, spare)
	if late <= Token/smallLate {
		less = 0
	}
	refill := p.Rate
	if less < late {
		refill = mulDiv(p.Rate, Token+less, Token+late)
	}
	return Shape{Life: life, Depth: burst - less, Refill: refill}
}

func (p Part) life(spare int64) time.Duration {
	if p.Rate == 0 {
		return MaximumLife
	}
	life := time.Duration(mulDiv(spare, int64(time.Second), p.Rate*lifeShare))
	return min(max(life, MinimumLife), MaximumLife)
}

// Division is an organisation's rate and burst in parts, in a fixed order. It
// is immutable.
type Division []Part

// Divide returns the parts of an organisation's rate and burst. It depends on
// its arguments only, so that every node finds the same parts, and their sums
// are exact. A small burst gives fewer parts than there are failure domains;
// a large rate gives several parts per domain, up to slots of them.
func Divide(organisation coltsfootward.OrganisationName, whole coltsfootward.Rate, domains []coltsfootward.FailureDomain, slots int) Division {
	if whole.Burst < 1 || len(domains) == 0 || slots < 1 {
		return nil
	}
	total := int64(math.Floor(max(whole.PerSecond, 0) * Token))
	ordered := order(organisation, domains)
	count := countParts(total, whole.Burst, len(ordered), slots)
	first := int(xxhash.Sum64String(string(organisation)) % uint64(slots))
	parts := make(Division, count)
	var burstBefore, rateBefore int64
	for i := range parts {
		burst := mulDiv(whole.Burst, int64(i+1), int64(count))
		rate := mulDiv(total, burst, whole.Burst)
		parts[i] = Part{
			Domain: ordered[i%len(ordered)],
			Slot:   (first + i/len(ordered)) % slots,
			Rate:   rate - rateBefore,
			Burst:  burst - burstBefore,
		}
		burstBefore, rateBefore = burst, rate
	}
	return parts
}

func countParts(total, burst int64, domains, slots int) int {
	perDomain := min(max(total/int64(domains)/(partRate*Token), 1), int64(slots))
	return int(min(max(burst/partBurst, 1), perDomain*int64(domains)))
}

// order returns the domains in an order of the organisation's own, so that the
// few parts of small organisations do not all lie in the same domains.
func order(organisation coltsfootward.OrganisationName, domains []coltsfootward.FailureDomain) []coltsfootward.FailureDomain {
	ordered := slices.Clone(domains)
	weight := func(d coltsfootward.FailureDomain) uint64 {
		return xxhash.Sum64String(string(organisation) + "\x00" + string(d))
	}
	slices.SortFunc(ordered, func(a, b coltsfootward.FailureDomain) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b))
	})
	return slices.Compact(ordered)
}

// At returns the part that lives in a slot; without one it has no rate and no burst.
func (d Division) At(domain coltsfootward.FailureDomain, slot int) Part {
	for _, p := range d {
		if p.Domain == domain && p.Slot == slot {
			return p
		}
	}
	return Part{Domain: domain, Slot: slot}
}

// lowers reports whether d gives any part less than old did.
func (d Division) lowers(old Division) bool {
	return slices.ContainsFunc(old, func(before Part) bool {
		after := d.At(before.Domain, before.Slot)
		return after.Rate < before.Rate || after.Burst < before.Burst
	})
}

// mulDiv returns a·b/c, rounded down, for a, b ≥ 0 and c > 0; it saturates.
func mulDiv(a, b, c int64) int64 {
	high, low := bits.Mul64(uint64(a), uint64(b))
	if high >= uint64(c) {
		return math.MaxInt64
	}
	quotient, _ := bits.Div64(high, low, uint64(c))
	return int64(min(quotient, math.MaxInt64))
}
