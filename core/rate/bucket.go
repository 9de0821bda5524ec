package rate

import (
	"math/bits"
	"time"

	"coltsfootward"
)

// maximumRetryDelay caps the retry delay in a grant. An entry node that waited
// longer would not notice that other nodes have stopped drawing.
const maximumRetryDelay = time.Second

// prefetchDivisor bounds the tokens that one draw may prefetch to the available
// tokens divided by it. A larger prefetch would leave no tokens for the next
// node while those of this node expire unspent.
const prefetchDivisor = 4

// Bucket is the token bucket of one part, kept by the node that holds the
// part's slot. Create it with NewBucket or NewFullBucket. It is not safe for
// concurrent use.
type Bucket struct {
	parameters BucketParameters
	level      int64
	// remainder is the fraction that the last refill rounded off, in units of
	// Token times nanoseconds.
	remainder uint64
	// backlog is the number of tokens that nodes needed but did not get, and will
	// draw again after their retry delays, in units of Token.
	backlog int64
	// lastRefill is the time of the last refill, by Instant.Monotonic.
	lastRefill time.Duration
}

// NewBucket returns a bucket that was empty at since, by Instant.Monotonic.
//
// A new holder of a slot starts with an empty bucket: the previous holder may
// have granted its full depth a moment ago, and a second full bucket would
// double the burst.
func NewBucket(part Part, since time.Duration) *Bucket {
	return &Bucket{parameters: part.BucketParameters(), lastRefill: since}
}

// NewFullBucket returns a full bucket, for a part from which no tokens can have
// been drawn before.
func NewFullBucket(part Part, since time.Duration) *Bucket {
	b := NewBucket(part, since)
	b.level = b.parameters.Depth
	return b
}

// Grant is the result of a draw.
type Grant struct {
	// Tokens is the number of whole tokens drawn.
	Tokens int64
	// Lifetime is the lifetime of the drawn tokens, counted from before the draw
	// was sent.
	Lifetime time.Duration
	// RetryAfter is the delay before the next draw if fewer tokens were drawn
	// than needed.
	RetryAfter time.Duration
	// Remaining is the number of whole tokens left in the bucket.
	Remaining int64
}

// SetPart sets the bucket's parameters to those of another part. Tokens in the
// bucket are kept up to the new depth.
func (b *Bucket) SetPart(now coltsfootward.Instant, part Part) {
	b.refill(now)
	b.parameters = part.BucketParameters()
	b.level = min(b.level, b.parameters.Depth)
}

// Draw takes up to need tokens. If it gets all of them, it takes up to prefetch
// more, but at most a quarter of the tokens left by then.
func (b *Bucket) Draw(now coltsfootward.Instant, need, prefetch int64) Grant {
	b.refill(now)
	available := b.level / Token
	tokens := min(max(need, 0), available)
	if tokens == need {
		tokens += min(max(prefetch, 0), (available-tokens)/prefetchDivisor)
	}
	b.level -= tokens * Token
	grant := Grant{Tokens: tokens, Lifetime: b.parameters.Lifetime, Remaining: b.level / Token}
	if tokens < need {
		grant.RetryAfter = b.retryDelay(need - tokens)
	}
	return grant
}

// retryDelay returns the delay after which a node should draw again if its draw got
// fewer tokens than it needed. missing is the number of tokens that it did not get.
//
// When the demand is several times the rate, every entry node would otherwise draw
// for each new token, and the holder would be overloaded with draws that get none.
// Each unsatisfied draw is therefore queued behind the earlier ones, so that the
// draws of all nodes together arrive about as fast as the tokens.
func (b *Bucket) retryDelay(missing int64) time.Duration {
	if b.parameters.Refill <= 0 {
		return maximumRetryDelay
	}
	b.backlog += min(missing, b.parameters.Depth/Token+1) * Token
	delay := time.Duration(mulDiv(max(b.backlog-b.level, 1), int64(time.Second), b.parameters.Refill))
	if delay > maximumRetryDelay {
		b.backlog = min(b.backlog, b.level+b.parameters.Refill)
		return maximumRetryDelay
	}
	return max(delay, time.Millisecond)
}

func (b *Bucket) refill(now coltsfootward.Instant) {
	elapsed := now.Monotonic - b.lastRefill
	if elapsed <= 0 {
		return
	}
	b.lastRefill = now.Monotonic
	high, low := bits.Mul64(uint64(b.parameters.Refill), uint64(elapsed))
	low, carry := bits.Add64(low, b.remainder, 0)
	high += carry
	if high >= uint64(time.Second) {
		b.level, b.remainder, b.backlog = b.parameters.Depth, 0, 0
		return
	}
	gained, remainder := bits.Div64(high, low, uint64(time.Second))
	b.remainder = remainder
	room := uint64(b.parameters.Depth - b.level)
	b.backlog = max(b.backlog-int64(min(gained, uint64(b.backlog))), 0)
	if gained >= room {
		b.level, b.remainder = b.parameters.Depth, 0
		return
	}
	b.level += int64(gained)
}
