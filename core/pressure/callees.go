package pressure

import (
	"maps"
	"slices"

	"coltsfootward"
)

const (
	// calleeMemory is how many requests of a class are remembered: older ones
	// count for less, so that a change of what they call shows within a minute.
	calleeMemory = 500.0
	// calleeLeast is how many further calls a request makes on average to count
	// as one that makes them, and calleeRuns how many requests must have been seen.
	calleeLeast = 0.1
	calleeRuns  = 5.0
	// calleePrior is what is assumed of a class before anything is known.
	calleePrior = 0.05
)

// Callees learns which further calls the requests of each class make. The calls
// do not name the request that they are made for. Each one is attributed to the
// classes in service in proportion to how many calls theirs usually make: this is
// expectation maximisation, which settles on the numbers that make what was seen
// most likely. The zero value is ready. It is not safe for concurrent use.
type Callees struct {
	classes map[coltsfootward.RouteName]*calls
}

// calls is what is known of one class.
type calls struct {
	running int
	runs    float64
	made    map[coltsfootward.RouteName]float64
}

func (c *Callees) class(name coltsfootward.RouteName) *calls {
	if c.classes == nil {
		c.classes = make(map[coltsfootward.RouteName]*calls)
	}
	known, ok := c.classes[name]
	if !ok {
		known = &calls{made: make(map[coltsfootward.RouteName]float64)}
		c.classes[name] = known
	}
	return known
}

// Began counts a request that began its service.
func (c *Callees) Began(class coltsfootward.RouteName) {
	k := c.class(class)
	k.running++
	k.runs++
	if k.runs <= calleeMemory {
		return
	}
	k.runs /= 2
	for callee := range k.made {
		k.made[callee] /= 2
	}
}

// Ended counts one that ended it.
func (c *Callees) Ended(class coltsfootward.RouteName) {
	k := c.class(class)
	k.running = max(k.running-1, 0)
}

// Called counts a further call.
func (c *Callees) Called(callee coltsfootward.RouteName) {
	total := 0.0
	for _, k := range c.classes {
		total += k.weight(callee)
	}
	if total == 0 {
		return
	}
	for _, k := range c.classes {
		if w := k.weight(callee); w > 0 {
			k.made[callee] += w / total
		}
	}
}

// weight is how likely a call to the callee is one of this class's.
func (k *calls) weight(callee coltsfootward.RouteName) float64 {
	if k.running == 0 {
		return 0
	}
	return float64(k.running) * (k.perRun(callee) + calleePrior)
}

func (k *calls) perRun(callee coltsfootward.RouteName) float64 {
	if k.runs == 0 {
		return 0
	}
	return k.made[callee] / k.runs
}

// Of returns the routes that requests of a class call, sorted.
func (c *Callees) Of(class coltsfootward.RouteName) []coltsfootward.RouteName {
	k, ok := c.classes[class]
	if !ok || k.runs < calleeRuns {
		return nil
	}
	var found []coltsfootward.RouteName
	for _, callee := range slices.Sorted(maps.Keys(k.made)) {
		if k.perRun(callee) >= calleeLeast {
			found = append(found, callee)
		}
	}
	return found
}
