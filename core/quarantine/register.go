package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"coltsfootward/core/message"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashThreshold is the number of crashes after which equal requests are
	// withheld. One or two may be chance: each server has many requests in
	// service when it crashes for a reason of its own.
	crashThreshold = 3
	// maxMarks bounds the suspects of all crashes in a register together, and
	// thereby its memory and the time of a judgement.
	maxMarks = 4 << 10
	// MaxSuspects is the largest number of suspects of one crash.
	MaxSuspects = 512
)

// CrashID identifies a crash of a backend server.
type CrashID uint64

// Register holds reports of crashes and decides which requests are withheld. All
// nodes that hold the same reports decide alike, in whatever order the reports
// arrived. It is not safe for concurrent use.
//
// A crash of a server is evidence against each request that the server was
// running. A request against which there is evidence of crashThreshold crashes is
// withheld as long as these crashes are younger than the register's lifetime. Most
// suspects are requests that were in service beside the one that crashes servers.
// A crash is therefore no evidence against
//   - a request of which an equal one has been answered since, and
//   - a request that is not withheld, if another suspect of the crash is.
type Register struct {
	lifetime time.Duration
	crashes  map[CrashID]*crash
	// suspected counts the crashes that are evidence against each request. marks
	// is the number of suspects of all crashes, acquitted ones included.
	suspected map[Fingerprint]int
	marks     int
	digest    uint64
	// withheld maps each withheld request to its verdict.
	withheld map[Fingerprint]Verdict
}

// crash is a reported crash. Times are by Instant.Monotonic.
type crash struct {
	at time.Duration
	// acquitted has an entry for each suspect.
	acquitted map[Fingerprint]bool
}

// Verdict is the reason why a request is withheld.
type Verdict struct {
	// times holds the times of the crashes that are evidence against the request,
	// in order.
	times []time.Duration
	// until is when the evidence no longer suffices.
	until time.Duration
	// Shared is set if there was as much evidence against another request, so
	// that possibly only one of them crashes servers.
	Shared bool
}

// Crashes returns the number of crashes that are evidence against the request.
func (v Verdict) Crashes() int { return len(v.times) }

// LastCrash returns when the latest of these crashes happened, by
// Instant.Monotonic.
func (v Verdict) LastCrash() time.Duration { return v.times[len(v.times)-1] }

// Until returns when the request is no longer withheld, by Instant.Monotonic.
func (v Verdict) Until() time.Duration { return v.until }

// NewRegister returns an empty register that holds each report until the crash is
// older than lifetime.
func NewRegister(lifetime time.Duration) *Register {
	return &Register{
		lifetime: lifetime, crashes: make(map[CrashID]*crash), suspected: make(map[Fingerprint]int), withheld: make(map[Fingerprint]Verdict),
	}
}

// Add merges reports and returns the parts of them that are new. A report that the
// register has no room for is not new, or nodes would send it to each other for
// ever.
func (r *Register) Add(now time.Duration, reports ...message.CrashReport) []message.CrashReport {
	var added []message.CrashReport
	for _, report := range reports {
		if report.Age >= r.lifetime {
			continue
		}
		fresh := message.CrashReport{ID: report.ID, Age: report.Age}
		for _, f := range report.Suspects[:min(len(report.Suspects), MaxSuspects)] {
			if r.mark(now, report, Fingerprint(f), false) {
				fresh.Suspects = append(fresh.Suspects, f)
			}
		}
		for _, f := range report.Acquitted[:min(len(report.Acquitted), MaxSuspects)] {
			if r.mark(now, report, Fingerprint(f), true) {
				fresh.Acquitted = append(fresh.Acquitted, f)
			}
		}
		if len(fresh.Suspects)+len(fresh.Acquitted) > 0 {
			added = append(added, fresh)
		}
	}
	if len(added) == 0 {
		return nil
	}
	r.judge()
	if r.evict() {
		r.judge()
	}
	return slices.DeleteFunc(added, func(report message.CrashReport) bool { return !r.Has(CrashID(report.ID)) })
}

// mark records a suspect of a crash and reports whether that is new.
func (r *Register) mark(now time.Duration, report message.CrashReport, f Fingerprint, acquitted bool) bool {
	id := CrashID(report.ID)
	c, ok := r.crashes[id]
	if !ok {
		c = &crash{at: now - max(report.Age, 0), acquitted: make(map[Fingerprint]bool)}
		r.crashes[id] = c
	}
	before, known := c.acquitted[f]
	if known && (before || !acquitted) {
		return false
	}
	if known {
		r.digest ^= markDigest(id, f, before)
	} else {
		r.marks++
	}
	c.acquitted[f] = acquitted
	r.digest ^= markDigest(id, f, acquitted)
	switch {
	case !acquitted:
		r.suspected[f]++
	case known:
		r.unsuspect(f)
	}
	return true
}

// unsuspect removes one crash from the evidence against a request.
func (r *Register) unsuspect(f Fingerprint) {
	r.suspected[f]--
	if r.suspected[f] == 0 {
		delete(r.suspected, f)
	}
}

