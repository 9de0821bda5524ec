package main

import (
	"slices"
	"testing"

	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"
)

// Guards against a server of which nothing is known that is shown as one of speed zero.
func TestServerRow(t *testing.T) {
	u := &coltsfootwardv1.Upstream{Instance: "north-1", Domain: "north", Slots: 8, Share: 0.25}
	if got, want := serverRow(u), []string{"north-1", "north", "8", "-", "-", "-", "0.250"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	u.Speed, u.Slowdown, u.SlowdownAgeMilliseconds = 1.5, 2.5, 40
	if got, want := serverRow(u), []string{"north-1", "north", "8", "1.50", "2.50", "40ms ago", "0.250"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
