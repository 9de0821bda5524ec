package node

import (
	"cmp"
	"time"

	"coltsfootward"
	"coltsfootward/core/attribution"
	"coltsfootward/core/record"
)

// The values of Options.Attribution: the ways in which child calls are attributed to the
// requests in service that made them, in a routed deployment.
const (
	// AttributionNone leaves child calls without a parent.
	AttributionNone = "none"
	// AttributionDeadline finds the parent by the time at which the call expires. The
	// deadlines that backend servers are told are then up to 150 ms earlier.
	AttributionDeadline = "deadline"
)

// parentSource finds the request in service that made a child call. The request is nil
// unless the outcome is OutcomeUnique.
type parentSource interface {
	parent(e RequestArrived) (*upstreamCall, attribution.Outcome)
}

// tokenParents finds parents by the call token that the call brings.
type tokenParents struct{ ledger *ledgerComponent }

func (s tokenParents) parent(e RequestArrived) (*upstreamCall, attribution.Outcome) {
	if parent, ok := s.ledger.parent(e.Token); ok {
		return parent, attribution.OutcomeUnique
	}
	return nil, attribution.OutcomeNone
}

// deadlineParents finds the parent of a call of one route by the time at which the call
// expires.
type deadlineParents struct {
	component *attributionComponent
	route     coltsfootward.RouteName
}

func (s deadlineParents) parent(e RequestArrived) (*upstreamCall, attribution.Outcome) {
	p := s.component
	if e.Timeout <= 0 {
		return nil, attribution.OutcomeNone
	}
	now := p.node.now.Expiry
	id, outcome := p.index.Parent(now, s.route, cmp.Or(e.Expires, now+e.Timeout))
	if outcome != attribution.OutcomeUnique {
		return nil, outcome
	}
	return p.node.upstream.calls[CallID(id)], outcome
}

// attributionComponent attributes the child calls of the local backend server to its
// requests in service. It does nothing unless Options.Attribution requires it.
type attributionComponent struct {
	node  *Node
	index *attribution.Index
}

func newAttributionComponent(n *Node) attributionComponent {
	return attributionComponent{node: n, index: attribution.NewIndex()}
}

func (p *attributionComponent) enabled() bool {
	return p.node.options.Routed && p.node.options.Attribution == AttributionDeadline
}

// dispatched adds a call that is sent to the backend server, and returns the deadline
// that the server is told.
func (p *attributionComponent) dispatched(call *upstreamCall) time.Duration {
	if !p.enabled() {
		return call.deadline
	}
	return p.index.Begin(attribution.Request{
		ID: attribution.RequestID(call.id), Class: call.head.Route,
		Root:  attribution.Root{Account: accountOf(call), ShedRank: call.head.ShedRank},
		Start: p.node.now.Expiry, Deadline: call.deadline, Usual: p.node.upstream.admission.Estimate(classOf(call.head)),
	})
}

// ended removes a call whose service has ended.
func (p *attributionComponent) ended(call *upstreamCall) {
	if p.enabled() {
		p.index.End(attribution.RequestID(call.id))
	}
}

// attribute finds the parent of a routed child call, and lets the call inherit what its
// order, its shares and its retries depend on. A wrong parent must not affect anything
// else: identity, keys, rates, or what reaches the backend server. It returns nil if the
// parent is not known.
func (p *attributionComponent) attribute(call *entryCall, e RequestArrived) *upstreamCall {
	if !p.enabled() {
		return nil
	}
	var source parentSource = deadlineParents{component: p, route: call.head.Route}
	parent, outcome := source.parent(e)
	call.attribution = outcome
	p.reportLimits()
	if parent == nil {
		return nil
	}
	call.attributedTo = parent.head.Request
	call.inheritImportance(parent)
	call.head.SecondaryPriority = parent.head.SecondaryPriority
	call.head.Account = accountOf(parent)
	call.head.Retry = parent.head.Retry
	call.head.Attributed = true
	return parent
}

// inheritImportance gives a child call the importance of its parent.
func (c *entryCall) inheritImportance(parent *upstreamCall) {
	c.head.Priority = parent.head.Priority
	c.head.ShedRank = parent.head.ShedRank
	c.head.Depth = parent.head.Depth + 1
}

// accountOf returns the organisation whose share a request and its child calls count
// against.
func accountOf(call *upstreamCall) coltsfootward.OrganisationName {
	return cmp.Or(call.head.Account, call.head.Organisation)
}

// reportLimits reports the limits of called routes that were learned or dropped.
func (p *attributionComponent) reportLimits() {
	for _, limit := range p.index.Changes() {
		from := "parent"
		if limit.FromCall {
			from = "call"
		}
		p.node.report(record.CallLimitChanged, field("route", string(limit.Route)), field("after", limit.After.String()),
			field("from", from), field("in_service", number(p.index.Len())))
	}
}

// attributionFields returns the log fields that name the parent of a child call.
func attributionFields(call *entryCall) []record.Field {
	if call.attribution == "" {
		return nil
	}
	fields := []record.Field{field("attribution", string(call.attribution))}
	if call.attributedTo != "" {
		fields = append(fields, field("parent", string(call.attributedTo)), field("account", string(call.head.Account)))
	}
	return fields
}

// Attributions returns how many child calls of the local backend server were attributed
// to its requests, by outcome.
func (n *Node) Attributions() attribution.Counts { return n.attribution.index.Counts() }

// CallLimits returns the limits of the calls of the local backend server that the node has
// learned.
func (n *Node) CallLimits() []attribution.Limit { return n.attribution.index.Limits() }
