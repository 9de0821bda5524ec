package pressure

import "slices"

// costReports is the number of reports of which the typical cost is the median.
const costReports = 15

// recentCosts holds the last reports of the cost of a request. Their median is used where
// costs are added up over nodes: a node that has just started sees few requests and can
// report a cost that is many times too high, which a moving average would take over.
type recentCosts struct {
	values [costReports]float64
	count  int
}

func (r recentCosts) with(cost float64) recentCosts {
	r.values[r.count%costReports] = cost
	r.count++
	return r
}

func (r recentCosts) median() float64 {
	held := slices.Clone(r.values[:min(r.count, costReports)])
	if len(held) == 0 {
		return 0
	}
	slices.Sort(held)
	return held[(len(held)-1)/2]
}
