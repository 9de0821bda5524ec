package node

import (
	"time"

	"coltsfootward"
	admissioncontrol "coltsfootward/core/admission"
	"coltsfootward/core/record"
)

const (
	// coldPublishThreshold is by how much the end of the cold period must
	// change before the change is published to other nodes.
	coldPublishThreshold = 500 * time.Millisecond
	// restartFailures is the number of consecutive requests that must break off
	// before the backend server is assumed to have restarted: a crash breaks
	// off all of its requests in flight.
	restartFailures = 4
	// coldRetryDelay is the mean of a random delay that is added to the end of
	// the cold period to give the Retry-After of refused callers, so that they
	// do not all return at once.
	coldRetryDelay = 500 * time.Millisecond
	// checkInterval is the time after a health check during which broken-off
	// requests do not trigger another one.
	checkInterval = time.Second
)

// coldTracker tracks whether the local backend server is cold. It relies on
// what the server reports. If the server may have restarted or come back into
// service and has not reported its state since, it is assumed to be cold until
// a health check settles that.
//
// All its times are by Instant.Monotonic, which never runs ahead: a wall clock
// that steps forward must not end a cold period early.
type coldTracker struct {
	node *Node
	// startedAt is when the node process started.
	startedAt time.Duration
	starts    admissioncontrol.ColdStart
	// reportedUntil is the end of the cold period as reported by the server;
	// assumedUntil is the end of the period for which it is assumed to be cold
	// without a report.
	reportedUntil, assumedUntil time.Duration
	// publishedUntil is the end of the cold period that was last published to
	// other nodes.
	publishedUntil time.Duration
	// failures counts the consecutive requests that were broken off.
	failures int
	// lastCheck is when a health check was last requested.
	lastCheck time.Duration
	// admitted counts the requests that the server was sent while cold; refused
	// counts those that were refused because it was cold.
	admitted, refused int
}

// announced processes the cold time that the server reported in a heartbeat.
// The heartbeat may have been sent before the server went cold, so it does not
// end an assumed cold period.
func (p *coldTracker) announced(cold time.Duration) {
	p.reportedUntil = p.node.now.Monotonic + cold
	p.publish()
}

// checked processes the response to a health check, which is newer than the
// assumption.
func (p *coldTracker) checked(e BackendChecked) {
	p.assumedUntil = 0
	p.announced(e.Cold)
}

// assumeCold treats the server as cold until a health check has been answered.
func (p *coldTracker) assumeCold() {
	service, _ := p.node.configuration.current.Service(p.node.membership.local.Service)
	p.failures = 0
	if service.ColdRate <= 0 {
		return
	}
	p.lastCheck = p.node.now.Monotonic
	p.assumedUntil = p.lastCheck + service.ColdTime
	p.publish()
	p.node.upstream.checkBackend()
}

// dispatchEnded counts consecutive failures and assumes a restart after
// restartFailures of them.
func (p *coldTracker) dispatchEnded(kind DispatchKind) {
	switch kind {
	case DispatchAnswered, DispatchRejected:
		p.failures = 0
	case DispatchFailed:
		p.failures++
		if p.failures >= restartFailures && p.node.now.Monotonic-p.lastCheck >= checkInterval {
			p.assumeCold()
		}
	}
}

func (p *coldTracker) coldUntil() time.Duration { return max(p.reportedUntil, p.assumedUntil) }

// remaining returns how much longer the server is cold.
func (p *coldTracker) remaining() time.Duration { return max(p.coldUntil()-p.node.now.Monotonic, 0) }

// publish informs other nodes if the end of the cold period has changed by at
// least coldPublishThreshold.
func (p *coldTracker) publish() {
	now := p.node.now.Monotonic
	moved := (p.coldUntil() - p.publishedUntil).Abs()
	if moved < coldPublishThreshold || p.coldUntil() <= now && p.publishedUntil <= now {
		return
	}
	p.publishedUntil = p.coldUntil()
	p.node.membership.coldChanged()
	if p.remaining() > 0 {
		p.node.report(record.BackendCold, field("service", string(p.node.options.Service)), field("left", rounded(p.remaining())))
	}
	p.node.upstream.dispatchQueued()
}

// refresh applies the configured rate for cold servers.
func (p *coldTracker) refresh() {
	service, _ := p.node.configuration.current.Service(p.node.membership.local.Service)
	p.starts.SetRate(service.ColdRate, p.startedAt)
}

// rateLimited reports whether the server is cold and its rate of requests
// therefore limited.
func (p *coldTracker) rateLimited() bool { return p.starts.Limited() && p.remaining() > 0 }

// mayStart reports whether a request may be dispatched now.
func (p *coldTracker) mayStart() bool {
	return !p.rateLimited() || p.starts.Wait(p.node.now.Monotonic) == 0
}

// recordStart records that a request was dispatched.
func (p *coldTracker) recordStart() {
	p.starts.Started(p.node.now.Monotonic)
	if p.rateLimited() {
		p.admitted++
	}
}

// withRetryAfter sets the Retry-After of a refusal due to a cold server, and
// counts the refusal.
func (p *coldTracker) withRetryAfter(r coltsfootward.Refusal) coltsfootward.Refusal {
	p.refused++
	return r.WithRetryAfter(p.remaining() + p.node.jitter(coldRetryDelay))
}

// ColdStatus is the cold state of a node's backend server.
type ColdStatus struct {
	// Remaining is how much longer the server is cold, as far as the node knows.
	Remaining time.Duration
	// Admitted counts the requests that the server was sent while cold; Refused
	// counts those that were refused because it was cold.
	Admitted, Refused int
}

// Cold returns the cold state of the local backend server.
func (n *Node) Cold() ColdStatus {
	p := &n.upstream.cold
	return ColdStatus{Remaining: p.remaining(), Admitted: p.admitted, Refused: p.refused}
}
