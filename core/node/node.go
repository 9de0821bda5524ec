package node

import (
	"math/rand/v2"
	"strconv"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/pressure"
	"coltsfootward/core/record"
)

// Node is the machine. Create it with New.
type Node struct {
	options Options
	source  *rand.Rand
	now     coltsfootward.Instant
	actions []Action
	// draining is set once the node takes no new work.
	draining bool
	drained  bool
	// finishing is set once callers have been let go.
	finishing bool

	configuration *configurationPart
	confirmation  *confirmationPart
	domains       domainsPart
	membership    *membershipPart
	placement     *placementPart
	rate          *ratePart
	lease         *leasePart
	assigned      *assignedSlots
	slots         slotHolders
	meter         pressure.Meter
	throttle      pressure.Throttle
	callees       pressure.Callees
	gates         pressure.Gates
	claims        *claimsPart
	ledger        *ledgerPart
	entry         *entryPart
	upstream      *upstreamPart
	table         *tablePart
}

// New returns a node that has read no configuration and knows no peer. All
// random choices come from source.
func New(options Options, source *rand.Rand, now coltsfootward.Instant) *Node {
	n := &Node{options: options.WithDefaults(), source: source, now: now}
	n.table = newTablePart(n)
	n.configuration = newConfigurationPart(n)
	n.confirmation = newConfirmationPart(n)
	n.domains = domainsPart{node: n}
	n.membership = newMembershipPart(n)
	n.placement = newPlacementPart(n)
	n.lease = newLeasePart(n)
	n.assigned = newAssignedSlots(n)
	n.slots = leasedSlots{node: n}
	if n.options.Routed {
		n.slots = n.assigned
	}
	n.rate = newRatePart(n)
	n.claims = newClaimsPart(n)
	n.ledger = newLedgerPart(n)
	n.entry = newEntryPart(n)
	n.upstream = newUpstreamPart(n)
	return n
}

// Handle takes one event and returns what is to be done, in order. The slice
// is the caller's to keep.
func (n *Node) Handle(now coltsfootward.Instant, event Event) []Action {
	n.now = now
	n.dispatchEvent(event)
	n.checkDrained()
	actions := n.actions
	n.actions = nil
	return actions
}

func (n *Node) dispatchEvent(event Event) {
	switch e := event.(type) {
	case Tick:
		n.tick()
	case RequestArrived:
		n.entry.arrived(e)
	case CallerLeft:
		n.entry.callerLeft(e.Call)
		n.upstream.callerLeft(e.Call)
	case AttemptEnded:
		n.entry.attemptEnded(e)
	case AnswerBroken:
		n.entry.broken(e)
	case CallDone:
		n.entry.done(e)
	case PeerCallArrived:
		n.upstream.arrived(e)
	case DispatchEnded:
		n.upstream.ended(e)
	case MessageArrived:
		n.message(e)
	case PeerLost:
		n.placement.peerLost(e.Instance)
		n.lease.peerLost(e.Instance)
	case BackendAnnounced:
		n.membership.backendAnnounced(e)
	case BackendChecked:
		n.upstream.cold.checked(e)
	case DrainRequested:
		n.drain()
	case TableAnswered:
		n.table.answered(e)
	case ConfigurationRead:
		n.configuration.adopt(e.Configuration)
	case DomainsRead:
		n.domains.adopt(e.OutOfService)
	case FinishRequested:
		n.finishing = true
	case BackendLost:
		n.membership.backendLost()
	}
}

const (
	// quickTick is the time between two ticks while something waits that may be
	// over at any moment, restTick that between two ticks else.
	quickTick = 10 * time.Millisecond
	restTick  = 50 * time.Millisecond
)

// NextTick returns after how long the node wants its next Tick. A node at rest is
// woken seldom: hundreds of wake-ups a second would be most of what it costs.
func (n *Node) NextTick() time.Duration {
	if !n.options.Routed || n.upstream.admission.Queued() > 0 || len(n.rate.draws) > 0 {
		return quickTick
	}
	return restTick
}

// tick lets time pass. A node of a routed deployment has no leases, claims or
// operators' confirmations to look after.
func (n *Node) tick() {
	n.membership.tick()
	if n.options.Routed {
		n.assigned.tick()
	} else {
		n.configuration.tick()
		n.lease.tick()
		n.confirmation.tick()
		n.claims.tick()
	}
	n.rate.tick()
	n.upstream.tick()
	n.entry.tick()
}

func (n *Node) message(e MessageArrived) {
	n.lease.heard(e.From)
	n.membership.received(e)
	if from, ok := n.membership.instance(e.From); ok {
		n.assigned.heardFrom(from)
	}
	n.configuration.askFirst(e.From)
	switch m := e.Message.(type) {
	case *message.Gossip:
		n.configuration.digest(e, m.Digest)
	case *message.Probe:
		n.configuration.digest(e, m.Gossip.Digest)
	case *message.ProbeRequest:
		n.configuration.digest(e, m.Gossip.Digest)
	case *message.ProbeAnswer:
		n.configuration.digest(e, m.Gossip.Digest)
	case *message.ClaimRequest, *message.ClaimVerdict, *message.ClaimHandover, *message.ClaimEnd, *message.ClaimEndTaken:
		n.claims.message(e)
	case *message.ConfigurationDigest:
		n.configuration.digest(e, *m)
	case *message.ConfigurationPull:
		n.configuration.pull(e.From, *m)
	case *message.ConfigurationChanges:
		n.configuration.changes(e.From, *m)
	case *message.ConfigurationWhole:
		n.domains.adopt(m.OutOfService)
		n.configuration.adopt(m.Configuration())
	case *message.Draw:
		n.rate.drawn(*m)
	case *message.Grant:
		n.rate.answered(*m)
	case *message.SlotOffer:
		n.lease.takeOffer(*m)
	case *message.ConfigurationPage:
		n.configuration.page(e.From, *m)
	case *message.Confirmation:
		n.confirmation.received(e.From, *m)
	case *message.ConfirmationQuery:
		n.confirmation.query(e.From, *m)
	case *message.DomainConfirmation:
		n.confirmation.answered(*m)
	}
}

func (n *Node) drain() {
	if n.draining {
		return
	}
	n.draining = true
	n.report(record.NodeDraining)
	n.membership.drain()
	if !n.options.Routed {
		n.lease.drain()
	}
}

// checkDrained reports the end of a drain once: nothing may be in hand, since
// a planned stop cuts off no request.
func (n *Node) checkDrained() {
	if n.options.Routed && !n.finishing {
		return
	}
	if !n.draining || n.drained || n.entry.count() > 0 || n.upstream.count() > 0 || n.lease.leaving() {
		return
	}
	n.drained = true
	n.membership.left()
	n.act(Drained{})
}

func (n *Node) act(action Action) {
	n.actions = append(n.actions, action)
}

func (n *Node) report(code record.Code, fields ...record.Field) {
	n.act(Report{Record: record.New(code, n.now.Wall, fields...)})
}

func field(name, value string) record.Field {
	return record.Field{Name: name, Value: value}
}

func number[T ~int | ~uint32 | ~uint64 | ~int64](value T) string {
	return strconv.FormatInt(int64(value), 10)
}
