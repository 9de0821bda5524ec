package daemon

import (
	"coltsfootward"
	"coltsfootward/core/tally"
)

// routeCount shows the requests of one route, importance and depth within a second.
type routeCount struct {
	Route coltsfootward.RouteName `json:"route"`
	Band  int                     `json:"band"`
	Depth int                     `json:"depth"`

	Asked   int            `json:"asked"`
	Served  int            `json:"served"`
	Failed  int            `json:"failed"`
	Refused map[string]int `json:"refused"`
	// SlotMilliseconds is how long the calls occupied slots of the backend server.
	SlotMilliseconds int64 `json:"slot_milliseconds"`
}

func routeCounts(counts []tally.Counts) []routeCount {
	all := make([]routeCount, 0, len(counts))
	for _, c := range counts {
		all = append(all, routeCount{
			Route: c.Class.Route, Band: c.Class.Band, Depth: c.Class.Depth,
			Asked: c.Asked, Served: c.Served, Failed: c.Failed, Refused: c.Refused,
			SlotMilliseconds: c.SlotTime.Milliseconds(),
		})
	}
	return all
}
