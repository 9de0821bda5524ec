package quarantine

import "time"

// reactionTime is the time that the nodes need to withhold a request everywhere.
// Crashes within this time after the one that decides count as well when several
// requests are suspected alike: the request that causes them is part of all.
const reactionTime = time.Second

// judge determines the withheld requests anew. It processes the crashes in the
// order in which they happened, so that a verdict does not change when another
// request crashes servers later.
func (r *Register) judge() {
	clear(r.withheld)
	ids := r.sortedIDs()
	evidence := make(map[Fingerprint][]time.Duration)
	for i, id := range ids {
		c := r.crashes[id]
		if explained := r.addToWithheld(c); explained {
			continue
		}
		for f, acquitted := range c.acquitted {
			if !acquitted {
				evidence[f] = append(evidence[f], c.at)
			}
		}
		culprits := r.culprits(c, evidence, ids[i+1:])
		for _, f := range culprits {
			r.withheld[f] = r.verdict(evidence[f], len(culprits) > 1)
		}
		if len(culprits) > 0 {
			evidence = r.unexplained(ids[:i+1])
		}
	}
}

// addToWithheld adds a crash to the verdicts on the withheld requests among its
// suspects. It reports whether there are any.
func (r *Register) addToWithheld(c *crash) bool {
	explained := false
	for f, acquitted := range c.acquitted {
		verdict, ok := r.withheld[f]
		if !ok || acquitted {
			continue
		}
		explained = true
		r.withheld[f] = r.verdict(append(verdict.times, c.at), verdict.Shared)
	}
	return explained
}

// culprits returns the suspects of a crash that are to be withheld because of it:
// of those with enough evidence against them, the ones with the most evidence up
// to reactionTime after the crash. later holds the crashes that followed.
func (r *Register) culprits(c *crash, evidence map[Fingerprint][]time.Duration, later []CrashID) []Fingerprint {
	var found []Fingerprint
	most := 0
	for f, acquitted := range c.acquitted {
		count := len(evidence[f])
		if acquitted || count < crashThreshold {
			continue
		}
		for _, id := range later {
			next := r.crashes[id]
			if next.at > c.at+reactionTime {
				break
			}
			if acquitted, suspect := next.acquitted[f]; suspect && !acquitted {
				count++
			}
		}
		if count > most {
			found, most = nil, count
		}
		if count == most {
			found = append(found, f)
		}
	}
	return found
}

// verdict returns the verdict on a request, given the times of the crashes that
// are evidence against it.
func (r *Register) verdict(times []time.Duration, shared bool) Verdict {
	return Verdict{times: times, until: times[len(times)-crashThreshold] + r.lifetime, Shared: shared}
}

// unexplained returns the evidence of the given crashes against requests that are
// not withheld.
func (r *Register) unexplained(ids []CrashID) map[Fingerprint][]time.Duration {
	evidence := make(map[Fingerprint][]time.Duration)
	for _, id := range ids {
		c := r.crashes[id]
		if r.hasWithheld(c) {
			continue
		}
		for f, acquitted := range c.acquitted {
			if !acquitted {
				evidence[f] = append(evidence[f], c.at)
			}
		}
	}
	return evidence
}

func (r *Register) hasWithheld(c *crash) bool {
	for f, acquitted := range c.acquitted {
		if _, withheld := r.withheld[f]; withheld && !acquitted {
			return true
		}
	}
	return false
}
