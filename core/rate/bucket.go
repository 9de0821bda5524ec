package rate

import (
	"math/bits"
	"time"

	"coltsfootward"
)

// maximumWait caps how long a drawer is told to stay away. An entry node that
// stayed away for longer would not notice that others have stopped asking.
const maximumWait = time.Second

// aheadShare is the part of a bucket, one in so many, that one draw ahead of
// need may take. More would leave the next node nothing while this one's
// tokens run out unspent.
const aheadShare = 4

// Bucket is a part's bucket at the slot's holder. Create it with NewBucket or
// NewFullBucket. It is not safe for concurrent use.
type Bucket struct {
	shape Shape
	level int64
	// remainder is what refilling has left over, in Token units times nanoseconds.
	remainder uint64
	// backlog is what drawers were told to come back for, in units of Token.
	backlog int64
	filled  time.Duration
}

// NewBucket returns a bucket that was empty at since, by Instant.Monotonic.
//
// A new holder of a slot starts empty: the one before may have granted its
// full depth a moment ago, and a second full bucket would double the burst.
func NewBucket(part Part, since time.Duration) *Bucket {
	return &Bucket{shape: part.Shape(), filled: since}
}

// NewFullBucket returns a full bucket, for a part from which nothing can ever
// have been drawn.
func NewFullBucket(part Part, since time.Duration) *Bucket {
	b := NewBucket(part, since)
	b.level = b.shape.Depth
	return b
}

// Grant is a bucket's answer to a draw.
type Grant struct {
	// Tokens is how many whole tokens were drawn.
	Tokens int64
	// Life is how long they may be spent, counted from before the draw was sent.
	Life time.Duration
	// EmptyFor is when to ask again, if fewer tokens were drawn than needed.
	EmptyFor time.Duration
	// Level is how many whole tokens are left.
	Level int64
}

// Reshape gives the bucket another part's shape. What it holds is kept as far
// as the new depth allows.
func (b *Bucket) Reshape(now coltsfootward.Instant, part Part) {
	b.refill(now)
	b.shape = part.Shape()
	b.level = min(b.level, b.shape.Depth)
}

// Draw takes up to need tokens, and up to ahead more if there are plenty.
func (b *Bucket) Draw(now coltsfootward.Instant, need, ahead int64) Grant {
	b.refill(now)
	available := b.level / Token
	tokens := min(max(need, 0), available)
	if tokens == need {
		tokens += min(max(ahead, 0), (available-tokens)/aheadShare)
	}
	b.level -= tokens * Token
	grant := Grant{Tokens: tokens, Life: b.shape.Life, Level: b.level / Token}
	if tokens < need {
		grant.EmptyFor = b.wait(need - tokens)
	}
	return grant
}

// wait returns when a drawer of so many missing tokens should come back.
//
// Under several times the rate every entry node would ask for each token as it
// falls in, and the holder would drown in draws that get nothing. So each that
// leaves empty-handed is sent behind those before it: the draws of all nodes
// together then come about as fast as the tokens do.
func (b *Bucket) wait(missing int64) time.Duration {
	if b.shape.Refill <= 0 {
		return maximumWait
	}
	b.backlog += min(missing, b.shape.Depth/Token+1) * Token
	wait := time.Duration(mulDiv(max(b.backlog-b.level, 1), int64(time.Second), b.shape.Refill))
	if wait > maximumWait {
		b.backlog = min(b.backlog, b.level+b.shape.Refill)
		return maximumWait
	}
	return max(wait, time.Millisecond)
}

func (b *Bucket) refill(now coltsfootward.Instant) {
	elapsed := now.Monotonic - b.filled
	if elapsed <= 0 {
		return
	}
	b.filled = now.Monotonic
	high, low := bits.Mul64(uint64(b.shape.Refill), uint64(elapsed))
	low, carry := bits.Add64(low, b.remainder, 0)
	high += carry
	if high >= uint64(time.Second) {
		b.level, b.remainder, b.backlog = b.shape.Depth, 0, 0
		return
	}
	gained, remainder := bits.Div64(high, low, uint64(time.Second))
	b.remainder = remainder
	room := uint64(b.shape.Depth - b.level)
	b.backlog = max(b.backlog-int64(min(gained, uint64(b.backlog))), 0)
	if gained >= room {
		b.level, b.remainder = b.shape.Depth, 0
		return
	}
	b.level += int64(gained)
}
