package node

import (
	"slices"
	"strings"
	"time"

	"coltsfootward/core/quarantine"
	"coltsfootward/core/record"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// breakWindow is the time within which requests that break off count as
	// broken off together, as by a crash.
	breakWindow = 250 * time.Millisecond
	// crashSettleTime is the delay before a crash is reported. The end of the
	// server and the ends of its requests are observed independently of each
	// other.
	crashSettleTime = 100 * time.Millisecond
	// maxCrashDelay is the longest time between the end of the requests in service
	// and the observation that the server is gone. It is longer than a restart
	// takes.
	maxCrashDelay = 10 * time.Second
	// maxAnswered bounds the answered requests that are remembered.
	maxAnswered = 2048
	// maxLoggedSuspects limits the fingerprints in a record.
	maxLoggedSuspects = 16
)

// crashDetector determines when the local backend server has crashed and which
// requests it was running at that time. A request that breaks off is no evidence
// by itself, since servers and networks also break off single connections. A
// crash is assumed if the server is gone or has restarted right after requests
// broke off.
//
// All its times are by Instant.Monotonic.
type crashDetector struct {
	node *Node
	// broken holds the fingerprints of the requests that broke off together
	// most recently; brokenAt is when the latest of them did.
	broken   []quarantine.Fingerprint
	brokenAt time.Duration
	// lost is set from lostAt on, when the server was found to be gone, until
	// the crash is reported.
	lost   bool
	lostAt time.Duration
	// checked is set once a health check has been requested for the requests
	// in broken; lastCheck is when one was last requested.
	checked   bool
	lastCheck time.Duration
	// start identifies the server's current start, if it reports one.
	start string
	// answered holds requests that the server has answered since its start. They
	// cannot have crashed it.
	answered *simplelru.LRU[quarantine.Fingerprint, struct{}]
}

func newCrashDetector(n *Node) crashDetector {
	answered, _ := simplelru.NewLRU[quarantine.Fingerprint, struct{}](maxAnswered, nil) // fails only for a size below 1
	return crashDetector{node: n, answered: answered}
}

// dispatchEnded processes the end of a request at the server.
func (p *crashDetector) dispatchEnded(call *upstreamCall, e DispatchEnded) {
	now := p.node.now.Monotonic
	switch e.Kind {
	case DispatchAnswered, DispatchRejected:
		if e.Kind == DispatchAnswered && !e.Failed {
			p.answered.Add(call.fingerprint, struct{}{})
		}
		if !p.lost && call.dispatchedAt > p.brokenAt {
			p.broken = nil
		}
	case DispatchFailed, DispatchTruncated:
		if !p.lost && now-p.brokenAt > breakWindow {
			p.broken, p.checked = nil, false
		}
		if len(p.broken) == quarantine.MaxSuspects {
			p.broken = p.broken[1:]
		}
		p.broken = append(p.broken, call.fingerprint)
		p.brokenAt = now
		if p.node.upstream.inFlight == 0 {
			p.node.quarantine.brokeOff()
		}
	}
}

// backendLost processes that nothing listens at the server's address any more. A
// server that has announced its end is expected to be gone.
func (p *crashDetector) backendLost() {
	local := p.node.membership.local
	if p.lost || local.Service == "" {
		return
	}
	if local.Draining {
		p.broken = nil
		return
	}
	p.lost, p.lostAt = true, p.node.now.Monotonic
}

// responded processes that the server has answered a health check.
func (p *crashDetector) responded() {
	if !p.lost {
		p.broken = nil
	}
}

// announced processes the start that the server belongs to. Requests that were in
// service at an earlier start have broken off, even if their connections have
// not.
func (p *crashDetector) announced(start string) {
	if start == "" || start == p.start {
		return
	}
	if p.start != "" {
		p.backendLost()
		for _, id := range sortedCalls(p.node.upstream.calls) {
			if call := p.node.upstream.calls[id]; p.lost && call.token != "" {
				p.broken = append(p.broken, call.fingerprint)
			}
		}
	}
	p.start = start
	if !p.lost {
		p.answered.Purge()
	}
}

func (p *crashDetector) tick() {
	now := p.node.now.Monotonic
	if p.lost && now-p.lostAt >= crashSettleTime {
		p.report()
		return
	}
	if p.shouldCheck() {
		p.checked, p.lastCheck = true, now
		p.node.upstream.checkBackend()
	}
}

// shouldCheck reports whether a health check is needed to tell whether the server
// has crashed: everything that it ran has broken off, and nothing has been sent
// to it since that would show whether it still listens.
func (p *crashDetector) shouldCheck() bool {
	now := p.node.now.Monotonic
	return len(p.broken) > 0 && !p.lost && !p.checked && p.node.upstream.inFlight == 0 &&
		now-p.brokenAt >= crashSettleTime && now-p.lastCheck >= checkInterval
}

// report reports the crash, if any request was in service.
func (p *crashDetector) report() {
	suspects := p.suspects()
	p.lost, p.broken = false, nil
	p.answered.Purge()
	if len(suspects) == 0 || p.lostAt-p.brokenAt > maxCrashDelay {
		return
	}
	p.node.report(record.BackendCrashed, field("service", string(p.node.options.Service)),
		field("suspects", number(len(suspects))), field("fingerprints", joinFingerprints(suspects)))
	p.node.quarantine.crashed(suspects)
}

// suspects returns the requests in service at the crash that may have caused it.
func (p *crashDetector) suspects() []quarantine.Fingerprint {
	var suspects []quarantine.Fingerprint
	for _, f := range p.broken {
		if !p.answered.Contains(f) {
			suspects = append(suspects, f)
		}
	}
	slices.Sort(suspects)
	suspects = slices.Compact(suspects)
	return suspects[:min(len(suspects), quarantine.MaxSuspects)]
}

// joinFingerprints formats the first fingerprints for a record.
func joinFingerprints(fingerprints []quarantine.Fingerprint) string {
	var texts []string
	for _, f := range fingerprints[:min(len(fingerprints), maxLoggedSuspects)] {
		texts = append(texts, f.String())
	}
	return strings.Join(texts, " ")
}
