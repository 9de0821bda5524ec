package node

import (
	"time"

	"coltsfootward"
	admissioncontrol "coltsfootward/core/admission"
	"coltsfootward/core/record"
)

const (
	// coldStep is by how much the end of a cold time must have moved to be told to
	// other nodes.
	coldStep = 500 * time.Millisecond
	// restartFailures is how many requests in a row must have been broken off for
	// the backend server to be taken for one that has just restarted: a crash breaks
	// off all that it has in hand.
	restartFailures = 4
	// coldReturnSpread is how long after the cold time the callers refused meanwhile
	// come back, on average, so that they do not come all at once.
	coldReturnSpread = 500 * time.Millisecond
	// checkInterval is how long after a health check what is broken off asks for no
	// other one.
	checkInterval = time.Second
)

// coldPart follows whether the backend server beside the node is cold. It goes by
// what the server says, and takes it for cold where it may have restarted or come
// back into service without having said so yet; a health check settles that.
//
// All its times are by Instant.Monotonic, which is never ahead: a wall clock that
// steps forward must not end a cold time early.
type coldPart struct {
	node *Node
	// began is when this run of the node began.
	began  time.Duration
	starts admissioncontrol.ColdStart
	// told is until when the server is cold by its own word, assumed until when it
	// is taken for cold without one.
	told, assumed time.Duration
	// published is the end of the cold time that other nodes were told.
	published time.Duration
	// failures counts the requests in a row that were broken off.
	failures int
	// asked is when a health check was asked for last.
	asked time.Duration
	// passed and refused count the requests that a cold server was given, and those
	// that it was spared.
	passed, refused int
}

// announced takes in the server's own word. A heartbeat that was sent before the
// server went cold says nothing against the assumption, so it stays.
func (p *coldPart) announced(cold time.Duration) {
	p.told = p.node.now.Monotonic + cold
	p.set()
}

// checked takes in the answer to a health check, which is newer than the assumption.
func (p *coldPart) checked(e BackendChecked) {
	p.assumed = 0
	p.announced(e.Cold)
}

// suspect takes the server for cold until it is checked.
func (p *coldPart) suspect() {
	service, _ := p.node.configuration.current.Service(p.node.membership.local.Service)
	p.failures = 0
	if service.ColdRate <= 0 {
		return
	}
	p.asked = p.node.now.Monotonic
	p.assumed = p.asked + service.ColdTime
	p.set()
	p.node.act(CheckBackend{})
}

// ended takes in how a dispatch ended.
func (p *coldPart) ended(kind DispatchKind) {
	switch kind {
	case DispatchAnswered, DispatchRejected:
		p.failures = 0
	case DispatchFailed:
		p.failures++
		if p.failures >= restartFailures && p.node.now.Monotonic-p.asked >= checkInterval {
			p.suspect()
		}
	}
}

func (p *coldPart) until() time.Duration { return max(p.told, p.assumed) }

// left returns how much longer the server is cold.
func (p *coldPart) left() time.Duration { return max(p.until()-p.node.now.Monotonic, 0) }

// set tells others if the end of the cold time has moved much.
func (p *coldPart) set() {
	now := p.node.now.Monotonic
	moved := (p.until() - p.published).Abs()
	if moved < coldStep || p.until() <= now && p.published <= now {
		return
	}
	p.published = p.until()
	p.node.membership.coldChanged()
	if p.left() > 0 {
		p.node.report(record.BackendCold, field("service", string(p.node.options.Service)), field("left", short(p.left())))
	}
	p.node.upstream.start()
}

// refresh takes over the rate in force, and has admission keep what waits for a cold
// server short.
func (p *coldPart) refresh() {
	service, _ := p.node.configuration.current.Service(p.node.membership.local.Service)
	p.starts.SetRate(service.ColdRate, p.began)
	if p.bounded() {
		p.node.upstream.admission.SetCold(true, p.starts.Room(p.node.now.Monotonic))
		return
	}
	p.node.upstream.admission.SetCold(false, 0)
}

// bounded reports whether the server gets few requests now.
func (p *coldPart) bounded() bool { return p.starts.Bounds() && p.left() > 0 }

// allows reports whether a request may start now.
func (p *coldPart) allows() bool { return !p.bounded() || p.starts.Wait(p.node.now.Monotonic) == 0 }

// started counts a start.
func (p *coldPart) started() {
	p.starts.Started(p.node.now.Monotonic)
	if p.bounded() {
		p.passed++
	}
}

// refusal says when a caller that a cold server is spared may come back.
func (p *coldPart) refusal(r coltsfootward.Refusal) coltsfootward.Refusal {
	p.refused++
	return r.WithRetryAfter(p.left() + p.node.spread(coldReturnSpread))
}

// ColdStatus is what a node knows of its backend server's coldness.
type ColdStatus struct {
	// Left is how much longer the server is cold, as far as the node knows.
	Left time.Duration
	// Passed counts the requests that it was given while cold, Refused those
	// refused because it was.
	Passed, Refused int
}

// Cold returns the coldness of the local backend server.
func (n *Node) Cold() ColdStatus {
	p := &n.upstream.cold
	return ColdStatus{Left: p.left(), Passed: p.passed, Refused: p.refused}
}
