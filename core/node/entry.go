package node

import (
	"fmt"
	"strings"
	"time"

	"coltsfootward"
	"coltsfootward/core/attribution"
	"coltsfootward/core/message"
	"coltsfootward/core/quarantine"
	"coltsfootward/core/tally"
)

// retryAfterJitter is the width of the range from which jitteredRetryAfter
// chooses a Retry-After at random when there is no better estimate, so that
// callers that are refused together do not return together.
const retryAfterJitter = 2 * time.Second

// Bounds for the Retry-After of a call that is shed at entry, before jitter.
// Between them it equals the time for which the node has been shedding: an
// overload that has lasted for a while is likely to last about as long again.
// The upper bound is short because a refusal at entry costs microseconds, while
// callers that are asked to stay away for longer than they are willing to wait
// give up.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 1500 * time.Millisecond
)

// entryCall is a request on its entry node, the node that received it from the
// caller.
type entryCall struct {
	id        CallID
	head      message.Call
	arrivedAt time.Duration
	// deadline is the caller's deadline, by Instant.Expiry.
	deadline time.Duration
	// timeout is how long the request may wait for a response to begin.
	timeout time.Duration
	// parent is the token of the request in service that made this child call;
	// empty for requests of callers.
	parent CallToken
	// attributedTo is the parent request of a child call without a token, and
	// attribution the outcome of the search for it; empty if none was searched.
	attributedTo coltsfootward.RequestID
	attribution  attribution.Outcome
	// attempts is the number of attempts used so far.
	attempts int
	// budget is the total number of attempts that may be used.
	budget int
	// allocation is the number of attempts allocated to the attempt in flight
	// and the child calls below it.
	allocation int
	// retryAllowed is false for retries by the caller: retries on both sides
	// would multiply.
	retryAllowed bool
	// tried holds the instances that have refused or lost the call.
	tried map[coltsfootward.InstanceID]bool
	// target is the destination of the current or latest attempt.
	target coltsfootward.InstanceID
	// sentAt is when the latest attempt was sent, by Instant.Monotonic.
	sentAt time.Duration
	// inFlight is set while an attempt is in flight.
	inFlight bool
	// mayHaveRun is set once the execution of an attempt cannot be ruled out.
	mayHaveRun bool
	// lastRefusal is the refusal that ended the latest attempt; its kind is
	// empty until an attempt has been refused.
	lastRefusal coltsfootward.Refusal
	// answered is set once a response has begun. The request is not retried
	// after that, except to resume a truncated response.
	answered bool
	// claim is set while the call holds or requests a claim on its idempotency
	// key.
	claim *entryClaim
	// body is a digest of the request's body.
	body        uint64
	fingerprint quarantine.Fingerprint
	// admission entitles the next attempt to start.
	admission admission
	// objective is the latency up to which a response has its full value; zero
	// means that none is set.
	objective time.Duration
	// rateExempt requests are not charged to any organisation's rate.
	rateExempt bool
	// charged is set once the request has been charged to its organisation's
	// rate. A routed request is charged once, however often it is attempted.
	charged bool
	// routed is set if the request was routed by host and path. For such a
	// request, budget bounds the number of backend servers that may see it, not
	// the attempts of the whole call chain.
	routed bool
	// seenBy lists the backend servers that have seen the request; sends counts
	// how often they have seen it.
	seenBy []coltsfootward.InstanceID
	sends  int
	// retryGranted is set if the refusal of the latest attempt permits another one.
	retryGranted bool
	// hops counts all attempts of the request, including those that no backend
	// server saw.
	hops int
	// refusedAtGate is set once a gate has refused the request.
	refusedAtGate bool
	// crossTo is the failure domain that the request is sent to; empty means the node's
	// own.
	crossTo coltsfootward.FailureDomain
}

// entryComponent receives requests from callers and from the local backend
// server and ends each of them with exactly one response or refusal.
type entryComponent struct {
	node  *Node
	calls map[CallID]*entryCall
	// splitStates holds the weighted round-robin state of each route with
	// several targets.
	splitStates map[coltsfootward.RouteName]*splitState
	// nextGateReport is when to check again which gates have changed.
	nextGateReport time.Duration
}

func newEntryComponent(n *Node) *entryComponent {
	return &entryComponent{
		node:        n,
		calls:       make(map[CallID]*entryCall),
		splitStates: make(map[coltsfootward.RouteName]*splitState),
	}
}

func (p *entryComponent) count() int { return len(p.calls) }

func (p *entryComponent) arrived(e RequestArrived) {
	call, refusal := p.open(e)
	if refusal != nil {
		p.node.tally.entered.Asked(tally.Class{})
		p.node.tally.entered.Refused(tally.Class{}, string(refusal.Kind))
		p.refuse(e.Call, e.Request, *refusal)
		return
	}
	p.node.tally.entered.Asked(tallyClass(call.head))
	call.fingerprint = quarantine.FingerprintOf(call.head, e.Body)
	p.calls[call.id] = call
	if r := p.node.quarantine.entryRefusal(call.fingerprint); r != nil {
		p.finish(call, *r, field("method", call.head.Method), field("path", pathWithoutQuery(call.head.Path)))
		return
	}
	if p.shedAtEntry(call) {
		return
	}
	if call.head.IdempotencyKey != "" && call.head.Unrepeatable && !call.routed {
		p.node.claims.claim(call)
		return
	}
	p.claimGranted(call)
}

