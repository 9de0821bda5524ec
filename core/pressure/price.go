package pressure

const (
	// bandBits is how many bits of a shed rank tell how important a request is;
	// the rest is chance.
	bandBits = 4
	bands    = 1 << bandBits
	// chanceBits is how many bits of a rank are chance.
	chanceBits = rankBits - bandBits
	chance     = 1 << chanceBits
	// dearFrom is how many times the mean slot time of its band a request must
	// take to count as dear.
	dearFrom = 2.0
	// dearPart is what is served of the dear requests, as a part of what is served
	// of the others, while some of those are refused, too.
	dearPart = 0.4
)

// prices knows what requests of each importance take of a service's slot time,
// and orders those of the same importance by it.
//
// The load that it is made for: a service is asked for half as much again as it
// has, and of equally important requests some take four times the slot time of
// others. Refused by chance alone, half of all callers go away. Of the dear ones
// each that is refused makes room for four others, so refusing those first serves
// most callers. A part of them goes with the others, or under a long overload nobody
// would be served who asks for such work.
type prices struct {
	sums   [bands]float64
	counts [bands]float64
}

// cost returns the slot time of a request of which cost is known, and the mean of
// all requests for one of which nothing is.
func (p *prices) cost(known float64) float64 {
	if known > 0 {
		return known
	}
	sum, count := 0.0, 0.0
	for i := range p.sums {
		sum += p.sums[i]
		count += p.counts[i]
	}
	if sum <= 0 {
		return 1
	}
	return sum / count
}

// count takes in a request.
func (p *prices) count(rank uint32, cost float64) {
	band := bandOf(rank)
	p.sums[band] += cost
	p.counts[band]++
}

// fade lets older requests count less.
func (p *prices) fade() {
	for i := range p.sums {
		p.sums[i] *= demandFade
		p.counts[i] *= demandFade
	}
}

// place returns the rank in whose place a request is refused: in the first half of
// its band, or in the second if it is dear and not of the part that goes with the
// others.
func (p *prices) place(rank uint32, cost float64) uint32 {
	band, hash := bandOf(rank), float64(rank%chance)/chance
	switch {
	case p.counts[band] < 1 || cost*p.counts[band] < dearFrom*p.sums[band]:
		hash /= 2
	case hash < dearPart:
		hash /= 2 * dearPart
	default:
		hash = 0.5 + (hash-dearPart)/(1-dearPart)/2
	}
	return uint32(band)<<chanceBits + uint32(hash*chance)
}

func bandOf(rank uint32) int { return int(min(rank>>chanceBits, bands-1)) }
