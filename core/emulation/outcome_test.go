package emulation

import (
	"testing"
	"time"
)

// Guards against a late answer of a dear class that counts for more than the users
// give for it.
func TestLateAnswerEarnsItsOwnWorth(t *testing.T) {
	d := Publisher()
	o := newOutcome(d, time.Second)
	order := d.class("order")
	o.asked(order, 0)
	o.asked(order, 0)
	o.served(order, 0, order.Objective)
	o.served(order, 0, order.Objective+time.Millisecond)
	n := o.Classes[order.Name]
	if n.Late != 1 || n.OnTime != 1 || n.Earned != order.Worth+order.LateWorth {
		t.Errorf("got %+v, want one in time and one late that earn %v and %v", *n, order.Worth, order.LateWorth)
	}
}
