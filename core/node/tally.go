package node

import (
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/pressure"
	"coltsfootward/core/record"
	"coltsfootward/core/tally"
)

// tallyInterval is the time between two reports of the counts of requests.
const tallyInterval = time.Second

// reasonGate is the reason of requests that a gate refused where they entered.
const reasonGate = "gate"

// tallyComponent counts the requests that enter at the node, and the calls for the local
// backend server. It reports the counts of all routes while any request is refused or
// fails.
type tallyComponent struct {
	node *Node
	// entered counts the requests of callers and the child calls of the local backend
	// server, received the calls for the local backend server.
	entered, received tally.Table
	next              time.Duration
	// lastEntered and lastReceived are the counts of the last interval.
	lastEntered, lastReceived []tally.Counts
}

func tallyClass(head message.Call) tally.Class {
	return tally.Class{Route: coltsfootward.RouteName(classOf(head)), Band: pressure.Band(head.ShedRank), Depth: head.Depth}
}

func (p *tallyComponent) tick() {
	now := p.node.now.Monotonic
	if now < p.next {
		return
	}
	p.next = now + tallyInterval
	p.lastEntered = p.report(record.RouteCounted, &p.entered)
	p.lastReceived = p.report(record.BackendCounted, &p.received)
}

func (p *tallyComponent) report(code record.Code, t *tally.Table) []tally.Counts {
	short := t.Short()
	rows := t.Take()
	if !short {
		return rows
	}
	for _, c := range rows {
		fields := []record.Field{
			field("route", string(c.Class.Route)), field("band", number(c.Class.Band)), field("depth", number(c.Class.Depth)),
			field("asked", number(c.Asked)), field("served", number(c.Served)), field("failed", number(c.Failed)),
			field("refused", number(c.TotalRefused())), field("reasons", c.Reasons()),
		}
		if code == record.BackendCounted {
			fields = append(fields, field("service", string(p.node.membership.local.Service)), field("slot_time", rounded(c.SlotTime)),
				field("limit", number(p.node.upstream.admission.Limit())))
		}
		p.node.report(code, fields...)
	}
	return rows
}

// RouteCounts are the numbers of requests in the last second.
type RouteCounts struct {
	// Entered counts the requests of callers and the child calls of the local backend
	// server, Received the calls for the local backend server.
	Entered, Received []tally.Counts
}

// RouteCounts returns the numbers of requests in the last second by route, importance
// and depth.
func (n *Node) RouteCounts() RouteCounts {
	return RouteCounts{Entered: n.tally.lastEntered, Received: n.tally.lastReceived}
}
