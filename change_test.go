package coltsfootward_test

import (
	"testing"

	"coltsfootward"
)

// A node reads all objects while operators change them, and then applies the
// changes since it began. One of them is older than what it read of the object;
// applied, it would bring an earlier rate back.
func TestApplyLeavesNewerObjectAlone(t *testing.T) {
	newer := coltsfootward.Organisation{Name: "traders", Rate: coltsfootward.Rate{PerSecond: 7}, Revision: 7}
	read := coltsfootward.Configuration{}.WithOrganisation(newer).WithRevision(4)
	older := coltsfootward.Change{Revision: 5, Organisation: &coltsfootward.Organisation{Name: "traders", Rate: coltsfootward.Rate{PerSecond: 5}}}
	after := read.Apply(older)
	if got, _ := after.Organisation("traders"); got != newer || after.Revision() != 5 {
		t.Errorf("got %+v at revision %d, want %+v at 5", got, after.Revision(), newer)
	}
}
