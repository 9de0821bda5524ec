package lease

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"coltsfootward"
)

// Options are a slot's settings.
type Options struct {
	// Self is the node that this Slot belongs to.
	Self coltsfootward.Instance
	// Term is how long the lease lasts after a renewal; zero means DefaultTerm.
	Term time.Duration
	// Margin is how long a claimant waits after the end of the holder's term; zero
	// means DefaultMargin.
	Margin time.Duration
}

// The defaults of Options.
const (
	// DefaultTerm balances two failures. If the platform is unavailable for longer
	// than a term, all requests of every organisation are refused. After a holder
	// crashes, its part of each rate limit and the keys of its slot are unavailable
	// for a term and a third. One minute covers a failover of the platform, and a
	// crash costs 1 part in 16 for a minute and a half in a deployment of four
	// failure domains. Each slot costs one write and one read per third of a term:
	// 1,152 slots cost 58 writes per second out of several hundred.
	DefaultTerm = time.Minute
	// DefaultMargin covers the drift between two clocks over a term and wall clock
	// jumps that are too small to be detected.
	DefaultMargin = time.Second
)

const (
	// renewalsPerTerm is the number of renewals within one term.
	renewalsPerTerm = 3
	// retriesPerTerm is the number of retries of a failed operation within one term.
	retriesPerTerm = 10
	// maximumSentWrites is the number of this node's writes that can be recognised in
	// the record. The terms that began with older writes have ended.
	maximumSentWrites = 2 * retriesPerTerm
)

func (o Options) withDefaults() Options {
	if o.Term <= 0 {
		o.Term = DefaultTerm
	}
	if o.Margin <= 0 {
		o.Margin = DefaultMargin
	}
	return o
}

// Action is an operation on the slot's row.
type Action interface{ isAction() }

// Read reads the slot's row. Its result goes to Slot.ReadCompleted.
type Read struct{}

// Write sets the slot's row if the row still has the given version. Its result
// goes to Slot.WriteCompleted.
type Write struct {
	Version uint64
	Record  Record
}

func (Read) isAction()  {}
func (Write) isAction() {}

// Candidacy determines whether and when a node claims a free slot.
type Candidacy struct {
	// Eligible is set if the node watches the slot and may claim it.
	Eligible bool
	// Delay is how long the node waits for preferred candidates once the slot is
	// free.
	Delay time.Duration
}

// Slot is the state of one slot's lease at one node. Create it with New. It has at
// most one operation in flight. It is not safe for concurrent use.
//
// At most one node holds a slot at any time, for these reasons. A holder counts
// its term from before it sent the write, by Instant.Expiry, which never lags
// real time. A claimant counts from after it read the record, by
// Instant.Monotonic, which never runs ahead of real time, and waits for the
// record's full term and a margin. The claimant's write is conditional on the
// version that it read: the write fails if the holder has renewed in between, and
// if it succeeds, every later renewal of the old holder fails.
type Slot struct {
	options Options

	// version and record are the row as last read; recordRead is set once it was
	// read.
	version    uint64
	record     Record
	recordRead bool
	// versionSeenAt is when this version was first read, by Instant.Monotonic.
	versionSeenAt time.Duration

	// holderOfRecord is set while the record names this incarnation as the holder.
	holderOfRecord bool
	// expires is when the term ends, by Instant.Expiry.
	expires time.Duration
	// began is when this node learned that its epoch had begun.
	began coltsfootward.Instant
	// releasing is set from Release until the release is written.
	releasing bool
	// unusedBefore is set if nothing was granted before this epoch, unusedInEpoch
	// if the record of the release will state that nothing was granted in this
	// epoch either.
	unusedBefore, unusedInEpoch bool
	candidacy                   Candidacy
	writes                      []sentWrite
	counter                     uint64
	// inFlight is set while an operation is in flight.
	inFlight bool
	// nextRead is when the next read is due, by Instant.Monotonic.
	nextRead time.Duration
}

// sentWrite is a write of this node that may have taken effect.
type sentWrite struct {
	token string
	// sent is when the write was sent, by Instant.Expiry.
	sent    time.Duration
	release bool
}

// New returns a slot whose record has not been read yet.
func New(options Options) *Slot {
	return &Slot{options: options.withDefaults()}
}

// Held reports whether the node holds the slot at now. The holder must grant
// anything in the same step as this check: if the node was paused since an
// earlier check, its lease may have expired.
func (s *Slot) Held(now coltsfootward.Instant) bool {
	return s.holderOfRecord && !s.releasing && now.Expiry < s.expires
}

// Epoch returns the epoch of the record as last read.
func (s *Slot) Epoch() uint64 { return s.record.Epoch }

// Began returns when the node learned that its present epoch had begun. No
// other node has held the slot since.
func (s *Slot) Began() coltsfootward.Instant { return s.began }

// IsHolderOfRecord reports whether the record, as last read, names this node's
// incarnation as the holder, even if the term has ended.
func (s *Slot) IsHolderOfRecord() bool { return s.holderOfRecord }

// Releasing reports whether the node is releasing the slot. A node that releases a
// slot never holds it again in the same epoch.
func (s *Slot) Releasing() bool { return s.holderOfRecord && s.releasing }

// Holder returns the holder named by the record as last read, or false if there is
// none.
func (s *Slot) Holder() (coltsfootward.Instance, bool) {
	return s.record.Holder, s.recordRead && s.version != 0 && !s.record.Released
}

// UnusedBefore reports whether nothing can have been granted for the slot before
// the node's present epoch.
func (s *Slot) UnusedBefore() bool { return s.unusedBefore }

