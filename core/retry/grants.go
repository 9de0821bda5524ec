package retry

import (
	"math"
	"time"

	"coltsfootward/core/pressure"
)

const (
	// EntryPart is the part of the share and the capacity that entry nodes keep for
	// attempts whose node did not answer.
	EntryPart = 0.15
	// GrantsPart is the part of the share and the capacity that the grants have.
	GrantsPart = 1 - EntryPart
	// MaximumSends bounds how often backend servers see one request whose retries are
	// granted. Against servers that reject 55 in 100, 12 attempts succeed in 999 of
	// 1000 cases.
	MaximumSends = 12
	// CapacityDelay is the time after its start during which a node has no part of the
	// capacity. Its previous run may have spent that part within the same ten seconds.
	CapacityDelay = 10 * time.Second

	// leafFraction and nonLeafFraction are the fractions of the limit up to which
	// retries are granted. A retry of a request that needs further services also repeats
	// the work there. The rest is for calls of retried requests, which count without a
	// grant, and for the difference between the largest window of each node, summed over
	// the nodes, and the largest window of all nodes together. With a fraction of 0.9,
	// waves of ±0.55 that reached the nodes one after the other while callers moved made
	// all nodes together exceed the budget by 1 in 500.
	leafFraction    = 0.85
	nonLeafFraction = 0.6

	// grantSteps is the number of steps that the counts cover: two windows of ten
	// seconds. The other numbers are ages of steps in steps. Windows of requests begin
	// and end within the ten seconds that they stand for, and the window of retries
	// contains its ten seconds, wherever in the newest step the time is.
	grantSteps    = 40
	windowAges    = 20
	halfwayAge    = 11
	halfwayAges   = 30
	beforeAge     = 21
	beforeAges    = 40
	retryAges     = 21
	rejectionTime = 700 * time.Millisecond
	// minRejection is the share of rejections from which a service may be short of
	// retries, and minEnded the number of recent arrivals that this share needs.
	minRejection = 0.05
	minEnded     = 3.0
	// maxEnded is the number of recent arrivals that suffices for the share. It shows
	// the begin and the end of a rejection within 0.1 s where many requests arrive.
	maxEnded     = 32.0
	maxRejection = 0.95
	// spreadTime is the time over which what is left of the budget is spread. Without
	// it the first second of a disturbance of several seconds used up the budget, and
	// nearly no request with several calls completed after that.
	spreadTime = 5 * time.Second
	// maxShortage bounds the ratio of need to supply.
	maxShortage = 4.0
	// Where few attempts are rejected, most requests complete without retries, and the
	// shortage is at most leastShortage plus shortageSlope times the retries that a call
	// needs: below 1 up to a rejection of 0.06.
	leastShortage = 0.5
	shortageSlope = 8.0
	// openingShortage is the least shortage that the throttle gets while demand is
	// refused. Without it, the gates opened so fast after a rejection that the slots of
	// the service were overloaded for a second.
	openingShortage = 0.2
	// maxExcess is the excess from which the throttle closes no further. At 0.97 the few
	// requests that remained showed the end of a rejection late, and the gates were open
	// two seconds after it.
	maxExcess = 0.65
	// The importance of the calls that ask for retries is counted in importanceBuckets
	// buckets, and the counts decay by importanceDecay per importanceInterval, so that
	// they cover about the last two seconds.
	importanceInterval = 100 * time.Millisecond
	importanceDecay    = 0.95
	importanceBits     = 30
	bucketBits         = 9
	importanceBuckets  = 1 << bucketBits
)

// Grants grants retries at the node of a backend server, out of the node's part of the
// retry budget of the service.
//
// It answers servers that reject a large share of what they get while requests need
// several calls to them. When each entry node spent its part of the budget call by
// call, every call got a small share of the retries and almost no request with eight
// calls completed. Grants concentrates the retries on some calls, and computes which
// fraction of the demand the retries cannot carry, so that entry nodes refuse it before
// any work is done.
//
// In any ten seconds the grants are at most Share times the requests of these seconds,
// of the ten seconds before, or of the ten seconds halfway, whichever are most, plus
// Burst. Earlier requests count because entry nodes that refuse demand reduce the
// requests of the present window, and with them the budget just when it is needed.
//
// The zero value grants nothing. Grants is not safe for concurrent use.
type Grants struct {
	// Share is the largest ratio of granted retries to requests.
	Share float64
	// Burst is this node's part of the capacity, in retries.
	Burst float64

	steps [grantSteps]grantCounts
	step  int64

	// firsts, ended and rejected are decayed counts of first attempts, of all attempts
	// that ended, and of those that the server rejected. direct counts the first attempts
	// of direct requests.
	firsts, direct, ended, rejected float64
	// reserve is the number of retries that direct requests need within spreadTime.
	reserve   float64
	decayedAt time.Duration

	throttle pressure.Throttle
	// shortage is the ratio of need to supply, or zero without shortage.
	shortage float64
	// calls counts the calls that asked for a retry, by importance. Calls above limit
	// get none.
	calls [importanceBuckets]float64
	limit uint32
	next  time.Duration

	granted, denied int
}

