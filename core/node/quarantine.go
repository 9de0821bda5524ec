package node

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/quarantine"
	"coltsfootward/core/record"

	"github.com/cespare/xxhash/v2"
)

// CrashPrefix is the key prefix under which the table stores crashes that are
// evidence against withheld requests.
const CrashPrefix = "crash/"

const (
	// maxReportedSuspects is the largest number of suspects that a node sends to
	// a peer at once.
	maxReportedSuspects = 1024
	// reconcileInterval is the time between two exchanges of reports with peers
	// that hold others.
	reconcileInterval = time.Second
	// crashReadDelay is the time after its start at which a node reads the stored
	// crashes. By then most nodes have found that their peers read them.
	crashReadDelay = 750 * time.Millisecond
	// crashRetryInterval is the time after which a failed read or write of the
	// table is repeated.
	crashRetryInterval = time.Second
	// crashReaders is the number of nodes of a failure domain that read the
	// stored crashes after their start. The other nodes receive them from peers.
	crashReaders = 1
	// partitionReadInterval is the time between two reads of the stored crashes
	// while another failure domain is unreachable, so that reports from there
	// arrive through the table.
	partitionReadInterval = 2 * time.Second
	// crashScanLimit is the maximum number of rows in one scan.
	crashScanLimit = 500
	// trialDelay is how long after its last crash a request that was suspected
	// together with others is tried again, and the time between two trials.
	trialDelay = 10 * time.Second
)

// quarantineComponent withholds requests that crash the backend servers that run
// them. Without it, equal requests that arrive again end one server after the
// other, at whatever node they arrive.
//
// Nodes exchange reports of crashes by gossip, so that each of them withholds the
// same requests within about a second, also after a restart or a partition. What
// counts against withheld requests is also stored in the table, for the case that
// all nodes restart and for failure domains that are cut off from each other.
type quarantineComponent struct {
	node     *Node
	register *quarantine.Register
	// reported holds the withheld requests as reported last.
	reported []quarantine.Fingerprint
	// own holds the crashes of the local backend server that are in the register,
	// and whether their rows are in the table.
	own map[quarantine.CrashID]bool
	// readAt is when the stored crashes are to be read; negative if they need not
	// be read. lastRead is when they were last read. mustRead is set if this node
	// has to read them even if it is not among the readers. busy is set while an operation on the table is in progress.
	readAt     time.Duration
	lastRead   time.Duration
	mustRead   bool
	busy       bool
	nextWrite  time.Duration
	nextExpiry time.Duration
	// writtenDigest is the digest of the register for which no row is left to be
	// written.
	writtenDigest uint64
	// lastReconcile is when reports were last sent to a peer that holds others.
	lastReconcile time.Duration
	// trials holds when a withheld request was last tried here.
	trials map[quarantine.Fingerprint]time.Duration
}

func newQuarantineComponent(n *Node) *quarantineComponent {
	return &quarantineComponent{
		node:          n,
		register:      quarantine.NewRegister(n.options.Quarantine),
		own:           make(map[quarantine.CrashID]bool),
		readAt:        n.now.Monotonic + crashReadDelay,
		lastReconcile: n.now.Monotonic - reconcileInterval,
		trials:        make(map[quarantine.Fingerprint]time.Duration),
	}
}

// crashed reports a crash of the local backend server to the other nodes. The
// stored crashes are read again: a failure domain that is cut off from the others
// may not have heard of them.
func (p *quarantineComponent) crashed(suspects []quarantine.Fingerprint) {
	report := message.CrashReport{ID: p.node.source.Uint64()}
	for _, f := range suspects {
		report.Suspects = append(report.Suspects, uint64(f))
	}
	p.own[quarantine.CrashID(report.ID)] = false
	p.adopt(report)
	p.readAt, p.mustRead = p.node.now.Monotonic, true
}

// answered processes that the local backend server has answered a request.
func (p *quarantineComponent) answered(f quarantine.Fingerprint) {
	p.spread(p.register.Answered(p.node.now.Monotonic, f))
}

// adopt merges reports and sends what is new to other nodes.
func (p *quarantineComponent) adopt(reports ...message.CrashReport) {
	p.spread(p.register.Add(p.node.now.Monotonic, reports...))
}

func (p *quarantineComponent) spread(reports []message.CrashReport) {
	if len(reports) == 0 {
		return
	}
	p.reportChanges()
	gossip := &message.Gossip{Digest: p.node.configuration.ownDigest(), Crashes: reports}
	for _, to := range p.node.configuration.pushTargets() {
		p.node.act(Send{To: to, Message: gossip})
	}
}

// gossipReceived merges a peer's reports.
func (p *quarantineComponent) gossipReceived(e MessageArrived, m *message.Gossip) {
	reports := slices.Clone(m.Crashes)
	for i := range reports {
		reports[i].Age += e.Age
	}
	p.adopt(reports...)
}

// reconcile sends this node's reports to a peer that holds others.
func (p *quarantineComponent) reconcile(peer coltsfootward.InstanceID, digest uint64) {
	now := p.node.now.Monotonic
	if digest == p.register.Digest() || now-p.lastReconcile < reconcileInterval {
		return
	}
	reports := p.register.Reports(now, maxReportedSuspects)
	if len(reports) == 0 {
		return
	}
	p.lastReconcile = now
	p.node.configuration.send(peer, &message.Gossip{Digest: p.node.configuration.ownDigest(), Crashes: reports})
}

