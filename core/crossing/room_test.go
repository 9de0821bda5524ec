package crossing_test

import (
	"testing"

	"coltsfootward/core/crossing"
)

// Guards against requests that stay in a full domain although another one has room, and
// against a decision that changes with every small change of the demand.
func TestRoom(t *testing.T) {
	var r crossing.Room
	for _, step := range []struct {
		east, south crossing.Domain
		none        bool
	}{
		{crossing.Domain{Name: "east", Demand: 11, Capacity: 10}, crossing.Domain{Name: "south", Demand: 9.5, Capacity: 10}, false},
		{crossing.Domain{Name: "east", Demand: 11, Capacity: 10}, crossing.Domain{Name: "south", Demand: 10.5, Capacity: 10}, true},
		{crossing.Domain{Name: "east", Demand: 11, Capacity: 10}, crossing.Domain{Name: "south", Demand: 9.5, Capacity: 10}, true},
		{crossing.Domain{Name: "east", Demand: 11, Capacity: 10}, crossing.Domain{Name: "south", Demand: 8.5, Capacity: 10}, false},
		{crossing.Domain{Name: "east", Demand: 11, Capacity: 10}, crossing.Domain{Name: "south", Demand: 3}, true},
		{crossing.Domain{Name: "east"}, crossing.Domain{Name: "south"}, false},
	} {
		r.Update("north", []crossing.Domain{{Name: "north", Demand: 20, Capacity: 10}, step.east, step.south})
		if r.None() != step.none {
			t.Errorf("%v and %v: got no room %v, want %v", step.east, step.south, r.None(), step.none)
		}
	}
}