// grantCounts are the counts of one step.
type grantCounts struct{ requests, retries int }

// Attempt describes an attempt at the backend server.
type Attempt struct {
	// Sends is how often backend servers have been sent the call before.
	Sends int
	// Retry is set if the attempt repeats a request or is a call of a repeated one.
	Retry bool
	// Direct is set for a request of a caller, which needs a single call.
	Direct bool
}

// Ask is a request for a retry.
type Ask struct {
	// Sends is how often backend servers had been sent the call before the attempt that
	// ended.
	Sends int
	// Rank is the shed rank of the call; a lower one is more important.
	Rank uint32
	// Direct is set for a request of a caller, and Attributed for a call whose request is
	// known. The rank of other calls says nothing about their requests.
	Direct, Attributed bool
	// NonLeaf is set if the call needs further services.
	NonLeaf bool
}

// importance returns the order in which retries are granted in a shortage. A lower value
// goes first. Direct requests need one retry to be served, others one for each of
// several calls.
func (a Ask) importance() uint32 {
	half := min(a.Rank, 1<<importanceBits-1) >> 1
	if !a.Direct {
		half += 1 << (importanceBits - 1)
	}
	return half
}

func (g *Grants) advance(now time.Duration) *grantCounts {
	number := int64(now / windowStep)
	for g.step = max(g.step, number-grantSteps); g.step < number; {
		g.step++
		g.steps[g.step%grantSteps] = grantCounts{}
	}
	weight := math.Exp(-max(now-g.decayedAt, 0).Seconds() / rejectionTime.Seconds())
	g.decayedAt = max(now, g.decayedAt)
	g.firsts *= weight
	g.direct *= weight
	g.ended *= weight
	g.rejected *= weight
	if g.ended > maxEnded {
		g.rejected *= maxEnded / g.ended
		g.ended = maxEnded
	}
	return &g.steps[g.step%grantSteps]
}

// sum adds the counts of the steps with ages from newest up to but not including end.
func (g *Grants) sum(newest, end int64) (sum grantCounts) {
	for age := newest; age < end && age <= g.step; age++ {
		counted := g.steps[(g.step-age)%grantSteps]
		sum.requests += counted.requests
		sum.retries += counted.retries
	}
	return sum
}

// RecordDispatch counts an attempt that is sent to the backend server. An attempt that
// was granted was counted by the node that granted it.
func (g *Grants) RecordDispatch(now time.Duration, a Attempt) {
	counts := g.advance(now)
	if a.Sends > 0 {
		return
	}
	g.firsts++
	if a.Direct {
		g.direct++
	}
	counts.requests++
	if a.Retry {
		counts.retries++
	}
}

// RecordUnsent takes back the count of an attempt of which no byte reached the backend
// server. The entry node sends it again as a first attempt.
func (g *Grants) RecordUnsent(now time.Duration, a Attempt) {
	counts := g.advance(now)
	if a.Sends > 0 {
		return
	}
	g.firsts = max(g.firsts-1, 0)
	if a.Direct {
		g.direct = max(g.direct-1, 0)
	}
	counts.requests--
	if a.Retry {
		counts.retries--
	}
}

// RecordEnd records the end of an attempt, and whether the backend server rejected it or
// broke it off.
func (g *Grants) RecordEnd(now time.Duration, rejected bool) {
	g.advance(now)
	g.ended++
	if rejected {
		g.rejected++
	}
}

// left returns how many retries may still be granted up to the given fraction of the
// limit.
func (g *Grants) left(fraction float64) float64 {
	requests := max(
		float64(g.sum(0, windowAges).requests),
		float64(g.sum(halfwayAge, halfwayAges).requests),
		float64(g.sum(beforeAge, beforeAges).requests))
	return fraction*(g.Share*requests+g.Burst) - float64(g.sum(0, retryAges).retries)
}

