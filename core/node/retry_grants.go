package node

import (
	"strconv"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/pressure"
	"coltsfootward/core/record"
	"coltsfootward/core/retry"
)

// grantsComponent grants retries of the calls that the local backend server rejects. It
// does nothing unless Options.RetryGrants is set.
type grantsComponent struct {
	node    *Node
	grants  retry.Grants
	started time.Duration
	// servers is the largest number of servers of the service that the node has known. A
	// node that loses contact with the others must not take their parts of the capacity.
	servers int
	// short is set while the service is reported as short of retries.
	short bool
}

// Excess values at which a shortage of retries is reported as begun and ended.
const (
	shortageBegins = 0.05
	shortageEnds   = 0.01
)

func newGrantsComponent(n *Node) *grantsComponent {
	n.callees.FailuresConfirm = n.options.Routed && n.options.RetryGrants
	return &grantsComponent{node: n, started: n.now.Monotonic, servers: 1}
}

func (p *grantsComponent) enabled() bool { return p.node.options.Routed && p.node.options.RetryGrants }

// dispatched counts an attempt that is sent to the backend server.
func (p *grantsComponent) dispatched(head message.Call) {
	if !p.enabled() {
		return
	}
	p.grants.Share = retry.GrantsPart * p.node.options.RetryShare
	p.servers = max(p.servers, p.node.placement.poolFor(head.Service).pool.Len())
	p.grants.Burst = 0
	if p.node.now.Monotonic-p.started >= retry.CapacityDelay {
		p.grants.Burst = retry.GrantsPart * p.node.options.RetryBurst / float64(p.servers)
	}
	p.grants.RecordDispatch(p.node.now.Monotonic, attemptOf(head))
}

func attemptOf(head message.Call) retry.Attempt {
	return retry.Attempt{Sends: head.Sends, Retry: head.Retry, Direct: head.Depth == 0}
}

// ended records the end of an attempt. A request that was broken off because one of its
// calls was refused says nothing about the server.
func (p *grantsComponent) ended(call *upstreamCall, kind DispatchKind) {
	if !p.enabled() {
		return
	}
	now := p.node.now.Monotonic
	switch kind {
	case DispatchUnsent:
		p.grants.RecordUnsent(now, attemptOf(call.head))
	case DispatchRejected:
		p.grants.RecordEnd(now, true)
	case DispatchFailed:
		p.grants.RecordEnd(now, !call.childRefused)
	case DispatchAnswered, DispatchTruncated, DispatchTimeout:
		p.grants.RecordEnd(now, false)
	}
}

// grant reports whether the refusal of a call permits one more attempt. It grants none
// that could not be made: a grant counts although it is not used.
func (p *grantsComponent) grant(call *upstreamCall, r coltsfootward.Refusal, attempts int) bool {
	notRun := r.Execution == coltsfootward.ExecutionNotRun
	if !p.enabled() || call.token == "" || notRun && attempts == 0 || r.Final || !safeToRetry(call.head, r) || p.node.now.Expiry >= call.deadline {
		return false
	}
	if route, ok := p.node.configuration.current.Route(call.head.Host, call.head.Path); ok && !notRun && call.head.Sends+1 >= route.Attempts {
		return false
	}
	now := p.node.now.Monotonic
	return p.grants.Grant(now, retry.Ask{
		Sends:      call.head.Sends,
		Rank:       call.head.ShedRank,
		Direct:     call.head.Depth == 0,
		Attributed: call.head.Attributed,
		NonLeaf:    len(p.node.callees.Of(now, call.head.Route)) > 0,
	})
}

// tick updates the shortage and reports its begin and its end.
func (p *grantsComponent) tick() {
	if !p.enabled() {
		return
	}
	p.grants.Tick(p.node.now.Monotonic)
	s := p.grants.State()
	if p.short == (s.Excess > shortageEnds) || !p.short && s.Excess < shortageBegins {
		return
	}
	p.short = !p.short
	code := record.RetriesSufficient
	if p.short {
		code = record.RetriesShort
	}
	p.node.report(code, field("service", string(p.node.membership.local.Service)), field("rejected", decimal(s.Rejection)),
		field("shortage", decimal(s.Shortage)), field("excess", decimal(s.Excess)), field("left", decimal(s.Left)),
		field("granted", number(s.Granted)), field("denied", number(s.Denied)))
}

// pressure returns the fraction of the demand for the local service that the retries
// cannot carry, if there is one.
func (p *grantsComponent) pressure() []message.Pressure {
	if !p.enabled() {
		return nil
	}
	excess := p.grants.Excess()
	if excess < shortageEnds {
		return nil
	}
	return []message.Pressure{{
		Service: p.node.membership.local.Service, Excess: excess, Cost: p.grants.Need(), Resource: message.ResourceRetries,
	}}
}

// RetryGrants returns the state of the grants for the local backend server.
func (n *Node) RetryGrants() retry.GrantState { return n.grants.grants.State() }

// takeGrantedRetry decides whether a routed request that a server has seen may be
// attempted again. An attempt whose node did not answer is retried out of this node's own
// part of the budget.
func (p *entryComponent) takeGrantedRetry(call *entryCall, refused coltsfootward.Refusal) bool {
	switch {
	case call.sends >= retry.MaximumSends:
		return false
	case refused.Kind == coltsfootward.RefusalConnectionLost && refused.Execution == coltsfootward.ExecutionUnknown:
		return p.node.placement.takeRoutedRetry(call)
	default:
		return call.retryGranted
	}
}

// retryBudget returns the share and the burst of the retry budget that this node uses as
// an entry node.
func (p *placementComponent) retryBudget() (share, burst float64) {
	share = p.node.options.RetryShare
	burst = p.node.options.RetryBurst / float64(max(p.node.membership.machine.SizeWithGone(), 1))
	if p.node.grants.enabled() {
		return share * retry.EntryPart, burst * retry.EntryPart
	}
	return share, burst
}

// shortOf describes what a service lacks for a request that is refused at its gate.
func shortOf(key pressure.Key) string {
	if key.Resource == message.ResourceRetries {
		return "has too few retries left"
	}
	return "has no room"
}

// resourceName returns the name of a resource for the log.
func resourceName(r message.Resource) string {
	if r == message.ResourceSlots {
		return "slots"
	}
	return string(r)
}

// evidence returns the log fields that show whether a retry was granted for a call that
// the backend server has seen, and what was left of the budget.
func (p *grantsComponent) evidence(call *upstreamCall, granted bool) []record.Field {
	if !p.enabled() || call.token == "" {
		return nil
	}
	s := p.grants.State()
	return []record.Field{
		field("retry_granted", strconv.FormatBool(granted)), field("sends", number(call.head.Sends)),
		field("retries_left", decimal(s.Left)), field("retry_shortage", decimal(s.Shortage)),
	}
}
