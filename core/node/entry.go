package node

import (
	"fmt"
	"time"

	"coltsfootward"
	"coltsfootward/core/claim"
	"coltsfootward/core/message"
	"coltsfootward/core/record"

	"github.com/cespare/xxhash/v2"
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
}

// entryPart takes requests from callers and from the local backend server and
// sees each of them to one final answer.
type entryPart struct {
	node  *Node
	calls map[CallID]*entryCall
}

func newEntryPart(n *Node) *entryPart {
	return &entryPart{node: n, calls: make(map[CallID]*entryCall)}
}

func (p *entryPart) count() int { return len(p.calls) }

func (p *entryPart) arrived(e RequestArrived) {
	call, refusal := p.open(e)
	if refusal != nil {
		p.refuseUnopened(e.Call, *refusal)
		return
	}
	p.calls[call.id] = call
	if p.shedAtEntry(call) {
		return
	}
	if call.head.IdempotencyKey != "" && call.head.Unrepeatable {
		p.node.claims.claim(call)
		return
	}
	p.claimed(call)
}

// open checks who calls and what, and returns the call to serve.
func (p *entryPart) open(e RequestArrived) (*entryCall, *coltsfootward.Refusal) {
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

// attempt asks for what the next attempt needs. Child calls were paid for by
// the caller's request at the top of the chain.
func (p *entryPart) attempt(call *entryCall) {
	if call.parent != "" {
		p.admitted(call, admission{})
		return
	}
	p.node.rate.acquire(call)
}

// admitted starts an attempt that the organisation's rate allows.
func (p *entryPart) admitted(call *entryCall, granted admission) {
	call.admission = granted
	now := p.node.now.Expiry
	if now >= call.deadline {
		p.giveUp(call, coltsfootward.NewRefusal(coltsfootward.RefusalTimeout, "the caller's time ran out before the request started"))
		return
	}
	if call.claim != nil && now >= call.claim.expires {
		p.giveUp(call, coltsfootward.NewRefusal(coltsfootward.RefusalClaim, "the claim on the Idempotency-Key ended before the request started").
			WithRetryAfter(p.node.spreadRetryAfter()))
		return
	}
	target, ok := p.node.placement.choose(call)
	if !ok {
		p.giveUp(call, p.noTarget(call))
		return
	}
	call.target = target.ID
	call.running = true
	p.node.placement.sent(call)
	head := call.head
	call.carried = p.node.ledger.carry(call)
	head.Budget = call.carried
	head.Timeout = call.deadline - now
	head.StartWithin = granted.remaining(p.node.now)
	if call.claim != nil {
		head.StartWithin = shorter(head.StartWithin, call.claim.expires-now)
	}
	p.node.act(Forward{Call: call.id, To: target, Head: head})
}

// noTarget returns why there is nowhere to send the call. If servers that were
// tried have refused it, that is the reason: "no backend server takes work"
// would send operators looking for servers that run.
func (p *entryPart) noTarget(call *entryCall) coltsfootward.Refusal {
	if call.last.Kind != "" {
		return call.last
	}
	return coltsfootward.NewRefusal(coltsfootward.RefusalNoUpstream, "no backend server of the service takes work").
		WithRetryAfter(p.node.spreadRetryAfter())
}

// overRate ends a call that the organisation's rate does not allow.
func (p *entryPart) overRate(call *entryCall, retryAfter time.Duration) {
	p.giveUp(call, coltsfootward.NewRefusal(coltsfootward.RefusalOverRate, "the organisation is above its rate and burst").
		WithRetryAfter(retryAfter))
}

func (p *entryPart) attemptEnded(e AttemptEnded) {
	call, ok := p.calls[e.Call]
	if !ok || !call.running {
		return
	}
	call.running = false
	p.node.placement.observe(call, e)
	if e.Kind == AttemptAnswered {
		call.answered = true
		return
	}
	call.attempts += attemptsUsed(call, e)
	p.node.ledger.forecast.Missed(call.head.Service)
	p.settleAdmission(call, e)
	refused := refusalOf(e)
	call.doubtful = call.doubtful || refused.Execution != coltsfootward.ExecutionNotRun
	p.node.report(record.AttemptFailed, field("request", string(call.head.Request)),
		field("instance", string(call.target)), field("kind", string(refused.Kind)))
	call.last = refused
	call.tried[call.target] = true
	p.node.ledger.topUp(call)
	if p.mayRetry(call, refused) {
		p.attempt(call)
		return
	}
	p.finish(call, refused)
}

// settleAdmission gives back what an attempt did not spend. An attempt that
// may have started has spent its admission, whatever became of it.
func (p *entryPart) settleAdmission(call *entryCall, e AttemptEnded) {
	spent := e.Kind == AttemptLost || (e.Kind == AttemptRefused && e.Refusal.Execution != coltsfootward.ExecutionNotRun)
	if !spent {
		p.node.rate.release(call.head.Organisation, call.admission)
	}
	call.admission = admission{}
}

// attemptsUsed returns what an ended attempt cost. In doubt all that it carried
// counts as used: the chain below may still be spending it. A refusal whose end
// was lost is such a doubt, unless nothing ran.
func attemptsUsed(call *entryCall, e AttemptEnded) int {
	switch {
	case e.Kind == AttemptUnsent:
		return 0
	case e.Kind == AttemptRefused && e.Refusal.Execution == coltsfootward.ExecutionNotRun:
		return 0
	case e.Kind == AttemptRefused && e.Attempts >= 0:
		return min(e.Attempts, call.carried)
	default:
		return call.carried
	}
}

func refusalOf(e AttemptEnded) coltsfootward.Refusal {
	switch e.Kind {
	case AttemptUnsent:
		return coltsfootward.NewRefusal(coltsfootward.RefusalConnectionLost, "the upstream's node could not be reached")
	case AttemptLost:
		return coltsfootward.NewRefusal(coltsfootward.RefusalConnectionLost, "the connection broke while the request was under way").
			WithExecution(coltsfootward.ExecutionUnknown)
	default:
		return e.Refusal
	}
}

// mayRetry decides whether another attempt follows. A request whose execution
// is unknown is attempted again only if it is repeatable.
func (p *entryPart) mayRetry(call *entryCall, refused coltsfootward.Refusal) bool {
	if refused.Final || !call.mayRetry || !p.node.ledger.enough(call) {
		return false
	}
	if p.node.now.Expiry >= call.deadline {
		return false
	}
	return repeatable(call, refused) && p.node.placement.mayRetry(call.head.Service)
}

func repeatable(call *entryCall, refused coltsfootward.Refusal) bool {
	if refused.Execution == coltsfootward.ExecutionNotRun {
		return retryableKind(refused.Kind)
	}
	return refused.Execution == coltsfootward.ExecutionUnknown && !call.head.Unrepeatable &&
		refused.Kind != coltsfootward.RefusalTimeout
}

func retryableKind(kind coltsfootward.RefusalKind) bool {
	switch kind {
	case coltsfootward.RefusalOverloaded, coltsfootward.RefusalDraining, coltsfootward.RefusalStale,
		coltsfootward.RefusalConnectionLost, coltsfootward.RefusalNoUpstream:
		return true
	default:
		return false
	}
}

// giveUp ends a call for which no attempt is under way. What earlier attempts
// may have done decides what the caller is told about execution.
//
// An admission that no attempt has spent goes back: kept, it would charge the
// organisation for requests that never ran and refuse later ones inside its rate.
func (p *entryPart) giveUp(call *entryCall, r coltsfootward.Refusal) {
	if !call.running {
		p.node.rate.release(call.head.Organisation, call.admission)
		call.admission = admission{}
	}
	p.finish(call, r)
}

// finish answers the call with a refusal and forgets it. Once an attempt may
// have run, a later one that certainly did not makes nothing undone.
func (p *entryPart) finish(call *entryCall, r coltsfootward.Refusal) {
	delete(p.calls, call.id)
	if call.doubtful && r.Execution == coltsfootward.ExecutionNotRun {
		r = r.WithExecution(coltsfootward.ExecutionUnknown)
	}
	if call.claim != nil {
		p.node.claims.ended(call, r.Execution, nil)
	}
	if call.parent != "" {
		p.node.ledger.giveBack(call.parent, call.budget-call.attempts)
		p.node.upstream.childRefused(call.parent, r)
	}
	p.refuse(call.id, call.head.Request, r)
}

// replay answers the call with the first request's answer and forgets it.
func (p *entryPart) replay(call *entryCall, answer *claim.Answer) {
	delete(p.calls, call.id)
	if call.parent != "" {
		p.node.ledger.giveBack(call.parent, call.budget)
	}
	p.node.act(Replay{Call: call.id, Answer: *answer})
}

func (p *entryPart) refuseUnopened(id CallID, r coltsfootward.Refusal) {
	p.refuse(id, "", r)
}

func (p *entryPart) refuse(id CallID, request coltsfootward.RequestID, r coltsfootward.Refusal) {
	p.node.report(record.RequestRefused, field("request", string(request)),
		field("kind", string(r.Kind)), field("execution", string(r.Execution)))
	p.node.act(Refuse{Call: id, Refusal: r})
}

// broken fetches the rest of an answer that broke off by another attempt, if
// one is left. It waits for its beginning as long as the first: a download may
// have outlasted the request's own time by far. The upstream is not marked as
// tried, since it may have been only the connection that broke.
func (p *entryPart) broken(e AnswerBroken) {
	call, ok := p.calls[e.Call]
	if !ok || !call.answered {
		return
	}
	call.answered = false
	call.running = false
	call.doubtful = true
	call.attempts += call.carried
	if call.parent == "" {
		call.deadline = max(call.deadline, p.node.now.Expiry+call.timeout)
	}
	p.node.ledger.topUp(call)
	r := coltsfootward.NewRefusal(coltsfootward.RefusalConnectionLost, "the answer broke off").WithExecution(coltsfootward.ExecutionUnknown)
	if p.mayRetry(call, r) {
		p.attempt(call)
		return
	}
	p.finish(call, r)
}

func (p *entryPart) done(e CallDone) {
	call, ok := p.calls[e.Call]
	if !ok {
		return
	}
	delete(p.calls, e.Call)
	used := call.carried
	if e.Attempts >= 0 {
		used = min(e.Attempts, used)
	}
	call.attempts += used
	if e.Whole && e.Attempts >= 0 {
		p.node.ledger.answered(call, e.Needed)
	}
	if call.parent != "" {
		p.node.ledger.giveBack(call.parent, call.budget-call.attempts)
	}
	if call.claim != nil {
		p.node.claims.ended(call, coltsfootward.ExecutionRan, e.Answer)
	}
}

// callerLeft cancels everything below a call that nobody waits for. Work for
// callers that have gone is what keeps an overloaded service from recovering.
func (p *entryPart) callerLeft(id CallID) {
	call, ok := p.calls[id]
	if !ok {
		return
	}
	delete(p.calls, id)
	execution := coltsfootward.ExecutionNotRun
	if call.running || call.answered || call.doubtful {
		execution = coltsfootward.ExecutionUnknown
	}
	if call.running || call.answered {
		call.attempts += call.carried
	}
	if call.running {
		p.node.placement.left(call, false)
	}
	if call.running || call.answered {
		p.node.act(CancelAttempt{Call: id})
	} else {
		p.node.rate.release(call.head.Organisation, call.admission)
	}
	if call.claim != nil {
		p.node.claims.ended(call, execution, nil)
	}
	if call.parent != "" {
		p.node.ledger.giveBack(call.parent, call.budget-call.attempts)
	}
}

// tick ends calls whose time has passed while they waited.
func (p *entryPart) tick() {
	for _, id := range sortedCalls(p.calls) {
		call := p.calls[id]
		if call.answered || p.node.now.Expiry < call.deadline {
			continue
		}
		p.expire(call)
	}
}

func (p *entryPart) expire(call *entryCall) {
	r := coltsfootward.NewRefusal(coltsfootward.RefusalTimeout, "the caller's time ran out")
	if call.running {
		p.node.placement.left(call, true)
		p.node.act(CancelAttempt{Call: call.id})
		r = r.WithExecution(coltsfootward.ExecutionUnknown)
		call.attempts += call.carried
	}
	p.giveUp(call, r)
}

// shorter returns the shorter of two times of which zero means no limit.
func shorter(limit, other time.Duration) time.Duration {
	if limit == 0 {
		return other
	}
	return min(limit, other)
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

// shedHashBits is how many bits of a shed rank come from the request's hash.
const shedHashBits = 28

// ShedRank orders requests for shedding: priority first, then a hash of
// organisation and request. All calls of a request carry the same rank, so
// every depth of the chain sheds the same requests and work already done for
// the others is not lost.
func ShedRank(priority coltsfootward.Priority, organisation coltsfootward.OrganisationName, request coltsfootward.RequestID) uint32 {
	hash := xxhash.Sum64String(string(organisation) + "\x00" + string(request))
	return uint32(priority.Rank())<<shedHashBits | uint32(hash>>(64-shedHashBits))
}

// agingLimit bounds how many repeats move a request up.
const agingLimit = 3

// agedRank moves a caller's repeat up within its priority: each repeat halves
// its distance to the front. Under a long overload chance alone would refuse
// some requests every time, and their callers give up after a few tries while
// others succeed at once. A caller that overstates its repeats gets ahead of
// its own organisation's requests only, since turns between organisations do
// not depend on the rank.
func agedRank(rank uint32, attempt int) uint32 {
	class := rank &^ (1<<shedHashBits - 1)
	hash := rank & (1<<shedHashBits - 1)
	return class | hash>>min(max(attempt-1, 0), agingLimit)
}
