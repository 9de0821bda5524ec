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

// Node is the state machine of one node. Create it with New.
type Node struct {
	options Options
	source  *rand.Rand
	now     coltsfootward.Instant
	actions []Action
	// draining is set once the node accepts no new work.
	draining bool
	drained  bool
	// finishing is set once the callers' connections have been closed.
	finishing bool

	configuration *configurationComponent
	document      documentComponent
	confirmation  *confirmationComponent
	domains       domainsComponent
	membership    *membershipComponent
	placement     *placementComponent
	rate          *rateComponent
	lease         *leaseComponent
	assigned      *assignedSlots
	slots         slotDirectory
	// meter and throttle measure the demand on the local backend server and
	// determine the fraction of it that entry nodes should refuse. callees
	// estimates which child calls the requests of each class make. gates refuse
	// requests on their entry node.
	meter    pressure.Meter
	throttle pressure.Throttle
	callees  pressure.Callees
	gates    pressure.Gates

	claims *claimsComponent
	ledger *ledgerComponent
	// attribution finds the parents of child calls without a token.
	attribution attributionComponent
	entry       *entryComponent
	upstream    *upstreamComponent
	limits      *limitsComponent
	grants      *grantsComponent
	shares      *sharesComponent
	// quarantine withholds requests that crash backend servers.
	quarantine *quarantineComponent
	// demand exchanges the demand for contended services.
	demand *demandComponent
	// crossing chooses the failure domain that a request is sent to.
	crossing *crossingComponent
	tally    *tallyComponent
	table    *tableComponent
}

// New returns a node that has no configuration yet and knows no peer. All
// random choices come from source.
func New(options Options, source *rand.Rand, now coltsfootward.Instant) *Node {
	n := &Node{options: options.WithDefaults(), source: source, now: now}
	n.table = newTableComponent(n)
	n.quarantine = newQuarantineComponent(n)
	n.configuration = newConfigurationComponent(n)
	n.document = documentComponent{node: n}
	n.confirmation = newConfirmationComponent(n)
	n.domains = domainsComponent{node: n}
	n.membership = newMembershipComponent(n)
	n.placement = newPlacementComponent(n)
	n.lease = newLeaseComponent(n)
	n.assigned = newAssignedSlots(n)
	n.slots = leasedSlots{node: n}
	if n.options.Routed {
		n.slots = n.assigned
	}
	n.rate = newRateComponent(n)
	n.claims = newClaimsComponent(n)
	n.ledger = newLedgerComponent(n)
	n.attribution = newAttributionComponent(n)
	n.entry = newEntryComponent(n)
	n.upstream = newUpstreamComponent(n)
	n.grants = newGrantsComponent(n)
	n.limits = newLimitsComponent(n)
	n.shares = newSharesComponent(n)
	n.demand = newDemandComponent(n)
	n.crossing = newCrossingComponent(n)
	n.tally = &tallyComponent{node: n}
	return n
}

// Handle processes one event and returns the resulting actions in the order in
// which the driver must carry them out. The caller owns the slice.
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
	case CallCancelled:
		n.entry.callCancelled(e.Call)
		n.upstream.callCancelled(e.Call)
	case AttemptEnded:
		n.entry.attemptEnded(e)
	case ResponseTruncated:
		n.entry.responseTruncated(e)
	case CallDone:
		n.entry.callDone(e)
	case PeerCallArrived:
		n.upstream.arrived(e)
	case DispatchEnded:
		n.upstream.dispatchEnded(e)
	case BackendAnswered:
		n.upstream.condition.answered(e)
	case MessageArrived:
		n.handleMessage(e)
	case PeerLost:
		n.placement.peerLost(e.Instance)
		n.lease.peerLost(e.Instance)
	case BackendAnnounced:
		n.membership.backendAnnounced(e)
	case BackendChecked:
		n.upstream.crashes.responded()
		n.upstream.cold.checked(e)
		n.upstream.condition.checked(e.Condition)
		n.upstream.stated.observed(e.Load, e.UnusableLoad, 0)
	case DrainRequested:
		n.drain()
	case TableResult:
		n.table.resultReceived(e)
	case ConfigurationRead:
		n.configuration.adopt(e.Configuration)
	case DomainsRead:
		n.domains.adopt(e.OutOfService)
	case DocumentConfirmed:
		n.document.confirmed(e.Age)
	case FinishRequested:
		n.finishing = true
	case BackendLost:
		n.membership.backendLost()
	}
}

