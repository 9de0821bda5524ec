// Package record defines the numbered events that a node reports, in its log
// and on its time line. docs/EVENTS.md explains each of them.
package record

import (
	"slices"
	"time"
)

// Code numbers a kind of event. Numbers are never reused.
type Code int

// The events. The hundreds group them: 1xx life of the node, 2xx requests,
// 3xx backend servers, 4xx configuration, 5xx rate and leases, 6xx claims,
// 7xx membership, 8xx platform, 9xx peers.
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
	RevisionInForce     Code = 401
	KeyWithdrawn        Code = 402
	KeysStopped         Code = 403
	KeysHonoured        Code = 404
	SnapshotInForce     Code = 405
	DocumentUnread      Code = 406
	SlotHeld            Code = 501
	SlotLost            Code = 502
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

// Entry is one line of the catalogue.
type Entry struct {
	Code Code
	Name string
	// Level is the log level: debug, info, warn or error.
	Level string
	// Text says what happened and what to do about it.
	Text string
}

// Catalogue lists every event in the order of its number.
func Catalogue() []Entry { return slices.Clone(catalogue) }

var catalogue = []Entry{
	{NodeStarted, "node_started", "info", "The node runs."},
	{NodeDraining, "node_draining", "info", "The node takes no new work and finishes what runs."},
	{NodeStopped, "node_stopped", "info", "The node has finished all work and exits."},
	{SettingsRead, "settings_read", "info", "The settings file was read anew. The log level is in force; other changes wait for the next start."},
	{SettingsRefused, "settings_refused", "error", "The settings file could not be read or is wrong; the settings in force stay. Correct the file."},
	{RecordsDropped, "records_dropped", "info", "Events of one kind came faster than they are logged; of and count say which and how many were left out since the last such line."},
	{RequestRefused, "request_refused", "info", "A request was answered with a refusal; kind, execution and detail say which, retry_after when its caller may come back. The other fields are what decided it; coltsfootctl explain puts them in words."},
	{AttemptFailed, "attempt_failed", "info", "An attempt ended without an answer; the request may be attempted again. instance is where it went, hop its number, took how long it lasted."},
	{CallRefused, "call_refused", "info", "A node refused a call that an entry node sent for the backend server beside it; running, queued, limit, backlog and left say how full the server was and how much of the caller's time was left."},
	{BackendAnnounced, "backend_announced", "info", "A backend server announced itself or changed its announcement."},
	{BackendDraining, "backend_draining", "info", "A backend server takes no new work."},
	{LimitChanged, "limit_changed", "info", "The number of requests that the backend server is given at once moved, at most one report a second. Below its slots it slows down with more; check what it announces and its machine."},
	{OverloadBegan, "overload_began", "warn", "The node began to refuse requests that its backend server has no room for. The least important go first; add backend servers if it lasts."},
	{OverloadEnded, "overload_ended", "info", "The node has refused nothing for want of room for a second."},
	{BackendLost, "backend_lost", "warn", "Nothing listens at the backend server's address; it gets no work until it announces itself again."},
	{BackendFound, "backend_found", "info", "A node that has just started found its backend server by a health check."},
	{HeartbeatRefused, "heartbeat_refused", "warn", "A heartbeat was not of the backend server beside the node, or of an earlier start of it."},
	{GateMoved, "gate_moved", "info", "The node lets another part of the demand for a service pass; excess is the part that the service's servers want refused, age how old that is."},
	{BackendCold, "backend_cold", "info", "A backend server is cold, by its own word or by what the node saw of it; it gets only as many requests as it bears until it is warm."},
	{BackendUnchecked, "backend_unchecked", "info", "A backend server that may have restarted did not answer a health check; it counts as cold for its service's cold time."},
	{RevisionInForce, "revision_in_force", "info", "The node applied changes of the configuration up to this revision."},
	{KeyWithdrawn, "key_withdrawn", "info", "A key stopped working at this node."},
	{KeysStopped, "keys_stopped", "error", "The node has been cut off from the platform and from most failure domains for longer than its grace; it honours no key until it hears of them again. Mend the network."},
	{KeysHonoured, "keys_honoured", "info", "The node hears of the platform or of most failure domains again and honours keys."},
	{SnapshotInForce, "snapshot_in_force", "info", "The node was further behind than its peers' history reaches and took a whole configuration."},
	{DocumentUnread, "document_unread", "warn", "The configuration document could not be read or used; the one in force stays."},
	{SlotHeld, "slot_held", "info", "The node holds the slot and grants its parts of every organisation's rate."},
	{SlotLost, "slot_lost", "info", "The node no longer holds the slot: its term ended, it gave the slot up, or another node took it."},
	{ClaimRefused, "claim_refused", "debug", "A claim on an idempotency key was not granted; the decision says why."},
	{ClaimUnanswered, "claim_unanswered", "warn", "Nobody decided on a claim in time; the request was refused as not run. Check the links to the other failure domains."},
	{ClaimsHandedOver, "claims_handed_over", "info", "The node gave a slot up and sent its claims to those who may take it."},
	{ClaimsTakenOver, "claims_taken_over", "info", "The node holds a slot and has the claims of its last holder; no key is held off."},
	{MemberSuspected, "member_suspected", "info", "A member of the node's failure domain answers no probes; it gets no new work if others can take it."},
	{MemberGone, "member_gone", "warn", "A member of the node's failure domain did not answer in time and gets no new work. Check that instance."},
	{MemberLeft, "member_left", "info", "A member of the node's failure domain said that it stops."},
	{DomainUnreachable, "domain_unreachable", "warn", "No member of a failure domain answers this node; it sends no work there. Check the network between the two."},
	{DomainReachable, "domain_reachable", "info", "A failure domain answers this node again."},
	{DomainOut, "domain_out", "info", "An operator has taken a failure domain out of service; this node sends no work to its backend servers. version says which state is in force."},
	{DomainRestored, "domain_restored", "info", "A failure domain is in service again; its backend servers get work as far as they are warm."},
	{PlatformUnavailable, "platform_unavailable", "warn", "The platform does not answer; the node goes on with what it has. Check the platform."},
	{PlatformAvailable, "platform_available", "info", "The platform answers again."},
	{PeerConnected, "peer_connected", "info", "A connection to or from a peer stands. Nodes tell of many at once by 904."},
	{PeerLost, "peer_lost", "warn", "A connection to a peer broke; calls on it end as their state says."},
	{PeerFrameRejected, "peer_frame_rejected", "warn", "A peer sent bytes that are no valid frame; the connection was closed. Check versions and who connects."},
	{PeersConnected, "peers_connected", "info", "Connections to and from peers were made; count says how many since the last such line. peers_connected and peers_lost of the metrics have all."},
}

// entries finds the catalogue's entries by their codes.
var entries = func() map[Code]Entry {
	found := make(map[Code]Entry, len(catalogue))
	for _, entry := range catalogue {
		found[entry.Code] = entry
	}
	return found
}()

// Field is one detail of a record.
type Field struct {
	Name  string `msgpack:"name" json:"name"`
	Value string `msgpack:"value" json:"value"`
}

// Record is one event that happened at a node.
type Record struct {
	Code Code      `json:"code"`
	Name string    `json:"name"`
	Wall time.Time `json:"wall"`
	// Stamp orders it among the events of all nodes; the ring sets it.
	Stamp  Stamp   `json:"stamp"`
	Fields []Field `json:"fields"`
}

// New returns a record. The name comes from the catalogue.
func New(code Code, wall time.Time, fields ...Field) Record {
	return Record{Code: code, Name: Lookup(code).Name, Wall: wall, Fields: fields}
}

// Lookup returns the catalogue's entry for code; an unknown code has an empty one.
func Lookup(code Code) Entry { return entries[code] }
