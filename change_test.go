package coltsfootward_test

import (
	"testing"

	"coltsfootward"
)

// Guards against a change that reverts an object to an earlier rate. A node reads
// all objects while operators change them, and then applies the changes made
// since the read began. A change can be older than the object that was read.
func TestApplyKeepsNewerObject(t *testing.T) {
	newer := coltsfootward.Organisation{Name: "traders", Rate: coltsfootward.Rate{PerSecond: 7}, Revision: 7}
	read := coltsfootward.Configuration{}.WithOrganisation(newer).WithRevision(4)
	older := coltsfootward.Change{Revision: 5, Organisation: &coltsfootward.Organisation{Name: "traders", Rate: coltsfootward.Rate{PerSecond: 5}}}
	after := read.Apply(older)
	if got, _ := after.Organisation("traders"); got != newer || after.Revision() != 5 {
		t.Errorf("got %+v at revision %d, want %+v at 5", got, after.Revision(), newer)
	}
}
