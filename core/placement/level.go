package placement

import (
	"time"

	"coltsfootward"
)

const (
	// allRanks is above every shed rank.
	allRanks = 1 << 30
	// levelRise is how far a shed level rises per second without news. Whoever
	// sheds everything hears nothing more from the servers, and without the rise
	// would go on shedding for good.
	levelRise = allRanks
	// levelHold is how long a level stays before it rises. News of one kind of
	// request comes a few times a second to a node; a level that rose from the
	// first moment would let most of an overload through between two answers.
	levelHold = 300 * time.Millisecond
	// levelFall is how much of the way one answer lowers a level. A single full
	// server must not make a node shed what others would serve.
	levelFall = 0.8
	// levelLife is when a level has risen to the top from wherever it was.
	levelLife = 2 * time.Second
)

// Kind says whose requests of which class a shed level is for.
type Kind struct {
	Organisation coltsfootward.OrganisationName
	Class        string
}

// levels are the shed levels of a service as its answers told them, one for
// each kind of request. An answer that accepts more counts at once, one that
// accepts less mostly, so that the level stays with the servers that still
// have room.
type levels struct {
	known map[Kind]level
	swept time.Duration
}

type level struct {
	rank float64
	at   time.Duration
}

func (l level) risen(now time.Duration) float64 {
	return l.rank + levelRise*max(now-l.at-levelHold, 0).Seconds()
}

// observe takes in the level that came back with an answer; zero means that
// all is accepted.
func (l *levels) observe(now time.Duration, kind Kind, rank uint32) {
	l.sweep(now)
	told := float64(rank)
	if rank == 0 {
		told = allRanks
	}
	old, ok := l.known[kind]
	before := float64(allRanks)
	if ok {
		before = min(old.risen(now), allRanks)
	}
	if told < before {
		told = before + levelFall*(told-before)
	}
	if told >= allRanks {
		delete(l.known, kind)
		return
	}
	if l.known == nil {
		l.known = make(map[Kind]level)
	}
	l.known[kind] = level{rank: told, at: now}
}

// sweep forgets once in a while what has risen to the top.
func (l *levels) sweep(now time.Duration) {
	if now-l.swept < levelLife {
		return
	}
	l.swept = now
	for kind, known := range l.known {
		if known.risen(now) >= allRanks {
			delete(l.known, kind)
		}
	}
}

func (l *levels) sheds(now time.Duration, kind Kind, rank uint32) bool {
	known, ok := l.known[kind]
	return ok && float64(rank) > known.risen(now)
}
