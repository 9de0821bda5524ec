package crossing

import "coltsfootward"

const (
	// fullDemand is the demand, as a multiple of the capacity, from which a domain has no
	// room for requests of others, and roomDemand that below which it has room again.
	fullDemand = 1.0
	roomDemand = 0.9
)

// Room knows whether another failure domain has room for a service.
//
// It answers an overload of all domains. Servers in another domain then look less loaded
// than those of the own domain half of the time, by chance and because reports of servers
// that are seldom used are old. Most requests crossed, and none was served that would not
// have been served at home. The zero value has room. Room is not safe for concurrent use.
type Room struct{ none bool }

// Update judges the domains other than self. Their Demand is what entered there before
// refusals; Admitted is not used. A domain without capacity has no room.
func (r *Room) Update(self coltsfootward.FailureDomain, domains []Domain) {
	limit := fullDemand
	if r.none {
		limit = roomDemand
	}
	none := false
	for _, d := range domains {
		if d.Name == self || d.Capacity <= 0 {
			continue
		}
		if d.Demand < limit*d.Capacity {
			r.none = false
			return
		}
		none = true
	}
	r.none = none
}

// None reports whether no other domain has room.
func (r *Room) None() bool { return r.none }
