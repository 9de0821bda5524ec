// Package rate enforces an organisation's rate limit over all instances
// together, without coordination between them.
//
// The rate and burst are divided into parts. The Bucket of each part is kept by
// the node that holds one slot. Entry nodes draw tokens from the buckets and
// spend them within a short lifetime. The total is bounded by the sum of the
// parts' bounds. The package contains only the decisions: it reads no clock and
// does no I/O.
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

// Token is one token in the integer units in which rates and levels are
// counted, so that the parts add up exactly.
const Token = 1_000_000

const (
	// minimumPartBurst is the smallest burst of a part, in tokens, if there is
	// more than one part. A part with fewer tokens is empty so often that its
	// holder would refuse requests within the rate while other parts are full.
	minimumPartBurst = 4
	// partRatePerSecond is the rate, in tokens per second, for each multiple of
	// which a failure domain gets a part, so that no single holder serves all
	// draws of a large organisation.
	partRatePerSecond = 1000
)

const (
	// MinimumLifetime is the shortest lifetime of a token. It covers a draw from
	// another failure domain, the latency to the upstream's node and a short
	// queue.
	MinimumLifetime = 50 * time.Millisecond
	// MaximumLifetime is the longest lifetime of a token. A longer one would reduce
	// the bucket's depth further without benefit: requests do not queue longer.
	MaximumLifetime = time.Second
	// lateSpendDivisor sets the lifetime of tokens between the two bounds: a part's
	// burst divided by it may be spent late.
	lateSpendDivisor = 4
	// negligibleLateDivisor is the divisor for late spending that is negligible:
	// up to one token divided by it, the refill rate is reduced instead of the
	// depth. With a burst of 2, reducing the depth would cost a whole token for a
	// thousandth of a token spent late.
	negligibleLateDivisor = 50
)

// Part is one part of an organisation's rate and burst, and the slot whose
// holder keeps its bucket. The zero value admits no requests.
type Part struct {
	Domain coltsfootward.FailureDomain
	Slot   int
	// Rate is the part's rate in units of Token per second.
	Rate int64
	// Burst is the part's burst in tokens. It is a whole number: otherwise the
	// bound would not be exact for parts whose late spending is below one token.
	Burst int64
}

// Scaled returns the part with the given share, 0 to 1, of its rate and burst. The
// burst is rounded up for a share above one half, of which there is at most one, and
// otherwise down, so that the bursts of shares that add up to one do so, too.
func (p Part) Scaled(share float64) Part {
	if share >= 1 {
		return p
	}
	p.Rate = int64(float64(p.Rate) * share)
	burst := float64(p.Burst) * share
	p.Burst = int64(burst)
	if share > 0.5 {
		p.Burst = int64(math.Ceil(burst))
	}
	return p
}

// BucketParameters are the parameters with which a bucket enforces its part's rate
// and burst although tokens may be spent up to Lifetime after they were drawn.
type BucketParameters struct {
	// Lifetime is the lifetime of a token, counted from before it was drawn.
	Lifetime time.Duration
	// Depth is the bucket's capacity in units of Token.
	Depth int64
	// Refill is the bucket's refill rate in units of Token per second.
	Refill int64
}

// BucketParameters returns the parameters of the part's bucket.
//
// Requests that start within a window w spend tokens drawn within w + Lifetime, so
// a bucket with the part's full burst b and rate r would let b + r·w + r·Lifetime
// requests start. With the depth reduced to b − c, the bucket must refill k + c
// tokens before b + k tokens can have been drawn. The requests that spend them
// start within no less than (k + c)/Refill − Lifetime, which must be at least k/r
// for every whole k ≥ 1. This holds for Refill = r if c ≥ r·Lifetime, and otherwise
// for Refill = r·(1 + c)/(1 + r·Lifetime).
func (p Part) BucketParameters() BucketParameters {
	if p.Burst < 1 || p.Rate < 0 {
		return BucketParameters{}
	}
	burst := p.Burst * Token
	spare := burst - Token
	lifetime := p.lifetime(spare)
	lateTokens := mulDiv(p.Rate, int64(lifetime), int64(time.Second)) + 1
	depthReduction := min(lateTokens, spare)
	if lateTokens <= Token/negligibleLateDivisor {
		depthReduction = 0
	}
	refill := p.Rate
	if depthReduction < lateTokens {
		refill = mulDiv(p.Rate, Token+depthReduction, Token+lateTokens)
	}
	return BucketParameters{Lifetime: lifetime, Depth: burst - depthReduction, Refill: refill}
}

