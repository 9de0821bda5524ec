// Package record defines the numbered events that a node reports in its log and on its
// timeline. docs/EVENTS.md lists and explains them.
package record

import (
	"slices"
	"time"
)

// Code identifies a kind of event. Codes are never reused.
type Code int

// The event codes, grouped by their hundreds: 1xx node life cycle, 2xx requests, 3xx
// backend servers, 4xx configuration, 5xx rates and leases, 6xx claims, 7xx
// membership, 8xx platform, 9xx peers.
const (
	NodeStarted         Code = 101
	NodeDraining        Code = 102
	NodeStopped         Code = 103
	SettingsRead        Code = 104
	SettingsRefused     Code = 105
	RecordsDropped      Code = 106
	RequestRefused      Code = 201
	AttemptFailed       Code = 202
	CallRefused         Code = 203
	RouteCounted        Code = 204
	BodyRefused         Code = 205
	BackendAnnounced    Code = 301
	BackendDraining     Code = 302
	LimitChanged        Code = 303
	OverloadBegan       Code = 304
	OverloadEnded       Code = 305
	BackendLost         Code = 306
	BackendFound        Code = 307
	HeartbeatRefused    Code = 308
	GateMoved           Code = 309
	BackendCold         Code = 310
	BackendUnchecked    Code = 311
	BackendCrashed      Code = 312
	RequestQuarantined  Code = 313
	RequestReleased     Code = 314
	RequestTried        Code = 315
	BackendLimited      Code = 316
	BackendUnlimited    Code = 317
	BackendUnreadable   Code = 318
	BackendSlowdown     Code = 320
	BackendLoadUnusable Code = 321
	LoadNoticeReceived  Code = 322
	BackendCounted      Code = 323
	CrossingBegan       Code = 330
	CrossingEnded       Code = 331
	CollectorSkipped    Code = 332
	CallLimitChanged    Code = 340
	RetriesShort        Code = 350
	RetriesSufficient   Code = 351
	WeightUnknown       Code = 360
	SharesBegan         Code = 361
	SharesEnded         Code = 362
	RevisionInForce     Code = 401
	KeyWithdrawn        Code = 402
	KeysStopped         Code = 403
	KeysHonoured        Code = 404
	SnapshotInForce     Code = 405
	DocumentUnread      Code = 406
	DocumentPollLost    Code = 407
	SlotHeld            Code = 501
	SlotLost            Code = 502
	SlotShareChanged    Code = 503
	ClaimRefused        Code = 601
	ClaimUnanswered     Code = 602
	ClaimsHandedOver    Code = 603
	ClaimsTakenOver     Code = 604
	MemberSuspected     Code = 701
	MemberGone          Code = 702
	MemberLeft          Code = 703
	DomainUnreachable   Code = 704
	DomainReachable     Code = 705
	DomainOut           Code = 706
	DomainRestored      Code = 707
	PlatformUnavailable Code = 801
	PlatformAvailable   Code = 802
	PeerConnected       Code = 901
	PeerLost            Code = 902
	PeerFrameRejected   Code = 903
	PeersConnected      Code = 904
)

// Entry describes one kind of event.
type Entry struct {
	Code Code
	Name string
	// Level is the log level: debug, info, warn or error.
	Level string
	// Text explains to operators what happened and, where action is needed, what to do.
	Text string
}

// Catalogue returns the descriptions of all kinds of event, sorted by code.
func Catalogue() []Entry { return slices.Clone(catalogue) }

