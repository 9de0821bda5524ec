package node

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/record"
)

// tokenWaiter needs a token of an organisation's rate.
type tokenWaiter interface {
	organisation() coltsfootward.OrganisationName
	// waits reports whether the token is still needed: a caller may have left,
	// or its time may have run out, since it was asked for.
	waits() bool
	admitted(granted admission)
	overRate(retryAfter time.Duration, evidence []record.Field)
}

// entryWaiter is a request at its entry node.
type entryWaiter struct {
	part *entryPart
	call *entryCall
}

func (w entryWaiter) organisation() coltsfootward.OrganisationName { return w.call.head.Organisation }

func (w entryWaiter) waits() bool {
	return w.part.calls[w.call.id] == w.call && !w.call.running && !w.call.answered
}

func (w entryWaiter) admitted(granted admission) { w.part.admitted(w.call, granted) }

func (w entryWaiter) overRate(retryAfter time.Duration, evidence []record.Field) {
	w.part.overRate(w.call, retryAfter, evidence)
}

// upstreamWaiter is a call whose turn has come after its admission had ended.
//
// It is made for queues that are longer than a token lives: an organisation
// whose burst is small beside its rate has tokens of 50 ms, and behind slow work
// nearly all of its requests would be refused although the backend server had
// time for them. The first token counts as spent, so the bound on the rate holds.
type upstreamWaiter struct {
	part *upstreamPart
	call *upstreamCall
}

func (w upstreamWaiter) organisation() coltsfootward.OrganisationName {
	return w.call.head.Organisation
}

func (w upstreamWaiter) waits() bool { return w.part.calls[w.call.id] == w.call && w.call.renewing }

func (w upstreamWaiter) admitted(granted admission) { w.part.renewed(w.call, granted) }

func (w upstreamWaiter) overRate(retryAfter time.Duration, _ []record.Field) {
	w.part.notRenewed(w.call, retryAfter)
}
