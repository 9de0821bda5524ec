package node

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/rate"
)

const (
	// minRemainingLifetime is the lifetime that a token must have left when it
	// is spent, so that the request reaches the upstream's node before the
	// token expires.
	minRemainingLifetime = 2 * time.Millisecond
	// minRetrySpread is the shortest interval over which the retries of refused
	// callers are spread.
	minRetrySpread = 200 * time.Millisecond
)

// admission is the permission of one attempt to start under its organisation's
// rate limit, valid until it expires. It is distinct from admission control
// (coltsfootward/core/admission), which decides whether the local backend server
// has capacity for a request.
type admission struct {
	// expires is when the admission ends, by Instant.Expiry; zero means that it
	// does not expire.
	expires time.Duration
	// token is the token that the attempt spends.
	token rate.Batch
}

// remaining returns how long the admission is still valid; zero means without
// limit.
func (a admission) remaining(now coltsfootward.Instant) time.Duration {
	if a.expires == 0 {
		return 0
	}
	return max(a.expires-now.Expiry, time.Nanosecond)
}

// account is the rate limiting state of one organisation at this node.
type account struct {
	name       coltsfootward.OrganisationName
	limit      coltsfootward.Rate
	division   rate.DivisionTracker
	tokenCache rate.TokenCache
	demand     rate.Meter
	// creationSeen is set if the organisation was created while this node was
	// running.
	creationSeen bool
	// firstSeen is when this node first learned of the organisation, by
	// Instant.Monotonic.
	firstSeen time.Duration
	// tokenLifetime is the shortest token lifetime among the parts of the
	// current division.
	tokenLifetime time.Duration
	// parts holds the last reported state of each part of the division.
	parts []partState
	// waiters are the requests that wait for a token, in the order of their
	// arrival.
	waiters []tokenWaiter
	// activeDraw is the draw whose answer the waiters wait for, or nil.
	activeDraw *pendingDraw
	// nextPrefetch is the earliest time of the next prefetch, by
	// Instant.Monotonic.
	nextPrefetch time.Duration
}

// rateComponent enforces each organisation's rate and burst over all nodes
// together. It draws tokens from the slot holders and spends them, and it
// grants tokens for the slots that this node holds.
type rateComponent struct {
	node         *Node
	revision     coltsfootward.Revision
	accounts     map[coltsfootward.OrganisationName]*account
	buckets      map[bucketID]*heldBucket
	pendingDraws map[uint64]*pendingDraw
	lastDrawID   uint64
}

func newRateComponent(n *Node) *rateComponent {
	return &rateComponent{
		node:         n,
		accounts:     make(map[coltsfootward.OrganisationName]*account),
		buckets:      make(map[bucketID]*heldBucket),
		pendingDraws: make(map[uint64]*pendingDraw),
	}
}

// acquire requests a token for the waiter. The waiter is notified of the
// outcome, during this call or later.
func (p *rateComponent) acquire(w tokenWaiter) {
	p.refresh()
	a, ok := p.accounts[w.organisation()]
	if !ok {
		w.overRate(0, nil)
		return
	}
	a.demand.Record(p.node.now.Monotonic)
	a.waiters = append(a.waiters, w)
	p.serveWaiters(a)
	p.drawForWaiters(a)
	p.prefetch(a)
}

// serveWaiters hands the available tokens to the waiters in order.
func (p *rateComponent) serveWaiters(a *account) {
	for len(a.waiters) > 0 {
		w := a.waiters[0]
		if !w.stillWaiting() {
			a.waiters = a.waiters[1:]
			continue
		}
		token, ok := a.tokenCache.Take(p.node.now, minRemainingLifetime)
		if !ok {
			return
		}
		a.waiters = a.waiters[1:]
		w.admitted(admission{expires: token.Expires, token: token})
	}
}

// refuseWaiters refuses all waiters; it is called when no part has a token.
func (p *rateComponent) refuseWaiters(a *account) {
	waiting := a.waiters
	a.waiters = nil
	evidence := p.evidence(a)
	for _, w := range waiting {
		if w.stillWaiting() {
			w.overRate(p.retryAfter(a), evidence)
		}
	}
}

// retryAfter returns the time until the first part has a token again, plus a
// random delay, so that callers refused together do not return together.
func (p *rateComponent) retryAfter(a *account) time.Duration {
	first := time.Duration(-1)
	for _, state := range a.parts {
		wait := max(state.emptyUntil-p.node.now.Monotonic, 0)
		if first < 0 || wait < first {
			first = wait
		}
	}
	first = max(first, 0)
	return first + time.Duration(p.node.source.Int64N(int64(max(first, minRetrySpread))))
}

// release makes the token of an unspent admission available to another request,
// as long as the token has not expired. The zero admission is ignored.
//
// The token is not returned to the holder's bucket. That bucket may have been
// full in the meantime, so that the token's place in it was refilled already.
// After a further draw, the returned token would come on top of what the
// bucket's depth allows.
func (p *rateComponent) release(organisation coltsfootward.OrganisationName, unspent admission) {
	a, ok := p.accounts[organisation]
	if !ok || unspent.token.Tokens == 0 || unspent.expires <= p.node.now.Expiry {
		return
	}
	a.tokenCache.Add(unspent.token)
}

func (p *rateComponent) tick() {
	p.refresh()
	p.expireDraws()
}

// applyChanges processes the changes one by one. A change that lowers a part,
// followed by one that raises it again, would otherwise go unnoticed.
func (p *rateComponent) applyChanges(changes []coltsfootward.Change) {
	if p.revision == 0 {
		return
	}
	for _, change := range changes {
		if change.Organisation != nil {
			p.updateAccount(*change.Organisation, true)
		}
	}
	p.revision = changes[len(changes)-1].Revision
}

// refresh applies a configuration that did not arrive as changes: the first one
// after the start, or a full one.
func (p *rateComponent) refresh() {
	configuration := p.node.configuration.current
	if configuration.Revision() == p.revision {
		return
	}
	first := p.revision == 0
	p.revision = configuration.Revision()
	for _, organisation := range configuration.Organisations() {
		p.updateAccount(organisation, !first)
	}
}

func (p *rateComponent) updateAccount(o coltsfootward.Organisation, created bool) {
	a, ok := p.accounts[o.Name]
	if !ok {
		a = &account{name: o.Name, creationSeen: created, firstSeen: p.node.now.Monotonic}
		p.accounts[o.Name] = a
	}
	if !ok || a.limit != o.Rate {
		p.setLimit(a, o.Rate)
	}
}

// raiseDelay returns the delay between the lowering of some parts and the
// raising of others. After it, every holder has lowered its part, and the
// tokens granted before are spent or expired.
func (p *rateComponent) raiseDelay() time.Duration {
	return p.node.options.ConfigurationSpread + rate.MaximumLifetime
}

func (p *rateComponent) setLimit(a *account, limit coltsfootward.Rate) {
	a.limit = limit
	division := rate.Divide(a.name, limit, p.node.options.Domains, p.node.options.Slots)
	a.division.Change(p.node.now, division, p.raiseDelay())
	a.parts = make([]partState, len(division))
	a.tokenLifetime = rate.MaximumLifetime
	for _, part := range division {
		a.tokenLifetime = min(a.tokenLifetime, part.BucketParameters().Lifetime)
	}
}
