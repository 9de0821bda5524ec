package main

import (
	"fmt"

	timelines "coltsfootward/cmd/timeline"
	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"

	"connectrpc.com/connect"
)

type timeline struct {
	session *session
	Limit   int32 `long:"limit" default:"1000" description:"events to show, the latest; 0 for all"`
	Nodes   int   `long:"nodes" default:"64" description:"nodes to ask at most, the named one first; 0 for all"`
}

// Execute implements flags.Commander. It names nodes that cannot be reached on standard
// error, so that their missing events are not mistaken for inactivity.
func (c *timeline) Execute([]string) error {
	response, err := c.session.client().Status(c.session.ctx, connect.NewRequest(&coltsfootwardv1.StatusRequest{}))
	if err != nil {
		return err
	}
	nodes := append([]string{c.session.options.Node}, response.Msg.PeerOperators...)
	if c.Nodes > 0 && len(nodes) > c.Nodes {
		fmt.Fprintf(c.session.errout, "coltsfootctl: asking %d of %d nodes: raise --nodes for more\n", c.Nodes, len(nodes))
		nodes = nodes[:c.Nodes]
	}
	events, err := timelines.Collect(c.session.ctx, nodes, c.Limit)
	if err != nil {
		fmt.Fprintf(c.session.errout, "coltsfootctl: %v\n", err)
	}
	return c.session.print(&coltsfootwardv1.TimelineResponse{Events: events}, timelines.Heading(), timelines.Rows(events))
}
