package message

import (
	"time"

	"coltsfootward"
)

// Announcement describes a node's address and the backend server beside it. The
// announcement with the higher Incarnation is newer; with equal incarnations, the one
// with the higher Version.
type Announcement struct {
	//lint:ignore U1000 msgpack reads the tag of this field
	_msgpack struct{}               `msgpack:",as_array"`
	Instance coltsfootward.Instance `msgpack:"instance"`
	// Version orders the announcements of one incarnation.
	Version uint64                    `msgpack:"version"`
	Service coltsfootward.ServiceName `msgpack:"service"`
	// Slots is the number of requests that the backend server serves concurrently.
	Slots int `msgpack:"slots"`
	// Draining is set when the backend server accepts no new work.
	Draining bool `msgpack:"draining"`
	// Leaving is set when the node itself is about to stop.
	Leaving bool `msgpack:"leaving"`
	// Cold is the remaining time for which the backend server is slow after its start,
	// as of this version.
	Cold time.Duration `msgpack:"cold"`
}

// MessageKind implements Message. An announcement sent on its own is an update with
// the state MemberAlive.
func (*Announcement) MessageKind() Kind { return KindAnnouncement }

// MemberState is the liveness state of a member.
type MemberState string

// The states of a member. With equal incarnation and version, a later state in this
// list overrides an earlier one.
const (
	// MemberAlive means that the member announced itself.
	MemberAlive MemberState = "alive"
	// MemberSuspected means that probes of the member were not answered.
	MemberSuspected MemberState = "suspected"
	// MemberGone means that the member did not refute a suspicion in time.
	MemberGone MemberState = "gone"
	// MemberLeft means that the member announced that it stops.
	MemberLeft MemberState = "left"
)

// Rank returns the precedence of the state among updates with equal incarnation and
// version. The higher rank prevails.
func (s MemberState) Rank() int {
	switch s {
	case MemberSuspected:
		return 1
	case MemberGone:
		return 2
	case MemberLeft:
		return 3
	default:
		return 0
	}
}

// MemberUpdate is a membership update: the announcement and the state of one member,
// reported by the member itself or by another.
type MemberUpdate struct {
	//lint:ignore U1000 msgpack reads the tag of this field
	_msgpack     struct{}     `msgpack:",as_array"`
	Announcement Announcement `msgpack:"announcement"`
	State        MemberState  `msgpack:"state"`
}

// Newer reports whether u overrides old. An update with a lower incarnation or version
// never does, in whatever order updates arrive.
func (u MemberUpdate) Newer(old MemberUpdate) bool {
	a, b := u.Announcement, old.Announcement
	if a.Instance.Incarnation != b.Instance.Incarnation {
		return a.Instance.Incarnation > b.Instance.Incarnation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return u.State.Rank() > old.State.Rank()
}

// Gossip carries membership updates and the configuration digest. It is part of every
// probe, probe request and probe answer, and is also sent on its own while updates
// are queued.
type Gossip struct {
	// Updates contains membership updates. Their number is bounded, so that a message
	// stays small under any churn.
	Updates []MemberUpdate `msgpack:"news"`
	// Digest summarises the sender's configuration.
	Digest ConfigurationDigest `msgpack:"digest"`
	// Crashes contains reports of crashes that the receiver may not have.
	Crashes []CrashReport `msgpack:"crashes,omitempty"`
	// LimitShare and LimitDemand concern the limits that backend servers name; nil in
	// gossip that is about other things.
	LimitShare  *LimitShare  `msgpack:"limit_share,omitempty"`
	LimitDemand *LimitDemand `msgpack:"limit_demand,omitempty"`
}

// MessageKind implements Message.
func (*Gossip) MessageKind() Kind { return KindGossip }

// Probe checks whether a member is alive. The member replies with a ProbeAnswer.
type Probe struct {
	Sequence uint64 `msgpack:"sequence"`
	// Self introduces the sender to a member whose roster does not contain it yet.
	Self   MemberUpdate `msgpack:"self"`
	Gossip Gossip       `msgpack:"gossip"`
	Stamped
}

// MessageKind implements Message.
func (*Probe) MessageKind() Kind { return KindProbe }

// ProbeRequest requests an indirect probe: the receiver probes the target, so that a
// dead member can be distinguished from a broken link.
type ProbeRequest struct {
	Sequence uint64                   `msgpack:"sequence"`
	Target   coltsfootward.InstanceID `msgpack:"target"`
	Gossip   Gossip                   `msgpack:"gossip"`
}

// MessageKind implements Message.
func (*ProbeRequest) MessageKind() Kind { return KindProbeRequest }

// ProbeAnswer is the reply to the Probe or ProbeRequest with the same sequence number.
type ProbeAnswer struct {
	Sequence uint64 `msgpack:"sequence"`
	Gossip   Gossip `msgpack:"gossip"`
	Stamped
}

// MessageKind implements Message.
func (*ProbeAnswer) MessageKind() Kind { return KindProbeAnswer }

// RosterDigest starts a comparison of two rosters. If the totals are equal, the
// comparison ends.
type RosterDigest struct {
	// Self introduces the sender to a member whose roster does not contain it yet.
	Self MemberUpdate `msgpack:"self"`
	// Total is the combined hash of all entries of the sender's roster.
	Total uint64 `msgpack:"total"`
}

// MessageKind implements Message.
func (*RosterDigest) MessageKind() Kind { return KindRosterDigest }

// RosterBuckets is the reply to a RosterDigest whose total differs.
type RosterBuckets struct {
	// Self introduces the sender to a member whose roster does not contain it yet.
	Self MemberUpdate `msgpack:"self"`
	// Hashes contains the combined hash of each bucket of the sender's roster.
	Hashes []uint64 `msgpack:"hashes"`
	// Members is the number of entries in the sender's roster, from which the receiver
	// estimates how full the buckets are.
	Members int `msgpack:"members"`
}

// MessageKind implements Message.
func (*RosterBuckets) MessageKind() Kind { return KindRosterBuckets }

// RosterPage contains the sender's entries of some buckets of its roster.
type RosterPage struct {
	Buckets []int          `msgpack:"buckets"`
	Updates []MemberUpdate `msgpack:"news"`
	// WantReply requests a page with the receiver's own entries of these buckets.
	WantReply bool `msgpack:"answer"`
}

// MessageKind implements Message.
func (*RosterPage) MessageKind() Kind { return KindRosterPage }
