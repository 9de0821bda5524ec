package main

import (
	"fmt"

	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"

	"connectrpc.com/connect"
)

type status struct{ session *session }

// Execute implements flags.Commander.
func (c *status) Execute([]string) error {
	response, err := c.session.client().Status(c.session.ctx, connect.NewRequest(&coltsfootwardv1.StatusRequest{}))
	if err != nil {
		return err
	}
	m := response.Msg
	if c.session.options.Output == "table" {
		fmt.Fprintf(c.session.out, "instance %s in %s, revision %d, %d peers\n", m.Instance, m.Domain, m.Revision, m.Peers)
		fmt.Fprintf(c.session.out, "draining: %s, platform available: %s\n\n", yesNo(m.Draining), yesNo(m.PlatformAvailable))
	}
	var rows [][]string
	for _, u := range m.Upstreams {
		rows = append(rows, []string{
			u.Instance, u.Domain, u.Service, fmt.Sprint(u.Slots), fmt.Sprint(u.Running),
			fmt.Sprint(u.Queued), fmt.Sprint(u.Limit), yesNo(u.Draining),
		})
	}
	return c.session.print(m, []string{"INSTANCE", "DOMAIN", "SERVICE", "SLOTS", "RUNNING", "QUEUED", "LIMIT", "DRAINING"}, rows)
}

type drain struct{ session *session }

// Execute implements flags.Commander.
func (c *drain) Execute([]string) error {
	response, err := c.session.client().Drain(c.session.ctx, connect.NewRequest(&coltsfootwardv1.DrainRequest{}))
	if err != nil {
		return err
	}
	if c.session.options.Output == "json" {
		return c.session.printJSON(response.Msg)
	}
	fmt.Fprintln(c.session.out, "draining; the node exits once it has finished the running requests")
	return nil
}

type watch struct {
	session *session
	Args    struct {
		Revision uint64 `positional-arg-name:"REVISION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *watch) Execute([]string) error {
	response, err := c.session.client().WatchRevision(c.session.ctx, connect.NewRequest(&coltsfootwardv1.WatchRevisionRequest{
		Revision: c.Args.Revision, WaitMilliseconds: c.session.options.Wait.Milliseconds(),
	}))
	if err != nil {
		return err
	}
	if err := c.session.print(response.Msg, domainHeading, domainRows(response.Msg.Domains)); err != nil {
		return err
	}
	if !response.Msg.InForce {
		return &notInForceError{c.Args.Revision}
	}
	return nil
}