var catalogue = []Entry{
	{NodeStarted, "node_started", "info", "The node has started."},
	{NodeDraining, "node_draining", "info", "The node accepts no new work and completes the requests in progress."},
	{NodeStopped, "node_stopped", "info", "The node has completed all work and exits."},
	{SettingsRead, "settings_read", "info", "The settings file was reloaded. The log level is in force; other changes take effect at the next start."},
	{SettingsRefused, "settings_refused", "error", "The settings file could not be read or is invalid; the settings in force are kept. Correct the file."},
	{RecordsDropped, "records_dropped", "info", "Events of one kind occurred faster than the log's rate limit for them. of is the code of that kind, count the number of events omitted since the last such record."},
	{RequestRefused, "request_refused", "info", "A request was refused. kind, execution and detail describe the refusal, retry_after when the caller may retry. The other fields are the values on which the decision was based; coltsfootctl explain describes them in words."},
	{AttemptFailed, "attempt_failed", "info", "An attempt ended without a response; the request may be retried. instance is the instance that it was sent to, hop its sequence number, took its duration."},
	{CallRefused, "call_refused", "info", "The node refused a call that an entry node sent to it for the backend server beside it. running, queued, limit and backlog describe the load of the server, left is the time that remained until the caller's deadline."},
	{RouteCounted, "route_counted", "info", "The requests of one route, importance (band, 0 to 15) and depth that entered at the node within a second: asked, of which served were answered, failed were broken off and refused were refused, by reason (gate: the gate of a service had no room). Requests in progress are counted when they end. Reported for all routes while any request is refused or fails, so that routes can be compared."},
	{BodyRefused, "body_refused", "info", "A request was refused as not run because there is no memory for its body. size is the body's number of bytes (-1 if not known), held what the node holds for the organisation (by its key in own deployments, empty if there is none), used what it holds for all. If it lasts, the organisation sends more large bodies at once than a node has room for: have it send them to more nodes, or fewer at a time."},
	{BackendAnnounced, "backend_announced", "info", "A backend server announced itself or changed its announcement."},
	{BackendDraining, "backend_draining", "info", "A backend server accepts no new work."},
	{LimitChanged, "limit_changed", "info", "The limit of concurrent requests to the backend server changed; reported at most once a second. A limit below its slots means that the server slows down with more requests; check the slots that it announces and its machine."},
	{OverloadBegan, "overload_began", "warn", "The node began to refuse requests because its backend server is at capacity. The least important are refused first; add backend servers if the overload persists."},
	{OverloadEnded, "overload_ended", "info", "The node has refused no request for lack of capacity for one second."},
	{BackendLost, "backend_lost", "warn", "Nothing listens at the backend server's address; the server gets no work until it announces itself again."},
	{BackendFound, "backend_found", "info", "After its start, the node found its backend server by a health check."},
	{HeartbeatRefused, "heartbeat_refused", "warn", "A heartbeat was rejected: it came from another server than the backend server beside the node, or from an earlier run of that server."},
	{GateMoved, "gate_moved", "info", "The node changed the fraction of the demand for a service that it admits. excess is the fraction that the service's servers ask entry nodes to refuse, age the age of that report."},
	{BackendCold, "backend_cold", "info", "A backend server is cold, either as it reported itself or as the node observed. Until it is warm, it gets only as many requests as a cold server can handle."},
	{BackendUnchecked, "backend_unchecked", "info", "A backend server that may have restarted did not answer a health check; it is treated as cold for its service's cold time."},
	{BackendCrashed, "backend_crashed", "warn", "The backend server ended while it was running requests and had not announced its end. suspects is the number of different requests among them that it had not answered before, fingerprints names the first of these. Equal requests have the same fingerprint; one that occurs in several such records may have crashed the servers."},
	{RequestQuarantined, "request_quarantined", "warn", "Requests with this fingerprint were in service at several crashes of backend servers; equal ones are refused for the time given in for. shared means that another request was in service at the same crashes; one request is then tried later. The lines request_refused with kind quarantined name route, organisation and path. Correct the service that crashes."},
	{RequestReleased, "request_released", "info", "Requests with this fingerprint are served again: an equal one was answered, another request explains the crashes, or the crashes are older than the setting requests.quarantine."},
	{RequestTried, "request_tried", "info", "A request that is withheld only together with others was sent to the backend server as a trial."},
	{BackendLimited, "backend_limited", "info", "The backend server names a limit in its answers, or changed it by a tenth or more: limit is the number of requests per second that it takes from all nodes together."},
	{BackendUnlimited, "backend_unlimited", "info", "The backend server no longer names a limit."},
	{BackendUnreadable, "backend_unreadable", "warn", "An answer of the backend server states something about the server that cannot be read; what it stated before stays in force. Correct the server's answers."},
	{BackendSlowdown, "backend_slowdown", "info", "The backend server states that work takes slowdown times as long as usual on its machine; reported at most once a second, when entry nodes were notified. before is the figure reported last, notified the number of entry nodes. While it is high, entry nodes prefer other servers. If it stays high, check the machine."},
	{BackendLoadUnusable, "backend_load_unusable", "warn", "A response of the backend server states its load with a figure that cannot be used; only that figure is ignored. Reported at most once a minute. Correct the server's responses."},
	{LoadNoticeReceived, "load_notice_received", "info", "The node of a backend server reported a change of the server's load: its stated slowdown and its age, and the wait there. age is the age of the notice. Reported at most once a second."},
	{BackendCounted, "backend_counted", "info", "The calls for the backend server beside the node within a second, of one route, importance (band, 0 to 15) and depth: asked, of which served were answered with success, failed with a failure and refused were refused, by reason. slot_time is how long those that ended held slots: limit seconds at most. Reported for all routes while any call is refused or fails."},
	{CrossingBegan, "crossing_began", "info", "The node began to send requests to other failure domains because the demand of its own domain for a service exceeds the domain's slots. demand and slots are those of the domain, entries is the number of entry nodes whose demand is included, age the age of these figures; to_ with the name of a domain is the fraction of the demand that is sent there."},
	{CrossingEnded, "crossing_ended", "info", "The node no longer sends requests for a service to other failure domains, except where its own domain has no server that can be chosen; cause is the reason."},
	{CollectorSkipped, "collector_skipped", "info", "A collector of the demand for a service did not answer two reports. The node reports to another one for a few seconds; next is empty if there is none."},
	{CallLimitChanged, "call_limit_changed", "info", "The node learned how long after the start of their parent calls of a route expire (from is parent), or the shortest timeout that they bring of their own (from is call), or, with after 0s, that this no longer holds. Deadlines that the backend server is told are capped to just under it, so that its calls can be attributed to requests. in_service is the number of requests in service."},
	{RetriesShort, "retries_short", "warn", "The backend server rejects a large share (rejected) of what it gets, and the node's part of the retry budget does not suffice. shortage is the ratio of the retries needed to those available, excess the fraction of the demand that entry nodes are asked to refuse, left the number of retries left. Correct the servers that reject."},
	{RetriesSufficient, "retries_sufficient", "info", "The retries suffice again; no demand is refused on their account. granted and denied count the retries since the node's start."},
	{WeightUnknown, "weight_unknown", "warn", "The setting shares.weights names an organisation that the configuration does not hold; the weight has no effect. Correct the name, or ignore this if the organisation is yet to come."},
	{SharesBegan, "shares_began", "info", "The demand for a service exceeds its capacity, which is divided between organisations: band is the importance that does not fit (0 to 15), level the slots that an organisation of weight 1 may use of it, demand the slots that the fleet asks for, age the age of that figure, entries the number of entry nodes that it includes."},
	{SharesEnded, "shares_ended", "info", "The capacity of a service is no longer divided between organisations: the demand fits, or the demand of the fleet is not known and the node refuses by its own."},
	{RevisionInForce, "revision_in_force", "info", "The node applied configuration changes up to this revision."},
	{KeyWithdrawn, "key_withdrawn", "info", "This node no longer accepts a key that was withdrawn."},
	{KeysStopped, "keys_stopped", "error", "The node has had no contact with the platform and with most failure domains for longer than its grace period. It accepts no keys until it has contact again. Repair the network."},
	{KeysHonoured, "keys_honoured", "info", "The node has contact with the platform or with most failure domains again and accepts keys."},
	{SnapshotInForce, "snapshot_in_force", "info", "The node was further behind than the history of its peers reaches and loaded a full configuration."},
	{DocumentUnread, "document_unread", "warn", "The configuration document could not be read or is invalid; the configuration in force is kept."},
	{DocumentPollLost, "document_poll_lost", "info", "A check of the configuration document failed, or found a change that the long poll for changes had not delivered; the node ended the poll and makes a new one. cause tells which."},
	{SlotHeld, "slot_held", "info", "The node holds the slot and grants the slot's part of every organisation's rate."},
	{SlotLost, "slot_lost", "info", "The node no longer holds the slot: its term ended, it released the slot, or another node acquired it."},
	{SlotShareChanged, "slot_share_changed", "info", "The holders in the node's failure domain now grant this share of the domain's parts of every rate: alive of the domain's members answer, members have not announced that they leave. Restart the instances that do not answer, or stop them in order, to get the rest of the rates back."},
	{ClaimRefused, "claim_refused", "debug", "A claim on an idempotency key was not granted; decision is the reason."},
	{ClaimUnanswered, "claim_unanswered", "warn", "No slot holder decided on a claim in time; the request was refused as not run. Check the links to the other failure domains."},
	{ClaimsHandedOver, "claims_handed_over", "info", "The node released a slot and sent the slot's claims to the nodes that may acquire it."},
	{ClaimsTakenOver, "claims_taken_over", "info", "The node holds a slot and has received the claims of its previous holder, so it decides on all keys without a waiting period."},
	{MemberSuspected, "member_suspected", "info", "A member of the node's failure domain does not answer probes; it gets no new work if other servers can take the work."},
	{MemberGone, "member_gone", "warn", "A member of the node's failure domain did not refute a suspicion in time and gets no new work. Check that instance."},
	{MemberLeft, "member_left", "info", "A member of the node's failure domain announced that it stops."},
	{DomainUnreachable, "domain_unreachable", "warn", "No member of a failure domain answers this node's probes; the node sends no work there. Check the network between the two domains."},
	{DomainReachable, "domain_reachable", "info", "Members of a failure domain answer this node again."},
	{DomainOut, "domain_out", "info", "An operator has taken a failure domain out of service; this node sends no work to its backend servers. version is the version of the out-of-service state in force."},
	{DomainRestored, "domain_restored", "info", "A failure domain is in service again; its backend servers get work again, limited by how warm they are."},
	{PlatformUnavailable, "platform_unavailable", "warn", "The platform does not answer; the node continues with the state that it has. Check the platform."},
	{PlatformAvailable, "platform_available", "info", "The platform answers again."},
	{PeerConnected, "peer_connected", "info", "A connection to or from a peer was established. Nodes report connections in bulk by 904."},
	{PeerLost, "peer_lost", "warn", "A connection to a peer broke; how each call on it ends depends on how far the call had got."},
	{PeerFrameRejected, "peer_frame_rejected", "warn", "A peer sent bytes that are not a valid frame; the connection was closed. Check the versions of the nodes and what connects to the peer port."},
	{PeersConnected, "peers_connected", "info", "Connections to and from peers were established; count is their number since the last such record. The metrics peers_connected and peers_lost count all connections made and lost."},
}

// entriesByCode indexes the catalogue by code.
var entriesByCode = func() map[Code]Entry {
	found := make(map[Code]Entry, len(catalogue))
	for _, entry := range catalogue {
		found[entry.Code] = entry
	}
	return found
}()

// Field is a named value of a record.
type Field struct {
	Name  string `msgpack:"name" json:"name"`
	Value string `msgpack:"value" json:"value"`
}

// Record is an event that occurred at a node.
type Record struct {
	Code Code      `json:"code"`
	Name string    `json:"name"`
	Wall time.Time `json:"wall"`
	// Stamp orders the record among the events of all nodes. Ring.Add sets it.
	Stamp  Stamp   `json:"stamp"`
	Fields []Field `json:"fields"`
}

// New returns a record whose name is taken from the catalogue.
func New(code Code, wall time.Time, fields ...Field) Record {
	return Record{Code: code, Name: Lookup(code).Name, Wall: wall, Fields: fields}
}

// Lookup returns the catalogue's entry for code, or an empty entry if the code is
// unknown.
func Lookup(code Code) Entry { return entriesByCode[code] }
