package main

import (
	"fmt"
	"time"

	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"

	"connectrpc.com/connect"
)

type serviceShow struct {
	session *session
	Args    struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *serviceShow) Execute([]string) error {
	response, err := c.session.client().Status(c.session.ctx, connect.NewRequest(&coltsfootwardv1.StatusRequest{}))
	if err != nil {
		return err
	}
	shown := &coltsfootwardv1.StatusResponse{Instance: response.Msg.Instance, Domain: response.Msg.Domain}
	var rows [][]string
	for _, u := range response.Msg.Upstreams {
		if u.Service == c.Args.Name {
			shown.Upstreams = append(shown.Upstreams, u)
			rows = append(rows, serverRow(u))
		}
	}
	return c.session.print(shown, []string{"INSTANCE", "DOMAIN", "SLOTS", "SPEED", "SLOWDOWN", "STATED", "SHARE"}, rows)
}

// serverRow returns the table row of a backend server. A dash stands for what is not known.
func serverRow(u *coltsfootwardv1.Upstream) []string {
	row := []string{u.Instance, u.Domain, fmt.Sprint(u.Slots), "-", "-", "-", fmt.Sprintf("%.3f", u.Share)}
	if u.Speed > 0 {
		row[3] = fmt.Sprintf("%.2f", u.Speed)
	}
	if u.Slowdown > 0 {
		row[4] = fmt.Sprintf("%.2f", u.Slowdown)
		row[5] = (time.Duration(u.SlowdownAgeMilliseconds) * time.Millisecond).String() + " ago"
	}
	return row
}
