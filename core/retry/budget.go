package retry

import (
	"math"
	"time"
)

// Kind says for whom a request is attempted again.
type Kind string

// The kinds of request, as far as repeats of them are concerned.
const (
	// KindCaller is a caller's request that needs no further service.
	KindCaller Kind = "caller"
	// KindCall is a backend server's call that needs none.
	KindCall Kind = "call"
	// KindCallerAbove is a caller's request that needs further services.
	KindCallerAbove Kind = "caller_above"
	// KindCallAbove is a call that does.
	KindCallAbove Kind = "call_above"
)

// The parts of the share that each kind earns. A repeat of a request that needs
// further services repeats their work too, and counts there as well: with a
// chain of four services that all fail, 1.05·1.02·1.02·1.17 is 1.28 times the
// first attempts, and each of them alone stays within the share of 0.2.
const (
	callerPart      = 0.60
	callPart        = 0.25
	callerAbovePart = 0.25
	callAbovePart   = 0.10
	// mostPerRequest bounds what one caller's request earns where callers'
	// requests are few among calls.
	mostPerRequest = 0.6
	// capacityPart is the part of the fleet's saved repeats that may be spent
	// beside what is earned, divided among the nodes and the kinds.
	capacityPart = 0.4
	// mixTime is the time constant in which the mix of requests is counted.
	mixTime = 2 * time.Second
)

// Budget bounds the repeats of one service's requests from one node, as a share
// of the requests that the node has for it, so that the bound holds for all nodes
// together without any agreement. The zero value allows nothing. It is not safe
// for concurrent use.
//
// It is made for backend servers that reject a part of what they get, whatever
// the load: repeats then decide how many requests are served, and callers' own go
// before the calls of requests that need several of them.
type Budget struct {
	// Share is what repeats may be of the requests.
	Share float64
	// Saved is how many repeats this node may save up.
	Saved float64

	tokens map[Kind]float64
	counts map[Kind]float64
	at     time.Duration
}

// Requested counts a request's first attempt.
func (b *Budget) Requested(now time.Duration, kind Kind) {
	if b.tokens == nil {
		b.tokens = make(map[Kind]float64)
		b.counts = make(map[Kind]float64)
	}
	fade := math.Exp(-(now - b.at).Seconds() / mixTime.Seconds())
	b.at = now
	total := 0.0
	for k, n := range b.counts {
		b.counts[k] = n * fade
		total += n * fade
	}
	b.counts[kind]++
	total++
	earned := b.Share * partOf(kind)
	if kind == KindCaller {
		earned = min(earned*total/b.counts[kind], mostPerRequest)
	}
	b.tokens[kind] = min(b.tokens[kind]+earned, 1+capacityPart*b.Saved)
}

func partOf(kind Kind) float64 {
	switch kind {
	case KindCaller:
		return callerPart
	case KindCall:
		return callPart
	case KindCallerAbove:
		return callerAbovePart
	default:
		return callAbovePart
	}
}

// Take reports whether one more repeat is allowed, and counts it if so.
func (b *Budget) Take(kind Kind) bool {
	if b.tokens[kind] < 1 {
		return false
	}
	b.tokens[kind]--
	return true
}
