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
	candidates := r.candidates()
	if len(candidates) == 0 {
		return
	}
	ids := r.sortedIDs()
	evidence := make(map[Fingerprint][]time.Duration)
	for i, id := range ids {
		c := r.crashes[id]
		if r.addToWithheld(c) {
			continue
		}
		c.addTo(evidence, candidates)
		culprits := r.culprits(c, evidence, ids[i+1:])
		for _, f := range culprits {
			r.withheld[f] = r.verdict(evidence[f], len(culprits) > 1)
		}
		if len(culprits) > 0 {
			evidence = r.unexplained(ids[:i+1], candidates)
		}
	}
}

// candidates returns the requests with evidence of enough crashes against them, if
// no crash is explained by another request.
func (r *Register) candidates() []Fingerprint {
	var found []Fingerprint
	for f, count := range r.suspected {
		if count >= crashThreshold {
			found = append(found, f)
		}
	}
	return found
}

// addTo adds the crash to the evidence against the candidates among its suspects.
func (c *crash) addTo(evidence map[Fingerprint][]time.Duration, candidates []Fingerprint) {
	for _, f := range candidates {
		if c.suspects(f) {
			evidence[f] = append(evidence[f], c.at)
		}
	}
}

// suspects reports whether the crash is evidence against a request.
func (c *crash) suspects(f Fingerprint) bool {
	acquitted, ok := c.acquitted[f]
	return ok && !acquitted
}

// addToWithheld adds a crash to the verdicts on the withheld requests among its
// suspects. It reports whether there are any.
func (r *Register) addToWithheld(c *crash) bool {
	explained := false
	for f, verdict := range r.withheld {
		if c.suspects(f) {
			explained = true
			r.withheld[f] = r.verdict(append(verdict.times, c.at), verdict.Shared)
		}
	}
	return explained
}

// culprits returns the suspects of a crash that are to be withheld because of it:
// of those with enough evidence against them, the ones with the most evidence up
// to reactionTime after the crash. later holds the crashes that followed.
func (r *Register) culprits(c *crash, evidence map[Fingerprint][]time.Duration, later []CrashID) []Fingerprint {
	var found []Fingerprint
	most := 0
	for f, times := range evidence {
		if len(times) < crashThreshold {
			continue
		}
		count := len(times)
		for _, id := range later {
			next := r.crashes[id]
			if next.at > c.at+reactionTime {
				break
			}
			if next.suspects(f) {
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

// unexplained returns the evidence of the given crashes against candidates that
// are not withheld.
func (r *Register) unexplained(ids []CrashID, candidates []Fingerprint) map[Fingerprint][]time.Duration {
	evidence := make(map[Fingerprint][]time.Duration)
	for _, id := range ids {
		if c := r.crashes[id]; !r.hasWithheld(c) {
			c.addTo(evidence, candidates)
		}
	}
	return evidence
}

// hasWithheld reports whether a crash is evidence against a withheld request.
func (r *Register) hasWithheld(c *crash) bool {
	for f := range r.withheld {
		if c.suspects(f) {
			return true
		}
	}
	return false
}