// Release starts releasing the slot. The node stops holding it at once. unused
// states that the node has granted nothing for the slot in this epoch.
func (s *Slot) Release(unused bool) {
	if !s.holderOfRecord || s.releasing {
		return
	}
	s.releasing = true
	s.unusedInEpoch = unused && s.unusedBefore
	s.nextRead = 0
}

// RequestRead makes the record due for reading at the next Tick.
func (s *Slot) RequestRead() { s.nextRead = 0 }

// Tick returns the action that is due, or nil if none is. The action is always a
// Read, since a renewal starts by reading the record.
func (s *Slot) Tick(now coltsfootward.Instant, candidacy Candidacy) Action {
	s.candidacy = candidacy
	if s.inFlight || now.Monotonic < s.nextRead || (!s.holderOfRecord && !candidacy.Eligible) {
		return nil
	}
	return s.read()
}

func (s *Slot) read() Action {
	s.inFlight = true
	return Read{}
}

// ReadCompleted processes the result of a Read and returns the next action, or nil.
func (s *Slot) ReadCompleted(now coltsfootward.Instant, row coltsfootward.Row, err error) Action {
	s.inFlight = false
	if err != nil {
		s.scheduleRetry(now)
		return nil
	}
	record, err := decode(row)
	if err != nil {
		s.scheduleRead(now)
		return nil
	}
	s.observe(now, row, record)
	if s.holderOfRecord {
		return s.renew(now)
	}
	return s.claim(now)
}

// observe records a row that was read and determines whether this node's writes
// took effect.
func (s *Slot) observe(now coltsfootward.Instant, row coltsfootward.Row, record Record) {
	if !s.recordRead || row.Version != s.version {
		s.versionSeenAt = now.Monotonic
	}
	s.recordRead = true
	s.version = row.Version
	s.record = record
	own := row.Version != 0 && !record.Released && record.Holder.ID == s.options.Self.ID &&
		record.Holder.Incarnation == s.options.Self.Incarnation
	if own && !s.holderOfRecord {
		s.began = now
		s.unusedBefore = record.Unused || record.Epoch == 1
	}
	s.holderOfRecord = own
	if !own {
		s.releasing = false
		s.expires = 0
		return
	}
	// If the reply to a write was lost, its result is unknown. The record's token
	// identifies the write that took effect, and the term counts from when this
	// write was sent.
	for _, w := range s.writes {
		if w.token == record.Token {
			s.extendTerm(w)
		}
	}
}

func (s *Slot) extendTerm(w sentWrite) {
	s.expires = max(s.expires, w.sent+s.options.Term)
}

func (s *Slot) renew(now coltsfootward.Instant) Action {
	record := s.record
	record.Term = s.options.Term
	record.Counter++
	record.Released = s.releasing
	if s.releasing {
		record.Unused = s.unusedInEpoch
	}
	return s.write(now, record)
}

func (s *Slot) claim(now coltsfootward.Instant) Action {
	if !s.candidacy.Eligible {
		s.scheduleRead(now)
		return nil
	}
	claimable := s.claimableAt()
	if now.Monotonic < claimable {
		s.scheduleRead(now)
		s.nextRead = min(s.nextRead, claimable)
		return nil
	}
	return s.write(now, Record{Holder: s.options.Self, Epoch: s.record.Epoch + 1, Term: s.options.Term, Unused: s.record.Released && s.record.Unused})
}

// claimableAt returns when the node may claim the slot, by Instant.Monotonic.
func (s *Slot) claimableAt() time.Duration {
	if s.version == 0 || s.record.Released {
		return s.versionSeenAt + s.candidacy.Delay
	}
	term := max(s.record.Term, s.options.Term)
	return s.versionSeenAt + term + s.options.Margin + s.candidacy.Delay
}

func (s *Slot) write(now coltsfootward.Instant, record Record) Action {
	s.inFlight = true
	s.counter++
	self := s.options.Self
	record.Token = fmt.Sprintf("%s/%d/%d", self.ID, self.Incarnation, s.counter)
	s.writes = append(slices.Clip(s.writes), sentWrite{token: record.Token, sent: now.Expiry, release: record.Released})
	if len(s.writes) > maximumSentWrites {
		s.writes = s.writes[1:]
	}
	return Write{Version: s.version, Record: record}
}

// WriteCompleted processes the result of a Write and returns the next action, or
// nil.
func (s *Slot) WriteCompleted(now coltsfootward.Instant, err error) Action {
	s.inFlight = false
	if errors.Is(err, coltsfootward.ErrConflict) {
		return s.read()
	}
	if err != nil {
		s.scheduleRetry(now)
		return nil
	}
	s.writeSucceeded(now, s.writes[len(s.writes)-1])
	s.scheduleRead(now)
	return nil
}

func (s *Slot) writeSucceeded(now coltsfootward.Instant, w sentWrite) {
	if w.release {
		s.holderOfRecord = false
		s.releasing = false
		s.expires = 0
		return
	}
	if !s.holderOfRecord {
		s.holderOfRecord = true
		s.began = now
		s.unusedBefore = s.version == 0 || (s.record.Released && s.record.Unused)
		s.record.Epoch++
		s.record.Holder = s.options.Self
		s.record.Released = false
	}
	s.extendTerm(w)
}

func (s *Slot) scheduleRead(now coltsfootward.Instant) {
	s.nextRead = now.Monotonic + s.options.Term/renewalsPerTerm
}

func (s *Slot) scheduleRetry(now coltsfootward.Instant) {
	s.nextRead = now.Monotonic + s.options.Term/retriesPerTerm
}
