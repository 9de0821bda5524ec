package pressure

const (
	// bandBits is the number of leading bits of a shed rank that hold the importance
	// of a request.
	bandBits = 4
	bands    = 1 << bandBits
	// hashBits is the number of remaining bits of a shed rank, which hold a hash.
	hashBits  = rankBits - bandBits
	hashRange = 1 << hashBits
	// A request is expensive if it takes at least expensiveFactor times the mean slot
	// time of its band.
	expensiveFactor = 2.0
	// expensiveShare is the share of the expensive requests that are ranked like the
	// others. While some of the others are refused as well, the served fraction of the
	// expensive requests is expensiveShare times that of the others.
	expensiveShare = 0.4
)

// bandCosts tracks the slot time that requests of each importance take at a service,
// and orders requests of the same importance by their slot time.
//
// The design load is 1.5 times the capacity of a service, with some requests that
// take four times the slot time of other, equally important ones. When requests were
// refused at random, half of all callers gave up. Each expensive request that is
// refused makes room for four others, so refusing expensive requests first serves the
// most callers. A share of them is treated like the others; otherwise no caller of
// expensive requests would be served during a long overload.
type bandCosts struct {
	sums   [bands]float64
	counts [bands]float64
}

// cost returns the known slot time of a request or, if it is unknown, the mean slot
// time of all requests.
func (b *bandCosts) cost(known float64) float64 {
	if known > 0 {
		return known
	}
	sum, count := 0.0, 0.0
	for i := range b.sums {
		sum += b.sums[i]
		count += b.counts[i]
	}
	if sum <= 0 {
		return 1
	}
	return sum / count
}

// observe adds a request to the averages.
func (b *bandCosts) observe(rank uint32, cost float64) {
	band := bandOf(rank)
	b.sums[band] += cost
	b.counts[band]++
}

// decay reduces the weight of older requests.
func (b *bandCosts) decay() {
	for i := range b.sums {
		b.sums[i] *= demandDecay
		b.counts[i] *= demandDecay
	}
}

// effectiveRank returns the rank by which a request is refused. It lies in the first
// half of the request's band, or in the second half if the request is expensive and
// does not belong to the share that is treated like the others.
func (b *bandCosts) effectiveRank(rank uint32, cost float64) uint32 {
	band := bandOf(rank)
	expensive := b.counts[band] >= 1 && cost*b.counts[band] >= expensiveFactor*b.sums[band]
	return uint32(band)<<hashBits + uint32(positionOf(rank, expensive)*hashRange)
}

// positionOf returns the position of a request within its band, 0 to 1, by which it is
// refused.
func positionOf(rank uint32, expensive bool) float64 {
	hash := float64(rank%hashRange) / hashRange
	switch {
	case !expensive:
		return hash / 2
	case hash < expensiveShare:
		return hash / (2 * expensiveShare)
	default:
		return 0.5 + (hash-expensiveShare)/(1-expensiveShare)/2
	}
}

// Band returns the importance band of a shed rank.
func Band(rank uint32) int { return bandOf(rank) }

func bandOf(rank uint32) int { return int(min(rank>>hashBits, bands-1)) }
