package node

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/record"
)

// tokenWaiter waits for a token of an organisation's rate.
type tokenWaiter interface {
	organisation() coltsfootward.OrganisationName
	// stillWaiting reports whether the token is still needed: since the token
	// was requested, the caller may have gone away or its deadline may have
	// passed.
	stillWaiting() bool
	admitted(granted admission)
	overRate(retryAfter time.Duration, evidence []record.Field)
}

// entryWaiter waits on behalf of a request on its entry node.
type entryWaiter struct {
	component *entryComponent
	call      *entryCall
}

func (w entryWaiter) organisation() coltsfootward.OrganisationName { return w.call.head.Organisation }

func (w entryWaiter) stillWaiting() bool {
	return w.component.calls[w.call.id] == w.call && !w.call.inFlight && !w.call.answered
}

func (w entryWaiter) admitted(granted admission) { w.component.admitted(w.call, granted) }

func (w entryWaiter) overRate(retryAfter time.Duration, evidence []record.Field) {
	w.component.refuseOverRate(w.call, retryAfter, evidence)
}

// upstreamWaiter waits on behalf of a call whose admission expired before its
// turn came.
//
// It is needed for queues in which calls wait longer than the lifetime of a
// token. The tokens of an organisation whose burst is small in relation to its
// rate live for 50 ms; behind slow work, nearly all of its requests would be
// refused although the backend server has time for them. The first token counts
// as spent, so the bound on the rate holds.
type upstreamWaiter struct {
	component *upstreamComponent
	call      *upstreamCall
}

func (w upstreamWaiter) organisation() coltsfootward.OrganisationName {
	return w.call.head.Organisation
}

func (w upstreamWaiter) stillWaiting() bool {
	return w.component.calls[w.call.id] == w.call && w.call.renewing
}

func (w upstreamWaiter) admitted(granted admission) { w.component.admissionRenewed(w.call, granted) }

func (w upstreamWaiter) overRate(retryAfter time.Duration, _ []record.Field) {
	w.component.renewalRefused(w.call, retryAfter)
}
