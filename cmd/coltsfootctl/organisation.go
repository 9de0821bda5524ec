package main

import (
	"fmt"

	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"

	"connectrpc.com/connect"
)

type organisationSet struct {
	session *session
	Change  changeOptions `group:"Change options"`
	Rate    float64       `long:"rate" required:"yes" description:"requests per second over all instances together"`
	Burst   int64         `long:"burst" required:"yes" description:"requests that may start at once"`
	Args    struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *organisationSet) Execute([]string) error {
	return c.session.change(c.Change, func(change *coltsfootwardv1.ChangeContext) (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
		return c.session.client().SetOrganisation(c.session.ctx, connect.NewRequest(&coltsfootwardv1.SetOrganisationRequest{
			Context: change, Name: c.Args.Name, RatePerSecond: c.Rate, Burst: c.Burst,
		}))
	})
}

type organisationList struct{ session *session }

// Execute implements flags.Commander.
func (c *organisationList) Execute([]string) error {
	response, err := c.session.client().ListOrganisations(c.session.ctx, connect.NewRequest(&coltsfootwardv1.ListOrganisationsRequest{}))
	if err != nil {
		return err
	}
	var rows [][]string
	for _, o := range response.Msg.Organisations {
		rows = append(rows, []string{o.Name, fmt.Sprint(o.RatePerSecond), fmt.Sprint(o.Burst), fmt.Sprint(o.Revision)})
	}
	return c.session.print(response.Msg, []string{"NAME", "RATE/S", "BURST", "REVISION"}, rows)
}