// pathWithoutQuery returns a path for the log. Queries often hold personal data.
func pathWithoutQuery(path string) string {
	path, _, _ = strings.Cut(path, "?")
	return path
}

// open authenticates and validates a request and returns the call to serve.
func (p *entryComponent) open(e RequestArrived) (*entryCall, *coltsfootward.Refusal) {
	if e.Routed {
		return p.openRouted(e)
	}
	if e.Token != "" {
		return p.openChild(e)
	}
	if p.node.draining {
		return nil, refusal(coltsfootward.RefusalDraining, "this instance is leaving")
	}
	key, refused := p.node.configuration.key(e.Key)
	if refused != nil {
		return nil, refused
	}
	call, refused := p.newCall(e, key.Organisation)
	if refused != nil {
		return nil, refused
	}
	call.retryAllowed = e.Attempt <= 1
	call.head.NoRetries = !call.retryAllowed
	call.head.ShedRank = agedRank(call.head.ShedRank, e.Attempt)
	return call, nil
}

// openChild opens a child call: a call that the local backend server makes
// while it serves another request. Its attempts are taken from the parent's
// budget.
func (p *entryComponent) openChild(e RequestArrived) (*entryCall, *coltsfootward.Refusal) {
	parent, outcome := tokenParents{p.node.ledger}.parent(e)
	if outcome != attribution.OutcomeUnique {
		return nil, refusal(coltsfootward.RefusalCallToken, "the call token belongs to no request being served")
	}
	call, refused := p.newCall(e, parent.head.Organisation)
	if refused != nil {
		return nil, refused
	}
	allocated := p.node.ledger.allocate(parent, e.Service, call.budget)
	if allocated == 0 {
		r := coltsfootward.NewRefusal(coltsfootward.RefusalAttempts, "the chain has used its attempts").WithFinal()
		return nil, &r
	}
	call.budget = allocated
	call.parent = e.Token
	call.retryAllowed = !parent.head.NoRetries
	call.head.NoRetries = parent.head.NoRetries
	call.deadline = min(call.deadline, parent.deadline)
	call.head.Request = parent.head.Request
	call.inheritImportance(parent)
	return call, nil
}

func (p *entryComponent) newCall(e RequestArrived, organisation coltsfootward.OrganisationName) (*entryCall, *coltsfootward.Refusal) {
	service, ok := p.node.configuration.current.Service(e.Service)
	if !ok {
		return nil, refusal(coltsfootward.RefusalUnknownService, fmt.Sprintf("there is no service %q", e.Service))
	}
	mark := service.MarkFor(e.Method, e.Path)
	request := p.node.newRequestID()
	timeout := p.timeout(e.Timeout, service.Timeout)
	call := &entryCall{
		id:        e.Call,
		arrivedAt: p.node.now.Expiry,
		deadline:  p.node.now.Expiry + timeout,
		timeout:   timeout,
		budget:    p.node.options.Attempts,
		tried:     make(map[coltsfootward.InstanceID]bool),
		body:      e.Body,
	}
	if service.Attempts > 0 {
		call.budget = service.Attempts
	}
	call.head = message.Call{
		Request:        request,
		Organisation:   organisation,
		Service:        e.Service,
		Method:         e.Method,
		Path:           e.Path,
		Priority:       mark.Priority,
		ShedRank:       ShedRank(mark.Priority, organisation, request),
		Unrepeatable:   mark.Unrepeatable,
		IdempotencyKey: e.IdempotencyKey,
	}
	return call, nil
}

func (p *entryComponent) timeout(requested, service time.Duration) time.Duration {
	timeout := p.node.options.Timeout
	if service > 0 {
		timeout = service
	}
	if requested > 0 {
		timeout = requested
	}
	return min(timeout, p.node.options.MaximumTimeout)
}

// shedAtEntry refuses a call that the upstreams would shed, before any work is
// done for it. Under overload, each hop taken by a request that will be shed
// anyway is capacity lost to the requests that will be answered.
func (p *entryComponent) shedAtEntry(call *entryCall) bool {
	if call.routed {
		return p.refuseAtGate(call)
	}
	if !p.node.placement.sheds(call) {
		return false
	}
	retryAfter := max(p.node.placement.shedDuration(call.head.Service), minRetryAfter)
	p.finish(call, coltsfootward.NewRefusal(coltsfootward.RefusalOverloaded, "the service sheds requests of this importance").
		WithRetryAfter(p.node.jitter(min(retryAfter, maxRetryAfter))))
	return true
}

// claimGranted continues a call once no other request runs under its
// idempotency key.
func (p *entryComponent) claimGranted(call *entryCall) {
	p.startAttempt(call)
}

func refusal(kind coltsfootward.RefusalKind, detail string) *coltsfootward.Refusal {
	r := coltsfootward.NewRefusal(kind, detail)
	return &r
}

func (n *Node) newRequestID() coltsfootward.RequestID {
	return coltsfootward.RequestID(fmt.Sprintf("%016x%016x", n.source.Uint64(), n.source.Uint64()))
}

func (n *Node) jitteredRetryAfter() time.Duration {
	return retryAfterJitter/4 + time.Duration(n.source.Int64N(int64(retryAfterJitter)))
}

// jitter applies a jitter of up to a quarter less or more to d, so that callers
// that are refused together do not return together. With a wider jitter some
// callers would be asked to return after they have given up.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(n.source.Int64N(int64(max(d/2, 1))))
}
