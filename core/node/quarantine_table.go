package node

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/quarantine"
)

// CrashPrefix is the key prefix under which the table stores crashes that are
// evidence against withheld requests.
const CrashPrefix = "crash/"

const (
	// crashReadDelay is the time after its start at which a node reads the stored
	// crashes. By then most nodes have found that their peers read them.
	crashReadDelay = 750 * time.Millisecond
	// crashReadInterval is the time between two reads while another failure
	// domain is unreachable.
	crashReadInterval = 2 * time.Second
	// silenceLimit is how long another failure domain may have been silent for
	// this node to rely on gossip. A cut takes longer than that to be noticed.
	silenceLimit = 2 * time.Second
	// crashRetryInterval is the time after which a failed write of the table is
	// repeated.
	crashRetryInterval = time.Second
	// crashReaders is the number of nodes of a failure domain that read the
	// stored crashes. The other nodes receive them from peers.
	crashReaders = 1
	// crashScanLimit is the maximum number of rows in one scan.
	crashScanLimit = 500
	// maxRowWrites is the largest number of rows in one transaction.
	maxRowWrites = 100
)

// crashRow is a stored crash.
type crashRow struct {
	At       time.Time `json:"at"`
	Suspects []string  `json:"suspects"`
}

// synchronise reads the stored crashes, or writes what this node has to store, if
// either is due.
func (p *quarantineComponent) synchronise() {
	now := p.node.now.Monotonic
	if p.busy {
		return
	}
	if now >= p.nextRead {
		p.nextRead = now + crashReadInterval
		if p.shouldRead() {
			p.read()
			return
		}
	}
	if now >= p.nextWrite && p.writtenDigest != p.register.Digest() {
		p.write()
	}
}

// shouldRead reports whether this node reads the stored crashes: until it has done so
// once, and for as long as another failure domain is unreachable, whose reports arrive
// through the table only.
func (p *quarantineComponent) shouldRead() bool {
	m := p.node.membership.machine
	partitioned := slices.ContainsFunc(m.Domains(), func(d coltsfootward.FailureDomain) bool { return !m.Reachable(d) })
	return (!p.hasRead || partitioned) && m.Rank(crashReaders) >= 0
}

// brokeOff processes that everything that the local backend server was running has
// broken off. If another failure domain may be cut off without this node knowing
// it, the request may be known there, and the stored crashes are read at once.
func (p *quarantineComponent) brokeOff() {
	m := p.node.membership.machine
	silent := func(d coltsfootward.FailureDomain) bool {
		return d != p.node.options.Self.Domain && !m.SeenWithin(p.node.now, d, silenceLimit)
	}
	now := p.node.now.Monotonic
	if p.busy || now-p.lastRead < silenceLimit || !slices.ContainsFunc(m.Domains(), silent) {
		return
	}
	p.read()
}

// read reads the stored crashes.
func (p *quarantineComponent) read() {
	p.busy = true
	p.lastRead = p.node.now.Monotonic
	p.node.table.scan(CrashPrefix, "", crashScanLimit, func(rows []coltsfootward.Row, err error) {
		p.busy = false
		if err == nil {
			p.hasRead = true
			p.rowsRead(rows)
		}
	})
}

// rowsRead merges the stored crashes and deletes rows that are out of date.
func (p *quarantineComponent) rowsRead(rows []coltsfootward.Row) {
	var deletions []coltsfootward.Write
	for _, row := range rows {
		report, ok := p.decodeRow(row)
		if !ok || report.Age >= p.node.options.Quarantine {
			deletions = append(deletions, coltsfootward.Write{Key: row.Key, Delete: true})
			continue
		}
		p.adopt(report)
	}
	if len(deletions) > 0 {
		p.transact(deletions[:min(len(deletions), maxRowWrites)], func() {})
	}
}

func (p *quarantineComponent) decodeRow(row coltsfootward.Row) (message.CrashReport, bool) {
	var report message.CrashReport
	var stored crashRow
	if _, err := fmt.Sscanf(strings.TrimPrefix(row.Key, CrashPrefix), "%x", &report.ID); err != nil || json.Unmarshal(row.Value, &stored) != nil {
		return report, false
	}
	report.Age = max(p.node.now.Wall.Sub(stored.At), 0)
	for _, text := range stored.Suspects {
		f, err := quarantine.ParseFingerprint(text)
		if err != nil {
			return report, false
		}
		report.Suspects = append(report.Suspects, uint64(f))
	}
	return report, true
}

// write stores one of this node's crashes that is evidence against a withheld
// request, or deletes the row of one that no longer is.
func (p *quarantineComponent) write() {
	now := p.node.now.Monotonic
	for _, id := range slices.Sorted(maps.Keys(p.own)) {
		key := fmt.Sprintf("%s%016x", CrashPrefix, uint64(id))
		evidence, needed := p.register.Evidence(now, id)
		if needed == p.own[id] {
			if !needed && !p.register.Has(id) {
				delete(p.own, id)
			}
			continue
		}
		change := coltsfootward.Write{Key: key, Delete: !needed}
		if needed {
			change.Value = p.encodeRow(evidence)
		}
		p.transact([]coltsfootward.Write{change}, func() { p.own[id] = needed })
		return
	}
	p.writtenDigest = p.register.Digest()
}

func (p *quarantineComponent) encodeRow(evidence message.CrashReport) []byte {
	stored := crashRow{At: p.node.now.Wall.Add(-evidence.Age)}
	for _, f := range evidence.Suspects {
		stored.Suspects = append(stored.Suspects, quarantine.Fingerprint(f).String())
	}
	value, err := json.Marshal(stored)
	if err != nil {
		return nil // a struct of texts and a time is always encoded
	}
	return value
}

func (p *quarantineComponent) transact(writes []coltsfootward.Write, done func()) {
	p.busy = true
	p.node.table.transact(coltsfootward.Transaction{Writes: writes}, func(err error) {
		p.busy = false
		if err != nil {
			p.nextWrite = p.node.now.Monotonic + p.node.jitter(crashRetryInterval)
			return
		}
		done()
	})
}
