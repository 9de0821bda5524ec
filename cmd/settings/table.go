package settings

import (
	"time"

	"coltsfootward/core/node"
)

// Fields returns all settings, in the order in which docs/OPERATIONS.md lists them. A new
// setting is added only here.
func Fields() []Field {
	return []Field{
		choice("deployment.kind", "How callers, backend servers and the platform are met: by the product's own interfaces, or on the users' hosting platform.", []string{DeploymentOwn, DeploymentHosted},
			func(s *Settings) *string { return &s.Deployment }),

		name("instance.id", "Names this instance; no other may have it.",
			func(s *Settings) *string { return &s.Instance.ID }),
		name("instance.domain", "The failure domain that this instance runs in.",
			func(s *Settings) *string { return &s.Instance.Domain }),
		names("instance.domains", "Every failure domain of the deployment, the same on all instances.",
			func(s *Settings) *[]string { return &s.Instance.Domains }),
		contacts("instance.contacts", "Instances to reach at the start, besides those that the platform's table names; they let a node start while the platform is away.",
			func(s *Settings) *[]string { return &s.Instance.Contacts }),

		address("listen.callers", "Where callers reach the node.", listening,
			func(s *Settings) *string { return &s.Listen.Callers }),
		address("listen.backend", "Where the local backend server announces itself and calls further services.", loopback,
			func(s *Settings) *string { return &s.Listen.Backend }),
		address("listen.peers", "Where other nodes reach this one.", reachable,
			func(s *Settings) *string { return &s.Listen.Peers }),
		address("listen.operators", "Where operators and metrics collectors reach this node.", reachable,
			func(s *Settings) *string { return &s.Listen.Operators }),

		optionalAddress("listen.ready", "Where a hosting platform asks whether the node is ready; hosted deployments only.",
			func(s *Settings) *string { return &s.Listen.Ready }),
		optionalAddress("backend.address", "Where the backend server beside the node listens; hosted deployments only.",
			func(s *Settings) *string { return &s.Backend.Address }),
		optionalName("backend.service", "The service of the backend server beside the node; hosted deployments only.",
			func(s *Settings) *string { return &s.Backend.Service }),
		duration("stop.grace", "How long after SIGTERM the hosting platform ends the process; hosted deployments only.", time.Second, 10*time.Minute,
			func(s *Settings) *time.Duration { return &s.Stop.Grace }),
		duration("stop.notice", "How long callers go on coming after the node has said that it is not ready; hosted deployments only.", 0, time.Minute,
			func(s *Settings) *time.Duration { return &s.Stop.Notice }),

		httpURL("platform.url", "Where the platform's table and object store are.",
			func(s *Settings) *string { return &s.PlatformURL }),

		integer("requests.attempts", "attempts", "Bounds the attempts of one request over the whole chain of calls.", 1, 1<<16,
			func(s *Settings) *int { return &s.Node.Attempts }),
		duration("requests.timeout", "Bounds a request that brings no timeout of its own.", time.Millisecond, time.Hour,
			func(s *Settings) *time.Duration { return &s.Node.Timeout }),
		duration("requests.maximum_timeout", "Caps the timeout that a caller may ask for; at least requests.timeout.", time.Millisecond, time.Hour,
			func(s *Settings) *time.Duration { return &s.Node.MaximumTimeout }),
		integer("requests.maximum_body", "bytes", "Bounds a request's body; larger ones are refused as too_large.", 1, 64<<20,
			func(s *Settings) *int64 { return &s.MaximumBody }),
		duration("requests.quarantine", "How long requests that have crashed several backend servers are refused after the crashes.", time.Minute, 24*time.Hour,
			func(s *Settings) *time.Duration { return &s.Node.Quarantine }),

		duration("configuration.poll_interval", "The time between two reads of the configuration from the platform.", 50*time.Millisecond, time.Minute,
			func(s *Settings) *time.Duration { return &s.Node.PollInterval }),
		duration("configuration.key_grace", "How long a node that hears neither of the platform nor of most failure domains goes on honouring keys; a key withdrawn meanwhile works behind the cut for as long.", time.Second, 24*time.Hour,
			func(s *Settings) *time.Duration { return &s.Node.KeyGrace }),

		integer("rate.slots", "slots", "The number of slots in each failure domain, the same on all instances; every slot's holder grants a part of each organisation's rate.", 1, 1024,
			func(s *Settings) *int { return &s.Node.Slots }),
		duration("rate.configuration_spread", "How long a change of the configuration may take to reach every instance; a raised part of a rate waits for it.", time.Second, time.Minute,
			func(s *Settings) *time.Duration { return &s.Node.ConfigurationSpread }),
		fraction("retries.share", "What all repeats at a service may be of its requests; hosted deployments only.", 0, 1,
			func(s *Settings) *float64 { return &s.Node.RetryShare }),
		fraction("retries.capacity", "How many retries for one service all instances of a hosted deployment together may save up.", 0, 1e6,
			func(s *Settings) *float64 { return &s.Node.RetryBurst }),
		choice("calls.attribution", "How a backend server's calls are attributed to the requests that they are made for, whose priority, rank and account they then have: not at all, or by the deadline that both share, with deadlines stated up to 150 ms early; hosted deployments only.", []string{node.AttributionNone, node.AttributionDeadline},
			func(s *Settings) *string { return &s.Node.Attribution }),
		flag("retries.grants", "Lets the nodes of backend servers grant retries, and refuses at entry what the retries cannot carry; the same on all instances; hosted deployments only.",
			func(s *Settings) *bool { return &s.Node.RetryGrants }),
		choice("shares.scope", "Whose demand decides which requests are refused at entry: that of the entry node, or that of the whole fleet, which divides a service's capacity between organisations; hosted deployments only.", []node.ShareScope{node.ShareScopeEntry, node.ShareScopeFleet},
			func(s *Settings) *node.ShareScope { return &s.Node.ShareScope }),
		weights("shares.weights", "What organisations get of a service's capacity relative to others, for which it is 1, where shares.scope is fleet.",
			func(s *Settings) *[]string { return &s.ShareWeights }),
		choice("placement.crossing", "Which requests go to another failure domain. occupancy: those for which the server chosen in their own domain is nearly full and one elsewhere is less so. surplus: those that exceed the capacity of their own domain, as far as others have room. room: as occupancy, but none while the demand of every other domain exceeds its capacity. The same on all instances; surplus and room in hosted deployments only.", []node.Crossing{node.CrossingOccupancy, node.CrossingSurplus, node.CrossingRoom},
			func(s *Settings) *node.Crossing { return &s.Node.Crossing }),
		fraction("placement.crossing_margin", "With surplus, by how much the occupancy of another failure domain has to be lower before requests go there.", 0, 1,
			func(s *Settings) *float64 { return &s.Node.CrossingMargin }),
		duration("rate.lease_term", "How long an instance holds a slot without an answer from the platform. A longer one writes to the platform less often and leaves a lost instance's part of each rate unused for longer.", time.Second, time.Hour,
			func(s *Settings) *time.Duration { return &s.Node.LeaseTerm }),
		duration("rate.lease_margin", "What another instance waits beyond the term before it takes a slot over.", 100*time.Millisecond, time.Minute,
			func(s *Settings) *time.Duration { return &s.Node.LeaseMargin }),

		duration("claims.window", "How long an Idempotency-Key is remembered. A key that carries no time runs at most once within it, and is held off for as long after its holder was replaced.", time.Minute, 24*time.Hour,
			func(s *Settings) *time.Duration { return &s.Node.ClaimWindow }),
		duration("claims.clock_margin", "How far the wall clocks of callers and nodes may differ.", 100*time.Millisecond, time.Minute,
			func(s *Settings) *time.Duration { return &s.Node.ClaimClockMargin }),
		integer("claims.maximum", "keys", "Bounds the keys remembered for each slot that the node holds; further ones are refused as claim.", 100, 10_000_000,
			func(s *Settings) *int { return &s.Node.MaximumClaims }),
		integer("claims.kept_answers", "bytes", "Bounds the memory for answers kept for repeats, for each slot that the node holds.", 1, 1<<30,
			func(s *Settings) *int { return &s.Node.RetainedResponseBytes }),

		choice("log.level", "The least level that is logged.", []string{"debug", "info", "warn", "error"},
			func(s *Settings) *string { return &s.Log.Level }),
		integer("log.timeline", "events", "How many events the node keeps for coltsfootctl timeline.", 16, 1<<20,
			func(s *Settings) *int { return &s.Log.Timeline }),
	}
}
