package emulation_test

import (
	"fmt"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/emulation"
	"coltsfootward/core/node"
)

// unevenOrganisations returns twelve organisations that ask for a quarter of the load,
// one that asks for half and enters in one place, and one that asks for a quarter.
func unevenOrganisations(entry coltsfootward.InstanceID) []emulation.Organisation {
	organisations := []emulation.Organisation{
		{Name: "large", Demand: 0.5, Entries: []coltsfootward.InstanceID{entry}},
		{Name: "medium", Demand: 0.25},
	}
	for i := range 12 {
		organisations = append(organisations, emulation.Organisation{Name: coltsfootward.OrganisationName(fmt.Sprint("small", i)), Demand: 0.25 / 12})
	}
	return organisations
}

// Guards against small organisations whose chains of calls are refused because a large one
// floods the deepest service. When each entry node refused a fraction of its own demand,
// they got 0.926 and 0.833 of their worth, and all together 0.931 and 0.846.
func TestSmallOrganisationsAreServedInChains(t *testing.T) {
	for _, test := range []struct {
		deployment emulation.Deployment
		all        float64
	}{{emulation.Consortium(), 0.94}, {emulation.Publisher(), 0.87}} {
		d := test.deployment
		d.ShareScope = node.ShareScopeFleet
		d.Organisations = unevenOrganisations(coltsfootward.InstanceID(d.Services[0].Name + "-1"))
		var small, large, all emulation.Counts
		for seed := range uint64(2) {
			o := emulation.Run(d, emulation.Disturbance{Burst: 1.7, BurstSpan: span(0, 20*time.Second)}, runLength, seed+1)
			for name, counts := range o.Organisations {
				into := &small
				if name == "large" {
					into = &large
				}
				into.OfferedWorth += counts.OfferedWorth
				into.EarnedWorth += counts.EarnedWorth
			}
			all.OfferedWorth += o.Total().OfferedWorth
			all.EarnedWorth += o.Total().EarnedWorth
		}
		t.Logf("%s: small %.3f, large %.3f, all %.3f", d.Name, small.Worth(), large.Worth(), all.Worth())
		if small.Worth() < 0.94 || all.Worth() < test.all {
			t.Errorf("%s: small %.3f, large %.3f, all %.3f, want 0.94 of the small ones and %.2f of all", d.Name, small.Worth(), large.Worth(), all.Worth(), test.all)
		}
	}
}