// refusal returns the refusal of a withheld request, or nil if the request is not
// withheld.
func (p *quarantineComponent) refusal(f quarantine.Fingerprint) *coltsfootward.Refusal {
	verdict, ok := p.register.Withheld(p.node.now.Monotonic, f)
	if !ok {
		return nil
	}
	r := coltsfootward.NewRefusal(coltsfootward.RefusalQuarantined,
		fmt.Sprintf("%d backend servers have crashed while they ran a request equal to this one (%s)", verdict.Crashes(), f)).
		WithRetryAfter(verdict.Until() - p.node.now.Monotonic).WithFinal()
	return &r
}

// entryRefusal is like refusal for a request at its entry node. Requests that may
// be tried are passed on, because the upstream's node decides on trials.
func (p *quarantineComponent) entryRefusal(f quarantine.Fingerprint) *coltsfootward.Refusal {
	verdict, ok := p.register.Withheld(p.node.now.Monotonic, f)
	if ok && p.trialDue(f, verdict) {
		return nil
	}
	return p.refusal(f)
}

// trialDue reports whether a request may be tried: it is withheld only because it
// was in service together with another one whenever servers crashed.
func (p *quarantineComponent) trialDue(f quarantine.Fingerprint, verdict quarantine.Verdict) bool {
	last := max(verdict.LastCrash(), p.trials[f])
	return verdict.Shared && p.node.now.Monotonic-last >= trialDelay
}

// startTrial reports whether a withheld request is dispatched as a trial. One node
// among those whose servers can run it makes the trials, so that a request that
// does crash servers crashes one more. The crash then counts against this request
// alone, and the others that were suspected with it are released.
func (p *quarantineComponent) startTrial(call *upstreamCall) bool {
	f := call.fingerprint
	verdict, ok := p.register.Withheld(p.node.now.Monotonic, f)
	if !ok || !p.trialDue(f, verdict) || p.trialNode(f, call.head.Service) != p.node.options.Self.ID {
		return false
	}
	p.trials[f] = p.node.now.Monotonic
	p.node.report(record.RequestTried, field("fingerprint", f.String()), field("request", string(call.head.Request)))
	return true
}

// trialNode returns the node that makes the trials of a request.
func (p *quarantineComponent) trialNode(f quarantine.Fingerprint, service coltsfootward.ServiceName) coltsfootward.InstanceID {
	rank := func(id coltsfootward.InstanceID) uint64 { return xxhash.Sum64String(f.String() + string(id)) }
	best := p.node.options.Self.ID
	for id, s := range p.node.placement.serviceOf {
		if s == service && cmp.Or(cmp.Compare(rank(id), rank(best)), strings.Compare(string(id), string(best))) < 0 {
			best = id
		}
	}
	return best
}

func (p *quarantineComponent) tick() {
	now := p.node.now.Monotonic
	if now >= p.nextExpiry {
		p.nextExpiry = now + time.Second
		p.expire()
	}
	if p.busy {
		return
	}
	if p.readAt < 0 && now-p.lastRead >= partitionReadInterval && p.isPartitioned() {
		p.readAt = now
	}
	if p.readAt >= 0 && now >= p.readAt {
		p.read()
		return
	}
	if now >= p.nextWrite && p.writtenDigest != p.register.Digest() {
		p.write()
	}
}

func (p *quarantineComponent) expire() {
	now := p.node.now.Monotonic
	p.register.Expire(now)
	p.reportChanges()
	for f, last := range p.trials {
		if now-last >= trialDelay {
			delete(p.trials, f)
		}
	}
}

// reportChanges reports the requests that are withheld or released since the last
// call.
func (p *quarantineComponent) reportChanges() {
	current := p.register.All()
	for _, f := range current {
		if slices.Contains(p.reported, f) {
			continue
		}
		verdict, _ := p.register.Withheld(p.node.now.Monotonic, f)
		p.node.report(record.RequestQuarantined, field("fingerprint", f.String()), field("crashes", number(verdict.Crashes())),
			field("for", rounded(verdict.Until()-p.node.now.Monotonic)), field("shared", fmt.Sprint(verdict.Shared)))
	}
	for _, f := range p.reported {
		if !slices.Contains(current, f) {
			p.node.report(record.RequestReleased, field("fingerprint", f.String()))
		}
	}
	p.reported = current
}

// crashRow is a stored crash.
type crashRow struct {
	At       time.Time `json:"at"`
	Suspects []string  `json:"suspects"`
}

// isPartitioned reports whether another failure domain is unreachable.
func (p *quarantineComponent) isPartitioned() bool {
	m := p.node.membership.machine
	return slices.ContainsFunc(m.Domains(), func(d coltsfootward.FailureDomain) bool { return !m.Reachable(d) })
}

// read reads the stored crashes. Of the nodes that start, only a few of each
// failure domain do so.
func (p *quarantineComponent) read() {
	p.readAt, p.lastRead = -1, p.node.now.Monotonic
	if !p.mustRead && p.node.membership.machine.Rank(crashReaders) < 0 {
		return
	}
	p.busy = true
	p.node.table.scan(CrashPrefix, "", crashScanLimit, func(rows []coltsfootward.Row, err error) {
		p.busy = false
		if err != nil {
			p.readAt = p.node.now.Monotonic + p.node.jitter(crashRetryInterval)
			return
		}
		p.mustRead = false
		p.rowsRead(rows)
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

// maxRowWrites is the largest number of rows in one transaction.
const maxRowWrites = 100

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

// Quarantined returns the requests that this node withholds, sorted.
func (n *Node) Quarantined() []quarantine.Fingerprint { return n.quarantine.register.All() }
