package daemon

import (
	"coltsfootward"
	"coltsfootward/core/fairshare"
	"coltsfootward/core/node"
)

// serviceShares shows how the capacity of a service is divided.
type serviceShares struct {
	Service coltsfootward.ServiceName `json:"service"`
	// Band is the importance that does not fit, 0 to 15.
	Band            int                 `json:"band"`
	AgeMilliseconds int64               `json:"age_milliseconds"`
	Organisations   []organisationShare `json:"organisations"`
}

// organisationShare shows an organisation's demand and what of it is admitted, in slots.
// The empty name stands for all organisations that are not listed.
type organisationShare struct {
	Name     coltsfootward.OrganisationName `json:"name"`
	Demand   float64                        `json:"demand"`
	Admitted float64                        `json:"admitted"`
	Refused  float64                        `json:"refused"`
}

func sharesOf(n *node.Node) []serviceShares {
	all := []serviceShares{}
	for _, s := range n.DividedServices() {
		shown := serviceShares{Service: s.Service, Band: s.Band, AgeMilliseconds: s.Age.Milliseconds()}
		for _, o := range append(s.Shares, s.Others) {
			shown.Organisations = append(shown.Organisations, shareOf(o))
		}
		all = append(all, shown)
	}
	return all
}

func shareOf(s fairshare.Share) organisationShare {
	return organisationShare{Name: s.Organisation, Demand: s.Demand, Admitted: s.Admitted, Refused: s.Demand - s.Admitted}
}
