package node

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/record"
)

// rosterPrefix is where nodes leave their addresses for first contact.
const rosterPrefix = "roster/"

// announceInterval is the time between two announcements to every peer.
const announceInterval = time.Second

// membershipPart knows the other nodes and what their backend servers offer.
type membershipPart struct {
	node      *Node
	local     message.Announcement
	peers     map[coltsfootward.InstanceID]coltsfootward.Instance
	announced map[coltsfootward.InstanceID]message.Announcement
	announce  time.Duration
	scan      time.Duration
	joined    bool
}

func newMembershipPart(n *Node) *membershipPart {
	return &membershipPart{
		node:      n,
		local:     message.Announcement{Instance: n.options.Self},
		peers:     make(map[coltsfootward.InstanceID]coltsfootward.Instance),
		announced: make(map[coltsfootward.InstanceID]message.Announcement),
	}
}

func (p *membershipPart) size() int { return len(p.peers) + 1 }

func (p *membershipPart) backendAnnounced(e BackendAnnounced) {
	changed := p.local.Service != e.Service || p.local.Slots != e.Slots || p.local.Draining != e.Draining
	if !changed {
		return
	}
	p.local.Service = e.Service
	p.local.Slots = e.Slots
	p.local.Draining = e.Draining
	code := record.BackendAnnounced
	if e.Draining {
		code = record.BackendDraining
	}
	p.node.report(code, field("service", string(e.Service)), field("slots", number(e.Slots)))
	p.publish()
	p.node.upstream.start()
}

func (p *membershipPart) drain() {
	p.local.Draining = true
	p.publish()
}

func (p *membershipPart) publish() {
	p.local.Version++
	p.announcement(p.local)
	p.spread()
}

func (p *membershipPart) spread() {
	p.announce = p.node.now.Monotonic + announceInterval
	for _, id := range slices.Sorted(maps.Keys(p.peers)) {
		local := p.local
		p.node.act(Send{To: p.peers[id], Message: &local})
		p.node.act(Send{To: p.peers[id], Message: &message.ConfigurationDigest{Revision: p.node.configuration.current.Revision()}})
	}
}

// announcement takes in news of a backend server unless it is old.
func (p *membershipPart) announcement(a message.Announcement) {
	if a.Instance.ID != p.node.options.Self.ID {
		p.peers[a.Instance.ID] = a.Instance
	}
	old, ok := p.announced[a.Instance.ID]
	if ok && !newerAnnouncement(a, old) {
		return
	}
	p.announced[a.Instance.ID] = a
	p.node.placement.announced(a, old)
}

func newerAnnouncement(a, old message.Announcement) bool {
	if a.Instance.Incarnation != old.Instance.Incarnation {
		return a.Instance.Incarnation > old.Instance.Incarnation
	}
	return a.Version > old.Version
}

func (p *membershipPart) tick() {
	if p.node.now.Monotonic >= p.scan {
		p.scan = p.node.now.Monotonic + p.node.options.PollInterval
		p.refreshRoster()
	}
	if p.node.now.Monotonic >= p.announce {
		p.spread()
	}
}

func (p *membershipPart) refreshRoster() {
	if !p.joined {
		p.join()
	}
	p.node.table.scan(rosterPrefix, "", 1000, func(rows []coltsfootward.Row, err error) {
		if err == nil {
			p.contacts(rows)
		}
	})
}

func (p *membershipPart) join() {
	self := p.node.options.Self
	key := rosterPrefix + string(self.Domain) + "/" + string(self.ID)
	value, err := json.Marshal(self)
	if err != nil {
		return
	}
	write := coltsfootward.Transaction{Writes: []coltsfootward.Write{{Key: key, Value: value}}}
	p.node.table.transact(write, func(err error) { p.joined = p.joined || err == nil })
}

func (p *membershipPart) contacts(rows []coltsfootward.Row) {
	for _, row := range rows {
		var instance coltsfootward.Instance
		if json.Unmarshal(row.Value, &instance) != nil || instance.ID == p.node.options.Self.ID {
			continue
		}
		p.peers[instance.ID] = instance
	}
}
