package message

import (
	"time"

	"coltsfootward"
)

// Announcement says what a backend server offers and where its node runs. The
// higher Incarnation, then the higher Version, is the newer one.
type Announcement struct {
	//lint:ignore U1000 msgpack reads the tag of this field
	_msgpack struct{}               `msgpack:",as_array"`
	Instance coltsfootward.Instance `msgpack:"instance"`
	// Version orders the announcements of one incarnation.
	Version uint64                    `msgpack:"version"`
	Service coltsfootward.ServiceName `msgpack:"service"`
	// Slots is the number of requests that the backend server serves at once.
	Slots int `msgpack:"slots"`
	// Draining is set when the backend server takes no new work.
	Draining bool `msgpack:"draining"`
	// Leaving is set when the node itself is about to stop.
	Leaving bool `msgpack:"leaving"`
	// Cold is how much longer the backend server is slow after its start, as of
	// this version.
	Cold time.Duration `msgpack:"cold"`
}

// MessageKind implements Message. An announcement that travels alone is news
// of a living member.
func (*Announcement) MessageKind() Kind { return KindAnnouncement }

// MemberState says what is known of a member.
type MemberState string

// The states of a member. At one incarnation and version a later one in this
// list overrides an earlier one.
const (
	// MemberAlive means that the member said so itself.
	MemberAlive MemberState = "alive"
	// MemberSuspected means that probes of the member went unanswered.
	MemberSuspected MemberState = "suspected"
	// MemberGone means that the member did not refute a suspicion in time.
	MemberGone MemberState = "gone"
	// MemberLeft means that the member said that it stops.
	MemberLeft MemberState = "left"
)

// Rank orders the states that news of one incarnation and version may have.
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

// News is what one member says of another or of itself.
type News struct {
	//lint:ignore U1000 msgpack reads the tag of this field
	_msgpack     struct{}     `msgpack:",as_array"`
	Announcement Announcement `msgpack:"announcement"`
	State        MemberState  `msgpack:"state"`
}

// Newer reports whether n overrides old. News of an earlier incarnation or
// version never does, however late it arrives.
func (n News) Newer(old News) bool {
	a, b := n.Announcement, old.Announcement
	if a.Instance.Incarnation != b.Instance.Incarnation {
		return a.Instance.Incarnation > b.Instance.Incarnation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return n.State.Rank() > old.State.Rank()
}

// Gossip travels with every probe and its answer, and alone while there is
// news to spread.
type Gossip struct {
	// News is bounded, so that a message stays small in any churn.
	News []News `msgpack:"news"`
	// Digest says how far the sender's configuration is.
	Digest ConfigurationDigest `msgpack:"digest"`
}

// MessageKind implements Message.
func (*Gossip) MessageKind() Kind { return KindGossip }

// Probe asks a member whether it is alive.
type Probe struct {
	Sequence uint64 `msgpack:"sequence"`
	// Self introduces the sender to a member that does not know it yet.
	Self   News   `msgpack:"self"`
	Gossip Gossip `msgpack:"gossip"`
	Stamped
}

// MessageKind implements Message.
func (*Probe) MessageKind() Kind { return KindProbe }

// ProbeRequest asks a member to probe another, to tell a dead member from a
// broken link.
type ProbeRequest struct {
	Sequence uint64                   `msgpack:"sequence"`
	Target   coltsfootward.InstanceID `msgpack:"target"`
	Gossip   Gossip                   `msgpack:"gossip"`
}

// MessageKind implements Message.
func (*ProbeRequest) MessageKind() Kind { return KindProbeRequest }

// ProbeAnswer answers a Probe or a ProbeRequest of that sequence.
type ProbeAnswer struct {
	Sequence uint64 `msgpack:"sequence"`
	Gossip   Gossip `msgpack:"gossip"`
	Stamped
}

// MessageKind implements Message.
func (*ProbeAnswer) MessageKind() Kind { return KindProbeAnswer }

// RosterDigest opens a comparison of two rosters. Equal totals end it.
type RosterDigest struct {
	// Self introduces the sender to a member that does not know it yet.
	Self  News   `msgpack:"self"`
	Total uint64 `msgpack:"total"`
}

// MessageKind implements Message.
func (*RosterDigest) MessageKind() Kind { return KindRosterDigest }

// RosterBuckets answers a RosterDigest whose total differs.
type RosterBuckets struct {
	// Self introduces the sender to a member that does not know it yet.
	Self   News     `msgpack:"self"`
	Hashes []uint64 `msgpack:"hashes"`
	// Members is how many members the sender knows, which tells how full its buckets
	// are.
	Members int `msgpack:"members"`
}

// MessageKind implements Message.
func (*RosterBuckets) MessageKind() Kind { return KindRosterBuckets }

// RosterPage carries every member of some buckets.
type RosterPage struct {
	Buckets []int  `msgpack:"buckets"`
	News    []News `msgpack:"news"`
	// Answer is set when the receiver is to send its own members of these buckets.
	Answer bool `msgpack:"answer"`
}

// MessageKind implements Message.
func (*RosterPage) MessageKind() Kind { return KindRosterPage }
