package emulation

import (
	"time"

	"coltsfootward/core/nodetest"
)

// measureUse records the use of each service by the second.
func (w *world) measureUse() {
	served := w.servedRoots()
	for _, m := range w.members {
		uses := w.outcome.uses[w.services[m].Name]
		for _, run := range m.Backend.Runs {
			useful := served[rootOf(run.Head)]
			forEachSecond(w.spanOf(run), func(second int, part float64) {
				if second >= len(uses) {
					return
				}
				uses[second].Busy += part
				if useful {
					uses[second].Useful += part
				}
			})
		}
	}
	for s, used := range w.outcome.uses {
		lost := 0
		for _, m := range w.members {
			if w.services[m].Name != s {
				continue
			}
			until := len(used)
			if s == w.disturbance.Service && lost < w.disturbance.LostServers {
				lost++
				until = int(w.disturbance.LostAt.Seconds())
			}
			for second := range min(until, len(used)) {
				used[second].Available += float64(w.services[m].Slots)
			}
		}
	}
}

// servedRoots returns the callers' requests that a backend server answered with success.
func (w *world) servedRoots() map[string]bool {
	served := make(map[string]bool)
	for _, m := range w.members {
		for _, run := range m.Backend.Runs {
			if run.Head.Depth == 0 && run.Completed {
				served[rootOf(run.Head)] = true
			}
		}
	}
	return served
}

func (w *world) spanOf(run *nodetest.Run) Span {
	return Span{From: run.Arrived - w.trafficStart, To: run.Ended - w.trafficStart}
}

// forEachSecond calls do for each second that a span touches, with the part of the second
// that lies in the span.
func forEachSecond(s Span, do func(second int, part float64)) {
	for from := max(s.From, 0); from < s.To; {
		to := min(from.Truncate(time.Second)+time.Second, s.To)
		do(int(from/time.Second), (to - from).Seconds())
		from = to
	}
}
