package coltsfootward_test

import (
	"fmt"
	"testing"

	"coltsfootward"
)

func ExampleService_MarkFor() {
	orders := coltsfootward.Service{Name: "subscriptions"}
	orders.Marks = []coltsfootward.Mark{
		{PathPrefix: "/", Priority: coltsfootward.PriorityNormal},
		{Method: "POST", PathPrefix: "/orders", Priority: coltsfootward.PriorityCritical, Unrepeatable: true},
	}
	fmt.Println(orders.MarkFor("POST", "/orders/7").Priority)
	fmt.Println(orders.MarkFor("GET", "/orders/7").Priority)
	// Output:
	// critical
	// normal
}

func TestMarkForUnmarkedRequest(t *testing.T) {
	tests := []struct {
		method       string
		unrepeatable bool
	}{
		{"GET", false},
		{"PUT", false},
		{"DELETE", false},
		{"POST", true},
		{"PATCH", true},
		{"BREW", true},
	}
	for _, test := range tests {
		if got := (coltsfootward.Service{}).MarkFor(test.method, "/").Unrepeatable; got != test.unrepeatable {
			t.Errorf("%s: got unrepeatable %v, want %v", test.method, got, test.unrepeatable)
		}
	}
}

// Guards against a withdrawn key that is accepted again. An operator's change of the
// key's record that is based on a state before the withdrawal arrives late and would
// clear the Withdrawn flag.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	key := coltsfootward.Key{ID: "k", Digest: coltsfootward.DigestKey("secret"), Organisation: "traders"}
	withdrawn := key
	withdrawn.Withdrawn = true
	c := coltsfootward.Configuration{}.
		Apply(coltsfootward.Change{Revision: 1, Key: &key}).
		Apply(coltsfootward.Change{Revision: 2, Key: &withdrawn}).
		Apply(coltsfootward.Change{Revision: 3, Key: &key})
	if got, _ := c.Key(key.Digest); !got.Withdrawn {
		t.Errorf("got %+v, want it withdrawn", got)
	}
}

// Guards against a rate that reverts to an earlier value. A peer that was partitioned
// from the others sends a node an older revision after a newer one.
func TestApplyNeverReverts(t *testing.T) {
	slow := coltsfootward.Organisation{Name: "traders", Rate: coltsfootward.Rate{PerSecond: 1, Burst: 1}}
	fast := coltsfootward.Organisation{Name: "traders", Rate: coltsfootward.Rate{PerSecond: 9, Burst: 9}}
	c := coltsfootward.Configuration{}.
		Apply(coltsfootward.Change{Revision: 2, Organisation: &fast}).
		Apply(coltsfootward.Change{Revision: 1, Organisation: &slow})
	got, _ := c.Organisation("traders")
	if got.Rate != fast.Rate || c.Revision() != 2 {
		t.Errorf("got rate %+v at revision %d, want %+v at 2", got.Rate, c.Revision(), fast.Rate)
	}
}

func TestWithDoesNotChangeOriginal(t *testing.T) {
	before := coltsfootward.Configuration{}.WithOrganisation(coltsfootward.Organisation{Name: "traders"})
	before.WithOrganisation(coltsfootward.Organisation{Name: "ministry"})
	if got := len(before.Organisations()); got != 1 {
		t.Errorf("got %d organisations, want 1", got)
	}
}

func TestParsePriority(t *testing.T) {
	for i, want := range coltsfootward.Priorities() {
		got, err := coltsfootward.ParsePriority(string(want))
		if err != nil || got != want || got.Rank() != i {
			t.Errorf("%s: got %s with rank %d and error %v, want rank %d", want, got, got.Rank(), err, i)
		}
	}
	if _, err := coltsfootward.ParsePriority("urgent"); err == nil {
		t.Error("got no error for an unknown priority, want one")
	}
}
