package admission_test

import (
	"fmt"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/admission"
)

// BenchmarkDecision measures one request, from its arrival to the end of its service,
// on a node whose queue holds a standing backlog of 40 organisations.
func BenchmarkDecision(b *testing.B) {
	c := admission.NewController(120)
	now := time.Hour
	id := admission.RequestID(0)
	var names []coltsfootward.OrganisationName
	for o := range 40 {
		names = append(names, coltsfootward.OrganisationName(fmt.Sprint("organisation-", o)))
	}
	offer := func() {
		id++
		c.Offer(now, admission.Request{ID: id, Priority: int(id % 4), ShedRank: uint32(id*2654435761) >> 2,
			Organisation: names[id%40], Weight: 1, Class: "GET /quotes", Arrived: now, Deadline: now + time.Hour})
	}
	for range 240 {
		offer()
	}
	var running []admission.RequestID
	for b.Loop() {
		now += 100 * time.Microsecond
		offer()
		for {
			r, ok := c.Next(now)
			if !ok {
				break
			}
			running = append(running, r.ID)
		}
		c.Done(now, running[0], false)
		running = running[1:]
		if id%100 == 0 {
			c.Tick(now)
		}
		c.Refused()
	}
}
