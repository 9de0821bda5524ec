package rate

import (
	"math"
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

// TokenCache caches the tokens that an entry node has drawn for an organisation. The
// zero value is empty. It is not safe for concurrent use.
type TokenCache struct {
	// batches are sorted by expiry.
	batches []Batch
}

// Add adds drawn tokens.
func (p *TokenCache) Add(c Batch) {
	if c.Tokens <= 0 {
		return
	}
	index, _ := slices.BinarySearchFunc(p.batches, c.Expires, func(held Batch, expires time.Duration) int {
		return int(min(max(held.Expires-expires, -1), 1))
	})
	p.batches = slices.Insert(p.batches, index, c)
}

// Take removes the token that expires first and returns it as a batch of one. It
// skips tokens that expire within margin, since they could not be spent in time.
func (p *TokenCache) Take(now coltsfootward.Instant, margin time.Duration) (Batch, bool) {
	p.expire(now)
	for i := range p.batches {
		if p.batches[i].Expires <= now.Expiry+margin {
			continue
		}
		token := p.batches[i]
		token.Tokens = 1
		p.batches[i].Tokens--
		if p.batches[i].Tokens == 0 {
			p.batches = slices.Delete(p.batches, i, i+1)
		}
		return token, true
	}
	return Batch{}, false
}

// Tokens returns the number of tokens that have not expired at now.
func (p *TokenCache) Tokens(now coltsfootward.Instant) int64 {
	p.expire(now)
	var sum int64
	for _, c := range p.batches {
		sum += c.Tokens
	}
	return sum
}

func (p *TokenCache) expire(now coltsfootward.Instant) {
	p.batches = slices.DeleteFunc(p.batches, func(c Batch) bool { return c.Expires <= now.Expiry })
}

// demandWindow is the time constant with which the demand estimate decays.
const demandWindow = time.Second

// Demand estimates the rate of arriving requests as an exponentially decaying
// average. The zero value is ready for use. It is not safe for concurrent use.
type Demand struct {
	perSecond   float64
	lastRequest time.Duration
}

// RecordRequest counts one request.
func (d *Demand) RecordRequest(now coltsfootward.Instant) {
	d.perSecond = d.PerSecond(now) + 1/demandWindow.Seconds()
	d.lastRequest = now.Monotonic
}

// PerSecond returns the estimated request rate at now, in requests per second.
func (d *Demand) PerSecond(now coltsfootward.Instant) float64 {
	elapsed := now.Monotonic - d.lastRequest
	return d.perSecond * math.Exp(-elapsed.Seconds()/demandWindow.Seconds())
}
