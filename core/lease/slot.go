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
	// Self is the node that the slot is seen from.
	Self coltsfootward.Instance
	// Term is how long the node holds the slot after a renewal; zero means
	// DefaultTerm.
	Term time.Duration
	// Margin is what a claimant waits beyond the holder's term; zero means
	// DefaultMargin.
	Margin time.Duration
}

// The defaults of Options.
const (
	// DefaultTerm is a compromise. While the platform is away for longer than a
	// term, every organisation is refused; a killed holder's part of each rate,
	// and the keys of its slot, stay unused for a term and a third. A minute
	// covers a failover of the platform and costs a crash 1 part in 16 for a
	// minute and a half in a deployment of four failure domains. Each slot costs
	// one write and a read per third of a term: 1,152 slots cost 58 writes a
	// second out of several hundred.
	DefaultTerm = time.Minute
	// DefaultMargin covers the difference in speed of two clocks over a term
	// and the jumps of the wall clock that are too small to be noticed.
	DefaultMargin = time.Second
)

const (
	// renewals is how many renewals are tried within one term.
	renewals = 3
	// retries is how many times within one term an unanswered one is repeated.
	retries = 10
	// rememberedWrites is how many own writes can be recognised. Older ones
	// have been sent so long ago that the term they began is over.
	rememberedWrites = 2 * retries
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

// Read reads the slot's row; its answer goes to Slot.ReadAnswered.
type Read struct{}

// Write sets the slot's row if it still has that version; its answer goes to
// Slot.WriteAnswered.
type Write struct {
	Version uint64
	Record  Record
}

func (Read) isAction()  {}
func (Write) isAction() {}

// Candidacy says whether a node would take a slot that is free.
type Candidacy struct {
	// Eligible is set if the node watches the slot and may take it.
	Eligible bool
	// Delay is how long the node lets others go first once the slot is free.
	Delay time.Duration
}

// Slot is one slot as one node sees it. Create it with New. It has at most one
// operation under way. It is not safe for concurrent use.
//
// Never do two nodes hold a slot at a time, for these reasons. A holder counts
// its term from before it sent the write, by Instant.Expiry, which never lags
// real time. A claimant counts from after it saw the record, by
// Instant.Monotonic, which never leads it, and waits for the record's whole
// term and a margin. Its write is conditional on that very version, so a
// renewal that it did not see makes it fail, and it makes every later renewal
// of the old holder fail.
type Slot struct {
	options Options

	// version and record are the row as last seen.
	version uint64
	record  Record
	known   bool
	// seen is when this version was first seen, by Instant.Monotonic.
	seen time.Duration

	// mine is set while the record names this incarnation as the holder.
	mine bool
	// expires is when the term ends, by Instant.Expiry.
	expires time.Duration
	// began is when this node learned that its epoch had begun.
	began     coltsfootward.Instant
	releasing bool
	// first is set if nothing was granted before this epoch, unused if the
	// release is to say that nothing was granted in it either.
	first, unused bool
	candidacy     Candidacy
	writes        []sentWrite
	counter       uint64
	busy          bool
	// next is when the next read is due, by Instant.Monotonic.
	next time.Duration
}

// sentWrite is an own write that may have taken effect.
type sentWrite struct {
	token string
	// sent is when it was sent, by Instant.Expiry.
	sent    time.Duration
	release bool
}

// New returns a slot about which nothing is known.
func New(options Options) *Slot {
	return &Slot{options: options.withDefaults()}
}

// Held reports whether the node holds the slot at now. Whatever the holder
// gives away must be given in the same step as this check: a node that was
// paused since an earlier one may find itself lapsed.
func (s *Slot) Held(now coltsfootward.Instant) bool {
	return s.mine && !s.releasing && now.Expiry < s.expires
}

// Epoch returns the epoch of the last record seen.
func (s *Slot) Epoch() uint64 { return s.record.Epoch }

// Began returns when the node learned that its present epoch had begun. No
// other node has held the slot since.
func (s *Slot) Began() coltsfootward.Instant { return s.began }

// Mine reports whether the record, as last seen, names this node, lapsed or not.
func (s *Slot) Mine() bool { return s.mine }

// Releasing reports whether the node is giving the slot up. It never holds the
// slot in this epoch again.
func (s *Slot) Releasing() bool { return s.mine && s.releasing }

// Holder returns the holder as the record last seen names it.
func (s *Slot) Holder() (coltsfootward.Instance, bool) {
	return s.record.Holder, s.known && s.version != 0 && !s.record.Released
}

// First reports whether nothing can have been granted in the slot's name
// before the node's present epoch.
func (s *Slot) First() bool { return s.first }

// Release makes the node give the slot up. It stops holding it at once. unused
// says that it has granted nothing in the slot's name.
func (s *Slot) Release(unused bool) {
	if !s.mine || s.releasing {
		return
	}
	s.releasing = true
	s.unused = unused && s.first
	s.next = 0
}

// Look makes the next Tick read the record.
func (s *Slot) Look() { s.next = 0 }

// Tick returns what is due: a renewal or a look at the record. A nil action
// means nothing.
func (s *Slot) Tick(now coltsfootward.Instant, candidacy Candidacy) Action {
	s.candidacy = candidacy
	if s.busy || now.Monotonic < s.next || (!s.mine && !candidacy.Eligible) {
		return nil
	}
	return s.read()
}

func (s *Slot) read() Action {
	s.busy = true
	return Read{}
}

// ReadAnswered takes the answer to a Read and returns what follows.
func (s *Slot) ReadAnswered(now coltsfootward.Instant, row coltsfootward.Row, err error) Action {
	s.busy = false
	if err != nil {
		s.retryLater(now)
		return nil
	}
	record, err := decode(row)
	if err != nil {
		s.later(now)
		return nil
	}
	s.observe(now, row, record)
	if s.mine {
		return s.renew(now)
	}
	return s.claim(now)
}

// observe takes in the record and settles what became of own writes.
func (s *Slot) observe(now coltsfootward.Instant, row coltsfootward.Row, record Record) {
	if !s.known || row.Version != s.version {
		s.seen = now.Monotonic
	}
	s.known = true
	s.version = row.Version
	s.record = record
	own := row.Version != 0 && !record.Released && record.Holder.ID == s.options.Self.ID &&
		record.Holder.Incarnation == s.options.Self.Incarnation
	if own && !s.mine {
		s.began = now
		s.first = record.Unused || record.Epoch == 1
	}
	s.mine = own
	if !own {
		s.releasing = false
		s.expires = 0
		return
	}
	// A lost answer leaves the writer in doubt. The record's token says which
	// of its writes took effect, and the term counts from that one's sending.
	for _, w := range s.writes {
		if w.token == record.Token {
			s.extend(w)
		}
	}
}

func (s *Slot) extend(w sentWrite) {
	s.expires = max(s.expires, w.sent+s.options.Term)
}

func (s *Slot) renew(now coltsfootward.Instant) Action {
	record := s.record
	record.Term = s.options.Term
	record.Counter++
	record.Released = s.releasing
	if s.releasing {
		record.Unused = s.unused
	}
	return s.write(now, record)
}

func (s *Slot) claim(now coltsfootward.Instant) Action {
	if !s.candidacy.Eligible {
		s.later(now)
		return nil
	}
	free := s.freeFrom()
	if now.Monotonic < free {
		s.later(now)
		s.next = min(s.next, free)
		return nil
	}
	return s.write(now, Record{Holder: s.options.Self, Epoch: s.record.Epoch + 1, Term: s.options.Term, Unused: s.record.Released && s.record.Unused})
}

// freeFrom returns when the node may claim the slot, by Instant.Monotonic.
func (s *Slot) freeFrom() time.Duration {
	if s.version == 0 || s.record.Released {
		return s.seen + s.candidacy.Delay
	}
	term := max(s.record.Term, s.options.Term)
	return s.seen + term + s.options.Margin + s.candidacy.Delay
}

func (s *Slot) write(now coltsfootward.Instant, record Record) Action {
	s.busy = true
	s.counter++
	self := s.options.Self
	record.Token = fmt.Sprintf("%s/%d/%d", self.ID, self.Incarnation, s.counter)
	s.writes = append(slices.Clip(s.writes), sentWrite{token: record.Token, sent: now.Expiry, release: record.Released})
	if len(s.writes) > rememberedWrites {
		s.writes = s.writes[1:]
	}
	return Write{Version: s.version, Record: record}
}

// WriteAnswered takes the answer to a Write and returns what follows.
func (s *Slot) WriteAnswered(now coltsfootward.Instant, err error) Action {
	s.busy = false
	if errors.Is(err, coltsfootward.ErrConflict) {
		return s.read()
	}
	if err != nil {
		s.retryLater(now)
		return nil
	}
	s.written(now, s.writes[len(s.writes)-1])
	s.later(now)
	return nil
}

func (s *Slot) written(now coltsfootward.Instant, w sentWrite) {
	if w.release {
		s.mine = false
		s.releasing = false
		s.expires = 0
		return
	}
	if !s.mine {
		s.mine = true
		s.began = now
		s.first = s.version == 0 || (s.record.Released && s.record.Unused)
		s.record.Epoch++
		s.record.Holder = s.options.Self
		s.record.Released = false
	}
	s.extend(w)
}

func (s *Slot) later(now coltsfootward.Instant) {
	s.next = now.Monotonic + s.options.Term/renewals
}

func (s *Slot) retryLater(now coltsfootward.Instant) {
	s.next = now.Monotonic + s.options.Term/retries
}
