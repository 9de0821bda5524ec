package node

import (
	"fmt"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/quarantine"
	"coltsfootward/core/record"
)

const (
	// maxReportedSuspects is the largest number of suspects that a node sends at
	// once to a peer that holds other reports. reconcileInterval is the time
	// between two such messages, to whichever peer. Together they bound what a
	// node sends to about 10 KB/s.
	maxReportedSuspects = 256
	reconcileInterval   = 250 * time.Millisecond
)

// quarantineComponent withholds requests that crash the backend servers that run
// them. Without it, equal requests that arrive again end one server after the
// other, at whatever node they arrive.
//
// Nodes exchange reports of crashes by gossip, so that each of them withholds the
// same requests within about a second, also after its restart. What counts against
// withheld requests is also stored in the table, for the case that all nodes
// restart and for failure domains that are cut off from each other.
type quarantineComponent struct {
	node     *Node
	register *quarantine.Register
	// reported holds the withheld requests as reported last.
	reported []quarantine.Fingerprint
	// own holds the crashes of the local backend server that are in the register,
	// and whether their rows are in the table.
	own map[quarantine.CrashID]bool
	// busy is set while an operation on the table is in progress.
	busy       bool
	nextRead   time.Duration
	lastRead   time.Duration
	nextWrite  time.Duration
	nextExpiry time.Duration
	// hasRead is set once the stored crashes have been read.
	hasRead bool
	// writtenDigest is the digest of the register for which no row is left to be
	// written.
	writtenDigest uint64
	// lastReconcile is when reports were last sent to a peer that holds others,
	// and nextPage the position of those that are sent next.
	lastReconcile time.Duration
	nextPage      int
	// acquittals holds what is to be sent to other nodes at the next tick.
	acquittals []message.CrashReport
	// trials holds when a withheld request was last tried here.
	trials map[quarantine.Fingerprint]time.Duration
}

func newQuarantineComponent(n *Node) *quarantineComponent {
	return &quarantineComponent{
		node:          n,
		register:      quarantine.NewRegister(n.options.Quarantine),
		own:           make(map[quarantine.CrashID]bool),
		nextRead:      n.now.Monotonic + crashReadDelay,
		lastRead:      n.now.Monotonic - silenceLimit,
		lastReconcile: n.now.Monotonic - reconcileInterval,
		trials:        make(map[quarantine.Fingerprint]time.Duration),
	}
}

// crashed reports a crash of the local backend server to the other nodes.
func (p *quarantineComponent) crashed(suspects []quarantine.Fingerprint) {
	report := message.CrashReport{ID: p.node.source.Uint64()}
	for _, f := range suspects {
		report.Suspects = append(report.Suspects, uint64(f))
	}
	p.own[quarantine.CrashID(report.ID)] = false
	p.adopt(report)
}

// answered processes that the local backend server has answered a request. Acquittals
// wait for the next tick, since many may follow a crash.
func (p *quarantineComponent) answered(f quarantine.Fingerprint) {
	p.acquittals = append(p.acquittals, p.register.Answered(p.node.now.Monotonic, f)...)
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
	reports, next := p.register.Page(now, p.nextPage, maxReportedSuspects)
	p.nextPage = next
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

func (p *quarantineComponent) tick() {
	now := p.node.now.Monotonic
	if now >= p.nextExpiry {
		p.nextExpiry = now + time.Second
		p.expire()
	}
	p.spread(p.acquittals)
	p.acquittals = nil
	p.synchronise()
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

// Quarantined returns the requests that this node withholds, sorted.
func (n *Node) Quarantined() []quarantine.Fingerprint { return n.quarantine.register.All() }
