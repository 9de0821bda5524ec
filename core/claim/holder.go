package claim

import (
	"time"

	"coltsfootward"
)

// Holder decides on the claims of the keys that belong to one lease, for one
// term of it. Create it with NewHolder or NewFirstHolder. It is not safe for
// concurrent use.
//
// Claims are kept in memory only, so a new holder knows none of its
// predecessor's. It must not grant a key that one of them was granted for:
//   - A key that carries its time is not granted if it was made before this
//     term began, since an earlier holder may have seen it, nor once it is so
//     old that this holder may have forgotten it. Such a key runs at most once
//     for ever.
//     A key whose time has not come is not granted either.
//   - A key that carries no time is not granted within Options.Window, and the
//     life of a predecessor's last claim, of the start of the term. Such a key
//     runs at most once within the window.
type Holder struct {
	options Options
	began   coltsfootward.Instant
	// first is set if nobody held the lease before.
	first       bool
	claims      map[Key]*entry
	order       []*entry
	answerBytes int
}

// entry is one claim. It stays in order until its window has passed, also when
// it was released, so that order is sorted by time.
type entry struct {
	key       Key
	id        ID
	content   uint64
	granted   time.Duration
	ended     bool
	execution coltsfootward.Execution
	answer    *Answer
}

// NewHolder returns the holder of a lease that others may have held before a
// term that began at that instant.
func NewHolder(options Options, began coltsfootward.Instant) *Holder {
	return &Holder{options: options.WithDefaults(), began: began, claims: make(map[Key]*entry)}
}

// NewFirstHolder returns the holder of a lease that nobody held before.
func NewFirstHolder(options Options, began coltsfootward.Instant) *Holder {
	h := NewHolder(options, began)
	h.first = true
	return h
}

// Claim decides on a request. Asked again for the same ID within the claim's
// life, it grants what is left of it: the first verdict may have been lost.
func (h *Holder) Claim(now coltsfootward.Instant, r Request) Verdict {
	h.forget(now)
	if e, ok := h.claims[r.Key]; ok {
		return h.repeat(now, e, r)
	}
	if v, ok := h.unknowable(now, r.Key); ok {
		return v
	}
	// The load is a flood of keys. Forgetting a claim early to make room would
	// let its request run twice, so the new one is refused until the oldest is
	// past its window. Released claims count until then, to bound the memory.
	if len(h.order) >= h.options.Claims {
		return Verdict{Decision: Full, RetryAfter: h.order[0].granted + h.options.kept() - now.Monotonic}
	}
	e := &entry{key: r.Key, id: r.ID, content: r.Content, granted: now.Monotonic}
	h.claims[r.Key] = e
	h.order = append(h.order, e)
	return Verdict{Decision: Granted, Life: h.options.Life}
}

// runningRetryAfter is when the repeat of a running request may ask again: soon
// enough to fetch the answer, not so soon that waiting callers become a load.
const runningRetryAfter = time.Second

func (h *Holder) repeat(now coltsfootward.Instant, e *entry, r Request) Verdict {
	switch {
	case e.content != r.Content:
		return Verdict{Decision: Reused}
	case e.ended:
		return Verdict{Decision: AlreadyRun, Answer: e.answer, Execution: e.execution}
	case e.id == r.ID && now.Monotonic < e.granted+h.options.Life:
		return Verdict{Decision: Granted, Life: e.granted + h.options.Life - now.Monotonic}
	default:
		return Verdict{Decision: Running, RetryAfter: runningRetryAfter}
	}
}

// unknowable refuses keys that may have been granted beyond this holder's memory.
func (h *Holder) unknowable(now coltsfootward.Instant, key Key) (Verdict, bool) {
	minted, ok := key.minted()
	earliest, latest := h.wall(now)
	if ok {
		// Granted now, such a key would look freshly made to a later holder.
		if ahead := minted.Sub(earliest) - h.options.ClockMargin; ahead > 0 {
			return Verdict{Decision: Early, RetryAfter: ahead}, true
		}
		if latest.Sub(minted) >= h.options.kept()-h.options.ClockMargin {
			return Verdict{Decision: Forgotten}, true
		}
		// An earlier holder accepted stamps up to a margin ahead of its clock,
		// which may have been a margin ahead of this one's.
		if !h.first && minted.Before(h.began.Wall.Add(2*h.options.ClockMargin)) {
			return Verdict{Decision: Forgotten}, true
		}
		return Verdict{}, false
	}
	held := now.Monotonic - h.began.Monotonic
	if h.first || held >= h.options.kept() {
		return Verdict{}, false
	}
	return Verdict{Decision: HeldOff, RetryAfter: h.options.kept() - held}, true
}

// wall bounds the wall clock's time. A clock that was set during the term shows
// as a difference to the time that has passed since its start; a key's age is
// judged by the later of the two and a key from the future by the earlier.
func (h *Holder) wall(now coltsfootward.Instant) (earliest, latest time.Time) {
	passed := h.began.Wall.Add(now.Monotonic - h.began.Monotonic)
	if passed.Before(now.Wall) {
		return passed, now.Wall
	}
	return now.Wall, passed
}

// End takes in how the request of a claim ended. A request that certainly did
// not run gives its key back. News of a claim that no longer stands is ignored:
// it may have been delayed, and the key may be another claim's by now.
func (h *Holder) End(now coltsfootward.Instant, key Key, id ID, execution coltsfootward.Execution, answer *Answer) {
	h.forget(now)
	e, ok := h.claims[key]
	if !ok || e.id != id || e.ended {
		return
	}
	if execution == coltsfootward.ExecutionNotRun {
		delete(h.claims, key)
		return
	}
	e.ended = true
	e.execution = execution
	if size := answer.size(); answer != nil && h.answerBytes+size <= h.options.AnswerBytes {
		e.answer = answer
		h.answerBytes += size
	}
}

// Len returns how many claims take up memory.
func (h *Holder) Len() int { return len(h.order) }

// forget drops claims whose window has passed.
func (h *Holder) forget(now coltsfootward.Instant) {
	count := 0
	for count < len(h.order) && now.Monotonic-h.order[count].granted >= h.options.kept() {
		e := h.order[count]
		if h.claims[e.key] == e {
			delete(h.claims, e.key)
		}
		h.answerBytes -= e.answer.size()
		h.order[count] = nil
		count++
	}
	h.order = h.order[count:]
}
