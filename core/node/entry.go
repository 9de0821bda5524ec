package node

import (
	"fmt"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
)

// retryAfterSpread is the longest time that a refused caller is asked to stay
// away without a better estimate. Answers are spread over it, so that callers
// refused together do not return together.
const retryAfterSpread = 2 * time.Second

// The bounds of what a caller shed at entry is told, before spreading. In
// between it is as long as the node has been shedding: an overload that has
// lasted for a while is likely to last about as long again. The upper bound is
// short because a refusal at entry costs microseconds, and callers that are
// asked to stay away longer than they wait are lost.
const (
	shortestRetryAfter = time.Second
	longestRetryAfter  = 1500 * time.Millisecond
)

// entryCall is a request at the node that its caller reached.
type entryCall struct {
	id      CallID
	head    message.Call
	arrived time.Duration
	// deadline is when the caller's time ends, by Instant.Expiry.
	deadline time.Duration
	// timeout is how long the request may wait for an answer to begin.
	timeout time.Duration
	// parent is the token of the request being served that made this call.
	parent CallToken
	// attempts is how many attempts have been used so far.
	attempts int
	// budget is how many attempts may be used in all.
	budget int
	// carried is how many attempts the one under way may use.
	carried int
	// mayRetry is cleared for the repeats of a caller, which retries already.
	mayRetry bool
	// tried holds the instances that have refused or lost the call.
	tried map[coltsfootward.InstanceID]bool
	// target is where the attempt under way went.
	target coltsfootward.InstanceID
	// sent is when it went there, by Instant.Monotonic.
	sent time.Duration
	// running is set while an attempt is under way.
	running bool
	// doubtful is set once an attempt may have run.
	doubtful bool
	// last is the refusal that the latest attempt ended with; its kind is empty
	// before that.
	last coltsfootward.Refusal
	// answered is set once an answer has begun; from then on nothing is retried.
	answered bool
	// claim is set while the call holds or asks for a claim on its key.
	claim *entryClaim
	// body is a digest of the request's body.
	body uint64
	// admission is what entitles the next attempt to start.
	admission admission
	// objective is the latency up to which an answer has its full worth; zero
	// means that there is none.
	objective time.Duration
	// unmetered requests are on nobody's rate.
	unmetered bool
	// metered is set once the request was charged to its organisation's rate; a
	// routed request is charged once, however often it is attempted.
	metered bool
	// ownAttempts is set if budget bounds the backend servers that this request
	// is sent to, and not the attempts of the whole chain.
	ownAttempts bool
	// seenBy lists the backend servers that have seen the request, and sends is
	// how often they have.
	seenBy []coltsfootward.InstanceID
	sends  int
	// hops counts the attempts of the request, those that no backend server saw
	// included.
	hops int
}

// entryPart takes requests from callers and from the local backend server and
// sees each of them to one final answer.
type entryPart struct {
	node  *Node
	calls map[CallID]*entryCall
	// splits holds the turn of each route with several targets.
	splits map[coltsfootward.RouteName]*splitState
	// nextMoved is when to look again which gates have moved.
	nextMoved time.Duration
}

func newEntryPart(n *Node) *entryPart {
	return &entryPart{
		node:   n,
		calls:  make(map[CallID]*entryCall),
		splits: make(map[coltsfootward.RouteName]*splitState),
	}
}

func (p *entryPart) count() int { return len(p.calls) }

func (p *entryPart) arrived(e RequestArrived) {
	call, refusal := p.open(e)
	if refusal != nil {
		p.refuse(e.Call, e.Request, *refusal)
		return
	}
	p.calls[call.id] = call
	if p.shedAtEntry(call) {
		return
	}
	if call.head.IdempotencyKey != "" && call.head.Unrepeatable && !call.ownAttempts {
		p.node.claims.claim(call)
		return
	}
	p.claimed(call)
}

// open checks who calls and what, and returns the call to serve.
func (p *entryPart) open(e RequestArrived) (*entryCall, *coltsfootward.Refusal) {
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
	call, refused := p.build(e, key.Organisation)
	if refused != nil {
		return nil, refused
	}
	call.mayRetry = e.Attempt <= 1
	call.head.NoRetries = !call.mayRetry
	call.head.ShedRank = agedRank(call.head.ShedRank, e.Attempt)
	return call, nil
}

