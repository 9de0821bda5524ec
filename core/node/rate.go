package node

import (
	"time"

	"coltsfootward"
)

// admission entitles one attempt to start, for a short time.
type admission struct {
	// expires is when it ends, by Instant.Expiry; zero means that it does not.
	expires time.Duration
}

// remaining returns how long the admission lasts from now; zero means no limit.
func (a admission) remaining(now coltsfootward.Instant) time.Duration {
	if a.expires == 0 {
		return 0
	}
	return max(a.expires-now.Expiry, time.Nanosecond)
}

// ratePart holds each organisation to its rate and burst. In this first form
// each instance has an equal part of the whole.
type ratePart struct {
	node    *Node
	buckets map[coltsfootward.OrganisationName]*partBucket
}

type partBucket struct {
	tokens float64
	filled time.Duration
}

func newRatePart(n *Node) *ratePart {
	return &ratePart{node: n, buckets: make(map[coltsfootward.OrganisationName]*partBucket)}
}

func (p *ratePart) acquire(call *entryCall) {
	organisation, ok := p.node.configuration.current.Organisation(call.head.Organisation)
	if !ok {
		p.node.entry.overRate(call, 0)
		return
	}
	parts := float64(max(p.node.membership.size(), 1))
	burst := float64(organisation.Rate.Burst) / parts
	rate := organisation.Rate.PerSecond / parts
	now := p.node.now.Monotonic
	bucket, ok := p.buckets[organisation.Name]
	if !ok {
		bucket = &partBucket{tokens: burst, filled: now}
		p.buckets[organisation.Name] = bucket
	}
	bucket.tokens = min(burst, bucket.tokens+rate*(now-bucket.filled).Seconds())
	bucket.filled = now
	if bucket.tokens < 1 {
		p.node.entry.overRate(call, time.Duration((1-bucket.tokens)/max(rate, 1e-9)*float64(time.Second)))
		return
	}
	bucket.tokens--
	p.node.entry.admitted(call, admission{expires: p.node.now.Expiry + admissionLife})
}

// admissionLife is how long an admission entitles its attempt to start.
const admissionLife = time.Second

// release takes back an admission that was not spent. The zero admission is none.
func (p *ratePart) release(organisation coltsfootward.OrganisationName, unspent admission) {
	if unspent == (admission{}) {
		return
	}
	if bucket, ok := p.buckets[organisation]; ok {
		bucket.tokens++
	}
}

func (p *ratePart) tick() {}
