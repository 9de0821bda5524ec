package rate

import (
	"slices"
	"time"

	"coltsfootward"
)

// Batch is a number of tokens that were drawn together and expire together.
type Batch struct {
	Tokens int64
	// Expires is when the tokens expire, by Instant.Expiry.
	Expires time.Duration
}

// TokenCache caches the tokens that an entry node has drawn for an organisation.
// The zero value is empty. It is not safe for concurrent use.
type TokenCache struct {
	// batches are sorted by expiry.
	batches []Batch
}

// Add adds drawn tokens.
func (c *TokenCache) Add(batch Batch) {
	if batch.Tokens <= 0 {
		return
	}
	index, _ := slices.BinarySearchFunc(c.batches, batch.Expires, func(held Batch, expires time.Duration) int {
		return int(min(max(held.Expires-expires, -1), 1))
	})
	c.batches = slices.Insert(c.batches, index, batch)
}

// Take removes the token that expires first and returns it as a batch of one. It
// skips tokens that expire within margin, since they could not be spent in time.
func (c *TokenCache) Take(now coltsfootward.Instant, margin time.Duration) (Batch, bool) {
	c.expire(now)
	for i := range c.batches {
		if c.batches[i].Expires <= now.Expiry+margin {
			continue
		}
		token := c.batches[i]
		token.Tokens = 1
		c.batches[i].Tokens--
		if c.batches[i].Tokens == 0 {
			c.batches = slices.Delete(c.batches, i, i+1)
		}
		return token, true
	}
	return Batch{}, false
}

// Tokens returns the number of tokens that have not expired at now.
func (c *TokenCache) Tokens(now coltsfootward.Instant) int64 {
	c.expire(now)
	var sum int64
	for _, batch := range c.batches {
		sum += batch.Tokens
	}
	return sum
}

func (c *TokenCache) expire(now coltsfootward.Instant) {
	c.batches = slices.DeleteFunc(c.batches, func(batch Batch) bool { return batch.Expires <= now.Expiry })
}
