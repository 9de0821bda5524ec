package claim

import (
	"time"

	"coltsfootward"
)

// Holder decides on claims for the keys of one lease during one term. Create it
// with NewHolder or NewFirstHolder. It is not safe for concurrent use.
//
// Claims are kept in memory only, so a new holder does not have its predecessors'
// claims. It must not grant a key that a predecessor may have granted:
//   - A key with a timestamp (a UUID of version 7) is not granted if it was
//     created before this term began, since an earlier holder may have granted
//     it, or if it is so old that this holder may have dropped its claim. A key
//     whose timestamp is in the future is not granted either. A request with such
//     a key runs at most once, without a limit in time.
//   - A key without a timestamp is not granted until Options.Window plus the
//     lifetime of a predecessor's last claim have passed since the start of the
//     term. A request with such a key runs at most once within the window.
type Holder struct {
	options Options
	began   coltsfootward.Instant
	// first is set if no node held the lease before.
	first  bool
	claims map[Key]*entry
	// order contains the claims sorted by the time they were granted.
	order []*entry
	// responseBytes is the size of the retained responses in bytes.
	responseBytes int
}

// entry is one claim. It stays in order until its retention ends, even if it was
// released before, so that order remains sorted by time.
type entry struct {
	key     Key
	id      ID
	content uint64
	// granted is when the claim was granted, by Instant.Monotonic.
	granted   time.Duration
	ended     bool
	execution coltsfootward.Execution
	response  *RetainedResponse
}

// NewHolder returns the holder for a term that began at began, of a lease that
// other nodes may have held before.
func NewHolder(options Options, began coltsfootward.Instant) *Holder {
	return &Holder{options: options.WithDefaults(), began: began, claims: make(map[Key]*entry)}
}

// NewFirstHolder returns the holder for a term that began at began, of a lease
// that no node held before.
func NewFirstHolder(options Options, began coltsfootward.Instant) *Holder {
	h := NewHolder(options, began)
	h.first = true
	return h
}

// Claim decides on a request. If the request is resent with the same ID within the
// claim's lifetime, Claim grants the rest of that lifetime: the first verdict may
// have been lost.
func (h *Holder) Claim(now coltsfootward.Instant, r Request) Verdict {
	h.expire(now)
	if e, ok := h.claims[r.Key]; ok {
		return h.decideRetained(now, e, r)
	}
	if v, ok := h.rejectUnverifiable(now, r.Key); ok {
		return v
	}
	// A flood of keys has reached the limit. Dropping a claim early to make room
	// would let its request run twice, so new claims are refused until the
	// retention of the oldest one ends. Released claims count until then, to bound
	// the memory.
	if len(h.order) >= h.options.MaximumClaims {
		return Verdict{Decision: Full, RetryAfter: h.order[0].granted + h.options.retention() - now.Monotonic}
	}
	e := &entry{key: r.Key, id: r.ID, content: r.Content, granted: now.Monotonic}
	h.claims[r.Key] = e
	h.order = append(h.order, e)
	return Verdict{Decision: Granted, Lifetime: h.options.Lifetime}
}

// runningRetryAfter is the retry delay for repeated requests while the first request
// is running: short enough that callers get the response soon, long enough that
// waiting callers do not cause significant load.
const runningRetryAfter = time.Second

// decideRetained decides on a request whose key has a retained claim.
func (h *Holder) decideRetained(now coltsfootward.Instant, e *entry, r Request) Verdict {
	switch {
	case e.content != r.Content:
		return Verdict{Decision: Reused}
	case e.ended:
		return Verdict{Decision: AlreadyRun, Response: e.response, Execution: e.execution}
	case e.id == r.ID && now.Monotonic < e.granted+h.options.Lifetime:
		return Verdict{Decision: Granted, Lifetime: e.granted + h.options.Lifetime - now.Monotonic}
	default:
		return Verdict{Decision: Running, RetryAfter: runningRetryAfter}
	}
}

// rejectUnverifiable returns a verdict for a key that may have been granted without
// this holder having its claim, or false if the key may be granted.
func (h *Holder) rejectUnverifiable(now coltsfootward.Instant, key Key) (Verdict, bool) {
	created, ok := key.createdAt()
	earliest, latest := h.wallBounds(now)
	if ok {
		// If a key with a timestamp in the future were granted now, a later holder
		// would take it for a key created during its own term.
		if lead := created.Sub(earliest) - h.options.ClockMargin; lead > 0 {
			return Verdict{Decision: Early, RetryAfter: lead}, true
		}
		if latest.Sub(created) >= h.options.retention()-h.options.ClockMargin {
			return Verdict{Decision: Forgotten}, true
		}
		// An earlier holder accepted timestamps up to one margin ahead of its clock,
		// which may have been one margin ahead of this holder's clock.
		if !h.first && created.Before(h.began.Wall.Add(2*h.options.ClockMargin)) {
			return Verdict{Decision: Forgotten}, true
		}
		return Verdict{}, false
	}
	termAge := now.Monotonic - h.began.Monotonic
	if h.first || termAge >= h.options.retention() {
		return Verdict{}, false
	}
	return Verdict{Decision: HeldOff, RetryAfter: h.options.retention() - termAge}, true
}

// wallBounds returns bounds of the wall clock time. They differ if the clock was
// set during the term: one is the clock's reading, the other the reading at the
// start of the term plus the time since. A key's age is computed from the later
// bound, and a timestamp in the future is detected with the earlier one.
func (h *Holder) wallBounds(now coltsfootward.Instant) (earliest, latest time.Time) {
	derived := h.began.Wall.Add(now.Monotonic - h.began.Monotonic)
	if derived.Before(now.Wall) {
		return derived, now.Wall
	}
	return now.Wall, derived
}

// End records how the request of a claim ended. The key of a request that
// certainly did not run can be claimed again. End ignores a claim that is no longer
// current: the message may have been delayed, and the key may have been claimed
// again since.
func (h *Holder) End(now coltsfootward.Instant, key Key, id ID, execution coltsfootward.Execution, response *RetainedResponse) {
	h.expire(now)
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
	if size := response.size(); response != nil && h.responseBytes+size <= h.options.RetainedResponseBytes {
		e.response = response
		h.responseBytes += size
	}
}

// Len returns the number of claims in memory, including released ones.
func (h *Holder) Len() int { return len(h.order) }

// expire removes claims whose retention has ended.
func (h *Holder) expire(now coltsfootward.Instant) {
	count := 0
	for count < len(h.order) && now.Monotonic-h.order[count].granted >= h.options.retention() {
		e := h.order[count]
		if h.claims[e.key] == e {
			delete(h.claims, e.key)
		}
		h.responseBytes -= e.response.size()
		h.order[count] = nil
		count++
	}
	h.order = h.order[count:]
}
