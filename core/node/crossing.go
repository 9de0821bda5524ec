package node

// Crossing names a rule for which requests are sent to another failure domain.
type Crossing string

// The rules.
const (
	// CrossingOccupancy sends a request to another domain if the server chosen in the
	// own domain is nearly full and one in the other domain is less loaded.
	CrossingOccupancy Crossing = "occupancy"
	// CrossingSurplus sends only what exceeds the capacity of the own domain, as far as
	// the other domains have room. It needs the demand of the whole fleet.
	CrossingSurplus Crossing = "surplus"
)

// exchangesDemand reports whether nodes exchange the demand for contended services.
func (o Options) exchangesDemand() bool {
	return o.Routed && (o.Crossing == CrossingSurplus || o.ShareScope == ShareScopeFleet)
}
