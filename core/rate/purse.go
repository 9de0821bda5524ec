package rate

import (
	"math"
	"slices"
	"time"

	"coltsfootward"
)

// Chunk is tokens that were drawn together.
type Chunk struct {
	Tokens int64
	// Expires is when they are void, by Instant.Expiry.
	Expires time.Duration
}

// Purse keeps an organisation's drawn tokens at an entry node. The zero value
// is empty. It is not safe for concurrent use.
type Purse struct {
	// chunks are in the order of their expiry.
	chunks []Chunk
}

// Add puts drawn tokens in.
func (p *Purse) Add(c Chunk) {
	if c.Tokens <= 0 {
		return
	}
	index, _ := slices.BinarySearchFunc(p.chunks, c.Expires, func(held Chunk, expires time.Duration) int {
		return int(min(max(held.Expires-expires, -1), 1))
	})
	p.chunks = slices.Insert(p.chunks, index, c)
}

// Take takes the token that expires first and returns it as a chunk of one.
// Tokens that would expire within spare are left: they could not be spent.
func (p *Purse) Take(now coltsfootward.Instant, spare time.Duration) (Chunk, bool) {
	p.expire(now)
	for i := range p.chunks {
		if p.chunks[i].Expires <= now.Expiry+spare {
			continue
		}
		one := p.chunks[i]
		one.Tokens = 1
		p.chunks[i].Tokens--
		if p.chunks[i].Tokens == 0 {
			p.chunks = slices.Delete(p.chunks, i, i+1)
		}
		return one, true
	}
	return Chunk{}, false
}

// Tokens returns how many tokens can be spent at now.
func (p *Purse) Tokens(now coltsfootward.Instant) int64 {
	p.expire(now)
	var sum int64
	for _, c := range p.chunks {
		sum += c.Tokens
	}
	return sum
}

func (p *Purse) expire(now coltsfootward.Instant) {
	p.chunks = slices.DeleteFunc(p.chunks, func(c Chunk) bool { return c.Expires <= now.Expiry })
}

// demandWindow is how far back demand is remembered.
const demandWindow = time.Second

// Demand estimates how many requests a second arrive. The zero value is ready.
// It is not safe for concurrent use.
type Demand struct {
	perSecond float64
	noted     time.Duration
}

// Note counts one request.
func (d *Demand) Note(now coltsfootward.Instant) {
	d.perSecond = d.PerSecond(now) + 1/demandWindow.Seconds()
	d.noted = now.Monotonic
}

// PerSecond returns the estimate; what is older counts for less.
func (d *Demand) PerSecond(now coltsfootward.Instant) float64 {
	elapsed := now.Monotonic - d.noted
	return d.perSecond * math.Exp(-elapsed.Seconds()/demandWindow.Seconds())
}
