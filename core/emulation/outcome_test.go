package emulation

import (
	"testing"
	"time"
)

// Guards against a late response of an expensive class that counts for more
// than its late worth.
func TestLateResponseEarnsLateWorth(t *testing.T) {
	d := Publisher()
	o := newOutcome(d, time.Second)
	order := requestKind{Class: d.class("order")}
	o.addRequest(order, 0)
	o.addRequest(order, 0)
	o.addServed(order, 0, order.Objective)
	o.addServed(order, 0, order.Objective+time.Millisecond)
	n := o.Classes[order.Name]
	if n.Late != 1 || n.OnTime != 1 || n.EarnedWorth != order.Worth+order.LateWorth {
		t.Errorf("got %+v, want one in time and one late that earn %v and %v", *n, order.Worth, order.LateWorth)
	}
}
