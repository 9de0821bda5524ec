package admission_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"coltsfootward/core/admission"
)

// refusedOnPausingMachine returns how many of 1000 requests a second, each of 1 ms, a
// controller refuses in 20 s, of which the machine pauses about half in pieces of 5 to
// 30 ms from the third second on.
func refusedOnPausingMachine(c *admission.Controller, seed uint64) (refused, offered int) {
	source := rand.New(rand.NewPCG(seed, 1))
	now := time.Hour
	end := now + 20*time.Second
	nextArrival, nextPause := now, now+2*time.Second
	ends := make(map[admission.RequestID]time.Duration)
	for now < end {
		now += 100 * time.Microsecond
		if now >= nextPause {
			now += 5*time.Millisecond + time.Duration(source.Int64N(int64(25*time.Millisecond)))
			nextPause = now + 10*time.Millisecond + time.Duration(source.Int64N(int64(40*time.Millisecond)))
		}
		for _, id := range due(ends, now) {
			delete(ends, id)
			c.Done(now, id, false)
		}
		for ; nextArrival <= now; nextArrival += time.Duration(source.ExpFloat64() * float64(time.Millisecond)) {
			offered++
			c.Offer(now, admission.Request{ID: admission.RequestID(offered), Class: "GET /quotes", Deadline: now + 2*time.Second, Repeatable: true})
		}
		for next, ok := c.Next(now); ok; next, ok = c.Next(now) {
			ends[next.ID] = now + jittered(source, time.Millisecond)
		}
		c.Tick(now)
		refused += len(c.Refused())
	}
	return refused, offered
}

// due returns the requests that have ended by now, in the order of their IDs.
func due(ends map[admission.RequestID]time.Duration, now time.Duration) []admission.RequestID {
	var ids []admission.RequestID
	for id, at := range ends {
		if at <= now {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Guards against a limit that is lowered because the machine pauses, so that requests are
// refused for which the server has slots.
func TestPausesOfTheMachineDoNotLowerTheLimit(t *testing.T) {
	for _, slots := range []int{8, 30, 120} {
		for seed := range uint64(3) {
			fixed := admission.NewController(slots)
			fixed.FixLimit()
			want, _ := refusedOnPausingMachine(fixed, seed)
			got, offered := refusedOnPausingMachine(admission.NewController(slots), seed)
			if got > want+offered/200 {
				t.Errorf("%d slots, seed %d: %d of %d requests refused, and %d without a limit below the slots", slots, seed, got, offered, want)
			}
		}
	}
}