// lifetime returns the lifetime of the part's tokens. spare is the burst less one
// token, in units of Token.
func (p Part) lifetime(spare int64) time.Duration {
	if p.Rate == 0 {
		return MaximumLifetime
	}
	lifetime := time.Duration(mulDiv(spare, int64(time.Second), p.Rate*lateSpendDivisor))
	return min(max(lifetime, MinimumLifetime), MaximumLifetime)
}

// Division is the list of parts of an organisation's rate and burst, in a fixed
// order. It is immutable.
type Division []Part

// Divide returns the parts of an organisation's rate limit. The result depends
// only on the arguments, so that every node computes the same parts, and the
// parts add up to the limit exactly. A small burst results in fewer parts than
// failure domains, a large rate in several parts per domain, at most one per slot.
func Divide(organisation coltsfootward.OrganisationName, limit coltsfootward.Rate, domains []coltsfootward.FailureDomain, slots int) Division {
	if limit.Burst < 1 || len(domains) == 0 || slots < 1 {
		return nil
	}
	totalRate := int64(math.Floor(max(limit.PerSecond, 0) * Token))
	ordered := domainOrder(organisation, domains)
	count := countParts(totalRate, limit.Burst, len(ordered), slots)
	firstSlot := int(xxhash.Sum64String(string(organisation)) % uint64(slots))
	parts := make(Division, count)
	var assignedBurst, assignedRate int64
	for i := range parts {
		burst := mulDiv(limit.Burst, int64(i+1), int64(count))
		rate := mulDiv(totalRate, burst, limit.Burst)
		parts[i] = Part{
			Domain: ordered[i%len(ordered)],
			Slot:   (firstSlot + i/len(ordered)) % slots,
			Rate:   rate - assignedRate,
			Burst:  burst - assignedBurst,
		}
		assignedBurst, assignedRate = burst, rate
	}
	return parts
}

func countParts(totalRate, burst int64, domains, slots int) int {
	perDomain := min(max(totalRate/int64(domains)/(partRatePerSecond*Token), 1), int64(slots))
	return int(min(max(burst/minimumPartBurst, 1), perDomain*int64(domains)))
}

// domainOrder returns the domains in an order that differs between
// organisations, so that the parts of organisations with few of them are not all
// in the same domains.
func domainOrder(organisation coltsfootward.OrganisationName, domains []coltsfootward.FailureDomain) []coltsfootward.FailureDomain {
	ordered := slices.Clone(domains)
	weight := func(d coltsfootward.FailureDomain) uint64 {
		return xxhash.Sum64String(string(organisation) + "\x00" + string(d))
	}
	slices.SortFunc(ordered, func(a, b coltsfootward.FailureDomain) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b))
	})
	return slices.Compact(ordered)
}

// At returns the part in a slot. If there is none, the returned part has no rate
// and no burst.
func (d Division) At(domain coltsfootward.FailureDomain, slot int) Part {
	for _, p := range d {
		if p.Domain == domain && p.Slot == slot {
			return p
		}
	}
	return Part{Domain: domain, Slot: slot}
}

// lowers reports whether any part has a lower rate or burst in d than in old.
func (d Division) lowers(old Division) bool {
	return slices.ContainsFunc(old, func(before Part) bool {
		after := d.At(before.Domain, before.Slot)
		return after.Rate < before.Rate || after.Burst < before.Burst
	})
}

// mulDiv returns a·b/c, rounded down, for a, b ≥ 0 and c > 0. The result
// saturates at math.MaxInt64.
func mulDiv(a, b, c int64) int64 {
	high, low := bits.Mul64(uint64(a), uint64(b))
	if high >= uint64(c) {
		return math.MaxInt64
	}
	quotient, _ := bits.Div64(high, low, uint64(c))
	return int64(min(quotient, math.MaxInt64))
}