// lasting returns how many retries may be granted within spreadTime, which is half a
// window. The limit falls meanwhile if demand is refused: the window of now will be the
// one halfway, and the one halfway the one before.
func (g *Grants) lasting() float64 {
	requests := max(float64(g.sum(0, windowAges).requests), float64(g.sum(halfwayAge, halfwayAges).requests))
	then := leafFraction*(g.Share*requests+g.Burst) - float64(g.sum(0, halfwayAge).retries)
	return max(min(g.left(leafFraction), then), 0)
}

// Grant reports whether one more attempt of a call may be made, and counts it if so.
func (g *Grants) Grant(now time.Duration, a Ask) bool {
	counts := g.advance(now)
	fraction := leafFraction
	if a.NonLeaf {
		fraction = nonLeafFraction
	}
	importance := a.importance()
	if a.Sends == 0 {
		g.calls[importance>>(importanceBits-bucketBits)]++
	}
	if a.Sends+1 >= MaximumSends || g.withholds(a) || g.left(fraction) < 1 {
		g.denied++
		return false
	}
	counts.retries++
	g.granted++
	return true
}

// withholds reports whether the shortage leaves no retry for a call.
func (g *Grants) withholds(a Ask) bool {
	if g.shortage <= 1 {
		return false
	}
	if !a.Direct && !a.Attributed {
		return g.lasting() < g.reserve
	}
	return a.importance() > g.limit
}

// rejection returns the share of the recent attempts that were rejected.
func (g *Grants) rejection() float64 {
	if g.ended < minEnded {
		return 0
	}
	return min(g.rejected/g.ended, maxRejection)
}

// Tick updates the shortage. It must be called at least every 100 ms.
func (g *Grants) Tick(now time.Duration) {
	if now < g.next {
		return
	}
	g.next = max(g.next+importanceInterval, now)
	g.advance(now)
	g.shortage, g.reserve = 0, 0
	if r := g.rejection(); r >= minRejection {
		perSecond := r / (1 - r) / rejectionTime.Seconds()
		g.reserve = g.direct * perSecond * spreadTime.Seconds()
		need := (g.firsts - g.direct) * perSecond
		supply := max(g.lasting()-g.reserve, 0) / spreadTime.Seconds()
		g.shortage = min(maxShortage, leastShortage+shortageSlope*r/(1-r))
		if need < g.shortage*supply {
			g.shortage = need / supply
		}
	}
	ratio := g.shortage
	if g.throttle.Excess() > minRejection {
		ratio = max(ratio, openingShortage)
	}
	if g.throttle.Excess() >= maxExcess {
		ratio = min(ratio, 1)
	}
	g.throttle.Observe(now, ratio)
	direct, others := 0.0, 0.0
	for i := range g.calls {
		g.calls[i] *= importanceDecay
		if i < importanceBuckets/2 {
			direct += g.calls[i]
		} else {
			others += g.calls[i]
		}
	}
	g.limit = g.limitAt(direct + others/max(g.shortage, 1))
}

// limitAt returns the importance up to which the given number of calls was counted.
func (g *Grants) limitAt(wanted float64) uint32 {
	for i, n := range g.calls {
		if n > wanted {
			return uint32((float64(i) + wanted/n) * (1 << (importanceBits - bucketBits)))
		}
		wanted -= n
	}
	return math.MaxUint32
}

// GrantState describes the state of the grants.
type GrantState struct {
	// Rejection is the share of the recent attempts that the backend server rejected.
	Rejection float64
	// Shortage is the ratio of the retries needed to those available; zero if few
	// attempts are rejected.
	Shortage float64
	// Excess is the fraction of the demand that the retries cannot carry.
	Excess float64
	// Left is the number of retries left.
	Left float64
	// Granted and Denied count the retries granted and denied since the start.
	Granted, Denied int
}

// State returns the state as of the last update.
func (g *Grants) State() GrantState {
	return GrantState{Rejection: g.rejection(), Shortage: g.shortage, Excess: g.throttle.Excess(), Left: max(g.left(leafFraction), 0), Granted: g.granted, Denied: g.denied}
}

// Excess returns the fraction of the demand that the retries cannot carry.
func (g *Grants) Excess() float64 { return g.throttle.Excess() }

// Need returns the expected number of retries of one call.
func (g *Grants) Need() float64 {
	r := g.rejection()
	return r / (1 - r)
}
