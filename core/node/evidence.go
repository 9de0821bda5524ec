package node

import (
	"fmt"
	"strings"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/pressure"
	"coltsfootward/core/record"
)

// The fields that explain a refusal are logged with it, so that operators can
// determine its cause from the log alone.

func refusalFields(request coltsfootward.RequestID, r coltsfootward.Refusal) []record.Field {
	return []record.Field{
		field("request", string(request)), field("kind", string(r.Kind)), field("execution", string(r.Execution)),
		field("detail", r.Detail), field("retry_after", r.RetryAfter.String()),
	}
}

// evidence returns the log fields with the state of a call on its entry node
// when the call ends.
func (p *entryComponent) evidence(call *entryCall) []record.Field {
	fields := []record.Field{
		field("fingerprint", call.fingerprint.String()),
		field("service", string(call.head.Service)),
		field("route", string(call.head.Route)),
		field("organisation", string(call.head.Organisation)),
		field("priority", string(call.head.Priority)),
		field("depth", number(call.head.Depth)),
		field("waited", rounded(p.node.now.Expiry-call.arrivedAt)),
		field("left", rounded(call.deadline-p.node.now.Expiry)),
		field("hops", number(call.hops)),
		field("sends", number(call.sends)),
	}
	if call.target != "" {
		fields = append(fields, field("instance", string(call.target)))
	}
	return append(fields, attributionFields(call)...)
}

// evidence returns the log fields that show how an organisation's rate was used
// up: the rate and burst in force and, for each part, its holder, the tokens
// left there, and the age of that information.
func (p *rateComponent) evidence(a *account) []record.Field {
	var parts []string
	for i, part := range a.division.Current() {
		parts = append(parts, p.partEvidence(slotID{domain: part.Domain, index: part.Slot}, a.parts[i]))
	}
	return []record.Field{
		field("rate", decimal(a.limit.PerSecond)),
		field("burst", number(a.limit.Burst)),
		field("revision", p.revision.String()),
		field("parts", strings.Join(parts, "; ")),
	}
}

func (p *rateComponent) partEvidence(id slotID, state partState) string {
	holder, _ := p.node.slots.holder(id)
	now := p.node.now.Monotonic
	text := fmt.Sprintf("%s/%d at %s:", id.domain, id.index, holder.ID)
	if holder.ID == "" {
		text = fmt.Sprintf("%s/%d at nobody:", id.domain, id.index)
	}
	switch {
	case state.failures > 0:
		text += fmt.Sprintf(" %d draws unanswered", state.failures)
	case !state.answered:
		text += " not asked"
	default:
		text += fmt.Sprintf(" %d left %s ago", state.remaining, rounded(now-state.reportedAt))
	}
	if wait := state.blockedUntil - now; wait > 0 {
		text += ", asked again in " + rounded(wait)
	}
	return text
}

// gateEvidence returns the log fields that show how far the gate of a service
// was closed, the excess load reported for the service, and the age of that
// report.
func (p *entryComponent) gateEvidence(call *entryCall, key pressure.Key) []record.Field {
	state, service := p.node.gates.StateOf(p.node.now.Monotonic, key), key.Service
	fields := []record.Field{
		field("full", string(service)),
		field("resource", resourceName(key.Resource)),
		field("passed", decimal(state.Admitted)),
		field("excess", decimal(state.Excess)),
		field("age", rounded(state.Age)),
		field("rank", number(call.head.ShedRank)),
		field("limit", number(state.Limit(call.head.ShedRank))),
	}
	pool := p.node.placement.poolFor(service)
	shortfall, known := p.node.shares.limitShortfall(service, pool)
	if !known {
		shortfall = pool.limitThrottle.Excess()
	}
	if shortfall > 0 {
		fields = append(fields, field("limit_shortfall", decimal(shortfall)))
	}
	if key.Resource == message.ResourceSlots {
		fields = append(fields, p.node.shares.evidence(call, service)...)
	}
	return coldField(fields, p.node.placement.coldRetryAfter(service))
}

// coldField appends how much longer servers are cold, if any are.
func coldField(fields []record.Field, remaining time.Duration) []record.Field {
	if remaining <= 0 {
		return fields
	}
	return append(fields, field("cold", rounded(remaining)))
}

// targetEvidence returns the log fields that show why no backend server of the
// call's service could be chosen.
func (p *entryComponent) targetEvidence(call *entryCall) []record.Field {
	counts := p.node.placement.poolFor(call.head.Service).pool.CountCandidates(p.node.now.Monotonic, call.tried)
	fields := []record.Field{
		field("known", number(counts.Known)),
		field("tried", number(counts.Tried)),
		field("ejected", number(counts.Ejected)),
		field("suspected", number(counts.Suspected)),
		field("unreachable", number(counts.Unreachable)),
		field("limited", number(counts.Limited)),
	}
	if out := p.node.domains.current.Domains; len(out) > 0 {
		fields = append(fields, field("out_of_service", joinDomains(out)))
	}
	return fields
}

// joinDomains returns the names of failure domains as one text.
func joinDomains(domains []coltsfootward.FailureDomain) string {
	var all []string
	for _, domain := range domains {
		all = append(all, string(domain))
	}
	return strings.Join(all, ", ")
}

// evidence returns the log fields that show the load of the backend server when
// a call for it was refused.
func (p *upstreamComponent) evidence(call *upstreamCall) []record.Field {
	fields := []record.Field{
		field("fingerprint", call.fingerprint.String()),
		field("service", string(call.head.Service)),
		field("route", string(call.head.Route)),
		field("organisation", string(call.head.Organisation)),
		field("priority", string(call.head.Priority)),
		field("depth", number(call.head.Depth)),
		field("running", number(p.admission.Running())),
		field("queued", number(p.admission.Queued())),
		field("limit", number(p.admission.Limit())),
		field("backlog", rounded(p.admission.Backlog())),
		field("waited", rounded(p.node.now.Expiry-call.arrivedAt)),
		field("left", rounded(call.deadline-p.node.now.Expiry)),
	}
	if p.condition.limited() {
		fields = append(fields, field("named_limit", decimal(p.condition.current.Limit)))
	}
	fields = p.stated.evidence(fields)
	return coldField(fields, p.coldRemaining())
}

// durationPrecision is the precision of durations in evidence fields.
const durationPrecision = 100 * time.Microsecond

func rounded(d time.Duration) string { return d.Round(durationPrecision).String() }