// openChild opens a call that the local backend server makes while it serves
// another. Its attempts come out of the parent's.
func (p *entryPart) openChild(e RequestArrived) (*entryCall, *coltsfootward.Refusal) {
	parent, ok := p.node.ledger.parent(e.Token)
	if !ok {
		return nil, refusal(coltsfootward.RefusalCallToken, "the call token belongs to no request being served")
	}
	call, refused := p.build(e, parent.head.Organisation)
	if refused != nil {
		return nil, refused
	}
	slice := p.node.ledger.slice(parent, e.Service, call.budget)
	if slice == 0 {
		r := coltsfootward.NewRefusal(coltsfootward.RefusalAttempts, "the chain has used its attempts").WithFinal()
		return nil, &r
	}
	call.budget = slice
	call.parent = e.Token
	call.mayRetry = !parent.head.NoRetries
	call.head.NoRetries = parent.head.NoRetries
	call.deadline = min(call.deadline, parent.deadline)
	call.head.Request = parent.head.Request
	call.head.ShedRank = parent.head.ShedRank
	call.head.Priority = parent.head.Priority
	call.head.Depth = parent.head.Depth + 1
	return call, nil
}

func (p *entryPart) build(e RequestArrived, organisation coltsfootward.OrganisationName) (*entryCall, *coltsfootward.Refusal) {
	service, ok := p.node.configuration.current.Service(e.Service)
	if !ok {
		return nil, refusal(coltsfootward.RefusalUnknownService, fmt.Sprintf("there is no service %q", e.Service))
	}
	mark := service.MarkFor(e.Method, e.Path)
	request := p.node.newRequestID()
	timeout := p.timeout(e.Timeout, service.Timeout)
	call := &entryCall{
		id:       e.Call,
		arrived:  p.node.now.Expiry,
		deadline: p.node.now.Expiry + timeout,
		timeout:  timeout,
		budget:   p.node.options.Attempts,
		tried:    make(map[coltsfootward.InstanceID]bool),
		body:     e.Body,
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

func (p *entryPart) timeout(asked, service time.Duration) time.Duration {
	timeout := p.node.options.Timeout
	if service > 0 {
		timeout = service
	}
	if asked > 0 {
		timeout = asked
	}
	return min(timeout, p.node.options.MaximumTimeout)
}

// shedAtEntry refuses a call that the upstreams would shed, before any work is
// done for it. Under overload each hop that a doomed request takes is capacity
// lost to the requests that will be answered.
func (p *entryPart) shedAtEntry(call *entryCall) bool {
	if call.ownAttempts {
		return p.refusedAtGate(call)
	}
	if !p.node.placement.shed(call) {
		return false
	}
	retryAfter := max(p.node.placement.shedFor(call.head.Service), shortestRetryAfter)
	p.finish(call, coltsfootward.NewRefusal(coltsfootward.RefusalOverloaded, "the service sheds requests of this importance").
		WithRetryAfter(p.node.spread(min(retryAfter, longestRetryAfter))))
	return true
}

// claimed goes on once nothing else runs under the call's idempotency key.
func (p *entryPart) claimed(call *entryCall) {
	p.attempt(call)
}

func refusal(kind coltsfootward.RefusalKind, detail string) *coltsfootward.Refusal {
	r := coltsfootward.NewRefusal(kind, detail)
	return &r
}

func (n *Node) newRequestID() coltsfootward.RequestID {
	return coltsfootward.RequestID(fmt.Sprintf("%016x%016x", n.source.Uint64(), n.source.Uint64()))
}

func (n *Node) spreadRetryAfter() time.Duration {
	return retryAfterSpread/4 + time.Duration(n.source.Int64N(int64(retryAfterSpread)))
}

// spread returns a time around d, up to a quarter less or more, so that
// callers refused together do not return together. A wider spread would ask
// some back after they have given up.
func (n *Node) spread(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(n.source.Int64N(int64(max(d/2, 1))))
}