const (
	// activeTickInterval is the tick interval while requests are queued, token
	// draws are pending or the deployment is not routed; idleTickInterval
	// applies otherwise.
	activeTickInterval = 10 * time.Millisecond
	idleTickInterval   = 50 * time.Millisecond
)

// NextTick returns the delay until the node's next Tick. An idle node uses a
// long interval, because hundreds of wake-ups a second would make up most of
// its cost.
func (n *Node) NextTick() time.Duration {
	if !n.options.Routed || n.upstream.admission.Queued() > 0 || len(n.rate.pendingDraws) > 0 {
		return activeTickInterval
	}
	return idleTickInterval
}

// tick runs the timers of all components. A node of a routed deployment has no
// leases, no claims and no confirmations of changes, and skips their
// components.
func (n *Node) tick() {
	n.membership.tick()
	if n.options.Routed {
		n.assigned.tick()
		n.document.tick()
	} else {
		n.configuration.tick()
		n.lease.tick()
		n.confirmation.tick()
		n.claims.tick()
	}
	n.rate.tick()
	n.upstream.tick()
	n.limits.tick()
	n.demand.tick()
	n.crossing.tick()
	n.quarantine.tick()
	n.entry.tick()
	n.tally.tick()
}

func (n *Node) handleMessage(e MessageArrived) {
	n.lease.messageReceived(e.From)
	n.membership.messageReceived(e)
	if from, ok := n.membership.instance(e.From); ok {
		n.assigned.messageReceived(from)
	}
	n.configuration.requestDocument(e.From)
	switch m := e.Message.(type) {
	case *message.Gossip:
		n.quarantine.gossipReceived(e, m)
		n.limits.gossipReceived(e.From, m)
		n.configuration.digestReceived(e, m.Digest)
	case *message.Probe:
		n.configuration.digestReceived(e, m.Gossip.Digest)
	case *message.ProbeRequest:
		n.configuration.digestReceived(e, m.Gossip.Digest)
	case *message.ProbeAnswer:
		n.configuration.digestReceived(e, m.Gossip.Digest)
	case *message.ClaimRequest, *message.ClaimVerdict, *message.ClaimHandover, *message.ClaimEnd, *message.ClaimEndAcknowledged:
		n.claims.messageReceived(e)
	case *message.ConfigurationDigest:
		n.configuration.digestReceived(e, *m)
	case *message.ConfigurationPull:
		n.configuration.pullReceived(e.From, *m)
	case *message.ConfigurationChanges:
		n.configuration.changesReceived(e.From, *m)
	case *message.FullConfiguration:
		n.domains.adopt(m.OutOfService)
		n.configuration.adopt(m.Configuration())
	case *message.LoadNotice:
		n.placement.noticeReceived(e.From, e.Age, m.Load)
	case *message.Draw:
		n.rate.drawReceived(*m)
	case *message.Grant:
		n.rate.grantReceived(*m)
	case *message.DemandReport:
		n.demand.reportReceived(e.From, m.Report)
	case *message.DemandSummary:
		n.demand.summaryReceived(e.From, m.Summary)
	case *message.DemandExchange:
		n.demand.exchangeReceived(e.From, m.Sum)
	case *message.SlotOffer:
		n.lease.offerReceived(*m)
	case *message.ConfigurationPage:
		n.configuration.pageReceived(e.From, *m)
	case *message.Confirmation:
		n.confirmation.confirmationReceived(e.From, *m)
	case *message.ConfirmationQuery:
		n.confirmation.queryReceived(e.From, *m)
	case *message.DomainConfirmation:
		n.confirmation.replyReceived(*m)
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

// checkDrained emits Drained once, when a draining node has no request in
// progress. A planned stop must not interrupt a request.
func (n *Node) checkDrained() {
	if n.options.Routed && !n.finishing {
		return
	}
	if !n.draining || n.drained || n.entry.count() > 0 || n.upstream.count() > 0 || n.lease.releasePending() {
		return
	}
	n.drained = true
	n.membership.announceStop()
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
