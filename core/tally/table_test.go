package tally_test

import (
	"fmt"
	"testing"

	"coltsfootward"
	"coltsfootward/core/tally"
)

func ExampleTable() {
	var t tally.Table
	view, post := tally.Class{Route: "view", Band: 5}, tally.Class{Route: "post", Band: 6}
	t.Asked(post)
	t.Refused(post, "gate")
	t.Asked(view)
	t.Refused(view, "gate")
	t.Asked(view)
	t.Served(view)
	for _, c := range t.Take() {
		fmt.Printf("%s: %d asked, %d served, refused: %s\n", c.Class.Route, c.Asked, c.Served, c.Reasons())
	}
	// Output:
	// view: 2 asked, 1 served, refused: gate 1
	// post: 1 asked, 0 served, refused: gate 1
}

// Guards against memory that grows with the names in requests.
func TestTableIsBounded(t *testing.T) {
	var table tally.Table
	for i := range 1000 {
		table.Asked(tally.Class{Route: coltsfootward.RouteName(fmt.Sprint("route ", i))})
	}
	rows, asked := table.Take(), 0
	for _, c := range rows {
		asked += c.Asked
	}
	if len(rows) > 65 || asked != 1000 {
		t.Errorf("got %d classes and %d requests, want at most 65 and 1000", len(rows), asked)
	}
}

func TestTakeResets(t *testing.T) {
	var table tally.Table
	table.Failed(tally.Class{Route: "view"})
	if !table.Short() || len(table.Take()) != 1 || table.Short() || len(table.Take()) != 0 {
		t.Error("got counts after they were taken, want none")
	}
}
