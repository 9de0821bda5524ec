package node

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/rate"
)

const (
	// spendSpare is how much of a token's life must be left for the way to the
	// upstream's node.
	spendSpare = 2 * time.Millisecond
	// retrySpread is the least time over which refused callers are spread.
	retrySpread = 200 * time.Millisecond
)

// admission entitles one attempt to start, for a short time.
type admission struct {
	// expires is when it ends, by Instant.Expiry; zero means that it does not.
	expires time.Duration
	// token is the drawn token that the attempt spends.
	token rate.Chunk
}

// remaining returns how long the admission lasts from now; zero means no limit.
func (a admission) remaining(now coltsfootward.Instant) time.Duration {
	if a.expires == 0 {
		return 0
	}
	return max(a.expires-now.Expiry, time.Nanosecond)
}

// account is an organisation at this node: what it may draw and what it has.
type account struct {
	name   coltsfootward.OrganisationName
	whole  coltsfootward.Rate
	share  rate.Share
	purse  rate.Purse
	demand rate.Demand
	// created is set if this node saw the organisation being created.
	created bool
	// since is when this node first saw it, by Instant.Monotonic.
	since time.Duration
	// life is the shortest life of a token of the present division.
	life time.Duration
	// parts says for each part of the division what the last answer said.
	parts []partView
	// waiting are those who need a token, in the order of their arrival.
	waiting []tokenWaiter
	// drawing is set while a draw for waiting calls is under way.
	drawing *pendingDraw
	// ahead is when to draw ahead again, by Instant.Monotonic.
	ahead time.Duration
}

// ratePart holds each organisation to its rate and burst over the fleet: it
// spends tokens drawn from the slots' holders, and grants them for the slots
// that this node holds.
type ratePart struct {
	node     *Node
	revision coltsfootward.Revision
	accounts map[coltsfootward.OrganisationName]*account
	buckets  map[bucketID]*heldBucket
	draws    map[uint64]*pendingDraw
	nextDraw uint64
}

func newRatePart(n *Node) *ratePart {
	return &ratePart{
		node:     n,
		accounts: make(map[coltsfootward.OrganisationName]*account),
		buckets:  make(map[bucketID]*heldBucket),
		draws:    make(map[uint64]*pendingDraw),
	}
}

// acquire answers the waiter, now or later.
func (p *ratePart) acquire(w tokenWaiter) {
	p.refresh()
	a, ok := p.accounts[w.organisation()]
	if !ok {
		w.overRate(0, nil)
		return
	}
	a.demand.Note(p.node.now)
	a.waiting = append(a.waiting, w)
	p.serve(a)
	p.pump(a)
	p.stock(a)
}

// serve gives the tokens at hand to those who wait.
func (p *ratePart) serve(a *account) {
	for len(a.waiting) > 0 {
		w := a.waiting[0]
		if !w.waits() {
			a.waiting = a.waiting[1:]
			continue
		}
		token, ok := a.purse.Take(p.node.now, spendSpare)
		if !ok {
			return
		}
		a.waiting = a.waiting[1:]
		w.admitted(admission{expires: token.Expires, token: token})
	}
}

// refuse ends the wait of all: no part has a token.
func (p *ratePart) refuse(a *account) {
	waiting := a.waiting
	a.waiting = nil
	evidence := p.evidence(a)
	for _, w := range waiting {
		if w.waits() {
			w.overRate(p.retryAfter(a), evidence)
		}
	}
}

// retryAfter says when the first part will have a token again, spread so that
// callers refused together do not return together.
func (p *ratePart) retryAfter(a *account) time.Duration {
	first := time.Duration(-1)
	for _, view := range a.parts {
		wait := max(view.emptyUntil-p.node.now.Monotonic, 0)
		if first < 0 || wait < first {
			first = wait
		}
	}
	first = max(first, 0)
	return first + time.Duration(p.node.source.Int64N(int64(max(first, retrySpread))))
}

// release takes back an admission that was not spent, for another request
// within the token's life. The zero admission is none.
//
// Nothing goes back to the holder's bucket. The bucket may have been full in
// the meantime, with the token's place refilled already; after a further draw
// the returned token would come on top of what the depth allows.
func (p *ratePart) release(organisation coltsfootward.OrganisationName, unspent admission) {
	a, ok := p.accounts[organisation]
	if !ok || unspent.token.Tokens == 0 || unspent.expires <= p.node.now.Expiry {
		return
	}
	a.purse.Add(unspent.token)
}

func (p *ratePart) tick() {
	p.refresh()
	p.expireDraws()
}

// applied follows changes one by one: a change that lowers a part and one that
// raises it again would together look like none.
func (p *ratePart) applied(changes []coltsfootward.Change) {
	if p.revision == 0 {
		return
	}
	for _, change := range changes {
		if change.Organisation != nil {
			p.organisation(*change.Organisation, true)
		}
	}
	p.revision = changes[len(changes)-1].Revision
}

// refresh takes in a configuration that did not come as changes: the first one
// after the start, or a whole one.
func (p *ratePart) refresh() {
	configuration := p.node.configuration.current
	if configuration.Revision() == p.revision {
		return
	}
	first := p.revision == 0
	p.revision = configuration.Revision()
	for _, organisation := range configuration.Organisations() {
		p.organisation(organisation, !first)
	}
}

func (p *ratePart) organisation(o coltsfootward.Organisation, created bool) {
	a, ok := p.accounts[o.Name]
	if !ok {
		a = &account{name: o.Name, created: created, since: p.node.now.Monotonic}
		p.accounts[o.Name] = a
	}
	if !ok || a.whole != o.Rate {
		p.change(a, o.Rate)
	}
}

// raiseDelay is how long a part is raised after others were lowered: every
// holder has lowered by then, and what it granted before is spent or void.
func (p *ratePart) raiseDelay() time.Duration {
	return p.node.options.ConfigurationSpread + rate.MaximumLife
}

func (p *ratePart) change(a *account, whole coltsfootward.Rate) {
	a.whole = whole
	division := rate.Divide(a.name, whole, p.node.options.Domains, p.node.options.Slots)
	a.share.Change(p.node.now, division, p.raiseDelay())
	a.parts = make([]partView, len(division))
	a.life = rate.MaximumLife
	for _, part := range division {
		a.life = min(a.life, part.Shape().Life)
	}
}
