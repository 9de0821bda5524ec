package fairshare

import (
	"time"

	"coltsfootward/core/demand"
)

const (
	// leastShare is the part of the mean admitted fraction that every band of importance
	// gets in a lasting shortage. Under strict priority such a shortage leaves nothing to
	// the least important requests, and their callers are refused however often they
	// return.
	leastShare = 0.5
	// maximumReserve is the part of the capacity that is reserved for bands to which strict
	// priority would give less than that. Without this bound, a flood of unimportant
	// requests would displace important ones.
	maximumReserve = 0.2
	// agingTime is how long a band is starved until it gets leastShare. Capacity and demand
	// vary by chance within less than that, and strict priority does no harm meanwhile.
	agingTime = time.Second
)

// Aging measures how long strict priority has starved a band of importance. The zero value
// is ready for use. Aging is not safe for concurrent use.
type Aging struct{ starved time.Duration }

// Observe records the demand and the refused fraction of the time elapsed.
func (a *Aging) Observe(elapsed time.Duration, asked demand.ByBand, refused float64) {
	if _, starved := leastFraction(asked, refused); !starved {
		elapsed = -elapsed
	}
	a.starved = min(max(a.starved+elapsed, 0), agingTime)
}

// Level returns the part of leastShare that bands get, 0 to 1.
func (a *Aging) Level() float64 { return a.starved.Seconds() / agingTime.Seconds() }

// AdmitBands returns how much of the demand of each band is admitted if the given fraction
// of all demand is refused, and the least fraction to which a band is admitted. Level is that
// of an Aging. Each band gets the least fraction; the rest goes to the bands in order of
// importance. A band is thus never admitted to a larger fraction than a more important one.
func AdmitBands(asked demand.ByBand, refused, level float64) (admitted demand.ByBand, least float64) {
	least, _ = leastFraction(asked, refused)
	least *= level
	left := (admittedFraction(refused) - least) * asked.Total()
	for band, demanded := range asked {
		extra := min((1-least)*demanded, left)
		admitted[band] = least*demanded + extra
		left -= extra
	}
	return admitted, least
}

func admittedFraction(refused float64) float64 { return 1 - min(max(refused, 0), 1) }

// leastFraction returns the fraction to which every band is admitted, and whether strict
// priority would admit a band to less.
func leastFraction(asked demand.ByBand, refused float64) (least float64, starved bool) {
	capacity := admittedFraction(refused) * asked.Total()
	strict, left := demand.ByBand{}, capacity
	for band, demanded := range asked {
		strict[band] = min(demanded, left)
		left -= strict[band]
	}
	least = leastShare * admittedFraction(refused)
	for range asked {
		short := 0.0
		for band, demanded := range asked {
			if strict[band] < least*demanded {
				short += demanded
			}
		}
		if least*short <= maximumReserve*capacity {
			return least, short > 0
		}
		least = maximumReserve * capacity / short
	}
	return least, true
}