// Answered acquits a request of all crashes, since an equal one has been answered.
// It returns what has changed.
func (r *Register) Answered(now time.Duration, f Fingerprint) []message.CrashReport {
	if r.suspected[f] == 0 {
		return nil
	}
	var acquittals []message.CrashReport
	for _, id := range r.sortedIDs() {
		c := r.crashes[id]
		if acquitted, suspect := c.acquitted[f]; suspect && !acquitted {
			acquittals = append(acquittals, message.CrashReport{ID: uint64(id), Age: now - c.at, Acquitted: []uint64{uint64(f)}})
		}
	}
	return r.Add(now, acquittals...)
}

// Withheld returns the verdict on a request, or false if it is not withheld.
func (r *Register) Withheld(now time.Duration, f Fingerprint) (Verdict, bool) {
	verdict, ok := r.withheld[f]
	return verdict, ok && now < verdict.until
}

// All returns every withheld request, sorted.
func (r *Register) All() []Fingerprint { return slices.Sorted(maps.Keys(r.withheld)) }

// Digest returns a hash of the register's content without the ages.
func (r *Register) Digest() uint64 { return r.digest }

// Page returns the reports from position from on, the youngest first, that have up to
// limit suspects together, and at least one report. It also returns the position
// of the next page, which is zero after the last one.
func (r *Register) Page(now time.Duration, from, limit int) (reports []message.CrashReport, next int) {
	ids := r.sortedIDs()
	slices.Reverse(ids)
	for i := min(from, len(ids)); i < len(ids); i++ {
		limit -= len(r.crashes[ids[i]].acquitted)
		if limit < 0 && len(reports) > 0 {
			return reports, i
		}
		reports = append(reports, r.report(now, ids[i]))
	}
	return reports, 0
}

func (r *Register) report(now time.Duration, id CrashID) message.CrashReport {
	c := r.crashes[id]
	report := message.CrashReport{ID: uint64(id), Age: now - c.at}
	for _, f := range slices.Sorted(maps.Keys(c.acquitted)) {
		if c.acquitted[f] {
			report.Acquitted = append(report.Acquitted, uint64(f))
		} else {
			report.Suspects = append(report.Suspects, uint64(f))
		}
	}
	return report
}

// Evidence returns the report of a crash reduced to the requests that are
// withheld, or false if none of its suspects is.
func (r *Register) Evidence(now time.Duration, id CrashID) (message.CrashReport, bool) {
	c, ok := r.crashes[id]
	if !ok {
		return message.CrashReport{}, false
	}
	evidence := message.CrashReport{ID: uint64(id), Age: now - c.at}
	for _, f := range slices.Sorted(maps.Keys(c.acquitted)) {
		if _, withheld := r.withheld[f]; withheld && !c.acquitted[f] {
			evidence.Suspects = append(evidence.Suspects, uint64(f))
		}
	}
	return evidence, len(evidence.Suspects) > 0
}

// Has reports whether the register holds a crash.
func (r *Register) Has(id CrashID) bool {
	_, ok := r.crashes[id]
	return ok
}

// Expire removes the crashes that are older than the lifetime.
func (r *Register) Expire(now time.Duration) {
	removed := false
	for id, c := range r.crashes {
		if now-c.at >= r.lifetime {
			r.remove(id)
			removed = true
		}
	}
	if removed {
		r.judge()
	}
}

// evict removes crashes while there are more than maxMarks suspects: the oldest
// first, and those that are evidence against withheld requests last. It reports
// whether it has removed any.
func (r *Register) evict() bool {
	if r.marks <= maxMarks {
		return false
	}
	ids := r.sortedIDs()
	evidence := func(id CrashID) bool { return r.hasWithheld(r.crashes[id]) }
	slices.SortStableFunc(ids, func(a, b CrashID) int {
		switch {
		case evidence(a) == evidence(b):
			return 0
		case evidence(b):
			return -1
		default:
			return 1
		}
	})
	for _, id := range ids {
		if r.marks <= maxMarks {
			break
		}
		r.remove(id)
	}
	return true
}

func (r *Register) remove(id CrashID) {
	c := r.crashes[id]
	for f, acquitted := range c.acquitted {
		r.digest ^= markDigest(id, f, acquitted)
		if !acquitted {
			r.unsuspect(f)
		}
	}
	r.marks -= len(c.acquitted)
	delete(r.crashes, id)
}

// sortedIDs returns the crashes from the oldest to the youngest.
func (r *Register) sortedIDs() []CrashID {
	return slices.SortedFunc(maps.Keys(r.crashes), func(a, b CrashID) int {
		return cmp.Or(cmp.Compare(r.crashes[a].at, r.crashes[b].at), cmp.Compare(a, b))
	})
}

func markDigest(id CrashID, f Fingerprint, acquitted bool) uint64 {
	var buffer [17]byte
	binary.BigEndian.PutUint64(buffer[:], uint64(id))
	binary.BigEndian.PutUint64(buffer[8:], uint64(f))
	if acquitted {
		buffer[16] = 1
	}
	return xxhash.Sum64(buffer[:])
}
